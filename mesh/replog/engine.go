package replog

import "github.com/rotisserie/eris"

// engine connects a Core to its disk and to the network. It runs in the
// goroutine of its owner.
type engine struct {
	core *Core
	disk *disk
	// send passes messages to the transport; it never blocks.
	send func([]Message)
	// apply receives each Ready after it is stored: the received snapshot, the
	// committed entries and the read results.
	apply func(Ready)
}

// run processes the output of the core until there is none left. After
// ErrDiskFull, the core has given up leadership and its stored state is intact.
// After any other error, the disk must not be used any more.
func (e *engine) run() error {
	for {
		r := e.core.Ready()
		if r.Empty() {
			return nil
		}
		if err := e.store(r); err != nil {
			return err
		}
		e.send(r.Messages)
		e.apply(r)
		e.core.Advance(r)
	}
}

// store writes r to disk, sends the early messages so that followers write in
// parallel, and syncs.
func (e *engine) store(r Ready) error {
	if !r.mustSync() {
		e.send(r.EarlyMessages)
		return nil
	}
	if err := e.disk.write(r); err != nil {
		if eris.Is(err, ErrDiskFull) {
			e.core.Discard(r)
		}
		return err
	}
	e.send(r.EarlyMessages)
	return e.disk.sync()
}
