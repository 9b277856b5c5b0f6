package faults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
)

// publishers is the number of operators that publish a note at the same time.
const publishers = 20

// racePublishers publishes different notes with the same number at the same time, once
// with all control hosts up and once while the leader is killed. Then it resends a
// command whose answer was lost.
func racePublishers(e *env) error {
	if err := e.startMesh(ledgerDataCentres, allDataCentres); err != nil {
		return err
	}
	undisturbed, err := e.race(2, false)
	if err != nil {
		return err
	}
	killed, err := e.race(3, true)
	if err != nil {
		return err
	}
	lost, err := e.lostAnswer(4)
	if err != nil {
		return err
	}
	e.addFigure("%d publishers: one winner and %d conflicts in %s, the same with the leader killed in %s", publishers,
		publishers-1, seconds(undisturbed), seconds(killed))
	e.addFigure("resend after a lost answer got the first result after %s", seconds(lost))
	return nil
}

// attempt is the note of one publisher and the answer it got.
type attempt struct {
	title     string
	operation model.OperationID
	result    note.Result
	err       error
}

// race publishes notes with the same number from many operators at the same time, and
// kills the leader meanwhile if kill is set. It returns the time until all are answered.
func (e *env) race(number int, kill bool) (time.Duration, error) {
	attempts := make([]attempt, publishers)
	begin := make(chan struct{})
	var wg sync.WaitGroup
	for i := range attempts {
		c, err := e.client(e.Controls[i%len(e.Controls)], e.Controls[(i+1)%len(e.Controls)], e.Controls[(i+2)%len(e.Controls)])
		if err != nil {
			return 0, err
		}
		wg.Go(func() {
			a := &attempts[i]
			a.title, a.operation = fmt.Sprintf("publisher %d", i), operator.NewOperationID()
			<-begin
			a.result, a.err = e.publish(c, a.operation, smallNote(number, a.title))
		})
	}
	leader, err := e.Leader()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	close(begin)
	if kill {
		leader.Kill()
	}
	wg.Wait()
	took := time.Since(began)
	if kill {
		if err := leader.Start(); err != nil {
			return 0, err
		}
	}
	return took, e.checkOneWinner(number, attempts)
}

// checkOneWinner checks that exactly one publisher succeeded and that all others got a
// conflict that names the accepted note.
func (e *env) checkOneWinner(number int, attempts []attempt) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	shown, err := c.Note(e.ctx, uint64(number))
	if err != nil {
		return err
	}
	winners := 0
	for _, a := range attempts {
		if a.err == nil {
			winners++
			if shown.Note.Note.Title != a.title {
				return fmt.Errorf("%q got an acknowledgement, but note %d is %q", a.title, number, shown.Note.Note.Title)
			}
			continue
		}
		var refusal *operator.Error
		if !errors.As(a.err, &refusal) || !errors.Is(a.err, operator.ErrConflict) || refusal.Winner == nil {
			return fmt.Errorf("%q got %w, want a conflict with the winner", a.title, a.err)
		}
		if refusal.Winner.Title != shown.Note.Note.Title || refusal.Winner.Number != uint64(number) {
			return fmt.Errorf("%q was shown winner %+v, note %d is %q", a.title, refusal.Winner, number, shown.Note.Note.Title)
		}
	}
	if winners != 1 {
		return fmt.Errorf("%d publishers of note %d won", winners, number)
	}
	return nil
}

// lostAnswer sends a command, closes the connection before the answer arrives, and
// resends the command with the same operation id through each control host. All
// must return the result of the first execution, which is audited once.
func (e *env) lostAnswer(number int) (time.Duration, error) {
	op := operator.NewOperationID()
	text := smallNote(number, "answer lost")
	if err := e.sendAndDrop(op, text); err != nil {
		return 0, err
	}
	began := time.Now()
	var first note.Result
	var took time.Duration
	for i, h := range e.Controls {
		c, err := e.client(h)
		if err != nil {
			return 0, err
		}
		r, err := e.publish(c, op, text)
		if err != nil {
			return 0, fmt.Errorf("resend through %s: %w", h.Host, err)
		}
		if i == 0 {
			first, took = r, time.Since(began)
		}
		if r.Position != first.Position || r.Number != uint64(number) || r.Revision != 1 {
			return 0, fmt.Errorf("resend through %s got %+v, the first result was %+v", h.Host, r, first)
		}
	}
	return took, e.checkAuditedOnce(op)
}

// sendAndDrop sends a publish request and closes the connection as soon as the request
// is written.
func (e *env) sendAndDrop(op model.OperationID, text string) error {
	client, err := e.operatorHTTPClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+e.Controls[0].OperatorAddress+"/v1/notes", strings.NewReader(text))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Operation-Id", string(op))
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
		return errors.New("the answer came before the connection was closed")
	}
	return nil
}

// checkAuditedOnce checks that a command left exactly one audit record.
func (e *env) checkAuditedOnce(op model.OperationID) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	a, err := c.Audit(e.ctx, 0, 1000)
	if err != nil {
		return err
	}
	n := 0
	for _, r := range a.Records {
		if r.Operation == op {
			n++
		}
	}
	if n != 1 {
		return fmt.Errorf("%d audit records of the resent command", n)
	}
	return nil
}
