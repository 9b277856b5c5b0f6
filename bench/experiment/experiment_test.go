package experiment

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"balsamtrail.org/bench/load"
	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/note/strictjson"
)

// Guards against a check that overlooks duplicated writes, answered writes that did
// not run, or writes that ran although they were refused as not run.
func TestCheckWritesFindsEachViolation(t *testing.T) {
	told := map[string]load.KeyReport{
		"good": {OK: true}, "refused": {NotRun: true}, "unknown": {},
		"twice": {OK: true}, "never": {OK: true}, "untrue": {NotRun: true},
	}
	var r FaultsResult
	r.checkWrites(told, map[string]int{"good": 1, "refused": 0, "unknown": 1, "twice": 2, "untrue": 1})
	if r.Duplicates != 1 || r.AnsweredButNotRun != 1 || r.RefusedButRan != 1 || len(r.Violations) != 3 {
		t.Fatalf("got %+v", r)
	}
}

// Guards against runs that are not recorded, and against shed requests counted as runs.
func TestRecordRunsLeavesOutRefusedRequests(t *testing.T) {
	file := filepath.Join(t.TempDir(), "runs")
	refuse := false
	h, err := RecordRuns(file, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if refuse {
			w.Header().Set(standin.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	send := func(key string) {
		r := httptest.NewRequest(http.MethodPost, "/restocks", nil)
		r.Header.Set(standin.HeaderIdempotencyKey, key)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
	send("once")
	send("twice")
	send("twice")
	refuse = true
	send("shed")
	runs := map[string]int{}
	if err := ReadRuns(file, runs); err != nil {
		t.Fatal(err)
	}
	if runs["once"] != 1 || runs["twice"] != 2 || runs["shed"] != 0 || duplicates(runs) != 1 {
		t.Fatalf("got %v", runs)
	}
}

// Guards against a baseline that is weaker than documented: it must try four times and
// return the last answer.
func TestProxyRetriesThreeTimes(t *testing.T) {
	tries := 0
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tries++
		b, _ := io.ReadAll(r.Body)
		if tries%4 != 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write(b)
	}))
	defer backend.Close()
	front := httptest.NewServer(NewProxy())
	defer front.Close()
	if err := setProxyRoutes(front.URL, []ProxyRoute{{Prefix: "/restocks", Servers: []string{backend.Listener.Addr().String()}}}); err != nil {
		t.Fatal(err)
	}
	if err := post(front.URL+"/restocks", []byte("body")); err != nil {
		t.Fatal(err)
	}
	if tries != 4 {
		t.Fatalf("%d tries", tries)
	}
}

// Guards against fractions of a service that do not add up to 1, a data centre outage
// that leaves a service untouched, and a release note that cannot be decoded.
func TestSizes(t *testing.T) {
	for _, s := range []Size{Aare(), Sfax()} {
		parts := map[model.ServiceName]float64{}
		for _, r := range s.Routes {
			parts[r.Service] += r.Fraction
		}
		for _, svc := range s.Services {
			if p := parts[svc.Name]; p < 0.999 || p > 1.001 {
				t.Errorf("%s: fractions of %s add up to %f", s.Name, svc.Name, p)
			}
			if !slices.Contains(svc.DataCentres, s.OutageDataCentre) {
				t.Errorf("%s: %s has no server in %s", s.Name, svc.Name, s.OutageDataCentre)
			}
		}
		text, err := s.note(Timeouts{time.Second, time.Second, time.Second}, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		var n note.Note
		if err := strictjson.Unmarshal([]byte(text), &n); err != nil {
			t.Errorf("%s: %v", s.Name, err)
		}
	}
}

// Guards against faults that depend on anything but the seed, so that a run could not
// be repeated.
func TestRandomEventDependsOnSeed(t *testing.T) {
	sequence := func(seed uint64) []faultEvent {
		rng := rand.New(rand.NewPCG(seed, seed))
		var out []faultEvent
		for range 50 {
			out = append(out, randomEvent(rng))
		}
		return out
	}
	if !slices.Equal(sequence(1), sequence(1)) || slices.Equal(sequence(1), sequence(2)) {
		t.Fatal("the sequence must depend on the seed and on nothing else")
	}
}

// Guards against choosing the quiet rounds by the latency of the measured variant
// instead of that of direct calls.
func TestQuietAddedChoosesRoundsByTheBase(t *testing.T) {
	base := []float64{9, 1, 9, 9}
	values := []float64{9, 4, 9, 9}
	if got := quietAdded(base, values); got != 3 {
		t.Fatalf("got %f, want 3", got)
	}
}
