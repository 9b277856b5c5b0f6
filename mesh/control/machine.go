package control

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/rollout"
)

// ConfigMachine is the state machine of group 0. It holds the notes, the data
// centres, the moves and the addresses of the control hosts. It implements
// replog.StateMachine and is deterministic. A separate goroutine publishes
// changes of the configuration to the store; see publishChanges.
type ConfigMachine struct {
	epoch uint64
	store *distribute.Store
	log   *slog.Logger

	// mu guards the fields below.
	mu       sync.Mutex
	notes    *note.State
	rollouts *rollout.State
	hosts    map[model.HostID]HostAddress
	changed  chan struct{}
	// publishPending holds a token while a change of the configuration waits to
	// be published.
	publishPending chan struct{}
}

// NewConfigMachine returns an empty state machine.
func NewConfigMachine(epoch uint64, store *distribute.Store, log *slog.Logger) *ConfigMachine {
	return &ConfigMachine{
		epoch: epoch, store: store, log: log, notes: note.NewState(), rollouts: rollout.NewState(),
		hosts: map[model.HostID]HostAddress{}, changed: make(chan struct{}), publishPending: make(chan struct{}, 1),
	}
}

// Apply implements replog.StateMachine. It returns a note.Result or a
// rollout.Result, an error for a malformed entry, or nil.
func (m *ConfigMachine) Apply(e replog.Entry) any {
	if e.Kind != replog.EntryCommand {
		return nil
	}
	var c command
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		m.log.Error("malformed log entry ignored", "index", e.Index, "reason", err.Error())
		return eris.Wrapf(ErrCorrupt, "entry %d: %v", e.Index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.notifyChanged()
	switch {
	case c.Note != nil:
		return m.applyNote(c.Note, e.Index)
	case c.Rollout != nil:
		return m.applyRollout(c.Rollout, e.Index)
	case c.Host != nil:
		m.hosts[c.Host.Host] = *c.Host
	}
	return nil
}

func (m *ConfigMachine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *ConfigMachine) applyNote(data []byte, index uint64) any {
	c, err := note.DecodeCommand(data)
	if err != nil {
		return eris.Wrapf(ErrCorrupt, "entry %d: %v", index, err)
	}
	r := m.notes.Apply(c, model.Position{Epoch: m.epoch, Index: index})
	m.log.Info("note command applied", "index", index, "operator", string(c.Operator), "operation", string(c.Operation),
		"code", string(r.Code), "changed", r.Changed, "message", r.Message)
	if r.Code == note.CodeOK && (c.Publish != nil || c.Amend != nil || c.Withdraw != nil) {
		m.logMoves(r.Number)
		m.syncRollouts(rollout.InstantOf(c.Time), index)
	}
	if r.Changed {
		m.requestPublish()
	}
	return r
}

// logMoves logs the moves of a note with the shares that they start from. A move
// from no shares names the first version of its service and starts no rollout.
func (m *ConfigMachine) logMoves(number uint64) {
	for _, mv := range m.notes.Moves() {
		if mv.Note == number {
			m.log.Info("move recorded", "note", number, "service", string(mv.Move.Service), "to", string(mv.Move.To),
				"from", mv.From, "first_version", mv.IsFirstVersion(), "withdrawn", mv.Withdrawn)
		}
	}
}

// syncRollouts starts a rollout for each open move and withdraws the rollouts
// of withdrawn moves. A move that names the first version of a service needs no
// rollout.
func (m *ConfigMachine) syncRollouts(now rollout.Instant, index uint64) {
	for _, mv := range m.notes.Moves() {
		id := rollout.MoveID{Note: mv.Note, Service: mv.Move.Service}
		switch {
		case mv.IsFirstVersion():
		case mv.Withdrawn:
			m.rollouts.Apply(rollout.Command{Op: rollout.OpWithdraw, Move: rollout.Move{ID: id}, Time: now,
				Reason: "withdrawn by an operator"}, index)
		case mv.Open():
			m.rollouts.Apply(rollout.Command{Op: rollout.OpStart, Time: now, From: largestShareVersion(mv.From), Move: rollout.Move{
				ID: id, Revision: mv.Revision, To: mv.Move.To, By: rollout.InstantOf(mv.Move.By), WatchFor: mv.Move.WatchFor,
			}}, index)
		}
	}
}

// largestShareVersion returns the version with the largest share, the first by
// name among equal shares; empty if there are no shares.
func largestShareVersion(shares note.Shares) model.ServiceVersion {
	versions := make([]model.ServiceVersion, 0, len(shares))
	for v := range shares {
		versions = append(versions, v)
	}
	if len(versions) == 0 {
		return ""
	}
	return slices.MinFunc(versions, func(a, b model.ServiceVersion) int {
		if c := cmp.Compare(shares[b], shares[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

func (m *ConfigMachine) applyRollout(data []byte, index uint64) any {
	c, err := rollout.DecodeCommand(data)
	if err != nil {
		return eris.Wrapf(ErrCorrupt, "entry %d: %v", index, err)
	}
	r := m.rollouts.Apply(c, index)
	m.log.Info("rollout command applied", "index", index, "op", c.Op.String(), "service", string(c.Move.ID.Service),
		"note", c.Move.ID.Note, "outcome", r.Outcome.String(), "phase", r.Status.Phase.String(),
		"share", uint32(r.Status.Share), "reason", c.Reason)
	return r
}

func (m *ConfigMachine) requestPublish() {
	select {
	case m.publishPending <- struct{}{}:
	default:
	}
}

// minPublishInterval is the minimum time between two publications. Publishing
// compares the whole configuration, which takes 4 ms at 1,500 services, so that
// a burst of 500 changes/s must be merged. A single change is published at
// once.
const minPublishInterval = 25 * time.Millisecond

// publishChanges publishes the configuration to the store after each change,
// merging changes within minPublishInterval, until ctx ends.
func (m *ConfigMachine) publishChanges(ctx context.Context) error {
	for {
		select {
		case <-m.publishPending:
			m.publish()
		case <-ctx.Done():
			return ctx.Err()
		}
		sleep(ctx, minPublishInterval)
	}
}

func (m *ConfigMachine) publish() {
	m.mu.Lock()
	pos, cfg := m.notes.Position(), m.notes.Config()
	m.mu.Unlock()
	if err := m.store.Publish(pos, cfg); err != nil {
		m.log.Debug("configuration not published", "position", pos.String(), "reason", err.Error())
	}
}

// Position returns the position of the newest accepted change.
func (m *ConfigMachine) Position() model.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.notes.Position()
}

// Snapshot implements replog.StateMachine.
func (m *ConfigMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	notes, err := m.notes.Snapshot()
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "notes: %v", err)
	}
	moves, err := m.rollouts.Snapshot()
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "rollouts: %v", err)
	}
	s := configSnapshot{Notes: notes, Rollouts: moves}
	for _, h := range m.hosts {
		s.Hosts = append(s.Hosts, h)
	}
	slices.SortFunc(s.Hosts, func(a, b HostAddress) int { return cmp.Compare(a.Host, b.Host) })
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "snapshot: %v", err)
	}
	return b, nil
}

