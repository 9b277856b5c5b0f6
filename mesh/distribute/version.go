// Package distribute delivers each version of the configuration and each change
// of the endpoint table to every node. Both come from the source, the control
// hosts, which are the roots of a fan-out tree. The package contains the
// versions and their history, their acceptance on a node, snapshots, the watch
// stream between a parent and its child, the tree, and the repair between
// peers.
package distribute

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Version is the configuration at one position. It is immutable.
type Version struct {
	Position model.Position
	Config   note.Config
	// Sum identifies the content of Config; see sumOf.
	Sum uint64
}

// detEncMode encodes equal values to equal bytes. Checksums and snapshot
// identifiers depend on that.
var detEncMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Record kinds in a checksum.
const (
	sumService byte = iota + 1
	sumRoute
	sumShares
	sumDataCentre
	sumLimits
)

// hashRecord hashes one record. The key is part of the hash, so that equal
// values under two keys do not cancel each other out.
func hashRecord(kind byte, key string, v any) uint64 {
	b, err := detEncMode.Marshal(v)
	if err != nil {
		panic(err) // configuration records hold only encodable types
	}
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write([]byte{kind})
	_, _ = h.WriteString(key)
	_, _ = h.Write(b)
	return h.Sum64()
}

// sumOf returns the checksum of a configuration, the XOR of the hashes of all
// records, so that sumAfter can update it in time proportional to a delta. A
// data centre in service counts as absent, as in note.Diff.
func sumOf(c note.Config) uint64 {
	var sum uint64
	for k := range c.Services {
		sum ^= serviceHash(c, k)
	}
	for k := range c.Routes {
		sum ^= routeHash(c, k)
	}
	for k := range c.Shares {
		sum ^= sharesHash(c, k)
	}
	for k := range c.DataCentres {
		sum ^= dataCentreHash(c, k)
	}
	return sum ^ limitsHash(c)
}

// sumAfter returns the checksum of to, given the checksum of from and the delta
// d between the two.
func sumAfter(sum uint64, from, to note.Config, d note.Delta) uint64 {
	t := touchedBy(d)
	for k := range t.services {
		sum ^= serviceHash(from, k) ^ serviceHash(to, k)
	}
	for k := range t.routes {
		sum ^= routeHash(from, k) ^ routeHash(to, k)
	}
	for k := range t.shares {
		sum ^= sharesHash(from, k) ^ sharesHash(to, k)
	}
	for k := range d.DataCentres {
		sum ^= dataCentreHash(from, k) ^ dataCentreHash(to, k)
	}
	return sum ^ limitsHash(from) ^ limitsHash(to)
}

// touchedKeys is the set of keys that a delta names. Each key counts once in a
// checksum.
type touchedKeys struct {
	services map[model.ServiceName]struct{}
	routes   map[model.RouteName]struct{}
	shares   map[model.ServiceName]struct{}
}

func touchedBy(d note.Delta) touchedKeys {
	t := touchedKeys{
		services: map[model.ServiceName]struct{}{},
		routes:   map[model.RouteName]struct{}{},
		shares:   map[model.ServiceName]struct{}{},
	}
	for _, s := range d.Services {
		t.services[s.Name] = struct{}{}
	}
	for _, s := range d.RemovedServices {
		t.services[s] = struct{}{}
	}
	for _, r := range d.Routes {
		t.routes[r.Name] = struct{}{}
	}
	for _, r := range d.RemovedRoutes {
		t.routes[r] = struct{}{}
	}
	for s := range d.Shares {
		t.shares[s] = struct{}{}
	}
	for _, s := range d.RemovedShares {
		t.shares[s] = struct{}{}
	}
	return t
}

func serviceHash(c note.Config, k model.ServiceName) uint64 {
	if v, ok := c.Services[k]; ok {
		return hashRecord(sumService, string(k), v)
	}
	return 0
}

func routeHash(c note.Config, k model.RouteName) uint64 {
	if v, ok := c.Routes[k]; ok {
		return hashRecord(sumRoute, string(k), v)
	}
	return 0
}

func sharesHash(c note.Config, k model.ServiceName) uint64 {
	if v, ok := c.Shares[k]; ok {
		return hashRecord(sumShares, string(k), v)
	}
	return 0
}

// limitsHash is 0 for a configuration without limits, as for one of a former release.
func limitsHash(c note.Config) uint64 {
	if c.Limits == (note.CallerLimits{}) {
		return 0
	}
	return hashRecord(sumLimits, "", c.Limits)
}

func dataCentreHash(c note.Config, k model.DataCentre) uint64 {
	if v, ok := c.DataCentres[k]; ok && v != note.DataCentreInService {
		return hashRecord(sumDataCentre, string(k), v)
	}
	return 0
}
