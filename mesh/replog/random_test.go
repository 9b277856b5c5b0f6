package replog

import (
	"flag"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"balsamtrail.org/mesh/invariant"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	flag.Parse()
	// Runs are reproducible unless flags set another seed or number of checks.
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	m.Run()
}

// Guards against two leaders in a term, logs that match at an entry but not
// before it, hosts that apply different sequences, lost committed entries, and
// reads confirmed by a host that is no longer the leader. The faults are any mix
// of message loss, delay, duplication, partitions, crashes, full disks,
// snapshots and membership changes.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []hostID{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five hosts") {
			hosts = append(hosts, "d", "e")
		}
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), hosts...)
		s.awaitLeader()
		s.add("x", nil)
		pick := func() *simHost { return s.hosts[rapid.SampledFrom(s.order).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"steps": func(t *rapid.T) { s.steps(rapid.IntRange(1, 60).Draw(t, "steps")) },
			"propose": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "proposals") {
					for _, h := range s.order {
						s.propose(s.hosts[h])
					}
				}
				s.steps(3)
			},
			"confirm": func(*rapid.T) {
				for _, h := range s.order {
					s.confirm(s.hosts[h])
				}
			},
			"network": func(t *rapid.T) {
				s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				s.duplicate = rapid.Float64Range(0, 0.4).Draw(t, "repeat")
				s.delay = rapid.IntRange(1, 12).Draw(t, "delay")
			},
			"partition": func(*rapid.T) { s.partition(pick().id, pick().id) },
			"one way": func(*rapid.T) {
				s.blocked[[2]hostID{pick().id, pick().id}] = true
			},
			"crash":    func(*rapid.T) { s.crash(pick().id) },
			"restart":  func(*rapid.T) { s.restart(pick().id) },
			"snapshot": func(*rapid.T) { s.snapshot(pick().id) },
			"full":     func(t *rapid.T) { pick().fs.SetFree(rapid.Int64Range(0, 300).Draw(t, "free")) },
			"heal":     func(*rapid.T) { s.heal(); s.steps(40) },
			"hand over": func(*rapid.T) {
				if l := s.leader(); l != nil && !l.diskFull {
					_ = l.eng.core.TransferLeadership(s.now)
					s.runHost(l)
				}
			},
			"hosts": func(t *rapid.T) {
				if l := s.leader(); l != nil {
					h := pick()
					if rapid.Bool().Draw(t, "remove") {
						_ = l.eng.core.RemoveHost(h.id)
					} else {
						_ = l.eng.core.AddHost(Member{Host: h.id, Disk: h.disk})
					}
				}
			},
		})
		s.checkConvergence()
	})
}

// Guards against invariant checks that never fire: each one is violated once.
func TestInvariantChecksFire(t *testing.T) {
	core := func() *Core { return newSim(t, 1, "a").hosts["a"].eng.core }
	for name, violate := range map[string]func(){
		"term would decrease":                   func() { c := core(); c.term = 5; c.becomeFollower(4, "") },
		"commit index would decrease":           func() { c := core(); c.commit = 5; c.setCommit(4) },
		"committed entry would be replaced":     func() { (&memLog{entries: make([]Entry, 3)}).truncate(2, 2) },
		"entries would be applied out of order": func() { newApplier(&listMachine{}, nil, "", 3).apply(Entry{Index: 3}) },
	} {
		t.Run(name, func(t *testing.T) {
			before := invariant.Violations()
			defer func() {
				if r := recover(); r == nil || !strings.Contains(r.(string), name) || invariant.Violations() != before+1 {
					t.Fatalf("got %v", r)
				}
			}()
			violate()
		})
	}
}
