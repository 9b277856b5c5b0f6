// Package demo runs the system as separate plain processes on loopback, brings
// failures about, and measures.
package demo

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one started program; it is stopped by its PID only.
type Process struct {
	Name string
	args []string
	dir  string

	// mu guards the fields below.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// stopLimit is the time that a process gets to end after SIGTERM.
const stopLimit = 8 * time.Second

// NewProcess describes a program whose output goes to <dir>/<name>.log.
func NewProcess(dir, name string, args ...string) *Process {
	return &Process{Name: name, args: args, dir: dir}
}

// Start starts the program; its log file is appended to.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...) //nolint:noctx // the process outlives any one context and is stopped by PID
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	cmd, _ := p.current()
	if cmd == nil {
		return nil
	}
	return cmd.Process.Signal(s)
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	cmd, done := p.current()
	if cmd == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	if _, done := p.current(); done != nil {
		<-done
	}
}

// Stop asks the process to shut down gracefully and returns its error; one that
// does not end in time is killed.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	_ = p.Signal(syscall.SIGTERM)
	_, done := p.current()
	select {
	case <-done:
	case <-time.After(stopLimit):
		p.Kill()
		return fmt.Errorf("%s did not end within %s of SIGTERM", p.Name, stopLimit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// CPU returns the processor time that the ended process has used.
func (p *Process) CPU() time.Duration {
	cmd, _ := p.current()
	if cmd == nil || cmd.ProcessState == nil {
		return 0
	}
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}
