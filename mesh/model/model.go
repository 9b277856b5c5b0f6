// Package model defines identifiers and small value types that the other packages
// share. It contains no encoding, network or clock code.
package model

import (
	"cmp"
	"fmt"
)

// HostID identifies a process of the mesh. It is unique for the lifetime of the mesh.
type HostID string

// DataCentre is the name of a data centre.
type DataCentre string

// ServiceName is the name of a service.
type ServiceName string

// ServiceVersion is the name of a version of a service.
type ServiceVersion string

// RouteName is the name of a route.
type RouteName string

// OperatorName is the name of an authenticated operator.
type OperatorName string

// OperationID identifies a write request of an operator. Retries carry the same id,
// so that the write is applied at most once.
type OperationID string

// Position is the version of the configuration. It never decreases: Epoch is raised
// when the control group is rebuilt after the loss of its quorum, and Index grows
// with each entry of the replicated log that changes the configuration.
type Position struct {
	Epoch uint64 `cbor:"1,keyasint" json:"epoch"`
	Index uint64 `cbor:"2,keyasint" json:"index"`
}

// Compare compares positions by epoch, then by index, like cmp.Compare.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Epoch, q.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(p.Index, q.Index)
}

// Less reports whether p is older than q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the zero position, which stands for no configuration.
func (p Position) IsZero() bool { return p == Position{} }

// String formats the position as epoch.index.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Epoch, p.Index) }

// Share is a fraction of the calls of a service in units of 1/10,000.
type Share uint32

// ShareAll is the share of all calls.
const ShareAll Share = 10_000
