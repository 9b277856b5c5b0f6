package model

import "fmt"

// Kind is the kind of the requests of a route. It determines whether they may be
// retried and hedged.
type Kind uint8

// The request kinds.
const (
	// KindLookup is an idempotent request that may be retried and hedged within a
	// budget.
	KindLookup Kind = iota + 1
	// KindWrite is a request that runs at most once and needs an idempotency key.
	KindWrite
	// KindUrgent is an idempotent internal request that is served before requests of
	// other kinds.
	KindUrgent
	// KindUpload is a request with a large body that runs at most once and has no
	// idempotency key.
	KindUpload
	// KindDownload is an idempotent request with a large response. It may be retried
	// but is not hedged, because a second response would take the room of others on
	// the caller's link.
	KindDownload
)

// Kinds lists all request kinds.
var Kinds = []Kind{KindLookup, KindWrite, KindUrgent, KindUpload, KindDownload}

var kindNames = map[Kind]string{
	KindLookup: "lookup", KindWrite: "write", KindUrgent: "urgent", KindUpload: "upload", KindDownload: "download",
}

// Valid reports whether k is one of Kinds.
func (k Kind) Valid() bool { return k >= KindLookup && k <= KindDownload }

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k == KindLookup || k == KindUrgent || k == KindDownload }

// String returns the name of the kind as used in notes and logs.
func (k Kind) String() string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// MarshalText implements encoding.TextMarshaler.
func (k Kind) MarshalText() ([]byte, error) {
	if n, ok := kindNames[k]; ok {
		return []byte(n), nil
	}
	return nil, fmt.Errorf("unknown request kind %d", uint8(k))
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Kind) UnmarshalText(b []byte) error {
	for kind, n := range kindNames {
		if n == string(b) {
			*k = kind
			return nil
		}
	}
	return fmt.Errorf("unknown request kind %q: want lookup, write, urgent, upload or download", b)
}
