package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/model"
)

// runFor sends the requests of a flow to h for a short time.
func runFor(t *testing.T, h http.Handler, f Flow) *Report {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	f.Name, f.Rate, f.Timeout, f.Targets = "flow", 50, 5*time.Second, []string{server.URL}
	report := NewReport(time.Now())
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	New(report).Run(ctx, []Flow{f})
	return report
}

func newStandin(service string) http.Handler {
	cfg := standin.DefaultConfig()
	cfg.Service, cfg.Latency, cfg.WarmAfter = service, time.Millisecond, 0
	return standin.New(cfg).Handler()
}

// Guards against large bodies that the load tool or the stand-in changes or leaves out, and
// against uploads whose runs cannot be told from outside.
func TestLargeBodiesArriveWhole(t *testing.T) {
	runs := make(chan string, 100)
	recorded := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs <- standin.RunKey(r)
		newStandin("ledger").ServeHTTP(w, r)
	})
	for _, f := range []Flow{
		{Kind: model.KindUpload, Service: "ledger", Method: http.MethodPost, Path: "/uploads", MinBodyBytes: 50_000, BodyBytes: 400_000},
		{Kind: model.KindDownload, Service: "ledger", Method: http.MethodGet, Path: "/downloads/9", MinAnswerBytes: 1, AnswerBytes: 540_000},
	} {
		report := runFor(t, recorded, f)
		flow := report.Flows()[0]
		if flow.Sent == 0 || flow.Outcomes[OutcomeOK] != flow.Sent {
			t.Errorf("%s: %v, %q", f.Kind, flow.Outcomes, report.Details())
		}
		told := report.Keys()
		if f.Kind == model.KindUpload && int64(len(told)) != flow.Sent {
			t.Errorf("%d uploads, %d in the report", flow.Sent, len(told))
		}
		for range flow.Sent {
			if key := <-runs; told[key].OK != (f.Kind == model.KindUpload) {
				t.Errorf("%s: run of %q, told %+v", f.Kind, key, told[key])
			}
		}
	}
}

// Guards against a load tool that takes a body with one wrong byte, or that of another service,
// for the answer, and one that does not tell the parts of a split apart.
func TestWrongAnswersAreFound(t *testing.T) {
	download := Flow{Kind: model.KindDownload, Service: "ledger", Method: http.MethodGet, Path: "/downloads/9", AnswerBytes: 100_000}
	oneByte := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		newStandin("ledger").ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		body[len(body)/2] ^= 1
		_, _ = w.Write(body)
	})
	split := download
	split.Split = map[string]int{"ledger": 1, "roster": 1}
	for name, c := range map[string]struct {
		server http.Handler
		flow   Flow
		want   Outcome
	}{
		"one byte":        {oneByte, download, OutcomeWrong},
		"other service":   {newStandin("roster"), download, OutcomeWrong},
		"part of a split": {newStandin("roster"), split, OutcomeOK},
		"no part":         {newStandin("desk"), split, OutcomeWrong},
	} {
		report := runFor(t, c.server, c.flow)
		if n := report.Count(c.want); n == 0 || n != report.Flows()[0].Sent {
			t.Errorf("%s: %v, %q", name, report.Flows()[0].Outcomes, report.Details())
		}
		services := report.ServicesSince("flow", time.Time{})
		if got := fmt.Sprint(len(services), services["roster"] > 0); c.want == OutcomeOK && got != "1 true" {
			t.Errorf("%s: answered by %v", name, services)
		}
	}
}
