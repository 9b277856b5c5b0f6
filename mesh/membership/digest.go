package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"balsamtrail.org/mesh/model"
)

// digestBuckets is the number of buckets of a Digest. More buckets mean that fewer
// equal records are sent when two tables differ in a few, but make the digest
// longer.
const digestBuckets = 256

// Digest summarises a table for anti-entropy. It has a fixed number of buckets, to
// which hosts are assigned by hash. Each bucket is the XOR of the hashes of its
// records, so that a change updates it without a scan.
type Digest [digestBuckets]uint64

func bucketOf(h model.HostID) int { return int(xxhash.Sum64String(string(h)) % digestBuckets) }

// toggle adds the record, or removes it if it is in the digest.
func (d *Digest) toggle(a Announcement) {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(string(a.Host))
	var b [17]byte
	binary.BigEndian.PutUint64(b[0:], a.Incarnation)
	binary.BigEndian.PutUint64(b[8:], a.Sequence)
	b[16] = byte(a.State)
	_, _ = h.Write(b[:])
	d[bucketOf(a.Host)] ^= h.Sum64()
}

// Sum hashes all buckets into one value.
func (d *Digest) Sum() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, v := range d {
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], v)
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}

// Digest returns the digest of the table.
func (t *Table) Digest() Digest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Differing returns the records in the buckets in which the table differs from the
// other digest, and the change sequence up to which the result is complete.
func (t *Table) Differing(other Digest) ([]Announcement, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Announcement
	for e := t.changeOrder.Front(); e != nil; e = e.Next() {
		a := e.Value.(*record).ann
		if b := bucketOf(a.Host); other[b] != t.digest[b] {
			out = append(out, a)
		}
	}
	return out, t.seq
}
