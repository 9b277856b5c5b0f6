package replog

import (
	"testing"

	"pgregory.net/rapid"

	"balsamtrail.org/mesh/replog/wal"
)

// Guards against a status that confuses a group that never had a leader with one that has
// lost its quorum.
func TestFormedNeedsTheDiskOfAVoter(t *testing.T) {
	for name, c := range map[string]struct {
		members Members
		want    bool
	}{
		"disks known":                 {Members{{Host: "c1", Disk: "d1", Voter: true}, {Host: "c2", Disk: "d2", Voter: true}}, true},
		"formed without one of them":  {Members{{Host: "c1", Disk: "d1", Voter: true}, {Host: "c2", Voter: true}}, true},
		"no disk of a voter known":    {Members{{Host: "c1", Voter: true}, {Host: "c2", Voter: true}}, false},
		"only the disk of a learner":  {Members{{Host: "c1", Voter: true}, {Host: "c2", Disk: "d2"}}, false},
		"a host that joins and waits": {nil, true},
	} {
		if got := c.members.Formed(); got != c.want {
			t.Errorf("%s: formed is %t", name, got)
		}
	}
}

// newFounding returns a sim whose hosts form their group at a first start. They are not
// started yet.
func newFounding(t testingT, seed uint64, firstStart bool, hosts ...hostID) *sim {
	s := newSim(t, seed)
	for _, h := range hosts {
		s.order = append(s.order, h)
		s.hosts[h] = &simHost{id: h, fs: wal.NewMemFS(), voters: hosts, firstStart: firstStart}
	}
	return s
}

// lose replaces the disk of a host by an empty one. It starts again without the settings of
// a founder, as a host that takes its place does.
func (s *sim) lose(id hostID) {
	s.hosts[id] = &simHost{id: id, fs: wal.NewMemFS()}
}

// join adds every host that runs and is not a member with its disk.
func (s *sim) join() {
	l := s.leader()
	if l == nil {
		return
	}
	for _, id := range s.order {
		h := s.hosts[id]
		if m, ok := l.eng.core.Members().Find(id); h.eng != nil && (!ok || m.Disk != h.disk) {
			_ = l.eng.core.AddHost(Member{Host: id, Disk: h.disk, Voter: h.eng.core.cfg.Founder})
			s.runHost(l)
		}
	}
}

// Guards against a group that never forms because one of its founders is lost before the
// first leader, or because all were killed before it and come back without their settings.
func TestFoundingBearsLosses(t *testing.T) {
	for name, trouble := range map[string]func(s *sim){
		"one lost before it started":     func(s *sim) { s.start(s.hosts["a"]); s.start(s.hosts["b"]); s.lose("c") },
		"one lost in the first election": func(s *sim) { s.heal(); s.steps(3); s.crash("c"); s.lose("c") },
		"all killed in the first election": func(s *sim) {
			s.heal()
			s.steps(3)
			for _, h := range s.order {
				s.crash(h)
				s.hosts[h].voters, s.hosts[h].firstStart = nil, false
			}
		},
		"all killed, one of them lost": func(s *sim) {
			s.heal()
			s.steps(3)
			for _, h := range s.order {
				s.crash(h)
				s.hosts[h].voters, s.hosts[h].firstStart = nil, false
			}
			s.lose("a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFounding(t, 3, true, "a", "b", "c")
			trouble(s)
			s.heal()
			s.awaitLeader()
			s.await("three voters with known disks", func() bool {
				s.join()
				l := s.leader()
				if l == nil {
					return false
				}
				known := 0
				for _, m := range l.eng.core.Members() {
					if m.Voter && m.Disk != "" {
						known++
					}
				}
				return known == 3
			})
			s.checkConvergence()
		})
	}
}

// Guards against two leaders in a term, and against two groups that are formed by the same
// founders, whatever starts, losses of disks, kills, joins and partitions come in what order;
// and against a group that does not form although a majority of its founders kept their disks.
// Two groups would commit different entries at the same index.
func TestRandomFoundings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []hostID{"a", "b", "c"}
		if rapid.Bool().Draw(t, "five hosts") {
			hosts = append(hosts, "d", "e")
		}
		firstStart := rapid.Bool().Draw(t, "first start")
		s := newFounding(t, rapid.Uint64().Draw(t, "seed"), firstStart, hosts...)
		lost, known := map[hostID]bool{}, map[hostID]bool{}
		pick := func() hostID { return rapid.SampledFrom(s.order).Draw(t, "host") }
		t.Repeat(map[string]func(*rapid.T){
			"start":     func(*rapid.T) { s.restart(pick()) },
			"start all": func(*rapid.T) { s.heal() },
			"steps":     func(t *rapid.T) { s.steps(rapid.IntRange(1, 60).Draw(t, "steps")) },
			"crash":     func(*rapid.T) { s.crash(pick()) },
			"kill all": func(*rapid.T) {
				for _, h := range s.order {
					s.crash(h)
				}
			},
			"settings without the start flag": func(*rapid.T) {
				// Only a host that has run keeps what it was started with.
				if h := s.hosts[pick()]; known[h.id] {
					h.voters, h.firstStart = nil, false
				}
			},
			"lose": func(*rapid.T) {
				id := pick()
				if !lost[id] && 2*(len(lost)+1) >= len(hosts) {
					return // a majority keeps its disks
				}
				lost[id] = true
				voters := s.hosts[id].voters
				s.lose(id)
				if !firstStart {
					// Without the flag of a first start, the settings may still name the
					// founders after the loss of a disk.
					s.hosts[id].voters = voters
				}
			},
			"join":      func(*rapid.T) { s.join() },
			"propose":   func(*rapid.T) { s.propose(s.hosts[pick()]) },
			"partition": func(*rapid.T) { s.partition(pick(), pick()) },
			"network": func(t *rapid.T) {
				s.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
				s.delay = rapid.IntRange(1, 12).Draw(t, "delay")
			},
			"": func(*rapid.T) {
				for id, h := range s.hosts {
					known[id] = known[id] || h.eng != nil
				}
			},
		})
		if !firstStart {
			return // all founders are needed, and one may have been lost
		}
		s.heal()
		s.awaitLeader()
		s.await("every host is a member", func() bool {
			s.join()
			l := s.leader()
			if l == nil {
				return false
			}
			for _, id := range s.order {
				if m, ok := l.eng.core.Members().Find(id); !ok || m.Disk != s.hosts[id].disk {
					return false
				}
			}
			return true
		})
		s.checkConvergence()
	})
}
