package rollout

import (
	"log/slog"
	"time"

	"balsamtrail.org/mesh/model"
)

const (
	// reportMaxAge is how long a sender's nodes count as reporting after its last report.
	reportMaxAge = 3 * time.Second
	// senderMaxAge is how long a sender's last sequence number is kept to drop repeated reports.
	senderMaxAge = 5 * time.Minute
)

// Leader turns reports into commands on the host that leads group 0. It has no durable
// state: a new leader starts without evidence and holds each share until it has gathered
// its own. It is owned by one goroutine.
type Leader struct {
	log      *slog.Logger
	evidence map[model.ServiceName]*moveEvidence
	senders  map[model.HostID]senderState
	// loggedReasons is the last logged reason of each move.
	loggedReasons map[MoveID]string
}

// moveEvidence is the evidence of a move since its acceptance; a restarted move begins without any.
type moveEvidence struct {
	id       MoveID
	accepted Instant
	*Evidence
}

// senderState is the last report of a host, kept to drop repeats and to count the reporting nodes.
type senderState struct {
	incarnation, sequence uint64
	at                    time.Time
	nodes                 uint32
}

// NewLeader returns a leader without evidence. Without a log it discards its log lines.
func NewLeader(log *slog.Logger) *Leader {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &Leader{log: log, evidence: map[model.ServiceName]*moveEvidence{}, senders: map[model.HostID]senderState{}, loggedReasons: map[MoveID]string{}}
}

// Report counts a report. It returns false if the report was counted before or if its
// counters are inconsistent. The caller must have checked the report's host against the
// sender's certificate.
func (l *Leader) Report(now time.Time, r Report) bool {
	if err := r.check(); err != nil {
		l.log.Warn("rollout report refused", "host", string(r.Host), "reason", err.Error())
		return false
	}
	old, ok := l.senders[r.Host]
	if ok && (r.Incarnation < old.incarnation || r.Incarnation == old.incarnation && r.Sequence <= old.sequence) {
		return false
	}
	l.senders[r.Host] = senderState{r.Incarnation, r.Sequence, now, r.Nodes}
	for _, c := range r.Cells {
		if e := l.evidence[c.Key.Service]; e != nil {
			e.Add(c)
		}
	}
	return true
}

// Tick decides on every active move. nodes is the number of live nodes and capacity returns
// the capacity of a service. The commands are to be proposed in order.
func (l *Leader) Tick(now time.Time, active []Status, nodes uint32, capacity func(model.ServiceName) Capacity) []Command {
	reported := l.reportingNodes(now)
	activeServices := map[model.ServiceName]bool{}
	var out []Command
	for _, st := range active {
		activeServices[st.Move.ID.Service] = true
		e := l.evidenceFor(now, st)
		e.SetCoverage(nodes, reported)
		e.CloseIfDue(now)
		e.SetShare(now, st.Share)
		step := Decide(now, st, e, capacity(st.Move.ID.Service))
		l.logDecision(st, step)
		if c, ok := step.Command(now, st); ok {
			out = append(out, c)
		}
	}
	for s, e := range l.evidence {
		if !activeServices[s] {
			delete(l.evidence, s)
			delete(l.loggedReasons, e.id)
		}
	}
	return out
}

// evidenceFor returns the evidence of a move, which starts empty when the move, one of its versions or its acceptance changes.
func (l *Leader) evidenceFor(now time.Time, st Status) *Evidence {
	t := l.evidence[st.Move.ID.Service]
	if t == nil || t.id != st.Move.ID || t.accepted != st.Accepted || t.to != st.Move.To || t.from != st.From {
		t = &moveEvidence{id: st.Move.ID, accepted: st.Accepted, Evidence: NewEvidence(now, st)}
		l.evidence[st.Move.ID.Service] = t
	}
	return t.Evidence
}

// reportingNodes is the number of nodes that reported within reportMaxAge.
func (l *Leader) reportingNodes(now time.Time) (n uint32) {
	for host, s := range l.senders {
		switch age := now.Sub(s.at); {
		case age <= reportMaxAge:
			n += s.nodes
		case age > senderMaxAge:
			delete(l.senders, host)
		}
	}
	return n
}

// logDecision logs each command, and a hold only when its reason changes.
func (l *Leader) logDecision(st Status, step Step) {
	if step.Op == 0 && l.loggedReasons[st.Move.ID] == step.Reason {
		return
	}
	l.loggedReasons[st.Move.ID] = step.Reason
	op := "hold"
	if step.Op != 0 {
		op = step.Op.String()
	}
	l.log.Info("rollout decision", "note", st.Move.ID.Note, "service", string(st.Move.ID.Service), "version", string(st.Move.To),
		"decision", op, "from_share", st.Share, "share", step.Share, "reason", step.Reason,
		"calls", step.Summary.New.Calls, "errors", step.Summary.New.Errors, "at_risk", step.AtRisk)
}
