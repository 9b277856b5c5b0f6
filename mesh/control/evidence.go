package control

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
)

// MethodEvidence is the stream on which a node learns the active moves and
// reports the outcomes of its calls.
const MethodEvidence = "control.evidence"

// EvidenceDown tells a node which services to report.
type EvidenceDown struct {
	Moves []rollout.Status `cbor:"1,keyasint"`
}

// EvidenceUp carries an encoded rollout.Report.
type EvidenceUp struct {
	Report []byte `cbor:"1,keyasint"`
}

// maxPendingReports bounds the reports that wait for the leader; the oldest are dropped.
const maxPendingReports = 16_384

// evidence holds the reports of the nodes of this control host until the
// leader takes them. One mutex guards it.
type evidence struct {
	mu      sync.Mutex
	reports []rollout.Report
}

func newEvidence() *evidence { return &evidence{} }

func (e *evidence) add(r rollout.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) >= maxPendingReports {
		e.reports = e.reports[1:]
	}
	e.reports = append(e.reports, r)
}

// take returns the pending reports and starts anew.
func (e *evidence) take() []rollout.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.reports
	e.reports = nil
	return out
}

// serveEvidence serves the evidence stream of one node.
func (c *Control) serveEvidence(ctx context.Context, st peer.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if err := c.sendMoves(ctx, st); err != nil {
			st.Abort()
		}
	}()
	for {
		var up EvidenceUp
		if err := st.Recv(&up); err != nil {
			return eris.Wrapf(ErrUnreachable, "evidence stream: %v", err)
		}
		r, err := rollout.DecodeReport(up.Report)
		if err != nil {
			return err
		}
		if r.Host != st.Peer().Host {
			return eris.Wrapf(ErrForbidden, "report of %s sent by %s", r.Host, st.Peer())
		}
		c.evidence.add(r)
	}
}

// sendMoves sends the active moves at the start and after each change of them.
func (c *Control) sendMoves(ctx context.Context, st peer.Stream) error {
	sent := map[rollout.MoveID]uint64{}
	first := true
	for {
		changed := c.machine.Changed()
		moves := c.activeMoves()
		if first || differ(sent, moves) {
			if err := st.Send(EvidenceDown{Moves: moves}); err != nil {
				return err
			}
			first = false
			clear(sent)
			for _, m := range moves {
				sent[m.Move.ID] = m.Sequence
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func differ(sent map[rollout.MoveID]uint64, moves []rollout.Status) bool {
	if len(sent) != len(moves) {
		return true
	}
	for _, m := range moves {
		if seq, ok := sent[m.Move.ID]; !ok || seq != m.Sequence {
			return true
		}
	}
	return false
}

// activeMoves returns the active moves without their history.
func (c *Control) activeMoves() []rollout.Status {
	var moves []rollout.Status
	c.machine.View(func(_ *note.State, r *rollout.State) { moves = r.Active() })
	for i := range moves {
		moves[i].Steps = nil
	}
	return moves
}
