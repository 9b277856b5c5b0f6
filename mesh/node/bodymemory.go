package node

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"

	"balsamtrail.org/mesh/telemetry"
)

// Names of the metrics of the memory for bodies.
const (
	// metricBodyMemory is a gauge of the bytes of bodies that the node keeps.
	metricBodyMemory = "node.body_memory"
	// metricBodyMemoryFull counts how often there was no memory for more of a body.
	metricBodyMemoryFull = "node.body_memory_full"
)

// bodyMemory bounds the bytes of bodies that a node keeps: of requests until they are
// answered, and of answers until their callers have taken them. It is safe for concurrent
// use.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
	gauge metrics.Gauge
}

func newBodyMemory(limit int64) *bodyMemory {
	return &bodyMemory{limit: limit, gauge: telemetry.Gauge(metricBodyMemory)}
}

// take reserves n bytes and reports whether there was room.
func (m *bodyMemory) take(n int64) bool { return m.takeBelow(m.limit, n) }

// aheadDivisor divides the limit to give what may be in use when an answer is read further
// ahead than a retry needs. Long answers so leave room to request bodies, which are refused
// without it.
const aheadDivisor = 4

// takeAhead reserves n bytes to read an answer further ahead than a retry needs.
func (m *bodyMemory) takeAhead(n int64) bool { return m.takeBelow(m.limit/aheadDivisor, n) }

func (m *bodyMemory) takeBelow(limit, n int64) bool {
	for {
		used := m.used.Load()
		if used+n > limit {
			telemetry.Counter(metricBodyMemoryFull).Inc(1)
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			m.gauge.Update(used + n)
			return true
		}
	}
}

// free returns n reserved bytes.
func (m *bodyMemory) free(n int64) { m.gauge.Update(m.used.Add(-n)) }

// readAheadDivisor divides the limit to give what one answer may hold of it beyond
// maxBufferedAnswerBytes, so that one endless answer leaves room to the others.
const readAheadDivisor = 16

// maxForAnswer returns how many bytes one answer may hold.
func (m *bodyMemory) maxForAnswer() int64 {
	return max(m.limit/readAheadDivisor, maxBufferedAnswerBytes+answerBlockBytes)
}