// Restore implements replog.StateMachine. On an error the state is unchanged.
func (m *ConfigMachine) Restore(data []byte) error {
	var s configSnapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return eris.Wrapf(ErrCorrupt, "snapshot: %v", err)
	}
	notes, moves := note.NewState(), rollout.NewState()
	if err := notes.Restore(s.Notes); err != nil {
		return eris.Wrapf(ErrCorrupt, "snapshot, notes: %v", err)
	}
	if err := moves.Restore(s.Rollouts); err != nil {
		return eris.Wrapf(ErrCorrupt, "snapshot, rollouts: %v", err)
	}
	hosts := map[model.HostID]HostAddress{}
	for _, h := range s.Hosts {
		hosts[h.Host] = h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notes, m.rollouts, m.hosts = notes, moves, hosts
	m.log.Info("configuration restored from a snapshot", "position", notes.Position().String(), "note", notes.Head(),
		"services", len(notes.Config().Services), "without_shares", servicesWithoutShares(notes.Config()), "hosts", len(hosts))
	if !notes.Position().IsZero() {
		m.requestPublish()
	}
	m.notifyChanged()
	return nil
}

// servicesWithoutShares returns the services that no version receives calls of, in order.
func servicesWithoutShares(c note.Config) []model.ServiceName {
	var out []model.ServiceName
	for name := range c.Services {
		if len(c.Shares[name]) == 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Host returns the replicated address of a control host.
func (m *ConfigMachine) Host(id model.HostID) (HostAddress, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.hosts[id]
	return h, ok
}

// View calls f with the notes and rollouts while it holds the lock. f must not
// retain or change them.
func (m *ConfigMachine) View(f func(*note.State, *rollout.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.notes, m.rollouts)
}

// Changed returns a channel that is closed when the next entry has been applied
// or a snapshot has been restored.
func (m *ConfigMachine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
