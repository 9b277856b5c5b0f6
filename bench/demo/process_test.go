package demo

import (
	"errors"
	"os"
	"syscall"
	"testing"
)

// Guards against two instances of one program, and against a process that ended by itself and
// passes for one that was told to end.
func TestProcessRunsOnceAndRemembersItsEnd(t *testing.T) {
	p := NewProcess(t.TempDir(), "sleeper", "sleep", "60")
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	defer p.Kill()
	pid := p.PID()
	if err := p.Start(); err != nil || p.PID() != pid {
		t.Errorf("second start: process %d in place of %d, %v", p.PID(), pid, err)
	}
	if p.Ending() {
		t.Error("the process counts as told to end")
	}
	p.Kill()
	if !p.Ending() || !errors.Is(p.Signal(syscall.SIGSTOP), os.ErrProcessDone) {
		t.Error("the killed process does not count as told to end")
	}
	if err := p.Start(); err != nil || p.PID() == pid || p.Ending() {
		t.Errorf("start after the end: process %d, ending %v, %v", p.PID(), p.Ending(), err)
	}
	quick := NewProcess(t.TempDir(), "quick", "true")
	if err := quick.Start(); err != nil {
		t.Fatal(err)
	}
	_, done := quick.current()
	<-done
	if quick.Ending() {
		t.Error("a process that ended by itself counts as told to end")
	}
}
