package distribute

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Subtree merges the reports of the children of one process. One mutex guards it.
type Subtree struct {
	mu         sync.Mutex
	children   map[model.HostID]childReport
	selfReport func() SubtreeReport
	changed    chan struct{}
}

// childReport is the last report of a child and the stream that it arrived on.
type childReport struct {
	report SubtreeReport
	stream peer.Stream
}

// NewSubtree returns a subtree without children. selfReport returns the report
// of the node itself; a control host does not count as a node and passes nil.
func NewSubtree(selfReport func() SubtreeReport) *Subtree {
	return &Subtree{children: map[model.HostID]childReport{}, selfReport: selfReport, changed: make(chan struct{})}
}

// setReport stores a report that arrived on a child's stream.
func (s *Subtree) setReport(st peer.Stream, r SubtreeReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prevReport := s.children[st.Peer().Host].report
	if r.SameRefusals && s.children[st.Peer().Host].stream == st {
		r.Refusals, r.SameRefusals = prevReport.Refusals, false
	}
	s.children[st.Peer().Host] = childReport{report: r, stream: st}
	if prevReport.LowestPosition != r.LowestPosition || prevReport.Nodes != r.Nodes || prevReport.Held != r.Held || len(prevReport.Refusals) != len(r.Refusals) {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed at the next change of a child's report.
func (s *Subtree) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// removeReport removes the report that arrived on an ended stream, unless the
// child has since reported on another stream.
func (s *Subtree) removeReport(st peer.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.children[st.Peer().Host].stream == st {
		delete(s.children, st.Peer().Host)
	}
}

// Report returns the report of the whole subtree.
func (s *Subtree) Report() SubtreeReport {
	var parts []SubtreeReport
	if s.selfReport != nil {
		parts = append(parts, s.selfReport())
	}
	s.mu.Lock()
	for _, c := range s.children {
		parts = append(parts, c.report)
	}
	s.mu.Unlock()
	return mergeReports(parts)
}

// mergeReports adds up reports. The position of a report without nodes is
// ignored.
func mergeReports(parts []SubtreeReport) SubtreeReport {
	var out SubtreeReport
	for _, p := range parts {
		if p.Nodes > 0 && (out.Nodes == 0 || p.LowestPosition.Less(out.LowestPosition)) {
			out.LowestPosition = p.LowestPosition
		}
		out.Nodes += p.Nodes
		out.Held += p.Held
		room := maxRefusals - len(out.Refusals)
		out.Refusals = append(out.Refusals, p.Refusals[:min(room, len(p.Refusals))]...)
	}
	return out
}

// Freshness tracks when this process last had contact with the source, directly
// or through its parents. One mutex guards it.
type Freshness struct {
	// Contact, if set, returns the time of the last direct contact with the
	// source. It is set before the first use.
	Contact func() time.Time

	mu sync.Mutex
	at time.Time
}

// RecordContact records that the last contact with the source was age before now.
func (f *Freshness) RecordContact(now time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-age); at.After(f.at) {
		f.at = at
	}
}

// Age returns the source age, the time since the last contact with the source.
// It is maxSourceAge if there has been no contact.
func (f *Freshness) Age(now time.Time) time.Duration {
	if f.Contact != nil {
		f.RecordContact(f.Contact(), 0)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at.IsZero() {
		return maxSourceAge
	}
	return min(max(0, now.Sub(f.at)), maxSourceAge)
}

// Recent reports whether the last contact with the source is recent enough for a
// node to stay with its control host.
func (f *Freshness) Recent(now time.Time) bool { return f.Age(now) <= outdatedLimit }

// metricSourceAge is the name of the gauge of the process's source age in
// milliseconds.
const metricSourceAge = "distribute.source_age_ms"

// RegisterSourceAge adds the source age of this process to the metrics.
func RegisterSourceAge(f *Freshness) {
	// The only error is that the gauge exists, as for a second node in one test process.
	_ = metrics.NewRegisteredFunctionalGauge(metricSourceAge, nil, func() int64 { return f.Age(time.Now()).Milliseconds() })
}

// maxSourceAge is the upper limit of a source age.
const maxSourceAge = 365 * 24 * time.Hour
