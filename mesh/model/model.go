// Package model holds the identifiers and small value types that every slice
// shares. It knows no encoding, no socket and no clock.
package model

import (
	"cmp"
	"fmt"
)

// HostID names one process of the system; it is unique for the life of the mesh.
type HostID string

// DataCentre names a data centre.
type DataCentre string

// ServiceName names a service.
type ServiceName string

// ServiceVersion names one version of a service.
type ServiceVersion string

// RouteName names a route.
type RouteName string

// OperatorName names an authenticated operator.
type OperatorName string

// OperationID identifies one operator request; a resend carries the same one.
type OperationID string

// Position is the version of the configuration. It only grows: Epoch when the
// control group is rebuilt after the loss of its quorum, Index with each entry
// of the replicated log that changes the configuration.
type Position struct {
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Compare orders positions by epoch, then by index.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Epoch, q.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// Less reports whether p is older than q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether no configuration has been learned.
func (p Position) IsZero() bool { return p == Position{} }

// String formats the position as epoch.index.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Epoch, p.Index) }

// Share is a part of the calls of a service in units of 1/10,000.
type Share uint32

// ShareAll is the share of all calls.
const ShareAll Share = 10_000
