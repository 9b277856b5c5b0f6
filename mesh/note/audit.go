package note

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"balsamtrail.org/mesh/model"
)

// maxAuditRecords bounds the audit records in the state; it covers two days at
// 15,000 changes a day. The control hosts' logs keep the older ones.
const maxAuditRecords = 32_768

// maxAuditChanges is the maximum number of lines in AuditRecord.Changes.
const maxAuditChanges = 32

// Action is the kind of change that an audit record describes.
type Action string

// The audited actions.
const (
	ActionPublish             Action = "publish"
	ActionAmend               Action = "amend"
	ActionWithdraw            Action = "withdraw"
	ActionDataCentreOut       Action = "data-centre-out"
	ActionDataCentreReturn    Action = "data-centre-return"
	ActionDataCentreInService Action = "data-centre-in-service"
	ActionSetShares           Action = "set-shares"
	ActionControlHostAdd      Action = "control-host-add"
	ActionControlHostRemove   Action = "control-host-remove"
)

// AuditRecord states who changed what, and when the change was accepted, came
// into force, and was completed or reversed.
type AuditRecord struct {
	// Sequence numbers the records from 1 without gaps.
	Sequence   uint64             `cbor:"1,keyasint" json:"sequence"`
	Operator   model.OperatorName `cbor:"2,keyasint" json:"operator"`
	Operation  model.OperationID  `cbor:"3,keyasint,omitempty" json:"operation,omitempty"`
	Action     Action             `cbor:"4,keyasint" json:"action"`
	Position   model.Position     `cbor:"5,keyasint" json:"position"`
	Number     uint64             `cbor:"6,keyasint,omitempty" json:"number,omitempty"`
	Revision   uint64             `cbor:"7,keyasint,omitempty" json:"revision,omitempty"`
	DataCentre model.DataCentre   `cbor:"8,keyasint,omitempty" json:"data_centre,omitempty"`
	// Changes has one line per change, such as "service ledger added".
	Changes  []string  `cbor:"9,keyasint,omitempty" json:"changes,omitempty"`
	Accepted time.Time `cbor:"10,keyasint" json:"accepted"`
	InForce  time.Time `cbor:"11,keyasint" json:"in_force,omitempty"`
	Done     time.Time `cbor:"12,keyasint" json:"done,omitempty"`
	Reversed time.Time `cbor:"13,keyasint" json:"reversed,omitempty"`
	Reason   string    `cbor:"14,keyasint,omitempty" json:"reason,omitempty"`
}

// auditLog holds the newest audit records in order of sequence number.
type auditLog struct {
	records      []AuditRecord
	limit        int
	nextSequence uint64
	// firstPending is the sequence number of the first record that is not in force.
	firstPending uint64
}

func newAuditLog(limit int) auditLog { return auditLog{limit: limit, nextSequence: 1, firstPending: 1} }

func (a *auditLog) add(r AuditRecord) {
	r.Sequence = a.nextSequence
	a.nextSequence++
	a.records = append(a.records, r)
	// Old records are removed only when the limit is exceeded by a quarter, so
	// that most additions copy nothing.
	if extra := len(a.records) - a.limit; extra > a.limit/4 {
		a.records = slices.Clone(a.records[extra:])
	}
}

// newestRecords returns the newest records, at most limit of them.
func (a *auditLog) newestRecords() []AuditRecord {
	return a.records[max(0, len(a.records)-a.limit):]
}

func (a *auditLog) markInForce(through model.Position, at time.Time) {
	first := a.nextSequence - uint64(len(a.records))
	for i := max(a.firstPending, first) - first; i < uint64(len(a.records)); i++ {
		r := &a.records[i]
		if through.Less(r.Position) {
			return
		}
		r.InForce = at
		a.firstPending = r.Sequence + 1
	}
}

// findRevision returns the record of the command that made a revision of a note,
// or nil.
func (a *auditLog) findRevision(number, revision uint64) *AuditRecord {
	for i := len(a.records) - 1; i >= 0; i-- {
		if r := &a.records[i]; r.Number == number && r.Revision == revision && r.Action != ActionSetShares {
			return r
		}
	}
	return nil
}

// setOutcome copies the completion and reversal times of a note to the audit
// record of its revision.
func (a *auditLog) setOutcome(r *Record, reason string) {
	if rec := a.findRevision(r.Note.Number, r.Note.Revision); rec != nil {
		rec.Done, rec.Reversed, rec.Reason = r.Done, r.Reversed, reason
	}
}

// describeChanges returns the lines for AuditRecord.Changes.
func (n Note) describeChanges() []string {
	var out []string
	out = appendChanges(out, "service", n.Services, func(s Service) string { return string(s.Name) })
	out = appendChanges(out, "route", n.Routes, func(r Route) string { return string(r.Name) })
	for _, s := range n.Shares {
		out = append(out, describeShares(s.Service, s.Shares))
	}
	for _, m := range n.Moves {
		out = append(out, fmt.Sprintf("move %s to %s by %s", m.Service, m.To, m.By.UTC().Format(time.RFC3339)))
	}
	if n.Limits != nil {
		out = append(out, fmt.Sprintf("limits of requests: %d bytes of header, %d of body", n.Limits.HeaderBytes, n.Limits.BodyBytes))
	}
	if len(out) > maxAuditChanges {
		more := len(out) - maxAuditChanges + 1
		out = append(out[:maxAuditChanges-1:maxAuditChanges-1], fmt.Sprintf("and %d more", more))
	}
	return out
}

func appendChanges[T any](out []string, kind string, c Changes[T], name func(T) string) []string {
	for _, v := range c.Added {
		out = append(out, kind+" "+name(v)+" added")
	}
	for _, v := range c.Changed {
		out = append(out, kind+" "+name(v)+" changed")
	}
	for _, w := range c.Withdrawn {
		out = append(out, kind+" "+w+" withdrawn")
	}
	return out
}

func describeShares(service model.ServiceName, shares Shares) string {
	var b strings.Builder
	fmt.Fprintf(&b, "shares %s", service)
	for _, v := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(&b, " %s=%d", v, shares[v])
	}
	return b.String()
}
