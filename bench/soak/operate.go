package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
)

const (
	askTimeout = 2 * time.Second
	// orderTries bounds how often an order without a clear answer is sent again
	// with its operation id.
	orderTries = 6
	// outLimit is the time after which a data centre that is out gets no new work.
	outLimit = 3 * time.Second
	// outWatch is how long that is looked at.
	outWatch = time.Second
)

// noteText returns a note that differs from all others.
func noteText(number uint64, title string) string {
	if number == 1 {
		return demo.FirstNote
	}
	return fmt.Sprintf(`{"number": %d, "title": %q, "routes": {"changed": [
    {"name": "rosters", "path_prefix": "/rosters", "methods": ["GET"], "service": "roster", "kind": "lookup",
     "timeout": "%dms", "max_retries": 2, "hedge": false}]}}`, number, title, 1000+number%500)
}

// publish publishes a note and remembers it once it is acknowledged.
func (r *run) publish(number uint64) error {
	c, err := r.fleet.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	err = r.order(context.Background(), func(ctx context.Context, op model.OperationID) (note.Result, error) {
		n, err := note.ParseNote([]byte(noteText(number, "start")))
		if err != nil {
			return note.Result{}, err
		}
		return c.Publish(ctx, op, n)
	})
	if err == nil {
		r.accept(number)
	}
	return err
}

// accept notes that a note was acknowledged.
func (r *run) accept(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = max(r.accepted, number)
}

func (r *run) lastAccepted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// order sends an order, again with its operation id while the answer is not clear.
func (r *run) order(ctx context.Context, send func(context.Context, model.OperationID) (note.Result, error)) (err error) {
	op := operator.NewOperationID()
	for range orderTries {
		one, cancel := context.WithTimeout(ctx, 2*askTimeout)
		_, err = send(one, op)
		cancel()
		if err == nil || errors.Is(err, operator.ErrConflict) || ctx.Err() != nil {
			break
		}
		time.Sleep(bindTime)
	}
	return err
}

// operate publishes a note, or two that race with the same number.
func (r *run) operate(ctx context.Context, e Event) error {
	head, err := r.head(ctx)
	if err != nil {
		return nil //nolint:nilerr // without a quorum there is nothing to publish on; what was accepted is checked later
	}
	racers := 1
	if e.Fault == RaceNotes {
		racers = 2
	}
	won := make([]bool, racers)
	var wg sync.WaitGroup
	for i := range racers {
		wg.Go(func() {
			c, err := r.fleet.Client(r.fleet.Controls[(e.Target+uint64(i))%uint64(len(r.fleet.Controls))], r.fleet.Controls[e.Target%uint64(len(r.fleet.Controls))])
			if err != nil {
				r.violate("client: %v", err)
				return
			}
			defer c.Close()
			n, err := note.ParseNote([]byte(noteText(head+1, fmt.Sprintf("operator %d", i))))
			if err != nil {
				r.violate("note: %v", err)
				return
			}
			err = r.order(ctx, func(ctx context.Context, op model.OperationID) (note.Result, error) { return c.Publish(ctx, op, n) })
			won[i] = err == nil
		})
	}
	wg.Wait()
	winners := 0
	for _, w := range won {
		if w {
			winners++
			r.accept(head + 1)
		}
	}
	if winners > 1 {
		return fmt.Errorf("%d operators were told that note %d is theirs", winners, head+1)
	}
	return nil
}

// head returns the number of the newest note; it is never below an acknowledged one.
func (r *run) head(ctx context.Context) (uint64, error) {
	before := r.lastAccepted()
	c, err := r.fleet.Client()
	if err != nil {
		return 0, err
	}
	defer c.Close()
	one, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := c.Notes(one, 0, 1)
	if err != nil {
		return 0, err
	}
	if len(a.Notes) == 0 {
		return 0, errors.New("no note")
	}
	if got := a.Notes[0].Note.Number; got < before && a.Read.Confirmed {
		r.violate("a confirmed read shows note %d, note %d was acknowledged before it", got, before)
	}
	return a.Notes[0].Note.Number, nil
}

// takeOut takes a data centre out and back, and looks at its backend servers meanwhile.
func (j *injector) takeOut(ctx context.Context, e Event) error {
	r := j.r
	dc := r.fleet.DataCentres[e.Target%uint64(len(r.fleet.DataCentres))]
	c, err := r.fleet.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	err = r.order(ctx, func(ctx context.Context, op model.OperationID) (note.Result, error) { return c.TakeOut(ctx, op, dc) })
	if err != nil {
		return nil //nolint:nilerr // not accepted while a fault lasts; nothing was promised
	}
	time.Sleep(outLimit)
	before, err := r.work(dc)
	alone := j.alone() && err == nil
	time.Sleep(outWatch)
	after, err := r.work(dc)
	if alone && j.alone() && err == nil && after > before {
		r.violate("%d requests reached %s from %s after it was taken out", after-before, dc, outLimit)
	}
	// The return is owed however long it takes: the data centre must not stay out.
	for range orderTries {
		if err = r.order(context.WithoutCancel(ctx), func(ctx context.Context, op model.OperationID) (note.Result, error) { return c.Return(ctx, op, dc) }); err == nil {
			return nil
		}
	}
	return fmt.Errorf("return of %s: %w", dc, err)
}

// work sums up the requests that reached the backend servers of a data centre.
func (r *run) work(dc model.DataCentre) (int64, error) {
	var sum int64
	for _, s := range r.fleet.Servers {
		if s.DataCentre != dc {
			continue
		}
		st, err := s.Stats()
		if err != nil {
			return 0, err
		}
		sum += st.Requests
	}
	return sum, nil
}
