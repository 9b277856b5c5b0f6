package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Format and lifetime of keys.
const (
	// KeyLifetime is how long a key and its answer are kept after the key's creation time.
	KeyLifetime = 24 * time.Hour
	// MaxClockSkew is how far a key's creation time may be in the future; it allows for callers' clock error.
	MaxClockSkew = 5 * time.Minute
	// minOpaqueBytes is the minimum length of the opaque part.
	minOpaqueBytes = 8
	// maxOpaqueBytes is the maximum length of the opaque part.
	maxOpaqueBytes = 64
)

// Instant is a Unix time in milliseconds. Commands carry it because the log's
// encoding must not depend on time zones or on the default precision of CBOR.
type Instant int64

// InstantOf converts t, truncated to milliseconds.
func InstantOf(t time.Time) Instant { return Instant(t.UnixMilli()) }

// Time converts i to local time.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)) }

// add returns i+d, at most the greatest Instant, so that a forged time cannot
// overflow to the past.
func (i Instant) add(d time.Duration) Instant {
	ms := Instant(d.Milliseconds())
	if sum := i + ms; ms < 0 || sum >= i {
		return sum
	}
	return 1<<63 - 1
}

// KeyTime returns the creation time of a key. It returns ErrBadKey unless the key
// has the format <creation time in Unix seconds>-<opaque part>.
func KeyTime(key string) (Instant, error) {
	seconds, opaque, ok := strings.Cut(key, "-")
	if !ok || len(opaque) < minOpaqueBytes || len(opaque) > maxOpaqueBytes {
		return 0, eris.Wrap(ErrBadKey, "want <unix seconds>-<8 to 64 characters>")
	}
	for _, c := range []byte(opaque) {
		if c <= ' ' || c > '~' {
			return 0, eris.Wrap(ErrBadKey, "opaque part has a character outside printable ASCII")
		}
	}
	n, err := strconv.ParseUint(seconds, 10, 40)
	if err != nil || seconds != strconv.FormatUint(n, 10) {
		return 0, eris.Wrapf(ErrBadKey, "%.20q is not a time in Unix seconds", seconds)
	}
	return Instant(n * 1000), nil
}

// GroupOf returns the replicated log group, from 1, that holds the key. The
// number of groups must not change during the life of a mesh: with another number
// a claim would be looked up in a group that has no record of it.
func GroupOf(key string, groups uint32) uint32 {
	return 1 + uint32(xxhash.Sum64String(key)%uint64(groups))
}
