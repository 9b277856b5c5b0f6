package membership

import (
	"slices"

	"balsamtrail.org/mesh/model"
)

// dataCentreHosts holds the live hosts of one data dataCentreHosts.
type dataCentreHosts struct {
	hosts map[model.HostID]Announcement
	// sorted is hosts by host; nil after a change. It is never changed in place.
	sorted []Announcement
}

// addAlive adds a live host to its data centre. The mutex is held.
func (t *Table) addAlive(a Announcement) {
	t.aliveHosts++
	c := t.dataCentres[a.DataCentre]
	if c == nil {
		c = &dataCentreHosts{hosts: map[model.HostID]Announcement{}}
		t.dataCentres[a.DataCentre] = c
	}
	c.hosts[a.Host] = a
	c.sorted = nil
}

// removeAlive takes a live host out of its data centre. The mutex is held.
func (t *Table) removeAlive(a Announcement) {
	t.aliveHosts--
	c := t.dataCentres[a.DataCentre]
	delete(c.hosts, a.Host)
	c.sorted = nil
	if len(c.hosts) == 0 {
		delete(t.dataCentres, a.DataCentre)
	}
}

// Living returns the number of hosts that are serving or draining.
func (t *Table) Living() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aliveHosts
}

// DataCentre returns the live hosts of a data centre by host. The result is
// shared between callers and must not be changed. It is made once after each
// change there: a node asks for it every few seconds, and copying and sorting all
// of 13,000 records each time cost 0.7% of a core.
func (t *Table) DataCentre(dc model.DataCentre) []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.dataCentres[dc]
	if c == nil {
		return nil
	}
	if c.sorted == nil {
		c.sorted = make([]Announcement, 0, len(c.hosts))
		for _, a := range c.hosts {
			c.sorted = append(c.sorted, a)
		}
		slices.SortFunc(c.sorted, byHost)
	}
	return c.sorted
}
