// Package demo runs the system as separate processes on loopback, puts it under
// load and failures, and measures it.
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

// Process runs one program and can start it again after it ended. Signals go to
// its PID only, never to a process name.
type Process struct {
	Name string
	args []string
	dir  string

	// mu guards the fields below.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	// ending is set once the process was told to end.
	ending bool
}

// stopTimeout is how long Stop waits after SIGTERM before it kills the process.
const stopTimeout = 8 * time.Second

// NewProcess returns a process that is not started yet. args is the program with its
// arguments; the output goes to <dir>/<name>.log.
func NewProcess(dir, name string, args ...string) *Process {
	return &Process{Name: name, args: args, dir: dir}
}

// Start starts the program and appends its output to the log file. It does nothing if the
// program runs: two instances would compete for its addresses, and one of them would be lost
// track of.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done != nil {
		select {
		case <-p.done:
		default:
			return nil
		}
	}
	p.ending = false
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

// current returns the last started command and a channel that is closed when it
// has ended; both are nil before the first start.
func (p *Process) current() (*exec.Cmd, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd, p.done
}

// Signal sends a signal to the process. It does nothing before the first start.
func (p *Process) Signal(s syscall.Signal) error {
	cmd, _ := p.current()
	if cmd == nil {
		return nil
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.mu.Lock()
		p.ending = true
		p.mu.Unlock()
	}
	return cmd.Process.Signal(s)
}

// Ending reports whether the process was told to end since its last start.
func (p *Process) Ending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ending
}

// PID returns the process id; 0 before the first start.
func (p *Process) PID() int {
	cmd, _ := p.current()
	if cmd == nil {
		return 0
	}
	return cmd.Process.Pid
}

// Running reports whether the process was started and has not ended.
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

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	if _, done := p.current(); done != nil {
		<-done
	}
}

// Stop sends SIGTERM and returns the error with which the process ended. A process
// that does not end within stopTimeout is killed.
func (p *Process) Stop() error {
	if !p.Running() {
		return nil
	}
	_ = p.Signal(syscall.SIGTERM)
	_, done := p.current()
	select {
	case <-done:
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%s did not end within %s of SIGTERM", p.Name, stopTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// CPU returns the user and system CPU time of the process after it has ended, or
// zero before that.
func (p *Process) CPU() time.Duration {
	cmd, _ := p.current()
	if cmd == nil || cmd.ProcessState == nil {
		return 0
	}
	return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
}
