package replog

import "github.com/rotisserie/eris"

// engine joins the decisions of a Core to its disk. It has one owner and no
// goroutine of its own.
type engine struct {
	core *Core
	disk *disk
	// send passes messages on; it never blocks.
	send func([]Message)
	// apply passes on a received snapshot, committed entries and read results.
	apply func(Ready)
}

// run does everything that the core asks for. After ErrDiskFull the core has
// given up leadership and nothing was lost; after another error the disk must
// not be used further.
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

// store writes, lets the followers write at the same time, and syncs.
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
