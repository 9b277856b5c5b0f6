package membership

import (
	"slices"

	"balsamtrail.org/mesh/model"
)

// dataCentreHosts holds the alive hosts of one data centre.
type dataCentreHosts struct {
	hosts map[model.HostID]Announcement
	// sorted caches the announcements in hosts, ordered by host; nil after a
	// change. It is shared with callers and never modified in place.
	sorted []Announcement
}

// addAlive adds an alive host to its data centre. The caller holds the mutex.
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

// removeAlive removes an alive host from its data centre. The caller holds the
// mutex.
func (t *Table) removeAlive(a Announcement) {
	t.aliveHosts--
	c := t.dataCentres[a.DataCentre]
	delete(c.hosts, a.Host)
	c.sorted = nil
	if len(c.hosts) == 0 {
		delete(t.dataCentres, a.DataCentre)
	}
}

// AliveHosts returns the number of hosts that are serving or draining.
func (t *Table) AliveHosts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aliveHosts
}

// AliveInDataCentre returns the alive hosts of a data centre, ordered by host. The result
// is shared between callers and must not be modified. It is computed only once
// after each change in the data centre: a node reads it every few seconds, and
// copying and sorting all of 13,000 records each time cost 0.7% of a core.
func (t *Table) AliveInDataCentre(dc model.DataCentre) []Announcement {
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
