package note

import (
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/model"
)

const noteJSON = `{
  "number": 7, "title": "ledger v2",
  "services": {"added": [{"name": "ledger", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "50ms"}]},
  "routes": {"added": [{"name": "stock", "path_prefix": "/stock", "methods": ["GET"], "service": "ledger", "kind": "lookup",
    "timeout": "500ms", "max_retries": 1, "hedge": true}], "withdrawn": ["old"]},
  "shares": [{"service": "ledger", "shares": {"v1": 9000, "v2": 1000}}],
  "moves": [{"service": "roster", "to": "v2", "by": "2026-05-01T14:00:00+02:00", "watch_for": "1h"}]
}`

var _ = Describe("JSON of notes", func() {
	It("decodes durations and deadlines and encodes a note that decodes to the same value", func() {
		n, err := ParseNote([]byte(noteJSON))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Services.Added[0].QueueTimeout).To(Equal(50 * time.Millisecond))
		Expect(n.Routes.Added[0].Kind).To(Equal(model.KindLookup))
		Expect(n.Moves[0].By).To(Equal(start))
		raw, err := json.Marshal(n)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring(`"queue_timeout":"50ms"`))
		again, err := ParseNote(raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(n))
	})

	DescribeTable("refuses a note and names the field",
		func(old, with, field string) {
			Expect(noteJSON).To(ContainSubstring(old))
			_, err := ParseNote([]byte(strings.Replace(noteJSON, old, with, 1)))
			Expect(err).To(MatchError(ErrInvalid))
			var f *FieldError
			Expect(errors.As(err, &f)).To(BeTrue())
			Expect(f.Field).To(Equal(field), "%v", err)
		},
		Entry("unknown key", `"slots"`, `"slot"`, "services.added[0].slot"),
		Entry("duration without unit", `"50ms"`, `50`, "services.added[0].queue_timeout"),
		Entry("negative duration", `"50ms"`, `"-1s"`, "services.added[0].queue_timeout"),
		Entry("deadline without zone", `+02:00`, ``, "moves[0].by"),
		Entry("deadline left out", `"by": "2026-05-01T14:00:00+02:00", `, ``, "moves[0].by"),
		Entry("no slots", `"slots": 20`, `"slots": 0`, "services.added[0].slots"),
		Entry("unknown kind", `"lookup"`, `"read"`, "routes.added[0].kind"),
		Entry("hedged write", `"lookup"`, `"write"`, "routes.added[0].hedge"),
		Entry("hedged upload", `"lookup"`, `"upload"`, "routes.added[0].hedge"),
		Entry("hedged download", `"lookup"`, `"download"`, "routes.added[0].hedge"),
		Entry("unknown method", `"GET"`, `"get"`, "routes.added[0].methods[0]"),
		Entry("too many retries", `"max_retries": 1`, `"max_retries": 9`, "routes.added[0].max_retries"),
		Entry("relative path", `"/stock"`, `"stock"`, "routes.added[0].path_prefix"),
		Entry("share out of range", `9000`, `4294967296`, "shares[0].shares[v1]"),
		Entry("shares that do not add up", `9000`, `9001`, "shares[0].shares"),
		Entry("version twice", `"v2": 1000`, `"v1": 1000`, "shares[0].shares.v1"),
		Entry("service twice", `"service": "roster"`, `"service": "ledger"`, "moves[0].service"),
		Entry("bad version", `"to": "v2"`, `"to": "v 2"`, "moves[0].to"),
		Entry("watch too long", `"1h"`, `"1000h"`, "moves[0].watch_for"),
		Entry("withdrawn twice", `["old"]`, `["old", "old"]`, "routes.withdrawn[1]"),
		Entry("no number", `"number": 7,`, ``, "number"),
		Entry("null", `["old"]`, `null`, "routes.withdrawn"),
	)

	It("refuses a note that changes nothing or has too many entries", func() {
		_, err := ParseNote([]byte(`{"number": 1, "title": ""}`))
		Expect(err).To(MatchError(ErrInvalid))
		n := Note{Number: 1, Routes: Changes[Route]{Withdrawn: make([]string, maxNoteEntries+1)}}
		Expect(n.Check()).To(MatchError(ErrInvalid))
	})
})

var _ = Describe("Codec", func() {
	// Guards against times truncated to seconds in the frames of package peer, which
	// encodes in the default CBOR mode.
	It("keeps times to the nanosecond when the caller encodes in another mode", func() {
		c := Command{Operator: "berta", Time: start.Add(time.Nanosecond), TakeOut: &TakeOut{DataCentre: "thun"}}
		raw, err := cbor.Marshal(c)
		Expect(err).NotTo(HaveOccurred())
		var got Command
		Expect(cbor.Unmarshal(raw, &got)).To(Succeed())
		Expect(got).To(Equal(c))
		r := Result{Code: CodeConflict, Winner: &Winner{Number: 1, Accepted: start.Add(time.Nanosecond)}}
		raw, err = cbor.Marshal(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(DecodeResult(raw)).To(Equal(r))
	})

	It("leaves the state unchanged when a snapshot is malformed", func() {
		d := newDriver(defaultLimits)
		d.publish(ledgerNote())
		before, _ := d.Snapshot()
		bad, _ := encode(snapshot{Head: 1, Retained: []*Record{{Note: Note{Number: 2}}}})
		Expect(d.Restore(bad)).To(MatchError(ErrMalformed))
		Expect(d.Restore([]byte("x"))).To(MatchError(ErrMalformed))
		Expect(d.Snapshot()).To(Equal(before))
	})
})
