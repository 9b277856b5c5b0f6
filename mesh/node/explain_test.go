package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/explain"
	"balsamtrail.org/mesh/link"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// testExplainer explains requests to e, which knows of a draining backend server too.
func testExplainer(e *entry) *explainer {
	return &explainer{entry: e, node: "entry", dataCentre: "thun", requestLimit: 1000, announcements: func(s model.ServiceName) []membership.Announcement {
		return []membership.Announcement{{Host: "h9", Service: s, Version: "v1", DataCentre: "bern", State: membership.StateDraining}}
	}}
}

func ask(t *testing.T, x *explainer, query string) (int, explain.Explanation) {
	t.Helper()
	w := httptest.NewRecorder()
	x.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/explain?"+query, nil))
	var out explain.Explanation
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
		t.Fatalf("%v: %s", err, w.Body)
	}
	return w.Code, out
}

// Guards against explanations that differ from what a request gets: each refusal of the
// entry side, by status, reason and time to retry.
func TestExplainedRefusalsAreThoseOfRequests(t *testing.T) {
	withoutTable := func(e *entry) { e.table = func() *routing.Table { return nil } }
	for name, c := range map[string]struct {
		target string
		change func(*entry)
	}{
		"no configuration":  {"/cabinets/7", withoutTable},
		"stopping":          {"/cabinets/7", func(e *entry) { e.closed.Store(true) }},
		"no route":          {"/unknown", nil},
		"outdated":          {"/unknown", func(e *entry) { e.freshness.Contact = func() time.Time { return time.Now().Add(-time.Hour) } }},
		"ambiguous path":    {"/x/../cabinets/7", nil},
		"not passed on":     {"//cabinets/a|b", nil},
		"no backend server": {"/cabinets/7", func(e *entry) { e.dispatcher.picker.SetTable(time.Now(), testTable(nil, e.table().Limits())) }},
		"too many requests": {"/cabinets/7", func(e *entry) { e.callLimiter.TryAcquire(1000); e.inProgress.Add(1000) }},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
				t.Error("a request was sent")
				return answer(""), nil
			}), nil)
			if c.change != nil {
				c.change(e)
			}
			status, out := ask(t, testExplainer(e), "path="+strings.ReplaceAll(c.target, "|", "%7C"))
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.RequestURI = c.target
			r.URL, _ = r.URL.Parse("http://example.com" + c.target)
			r.Host = ""
			r.URL.Scheme, r.URL.Host = "", ""
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			refusal := out.Outcome.Refusal
			if status != http.StatusOK || refusal == nil || refusal.Status != w.Code || refusal.Reason != w.Header().Get(HeaderNotRun) {
				t.Fatalf("explained %d %+v, answered %d %q", status, out.Outcome, w.Code, w.Header().Get(HeaderNotRun))
			}
			after, _ := strconv.ParseInt(w.Header().Get(HeaderRetryAfter), 10, 64)
			if after < refusal.RetryAfterMinMs || after > refusal.RetryAfterMaxMs {
				t.Errorf("retry after %d ms, explained %+v", after, *refusal)
			}
		})
	}
}

// Guards against an explanation that leaves out a candidate, or that changes budgets,
// counters or the next choice.
func TestExplainedRoute(t *testing.T) {
	e, _ := hedgingEntry(nil, map[model.HostID]string{"h1": "h1", "h2": "h2", "h3": "h3"})
	x := testExplainer(e)
	hedges, refused := telemetry.Counter("entry.hedges").Count(), telemetry.Counter("entry.refused").Count()
	for range 20 {
		status, out := ask(t, x, "method=GET&path=/hedged/7&timeout=300ms")
		if status != http.StatusOK || !out.Outcome.Routed || out.Route.Name != "hedged" || out.Route.TimeoutMs != 300 {
			t.Fatalf("%d %+v", status, out)
		}
		if len(out.Parts) != 1 || !out.Parts[0].Next || len(out.Parts[0].Versions) != 1 || !out.Parts[0].Versions[0].Next {
			t.Fatalf("%+v", out.Parts)
		}
		hosts, probability := "", 0.0
		for _, c := range out.Parts[0].Versions[0].Candidates {
			hosts += string(c.Host)
			probability += c.Probability
		}
		if len(hosts) != 8 || !strings.HasSuffix(hosts, "h9") || probability < 0.999 || probability > 1.001 {
			t.Fatalf("candidates %s with %v", hosts, probability)
		}
		b := out.Budgets
		if b.CallRetries != 1 || b.RetryTokens != routing.RetryBurst || b.Hedging.Tokens < 4.99 || b.Hedging.AfterMs != 100 || b.Hedging.Skip != "" || b.Requests != 0 {
			t.Fatalf("%+v", b)
		}
	}
	if _, out := ask(t, x, "path=/hedged/7&timeout=150ms"); out.Budgets.Hedging.Skip != "no_time" {
		t.Errorf("%+v", out.Budgets.Hedging)
	}
	if _, out := ask(t, x, "path=/restocks&method=POST"); len(out.Conditions) != 3 || out.Budgets.Hedging.Skip != "not allowed by the route" {
		t.Errorf("%+v", out)
	}
	if status, _ := ask(t, x, "path=/hedged/7&method=G+T"); status != http.StatusBadRequest {
		t.Errorf("invalid method: status %d", status)
	}
	if telemetry.Counter("entry.hedges").Count() != hedges || telemetry.Counter("entry.refused").Count() != refused {
		t.Error("counters changed")
	}
}

// Guards against an explained download that leaves out the preference for the backend server
// on the own host.
func TestExplainedDownloadGoesToOwnServer(t *testing.T) {
	e := newTestEntry(t, nil, nil)
	d := e.dispatcher
	d.self.Host, d.link = "h2", link.New(1<<20)
	d.local = &serving{service: "ledger", gate: admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 2}})}
	x := testExplainer(e)
	route := note.Route{Name: "file", Service: "ledger", Kind: model.KindDownload}
	part := explain.Part{Service: "ledger"}
	if next := x.versions(time.Now(), &part, d.picker.Snapshot(route), route); next != "v1" || part.Refusal != nil {
		t.Fatalf("version %q, %+v", next, part.Refusal)
	}
	for _, c := range part.Versions[0].Candidates {
		if (c.Probability == 1) != (c.Host == "h2") || c.Host == "h2" && c.Reason != "backend server of this host" {
			t.Errorf("%+v", c)
		}
	}
}
