package explain

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"strings"
	"testing"

	"balsamtrail.org/mesh/model"
)

var routed = Explanation{
	Node: "n1", DataCentre: "thun", Position: model.Position{Epoch: 1, Index: 7}, SourceAgeMs: 120,
	Request: Request{Method: "GET", Host: "a.example", Path: "/x/1?q", TimeoutMs: 800}, Outcome: Outcome{Routed: true},
	Route: &Route{Name: "r", Host: "a.example", PathPrefix: "/x/", Kind: model.KindLookup, Priority: 2, TimeoutMs: 800,
		LatencyTargetMs: 300, TimeToTargetMs: 250, MaxRetries: 1, Hedge: true},
	Budgets: &Budgets{CallRetries: 1, RetryTokens: 2.5, RetryBurst: 3, Requests: 4, RequestLimit: 4096,
		Hedging: Hedging{Limit: 0.05, Tokens: 1.25, Burst: 5, AfterMs: 190, AfterSlowMs: 80}},
	Conditions: []Refusal{{Status: 413, Reason: "request body too large", When: "if its body is above 10 bytes"}},
	Parts: []Part{
		{Service: "s", Share: 0.9, Next: true, Versions: []Version{
			{Version: "v1", Share: 9900, Part: 1, Lag: 0.25, Next: true, Load: 0.4, Candidates: []Candidate{
				{Host: "h1", DataCentre: "thun", State: "serving", Probability: 0.625, Load: 0.5, Limit: 14, InFlight: 2, ExpectedMs: 95.5, RecentMs: 100, UsualMs: 90, Reason: "own data centre"},
				{Host: "h2", DataCentre: "bern", State: "draining", Limit: 14, Reason: "is not serving (draining)"},
			}},
			{Version: "v2", Share: 100, Reason: "no live backend server"},
		}},
		{Service: "t", Share: 0.1, Refusal: &Refusal{Status: 503, Reason: "no backend server", RetryAfterMinMs: 300, RetryAfterMaxMs: 600}},
	},
}

// Guards against a table that leaves out what decides, and against fields that the JSON form
// does not carry to the operators' tool.
func TestTableAndJSON(t *testing.T) {
	var table strings.Builder
	if err := routed.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	want := `node      n1 in thun, position 1.7, source heard 120 ms ago
request   GET a.example /x/1?q, timeout 800 ms
outcome   routed
route     r, lookup, prefix a.example/x/, timeout 800 ms, 1 retries, priority 2, 250 of 300 ms left to the target
retries   1 for the call, 2.5 of 3 tokens of the node
hedging   after 190.0 ms (slow server 80.0 ms), 1.2 of 5 tokens, limit 0.05
requests  4 of 4096 in progress
refused   413 request body too large, if its body is above 10 bytes
service   s, 90% of the calls, next call
version   v1, share 99%, gets 100%, lag 0.25, load 0.40, next call
  HOST  DATA CENTRE  CHOSEN  EXPECTED  RECENT    USUAL    LATENCY  LOAD  LIMIT  IN FLIGHT  REASON
  h1    thun         62.5%   95.5 ms   100.0 ms  90.0 ms  -        0.50  14     2          own data centre
  h2    bern         0%      -         -         -        -        0.00  14     0          is not serving (draining)
version  v2, share 1%, gets 0%, lag 0.00, load 0.00, no live backend server
service  t, 10% of the calls, refused: 503 no backend server, retry after 300 to 600 ms
`
	if table.String() != want {
		t.Errorf("table:\n%s", table.String())
	}
	raw, err := json.Marshal(routed)
	var decoded Explanation
	if err != nil || json.Unmarshal(raw, &decoded) != nil || !reflect.DeepEqual(decoded, routed) {
		t.Errorf("%v: %s", err, raw)
	}
}

// Guards against input that is explained although no request could have it, and against an
// error that does not say which flag is wrong.
func TestInvalidQueriesNameTheField(t *testing.T) {
	for query, field := range map[string]string{
		"":                             "path",
		"path=":                        "path",
		"path=x":                       "path",
		"path=/a b":                    "path",
		"path=/%25zz":                  "path",
		"path=/x&method=":              "method",
		"path=/x&method=G T":           "method",
		"path=/x&method=GET/":          "method",
		"path=/x&host=a/b":             "host",
		"path=/x&timeout=5":            "timeout",
		"path=/x&timeout=0s":           "timeout",
		"path=/x&timeout=-1s":          "timeout",
		"path=/x&path=/y":              "path",
		"path=/x&priority=1":           "priority",
		"path=/x":                      "",
		"path=/x?a=1&method=M-SEARCH":  "",
		"path=/x&host=a:1&timeout=1ms": "",
	} {
		values, err := url.ParseQuery(strings.ReplaceAll(query, " ", "%20"))
		if err != nil {
			t.Fatal(err)
		}
		r, err := ParseValues(values)
		var f *FieldError
		if got := errors.As(err, &f); got != (field != "") || got && (f.Field != field || !errors.Is(err, ErrInvalid)) {
			t.Errorf("%q: %v", query, err)
		}
		if again, err := ParseValues(r.Values()); field == "" && (err != nil || again != r) {
			t.Errorf("%q: %+v became %+v, %v", query, r, again, err)
		}
	}
}

// Guards against a tool that shows an empty explanation when the address is not that of a
// node's administration, or hides what the node found wrong.
func TestAskReportsWhatIsNoExplanation(t *testing.T) {
	status, body := http.StatusOK, ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != Path || r.URL.Query().Get("path") != "/x?a=b" {
			t.Errorf("asked for %s", r.URL)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	r := Request{Method: "GET", Path: "/x?a=b"}
	raw, _ := json.Marshal(routed)
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{{200, string(raw), nil}, {200, "{}", ErrNode}, {200, "ok", ErrNode}, {404, "", ErrNode}, {400, "", ErrNode}, {400, `{"field":"host","error":"x"}`, ErrInvalid}} {
		status, body = c.status, c.body
		if x, err := Ask(t.Context(), address, r); !errors.Is(err, c.want) || err == nil && x.Node != "n1" {
			t.Errorf("%d %q: %v", c.status, c.body, err)
		}
	}
	srv.Close()
	if _, err := Ask(t.Context(), address, r); !errors.Is(err, ErrNode) {
		t.Errorf("no listener: %v", err)
	}
	if _, err := Ask(t.Context(), "localhost", r); !errors.Is(err, ErrInvalid) {
		t.Errorf("no port: %v", err)
	}
}
