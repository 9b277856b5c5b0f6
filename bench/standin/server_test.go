package standin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

func testConfig() Config {
	c := DefaultConfig()
	c.Service, c.Version, c.Latency, c.WarmAfter = "ledger", "v1", time.Millisecond, 0
	return c
}

func send(t *testing.T, h http.Handler, method, path, key string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader("crate"))
	r.Header.Set(HeaderNonce, "n1")
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a second run of a write that the stand-in does not count: the demo
// would miss it.
func TestStandinCountsRunsByKey(t *testing.T) {
	s := New(testConfig())
	for range 2 {
		if w := send(t, s.Handler(), http.MethodPost, "/restocks", "1-abcdefgh"); w.Code != http.StatusOK {
			t.Fatalf("status %d", w.Code)
		}
	}
	if st := s.state.snapshot(); st.DuplicateKeys != 1 || st.MaxRunsPerKey != 2 {
		t.Errorf("stats %+v", st)
	}
}

// Guards against shed requests that run, count as requests or lack the not-run header.
func TestStandinShedsAsNotRun(t *testing.T) {
	c := testConfig()
	c.Slots, c.Backlog, c.Latency = 1, 0, 200*time.Millisecond
	s := New(c)
	var wg sync.WaitGroup
	codes := make(chan *httptest.ResponseRecorder, 4)
	for range 4 {
		wg.Go(func() { codes <- send(t, s.Handler(), http.MethodPost, "/restocks", "") })
	}
	wg.Wait()
	shed := 0
	for range 4 {
		if w := <-codes; w.Code == http.StatusServiceUnavailable && w.Header().Get(HeaderNotRun) != "" {
			shed++
		}
	}
	if st := s.state.snapshot(); shed != 3 || st.Requests != 1 || st.Shed != 3 {
		t.Errorf("%d refused as not run, stats %+v", shed, st)
	}
}

// Guards against a misbehaviour that does not show in the answers: rollout experiments
// with it would pass without a test of the rollout.
func TestStandinMisbehaves(t *testing.T) {
	for _, bad := range []Misbehaviour{BadAtOnce, BadLater, BadOneRoute} {
		c := testConfig()
		c.Bad, c.BadAfter, c.BadRoute = bad, time.Minute, "/cabinets"
		s := New(c)
		if w := send(t, s.Handler(), http.MethodGet, "/cabinets/7", ""); (w.Code == http.StatusOK) != (bad == BadLater) {
			t.Errorf("%s at the start: status %d", bad, w.Code)
		}
		s.state.startedAt = s.state.startedAt.Add(-2 * c.BadAfter)
		if w := send(t, s.Handler(), http.MethodGet, "/cabinets/7", ""); w.Code != http.StatusInternalServerError {
			t.Errorf("%s: status %d", bad, w.Code)
		}
		if w := send(t, s.Handler(), http.MethodGet, "/other", ""); (w.Code == http.StatusOK) != (bad == BadOneRoute) {
			t.Errorf("%s on another route: status %d", bad, w.Code)
		}
	}
}

// Guards against a share of invalid answers that is not kept, and against one of them that
// net/http's client takes for the body of a healthy answer: the soak would miss it.
func TestStandinSendsInvalidAnswers(t *testing.T) {
	s := New(testConfig())
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	set := func(share string) {
		resp, err := http.Post(srv.URL+"/_standin/invalid?for=10000&share="+share, "", nil)
		if err != nil || resp.StatusCode != http.StatusNoContent {
			t.Fatal(resp, err)
		}
	}
	get := func() (string, error) {
		resp, err := http.Get(srv.URL + "/cabinets/7")
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return string(b), err
	}
	healthy := Answer("ledger", http.MethodGet, "/cabinets/7", "", nil)
	set("0")
	if got, err := get(); err != nil || got != healthy {
		t.Errorf("%q, %v", got, err)
	}
	set("100")
	for range 100 {
		if got, err := get(); err == nil && got == healthy {
			t.Errorf("%q", got)
		}
	}
}
