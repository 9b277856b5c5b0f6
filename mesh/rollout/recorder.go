package rollout

import (
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/telemetry"
)

// Observation describes one attempt at sending a call to a backend server.
type Observation struct {
	Service    model.ServiceName
	Version    model.ServiceVersion
	Route      model.RouteName
	Kind       model.Kind
	DataCentre model.DataCentre // of the backend server
	// ServerAge is the time since the backend server's incarnation was first seen.
	ServerAge time.Duration
	// ColdTime is how long a backend server of the service counts as cold after its start; 0 stands for DefaultColdTime.
	ColdTime time.Duration
	Outcome  CallOutcome
	Latency  time.Duration
}

// cold reports whether the backend server counts as cold.
func (o Observation) cold() bool {
	if o.ColdTime > 0 {
		return o.ServerAge < o.ColdTime
	}
	return o.ServerAge < DefaultColdTime
}

// maxRecorderCells limits a recorder's memory to about 2.5 MB.
const maxRecorderCells = 8192

// Recorder counts the calls that a node sends. Only services with an active move are
// counted; for other services a call costs one map lookup. A mutex guards it.
type Recorder struct {
	mu          sync.Mutex
	host        model.HostID
	incarnation uint64
	sequence    uint64
	watched     map[model.ServiceName]bool
	cells       map[Key]*Counts
	// localStop sees every recorded call.
	localStop *LocalStop
}

// NewRecorder returns the recorder of one incarnation of a node.
func NewRecorder(host model.HostID, incarnation uint64) *Recorder {
	return &Recorder{host: host, incarnation: incarnation, watched: map[model.ServiceName]bool{}, cells: map[Key]*Counts{}, localStop: newLocalStop()}
}

// Watch sets the active moves. The counters of other services are dropped, and the local
// stop of a version ends with its move.
func (r *Recorder) Watch(moves []Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.watched)
	targets := map[model.ServiceName]Status{}
	for _, st := range moves {
		r.watched[st.Move.ID.Service] = true
		targets[st.Move.ID.Service] = st
	}
	for k := range r.cells {
		if !r.watched[k.Service] {
			delete(r.cells, k)
		}
	}
	r.localStop.watch(targets)
}

// Record counts one attempt.
func (r *Recorder) Record(now time.Time, o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.watched[o.Service] {
		return
	}
	k := Key{Service: o.Service, Version: o.Version, Route: o.Route, Kind: o.Kind, DataCentre: o.DataCentre, Cold: o.cold()}
	c, ok := r.cells[k]
	if !ok {
		if len(r.cells) >= maxRecorderCells {
			telemetry.Counter("rollout.recorder-full").Inc(1)
			return
		}
		c = &Counts{}
		r.cells[k] = c
	}
	c.count(o)
	r.localStop.observe(now, o)
}

func (c *Counts) count(o Observation) {
	switch o.Outcome {
	case CallRefused:
		c.Refused++
		return
	case CallUnreachable:
		c.Unreachable++
		return
	case CallError:
		c.Errors++
	}
	c.Calls++
	c.Latency[LatencyBucketOf(o.Latency)]++
}

// Flush returns the counters since the last call of Flush and resets them.
func (r *Recorder) Flush() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	out := Report{Host: r.host, Incarnation: r.incarnation, Sequence: r.sequence, Nodes: 1}
	for k, c := range r.cells {
		out.Cells = append(out.Cells, Cell{Key: k, Counts: *c})
	}
	slices.SortFunc(out.Cells, func(a, b Cell) int { return a.Key.compare(b.Key) })
	clear(r.cells)
	return out
}

// Stopped reports whether the local stop keeps this node from sending calls to the version.
func (r *Recorder) Stopped(now time.Time, service model.ServiceName, version model.ServiceVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.localStop.stopped(now, service, version)
}
