package distribute

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// AdmissionConfig bounds what one process does for its children.
type AdmissionConfig struct {
	// Children bounds the streams. More children make the tree flatter and cost
	// the parent more bytes.
	Children int
	// PerDataCentre bounds the streams to planned children of one data centre. On
	// the source it keeps the cost independent of the fleet.
	PerDataCentre int
	// Spare bounds the streams to other children of one data centre. They are for
	// nodes that find no planned parent. More of them let a starting fleet attach
	// faster and leave less room for the planned children, which come later.
	Spare int
	// Snapshots bounds the concurrent transfers. More finish a herd sooner and
	// delay the deltas of the other children.
	Snapshots int
	// RetryAfter is the mean delay that a refused child is told. A longer one
	// spreads a herd and delays its recovery.
	RetryAfter time.Duration
}

// Defaults of AdmissionConfig.
const (
	MaxChildren         = 8
	NodeUnplanned       = 3
	SourceChildren      = 96
	SourcePerDataCentre = 2 * DefaultFirstLevel
	SourceUnplanned     = 2
	maxSnapshots        = 4
	defaultRetryAfter   = 500 * time.Millisecond
)

// NodeAdmission is the configuration of a node.
func NodeAdmission() AdmissionConfig {
	return AdmissionConfig{Children: MaxChildren, PerDataCentre: MaxChildren, Spare: NodeUnplanned,
		Snapshots: maxSnapshots, RetryAfter: defaultRetryAfter}
}

// SourceAdmission is the configuration of a control host.
func SourceAdmission() AdmissionConfig {
	return AdmissionConfig{Children: SourceChildren, PerDataCentre: SourcePerDataCentre, Spare: SourceUnplanned,
		Snapshots: maxSnapshots, RetryAfter: defaultRetryAfter}
}

// Admission counts the children and snapshot transfers of one process. One
// mutex guards it.
type Admission struct {
	cfg AdmissionConfig

	mu             sync.Mutex
	children       int
	perClass       map[childClass]int
	snapshots      int
	refused        uint64
	plannedRefused chan struct{}
	drainWindow    time.Duration
	draining       chan struct{}
	stopping       bool
}

// childClass is a group of children with a bound of its own.
type childClass struct {
	dc      model.DataCentre
	planned bool
}

// NewAdmission returns an admission without children.
func NewAdmission(cfg AdmissionConfig) *Admission {
	return &Admission{cfg: cfg, perClass: map[childClass]int{}, draining: make(chan struct{}),
		plannedRefused: make(chan struct{})}
}

// Admit takes a child or says why not. planned marks a child that the tree
// gives to this parent. The caller calls Release with the same arguments when
// the stream ends.
func (a *Admission) Admit(dc model.DataCentre, planned bool) (reason string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.cfg.PerDataCentre
	if !planned {
		limit = a.cfg.Spare
	}
	c := childClass{dc, planned}
	switch {
	case a.stopping:
		reason = "stopping"
	case a.children >= a.cfg.Children:
		reason = "all children slots taken"
	case a.perClass[c] >= limit:
		reason = "all slots for such children of the data centre taken"
	default:
		a.children++
		a.perClass[c]++
		return "", true
	}
	a.refused++
	if planned && !a.stopping {
		close(a.plannedRefused)
		a.plannedRefused = make(chan struct{})
	}
	return reason, false
}

// PlannedRefused returns a channel that is closed when a planned child is refused,
// so that children which do not belong here make room. When a fleet starts,
// the first nodes attach before the others are known and take their places.
func (a *Admission) PlannedRefused() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.plannedRefused
}

// Release ends the admission of a child.
func (a *Admission) Release(dc model.DataCentre, planned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.children--
	c := childClass{dc, planned}
	if a.perClass[c]--; a.perClass[c] == 0 {
		delete(a.perClass, c)
	}
}

// BeginSnapshot takes one of the transfer slots.
func (a *Admission) BeginSnapshot() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshots >= a.cfg.Snapshots {
		return false
	}
	a.snapshots++
	return true
}

// EndSnapshot returns a transfer slot.
func (a *Admission) EndSnapshot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshots--
}

// RetryAfter returns the delay to tell a refused child, between half and one
// and a half of the configured one, so that refused children do not return together.
func (a *Admission) RetryAfter() time.Duration {
	return a.cfg.RetryAfter/2 + rand.N(a.cfg.RetryAfter+1)
}

// Drain starts a planned stop: no child is admitted, and the present ones are
// asked to reconnect elsewhere at times spread over within.
func (a *Admission) Drain(window time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopping {
		return
	}
	a.stopping, a.drainWindow = true, window
	close(a.draining)
}

// Draining returns a channel that is closed when Drain is called.
func (a *Admission) Draining() <-chan struct{} { return a.draining }

// handoffDelay returns the time after which one child should reconnect.
func (a *Admission) handoffDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return rand.N(a.drainWindow + 1)
}

// Children returns the number of admitted children.
func (a *Admission) Children() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.children
}
