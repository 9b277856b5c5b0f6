package control

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
)

// maxLoadAge is how long the load of a backend server is used after its report.
const maxLoadAge = 3 * time.Second

// versionKey identifies one version of one service.
type versionKey struct {
	service model.ServiceName
	version model.ServiceVersion
}

type nodeLoad struct {
	load       rollout.Load
	receivedAt time.Time
}

// reportNumber identifies the newest report that was merged from one node.
type reportNumber struct{ incarnation, sequence uint64 }

// evidence merges the rollout reports that nodes send to this control host
// until the leader takes them. With it, the work of the leader grows with the
// number of control hosts and not with the number of nodes. One mutex guards
// all fields.
type evidence struct {
	mu            sync.Mutex
	merged        rollout.Report
	newestReports map[model.HostID]reportNumber
	loads         map[model.HostID]nodeLoad
}

func newEvidence(self model.HostID, incarnation uint64) *evidence {
	return &evidence{
		merged:        rollout.Report{Host: self, Incarnation: incarnation},
		newestReports: map[model.HostID]reportNumber{}, loads: map[model.HostID]nodeLoad{},
	}
}

// add stores the load of a node and merges its report, unless the same or a
// newer report of the node has been merged.
func (e *evidence) add(now time.Time, r rollout.Report, load rollout.Load) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads[r.Host] = nodeLoad{load: load, receivedAt: now}
	old := e.newestReports[r.Host]
	if r.Incarnation < old.incarnation || r.Incarnation == old.incarnation && r.Sequence <= old.sequence {
		return
	}
	e.newestReports[r.Host] = reportNumber{incarnation: r.Incarnation, sequence: r.Sequence}
	e.merged.Merge(r)
}

// takeReport returns the merged report and starts a new one. The report counts
// the nodes whose last report is at most maxLoadAge old, not those that
// reported since the last call, because the leader asks more often than nodes
// report.
func (e *evidence) takeReport(now time.Time) rollout.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merged.Sequence++
	out := e.merged
	out.Nodes = 0
	for _, l := range e.loads {
		if now.Sub(l.receivedAt) <= maxLoadAge {
			out.Nodes++
		}
	}
	e.merged.Cells = nil
	return out
}

// loadsByVersion sums up the loads of each version and drops loads older than
// maxLoadAge.
func (e *evidence) loadsByVersion(now time.Time) []rollout.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := map[versionKey]rollout.Load{}
	for host, l := range e.loads {
		if now.Sub(l.receivedAt) > maxLoadAge {
			delete(e.loads, host)
			continue
		}
		k := versionKey{l.load.Service, l.load.Version}
		if old, ok := sum[k]; ok {
			sum[k] = old.Add(l.load)
			continue
		}
		sum[k] = l.load
	}
	out := make([]rollout.Load, 0, len(sum))
	for _, l := range sum {
		out = append(out, l)
	}
	return out
}

// serveEvidence receives the reports of one node and sends it the active moves.
func (c *Control) serveEvidence(ctx context.Context, st peer.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if err := c.sendMoves(ctx, st); err != nil {
			st.Abort()
		}
	}()
	for {
		var up rollout.EvidenceUp
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
		c.evidence.add(time.Now(), r, up.Load)
	}
}

// sendMoves sends the active moves when the stream opens and whenever they
// change.
func (c *Control) sendMoves(ctx context.Context, st peer.Stream) error {
	sent := map[rollout.MoveID]uint64{}
	first := true
	for {
		changed := c.machine.Changed()
		moves := c.activeMoves()
		if first || movesChanged(sent, moves) {
			if err := st.Send(rollout.EvidenceDown{Moves: moves}); err != nil {
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

// movesChanged reports whether the moves differ from those that were sent last,
// given as sequences by move.
func movesChanged(sent map[rollout.MoveID]uint64, moves []rollout.Status) bool {
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

// activeMoves returns the active moves without their past steps.
func (c *Control) activeMoves() []rollout.Status {
	var moves []rollout.Status
	c.machine.View(func(_ *note.State, r *rollout.State) { moves = r.Active() })
	for i := range moves {
		moves[i].Steps = nil
	}
	return moves
}
