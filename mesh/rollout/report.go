package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// CallOutcome is how one attempt at sending a call ended, as seen by the node that sent it.
type CallOutcome uint8

// The outcomes of an attempt.
const (
	CallOK CallOutcome = iota + 1
	// CallError is an answer that reports a failure, a timeout, or a connection that broke after the request was sent.
	CallError
	// CallRefused is a typed "not run" answer: a full queue, the cold-start limit or a drain. It does not count as an error of the version.
	CallRefused
	// CallUnreachable is an attempt that could not connect, for example to a lost host or data centre. It does not count as an error of the version.
	CallUnreachable
)

// LatencyBuckets is the number of latency buckets; the last one has no upper bound.
const LatencyBuckets = 24

// DefaultColdTime is the age up to which a backend server counts as cold. Errors of cold
// servers are tested separately with a wider margin; their latency is not tested.
const DefaultColdTime = 10 * time.Second

// latencyBounds are the upper bounds of the latency buckets: from 0.25 ms, growing by a
// factor of 1.5, so that the last bound is 1.9 s.
var latencyBounds = func() (b [LatencyBuckets - 1]time.Duration) {
	d := 250 * time.Microsecond
	for i := range b {
		b[i] = d
		d = d * 3 / 2
	}
	return b
}()

// LatencyBucketOf returns the latency bucket of d.
func LatencyBucketOf(d time.Duration) int {
	i, _ := slices.BinarySearch(latencyBounds[:], d)
	return i
}

// Key identifies one counter cell. The data centre is that of the backend server, so that
// the loss of a data centre does not look like a fault of the version with more servers there.
type Key struct {
	Service    model.ServiceName    `cbor:"1,keyasint"`
	Version    model.ServiceVersion `cbor:"2,keyasint"`
	Route      model.RouteName      `cbor:"3,keyasint"`
	Kind       model.Kind           `cbor:"4,keyasint"`
	DataCentre model.DataCentre     `cbor:"5,keyasint"`
	Cold       bool                 `cbor:"6,keyasint,omitempty"`
}

func (k Key) compare(o Key) int {
	cold := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(k.Service, o.Service), cmp.Compare(k.Version, o.Version), cmp.Compare(k.Route, o.Route),
		cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.DataCentre, o.DataCentre), cmp.Compare(cold(k.Cold), cold(o.Cold)))
}

// Counts are the counters of one cell over one interval.
type Counts struct {
	// Calls counts the attempts that count as answered, those with CallOK or CallError; Errors
	// counts those with CallError.
	Calls       uint64                 `cbor:"1,keyasint"`
	Errors      uint64                 `cbor:"2,keyasint,omitempty"`
	Refused     uint64                 `cbor:"3,keyasint,omitempty"`
	Unreachable uint64                 `cbor:"4,keyasint,omitempty"`
	Latency     [LatencyBuckets]uint64 `cbor:"5,keyasint"`
}

// Add adds o to c.
func (c *Counts) Add(o Counts) {
	c.Calls += o.Calls
	c.Errors += o.Errors
	c.Refused += o.Refused
	c.Unreachable += o.Unreachable
	for i, n := range o.Latency {
		c.Latency[i] += n
	}
}

// callsAbove returns the number of calls in the buckets above the given one.
func (c *Counts) callsAbove(bucket int) (n uint64) {
	for _, v := range c.Latency[bucket+1:] {
		n += v
	}
	return n
}

// Cell holds the counters of one key.
type Cell struct {
	Key    Key    `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// Report carries the counters of one node, or of several after Merge, over one interval.
// The sender numbers its reports so that a repeated one is counted only once.
type Report struct {
	Host        model.HostID `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Sequence    uint64       `cbor:"3,keyasint"`
	// Nodes is the number of nodes whose counters are in the report.
	Nodes uint32 `cbor:"4,keyasint"`
	Cells []Cell `cbor:"5,keyasint,omitempty"`
}

// maxCells is the maximum number of cells in a report; the frame limit of peer allows about as many.
const maxCells = 20_000

// Merge adds the counters of o to r, which keeps its own host and sequence.
func (r *Report) Merge(o Report) {
	countsByKey := make(map[Key]*Counts, len(r.Cells))
	for i := range r.Cells {
		countsByKey[r.Cells[i].Key] = &r.Cells[i].Counts
	}
	var added []Cell
	for _, c := range o.Cells {
		if existing, ok := countsByKey[c.Key]; ok {
			existing.Add(c.Counts)
			continue
		}
		added = append(added, c)
	}
	r.Cells = append(r.Cells, added...)
	slices.SortFunc(r.Cells, func(a, b Cell) int { return a.Key.compare(b.Key) })
	r.Nodes += o.Nodes
}

// check returns an error if the report has too many cells or inconsistent counters.
func (r Report) check() error {
	if len(r.Cells) > maxCells {
		return eris.Wrapf(ErrCorrupt, "report has %d cells, maximum %d", len(r.Cells), maxCells)
	}
	const maxCount = 1 << 40 // keeps the sums far from overflow
	for i, c := range r.Cells {
		n := c.Counts
		var timed uint64
		for _, v := range n.Latency {
			timed += min(v, maxCount)
		}
		if n.Calls > maxCount || n.Errors > n.Calls || n.Refused > maxCount || n.Unreachable > maxCount || timed > n.Calls {
			return eris.Wrapf(ErrCorrupt, "report cell %d: inconsistent counters", i)
		}
	}
	return nil
}
