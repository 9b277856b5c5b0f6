// Package directory tells nodes which control hosts there are, so that a mesh
// outlives the replacement of every control host that the settings name.
package directory

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// ErrStream is returned when the stream of the list ended.
var ErrStream = eris.New("stream of the control hosts ended")

// Directory is a node's list of control hosts. One mutex guards it.
type Directory struct {
	mu sync.Mutex
	// settings holds the addresses that the node's own settings state.
	settings []Host
	index    uint64
	hosts    []Host
	// learned is closed at the first list.
	learned   chan struct{}
	learnOnce sync.Once
}

// New returns a directory that begins with the hosts of the settings.
func New(settings []Host) *Directory {
	return &Directory{settings: settings, hosts: settings, learned: make(chan struct{})}
}

// Learned returns a channel that is closed once a control host has sent a list.
func (d *Directory) Learned() <-chan struct{} { return d.learned }

// Hosts returns the control hosts; the caller must not change the list.
func (d *Directory) Hosts() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts
}

// SetSettings replaces the hosts that the settings state.
func (d *Directory) SetSettings(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings = hosts
}

// Fallback returns the hosts of the settings that are not in the list. They are
// worth a try when no listed host answers.
func (d *Directory) Fallback() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Host
	for _, s := range d.settings {
		if !slices.ContainsFunc(d.hosts, func(h Host) bool { return h.Host == s.Host }) {
			out = append(out, s)
		}
	}
	return out
}

// Update takes a list over and reports whether it differs from the present one.
// An empty list and one that is older than the present one change nothing. The
// address that the settings state for a host is kept, since a node may reach a
// host by another address than the other control hosts do.
func (d *Directory) Update(l List) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(l.Hosts) == 0 || l.Index < d.index {
		return false
	}
	hosts := slices.Clone(l.Hosts)
	for i, h := range hosts {
		for _, s := range d.settings {
			if s.Host == h.Host {
				hosts[i].Peer = s.Peer
			}
		}
	}
	d.learnOnce.Do(func() { close(d.learned) })
	byName := func(a, b Host) int { return cmp.Compare(a.Host, b.Host) }
	slices.SortFunc(hosts, byName)
	d.index = l.Index
	if slices.Equal(hosts, slices.SortedFunc(slices.Values(d.hosts), byName)) {
		return false
	}
	d.hosts = hosts
	return true
}

// Source states the control hosts as one control host knows them: the accepted
// list, or an empty one, and a channel that is closed at the next change.
type Source func() (List, <-chan struct{})

// Serve sends the list at the start and after each change until the stream ends.
func Serve(ctx context.Context, source Source, st peer.Stream) error {
	var sent List
	for {
		l, changed := source()
		if len(l.Hosts) > 0 && !slices.Equal(l.Hosts, sent.Hosts) {
			if err := st.Send(l); err != nil {
				return eris.Wrapf(ErrStream, "send: %v", err)
			}
			sent = l
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-st.Context().Done():
			return ErrStream
		}
	}
}

// Follow takes over each list that arrives until the stream ends, and calls
// changed after each one that differs from the former.
func Follow(ctx context.Context, d *Directory, st peer.Stream, changed func([]model.HostID)) error {
	defer context.AfterFunc(ctx, st.Abort)()
	for {
		var l List
		if err := st.Recv(&l); err != nil {
			return eris.Wrapf(ErrStream, "receive: %v", err)
		}
		if !d.Update(l) {
			continue
		}
		var names []model.HostID
		for _, h := range d.Hosts() {
			names = append(names, h.Host)
		}
		changed(names)
	}
}
