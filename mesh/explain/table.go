package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"balsamtrail.org/mesh/model"
)

// maxCandidateRows is the number of backend servers of a version in a table; the JSON form
// has all.
const maxCandidateRows = 20

// WriteTable writes the explanation for operators.
func (x Explanation) WriteTable(w io.Writer) error {
	t := &table{w: tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row("node", fmt.Sprintf("%s in %s, position %s, source heard %d ms ago", x.Node, x.DataCentre, x.Position, x.SourceAgeMs))
	t.row("request", strings.Join(strings.Fields(x.Request.Method+" "+x.Request.Host+" "+x.Request.Path), " ")+x.Request.timeout())
	if r := x.Outcome.Refusal; r != nil {
		t.row("outcome", "refused: "+r.String())
	} else {
		t.row("outcome", "routed")
	}
	if x.Route != nil {
		t.route(*x.Route)
	}
	if x.Budgets != nil {
		t.budgets(*x.Budgets)
	}
	for _, c := range x.Conditions {
		t.row("refused", c.String())
	}
	for _, p := range x.Parts {
		t.part(p)
	}
	return t.w.Flush()
}

func (r Request) timeout() string {
	if r.TimeoutMs == 0 {
		return ""
	}
	return fmt.Sprintf(", timeout %d ms", r.TimeoutMs)
}

// String returns the refusal as one line.
func (r Refusal) String() string {
	s := fmt.Sprintf("%d %s", r.Status, r.Reason)
	if r.RetryAfterMaxMs > 0 {
		s += fmt.Sprintf(", retry after %d to %d ms", r.RetryAfterMinMs, r.RetryAfterMaxMs)
	}
	if r.When != "" {
		s += ", " + r.When
	}
	return s
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

// row writes one row. Write errors are returned by Flush.
func (t *table) row(cells ...string) { _, _ = io.WriteString(t.w, strings.Join(cells, "\t")+"\n") }

func (t *table) route(r Route) {
	s := fmt.Sprintf("%s, %s, prefix %s%s, timeout %d ms, %d retries", r.Name, r.Kind, r.Host, r.PathPrefix, r.TimeoutMs, r.MaxRetries)
	if r.Priority > 0 {
		s += fmt.Sprintf(", priority %d", r.Priority)
	}
	if r.LatencyTargetMs > 0 {
		s += fmt.Sprintf(", %d of %d ms left to the target", r.TimeToTargetMs, r.LatencyTargetMs)
	}
	t.row("route", s)
}

func (t *table) budgets(b Budgets) {
	t.row("retries", fmt.Sprintf("%d for the call, %.1f of %g tokens of the node", b.CallRetries, b.RetryTokens, b.RetryBurst))
	h := b.Hedging
	hedging := fmt.Sprintf("after %s (slow server %s), %.1f of %g tokens, limit %g", milliseconds(h.AfterMs), milliseconds(h.AfterSlowMs), h.Tokens, h.Burst, h.Limit)
	if h.Skip != "" {
		hedging = "not hedged: " + h.Skip
	}
	t.row("hedging", hedging)
	t.row("requests", fmt.Sprintf("%d of %d in progress", b.Requests, b.RequestLimit))
}

func (t *table) part(p Part) {
	service := fmt.Sprintf("%s, %s of the calls%s", p.Service, percent(p.Share), nextMark(p.Next))
	if p.Refusal != nil {
		service += ", refused: " + p.Refusal.String()
	}
	t.row("service", service)
	for _, v := range p.Versions {
		version := fmt.Sprintf("%s, share %s, gets %s, lag %.2f, load %.2f%s", v.Version, percent(float64(v.Share)/float64(model.ShareAll)), percent(v.Part), v.Lag, v.Load, nextMark(v.Next))
		if v.Reason != "" {
			version += ", " + v.Reason
		}
		t.row("version", version)
		t.candidates(v.Candidates)
	}
}

func (t *table) candidates(list []Candidate) {
	if len(list) == 0 {
		return
	}
	_ = t.w.Flush() // long cells of the rows before would widen these columns
	t.row("  HOST", "DATA CENTRE", "CHOSEN", "EXPECTED", "RECENT", "USUAL", "LATENCY", "LOAD", "LIMIT", "IN FLIGHT", "REASON")
	for i, c := range list {
		if i == maxCandidateRows {
			t.row(fmt.Sprintf("  and %d more", len(list)-i))
			break
		}
		t.row("  "+string(c.Host), string(c.DataCentre), percent(c.Probability), milliseconds(c.ExpectedMs), milliseconds(c.RecentMs),
			milliseconds(c.UsualMs), milliseconds(c.LatencyMs), fmt.Sprintf("%.2f", c.Load), fmt.Sprintf("%g", c.Limit), strconv.Itoa(c.InFlight), c.Reason)
	}
	_ = t.w.Flush()
}

func nextMark(next bool) string {
	if next {
		return ", next call"
	}
	return ""
}

func percent(part float64) string {
	return strings.TrimSuffix(strings.TrimRight(strconv.FormatFloat(part*100, 'f', 1, 64), "0"), ".") + "%"
}

// milliseconds formats a time; unknown ones become a dash.
func milliseconds(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return strconv.FormatFloat(ms, 'f', 1, 64) + " ms"
}
