// Package directory tells nodes which control hosts there are, so that a mesh
// keeps working after every control host named in the settings has been
// replaced.
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

// ErrStream is returned when the directory stream has ended.
var ErrStream = eris.New("directory stream ended")

// Directory is a node's list of control hosts. One mutex guards it.
type Directory struct {
	mu sync.Mutex
	// settings holds the control hosts that the node's settings name.
	settings []Host
	index    uint64
	hosts    []Host
	// learned is closed when the first list arrives.
	learned   chan struct{}
	learnOnce sync.Once
}

// New returns a directory that starts with the control hosts of the settings.
func New(settings []Host) *Directory {
	return &Directory{settings: settings, hosts: settings, learned: make(chan struct{})}
}

// Learned returns a channel that is closed once a control host has sent a list.
func (d *Directory) Learned() <-chan struct{} { return d.learned }

// Hosts returns the control hosts. The caller must not modify the slice.
func (d *Directory) Hosts() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts
}

// SetSettings replaces the control hosts that the settings name.
func (d *Directory) SetSettings(hosts []Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.settings = hosts
}

// Fallback returns the control hosts of the settings that are not in the list.
// A node tries them when no listed host answers.
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

// Update adopts a list and reports whether it differs from the current one. It
// ignores an empty list and one older than the current one. A host that the
// settings name keeps its address from there, because a node may reach it at
// another address than the other control hosts do.
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

// Source returns the accepted list as one control host knows it, or an empty
// list, and a channel that is closed at the next change.
type Source func() (List, <-chan struct{})

// Serve sends the list at the start of the stream and after each change until
// the stream ends.
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

// Follow adopts each list that arrives until the stream ends. It calls changed
// after each one that differs from the previous one.
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
