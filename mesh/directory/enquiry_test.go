package directory_test

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/model"
)

// Guards against nodes that all connect to the control hosts of their settings, or to the
// one that has started first, while others are idle; against a node that waits for hosts
// that do not come; and against one that never starts beside hosts that do not answer.
func TestEnquiryDecidesForAControlHost(t *testing.T) {
	hosts := []directory.Host{{Host: "a1", DataCentre: "a"}, {Host: "a2", DataCentre: "a"}, {Host: "b1", DataCentre: "b"}}
	type answer struct {
		at        time.Duration
		host      model.HostID
		accepting bool
	}
	for name, c := range map[string]struct {
		answers []answer
		hosts   []directory.Host
		at      time.Duration
		want    model.HostID
	}{
		"both local hosts accept":     {[]answer{{0, "b1", true}, {10, "a2", true}, {20, "a1", true}}, hosts, 20, "a1"},
		"one local host is down":      {[]answer{{0, "b1", true}, {10, "a2", true}}, hosts, 60, "a2"},
		"no local host accepts":       {[]answer{{0, "b1", true}, {10, "a2", false}}, hosts, 250, "b1"},
		"a local host accepts later":  {[]answer{{0, "b1", true}, {200, "a2", true}}, hosts, 200, "a2"},
		"none accepts for a while":    {[]answer{{0, "b1", false}, {2000, "a1", true}}, hosts, 2060, "a1"},
		"none ever accepts":           {[]answer{{0, "b1", false}, {0, "a1", false}}, hosts, 5000, ""},
		"an earlier release":          {nil, hosts, 4000, ""},
		"data centres stay unknown":   {[]answer{{0, "a1", true}}, []directory.Host{{Host: "a1"}, {Host: "b1"}}, 60, "a1"},
		"a host stops accepting soon": {[]answer{{0, "a1", true}, {30, "a1", false}, {40, "a2", true}}, hosts, 60, "a2"},
	} {
		start := time.Unix(1000, 0)
		e := directory.NewEnquiry(start, "a")
		for ms := time.Duration(0); ; ms += 10 {
			now := start.Add(ms * time.Millisecond)
			for _, a := range c.answers {
				if a.at == ms {
					e.Record(now, a.host, a.accepting)
				}
			}
			if host, done := e.Decide(now, c.hosts); done || ms > 6000 {
				if host != c.want || ms != c.at {
					t.Errorf("%s: %q after %d ms, want %q after %d", name, host, ms, c.want, c.at)
				}
				break
			}
		}
	}
}

// Guards against a fleet whose enquiries take the processor time of the control hosts that
// are about to elect a leader, and against a node that never asks remote hosts again.
func TestEnquiryAsksFewHosts(t *testing.T) {
	start := time.Unix(1000, 0)
	hosts := []directory.Host{{Host: "a1", DataCentre: "a"}, {Host: "a2", DataCentre: "a"}, {Host: "b1", DataCentre: "b"}}
	e := directory.NewEnquiry(start, "a")
	e.Record(start, "a1", true)
	e.Record(start, "b1", false)
	if got := e.Targets(start, hosts); len(got) != 1 || got[0].Host != "a2" {
		t.Errorf("asks %+v, want the local host that has not accepted", got)
	}
	if got := e.Targets(start.Add(2*time.Second), hosts); len(got) != 2 {
		t.Errorf("asks %+v after two seconds, want a2 and b1", got)
	}
	if got := e.Targets(start, []directory.Host{{Host: "a3"}, {Host: "b3"}}); len(got) != 2 {
		t.Errorf("asks %+v, want all while the data centres are unknown", got)
	}
}
