package distribute

import (
	"math/rand/v2"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// AdmissionConfig bounds the children and snapshot transfers of one process.
type AdmissionConfig struct {
	// Children bounds the child streams. More children make the tree flatter
	// and cost the parent more bandwidth.
	Children int
	// PerDataCentre bounds the planned children of one data centre: the nodes
	// that the tree assigns to this process. On the source it keeps the load
	// independent of the size of the fleet.
	PerDataCentre int
	// UnplannedPerDataCentre bounds the unplanned children of one data centre: nodes that the
	// tree assigns to other parents, but that could attach to none of them. A
	// higher limit lets a starting fleet attach faster and leaves fewer slots
	// for the planned children, which come later.
	UnplannedPerDataCentre int
	// Snapshots bounds the concurrent snapshot transfers. More transfers serve
	// a thundering herd sooner and delay the deltas of the other children.
	Snapshots int
	// RetryAfter is the mean delay after which a refused child is told to
	// retry. A longer delay spreads a thundering herd further and delays its
	// recovery.
	RetryAfter time.Duration
}

// Defaults of AdmissionConfig.
const (
	// MaxChildren is the number of children of a node.
	MaxChildren = 8
	// NodeUnplannedChildren is the number of unplanned children per data centre
	// at a node.
	NodeUnplannedChildren = 3
	// SourceChildren is the number of children of a control host.
	SourceChildren = 96
	// SourcePerDataCentre is the number of planned children per data centre at
	// a control host.
	SourcePerDataCentre = 2 * DefaultFirstLevel
	// SourceUnplannedChildren is the number of unplanned children per data
	// centre at a control host.
	SourceUnplannedChildren = 2
	// maxSnapshots is the number of concurrent snapshot transfers of a process.
	maxSnapshots = 4
	// defaultRetryAfter is the mean delay after which a refused child is told
	// to retry.
	defaultRetryAfter = 500 * time.Millisecond
)

// NodeAdmission returns the default limits of a node.
func NodeAdmission() AdmissionConfig {
	return AdmissionConfig{Children: MaxChildren, PerDataCentre: MaxChildren, UnplannedPerDataCentre: NodeUnplannedChildren,
		Snapshots: maxSnapshots, RetryAfter: defaultRetryAfter}
}

// SourceAdmission returns the default limits of a control host.
func SourceAdmission() AdmissionConfig {
	return AdmissionConfig{Children: SourceChildren, PerDataCentre: SourcePerDataCentre, UnplannedPerDataCentre: SourceUnplannedChildren,
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

// childClass groups the children that share a limit: the planned or the
// unplanned ones of a data centre.
type childClass struct {
	dc      model.DataCentre
	planned bool
}

// NewAdmission returns an Admission without children.
func NewAdmission(cfg AdmissionConfig) *Admission {
	return &Admission{cfg: cfg, perClass: map[childClass]int{}, draining: make(chan struct{}),
		plannedRefused: make(chan struct{})}
}

// Admit admits a child or returns the reason for refusing it. planned says that
// the tree assigns the child to this process. The caller must call Release with
// the same arguments when the stream ends.
func (a *Admission) Admit(dc model.DataCentre, planned bool) (reason string, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.cfg.PerDataCentre
	if !planned {
		limit = a.cfg.UnplannedPerDataCentre
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

// PlannedRefused returns a channel that is closed when a planned child is
// refused, so that unplanned children can make room. When a fleet starts, the
// first nodes attach before they know the others and take slots that the tree
// assigns to these.
func (a *Admission) PlannedRefused() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.plannedRefused
}

// Release frees the slot of an admitted child.
func (a *Admission) Release(dc model.DataCentre, planned bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.children--
	c := childClass{dc, planned}
	if a.perClass[c]--; a.perClass[c] == 0 {
		delete(a.perClass, c)
	}
}

// BeginSnapshot takes a snapshot transfer slot and reports whether one was
// free.
func (a *Admission) BeginSnapshot() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshots >= a.cfg.Snapshots {
		return false
	}
	a.snapshots++
	return true
}

// EndSnapshot frees a snapshot transfer slot.
func (a *Admission) EndSnapshot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.snapshots--
}

// RetryAfter returns the delay after which a refused child is told to retry. It
// is random, from half to one and a half times the configured delay, so that
// refused children do not return at the same time.
func (a *Admission) RetryAfter() time.Duration {
	return a.cfg.RetryAfter/2 + rand.N(a.cfg.RetryAfter+1)
}

// Drain starts a planned stop: no more children are admitted, and each current
// child is asked to switch to another parent after a random delay of up to
// window.
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

// handoffDelay returns the random delay after which one child is asked to
// switch to another parent.
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
