package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
)

const (
	// requestTimeout bounds one request to a node, a control host or a stand-in.
	requestTimeout = 2 * time.Second
	// commandAttempts bounds how often an operator command whose outcome is unknown is
	// sent with the same operation id.
	commandAttempts = 6
	// takeOutGrace is the time after which a data centre that was taken out of service
	// must receive no new requests.
	takeOutGrace = 3 * time.Second
	// takeOutObservation is the time after takeOutGrace for which the requests to that
	// data centre are counted.
	takeOutObservation = time.Second
)

// noteText returns a note as JSON. It differs from the previous note in the timeout
// of a route.
func noteText(number uint64, title string) string {
	if number == 1 {
		return firstNote()
	}
	return fmt.Sprintf(`{"number": %d, "title": %q, "routes": {"changed": [
    {"name": "rosters", "path_prefix": "/rosters", "methods": ["GET"], "service": "roster", "kind": "lookup",
     "timeout": "%dms", "max_retries": 2, "hedge": false}]}}`, number, title, 1000+number%500)
}

// publish publishes a note and records its number if it is acknowledged.
func (r *run) publish(number uint64) error {
	c, err := r.fleet.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	err = r.sendCommand(context.Background(), func(ctx context.Context, op model.OperationID) (note.Result, error) {
		n, err := note.ParseNote([]byte(noteText(number, "start")))
		if err != nil {
			return note.Result{}, err
		}
		return c.Publish(ctx, op, n)
	})
	if err == nil {
		r.recordAcknowledged(number)
	}
	return err
}

// recordAcknowledged records the number of an acknowledged note.
func (r *run) recordAcknowledged(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged = max(r.acknowledged, number)
}

func (r *run) lastAcknowledged() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acknowledged
}

// sendCommand sends an operator command and resends it with the same operation id
// while its outcome is unknown.
func (r *run) sendCommand(ctx context.Context, send func(context.Context, model.OperationID) (note.Result, error)) (err error) {
	op := operator.NewOperationID()
	for range commandAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
		_, err = send(attemptCtx, op)
		cancel()
		if err == nil || errors.Is(err, operator.ErrConflict) || ctx.Err() != nil {
			break
		}
		time.Sleep(shortWait)
	}
	return err
}

// publishNotes publishes a note or, for RaceNotes, two notes with the same number at
// the same time.
func (r *run) publishNotes(ctx context.Context, e Event) error {
	head, err := r.newestNote(ctx)
	if err != nil {
		return nil //nolint:nilerr // without a quorum no note can be published; awaitRecovery checks the accepted ones
	}
	publisherCount := 1
	if e.Fault == RaceNotes {
		publisherCount = 2
	}
	won := make([]bool, publisherCount)
	var wg sync.WaitGroup
	for i := range publisherCount {
		wg.Go(func() {
			c, err := r.fleet.Client(r.fleet.Controls[(e.Target+uint64(i))%uint64(len(r.fleet.Controls))], r.fleet.Controls[e.Target%uint64(len(r.fleet.Controls))])
			if err != nil {
				r.recordViolation("client: %v", err)
				return
			}
			defer c.Close()
			n, err := note.ParseNote([]byte(noteText(head+1, fmt.Sprintf("operator %d", i))))
			if err != nil {
				r.recordViolation("note: %v", err)
				return
			}
			err = r.sendCommand(ctx, func(ctx context.Context, op model.OperationID) (note.Result, error) { return c.Publish(ctx, op, n) })
			won[i] = err == nil
		})
	}
	wg.Wait()
	winners := 0
	for _, w := range won {
		if w {
			winners++
			r.recordAcknowledged(head + 1)
		}
	}
	if winners > 1 {
		return fmt.Errorf("%d operators got an acknowledgement for their note %d", winners, head+1)
	}
	return nil
}

// newestNote returns the number of the newest note. A confirmed read that shows an
// older note than one acknowledged before the read is a violation.
func (r *run) newestNote(ctx context.Context) (uint64, error) {
	before := r.lastAcknowledged()
	c, err := r.fleet.Client()
	if err != nil {
		return 0, err
	}
	defer c.Close()
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := c.Notes(requestCtx, 0, 1)
	if err != nil {
		return 0, err
	}
	if len(a.Notes) == 0 {
		return 0, errors.New("no note")
	}
	if got := a.Notes[0].Note.Number; got < before && a.Read.Confirmed {
		r.recordViolation("a confirmed read shows note %d, note %d was acknowledged before it", got, before)
	}
	return a.Notes[0].Note.Number, nil
}

// takeOutAndReturn takes a data centre out of service, checks that its backend servers
// get no new requests, and returns it to service.
func (j *injector) takeOutAndReturn(ctx context.Context, e Event) error {
	r := j.r
	dc := r.fleet.DataCentres[e.Target%uint64(len(r.fleet.DataCentres))]
	c, err := r.fleet.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	err = r.sendCommand(ctx, func(ctx context.Context, op model.OperationID) (note.Result, error) { return c.TakeOut(ctx, op, dc) })
	if err != nil {
		return nil //nolint:nilerr // another fault prevented the command; it was not acknowledged
	}
	time.Sleep(takeOutGrace)
	before, err := r.countRequests(dc)
	onlyFault := j.isOnlyFault() && err == nil
	time.Sleep(takeOutObservation)
	after, err := r.countRequests(dc)
	if onlyFault && j.isOnlyFault() && err == nil && after > before {
		r.recordViolation("%d requests reached %s from %s after it was taken out", after-before, dc, takeOutGrace)
	}
	// Retry after the end of the fault phase too: the data centre must not stay out of service.
	for range commandAttempts {
		if err = r.sendCommand(context.WithoutCancel(ctx), func(ctx context.Context, op model.OperationID) (note.Result, error) { return c.Return(ctx, op, dc) }); err == nil {
			return nil
		}
	}
	return fmt.Errorf("return of %s: %w", dc, err)
}

// countRequests returns the number of requests that the backend servers of a data centre
// have received.
func (r *run) countRequests(dc model.DataCentre) (int64, error) {
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
