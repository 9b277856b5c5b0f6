package replog

import (
	"crypto/rand"
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog/wal"
)

const (
	identityFile  = "identity"
	identityMagic = "BTIDENT1"
	lockFile      = "lock"
)

// identity binds a data directory to a host of a group. A directory without an
// identity gets a new disk id, which is not recorded in the members of any
// group. A host whose disk was lost therefore cannot vote under its old
// identity.
type identity struct {
	Cluster string       `cbor:"1,keyasint"`
	Group   uint32       `cbor:"2,keyasint"`
	Host    model.HostID `cbor:"3,keyasint"`
	Disk    DiskID       `cbor:"4,keyasint"`
	// Founders are the voters that form the group, and FirstStart says that none of them
	// had run before; see Config. They are stored before the first vote, so that a host
	// that is stopped before the group is formed takes part with the settings of any
	// later start. Both are empty on a host that joined.
	Founders   []model.HostID `cbor:"5,keyasint,omitempty"`
	FirstStart bool           `cbor:"6,keyasint,omitempty"`
}

// openIdentity reads the identity in dir, or creates one if dir is empty. If the identity in
// dir states no founders, because it is of a former release or of a host that joined, those of
// want apply without FirstStart.
func openIdentity(fsys wal.FS, dir string, want identity) (identity, error) {
	names, err := fsys.List(dir)
	if err != nil {
		return want, diskError(wal.Classify(err))
	}
	name := filepath.Join(dir, identityFile)
	isSegment := func(n string) bool { return strings.HasSuffix(n, wal.SegmentSuffix) }
	if slices.Contains(names, identityFile) {
		if !slices.ContainsFunc(names, isSegment) {
			return want, eris.Wrapf(ErrDamaged, "%s exists, but the write-ahead log is missing", name)
		}
		if err := wal.CheckFirstSegment(fsys, dir); err != nil {
			return want, diskError(err)
		}
		return loadIdentity(fsys, name, want)
	}
	for _, n := range names {
		if n != lockFile && n != identityFile+wal.TempSuffix && !isSegment(n) {
			return want, eris.Wrapf(ErrDamaged, "%s is missing, but %s exists", name, n)
		}
	}
	if err := createLog(fsys, dir); err != nil {
		return want, err
	}
	want.Disk = DiskID(rand.Text())
	body, err := cbor.Marshal(want)
	if err != nil {
		return want, eris.Wrapf(ErrDisk, "encode identity: %v", err)
	}
	head := binary.LittleEndian.AppendUint32([]byte(identityMagic), crc32.Checksum(body, castagnoli))
	return want, diskError(wal.WriteAtomic(fsys, name, head, body))
}

// createLog creates the write-ahead log before the identity file. An identity
// without a log therefore means that votes and entries were lost, and cannot be
// taken for a first start.
func createLog(fsys wal.FS, dir string) error {
	w, err := wal.Open(fsys, dir, 0, func(uint64, []byte) error {
		return eris.Wrap(wal.ErrDamaged, "the write-ahead log is not empty, but the identity file is missing")
	})
	if err != nil {
		return diskError(err)
	}
	return diskError(wal.Classify(w.Close()))
}

func loadIdentity(fsys wal.FS, name string, want identity) (identity, error) {
	b, err := fsys.ReadFile(name)
	if err != nil {
		return want, diskError(wal.Classify(err))
	}
	head := len(identityMagic) + 4
	if len(b) < head || string(b[:len(identityMagic)]) != identityMagic {
		return want, eris.Wrapf(ErrDamaged, "%s at offset 0: wrong file header", name)
	}
	var id identity
	if crc32.Checksum(b[head:], castagnoli) != binary.LittleEndian.Uint32(b[len(identityMagic):]) || cbor.Unmarshal(b[head:], &id) != nil {
		return want, eris.Wrapf(ErrDamaged, "%s at offset %d: checksum mismatch", name, head)
	}
	if id.Cluster != want.Cluster || id.Group != want.Group || id.Host != want.Host {
		return want, eris.Wrapf(ErrConfig, "%s belongs to cluster %q, group %d, host %s; this is cluster %q, group %d, host %s",
			name, id.Cluster, id.Group, id.Host, want.Cluster, want.Group, want.Host)
	}
	if len(id.Founders) == 0 {
		id.Founders = want.Founders
	}
	return id, nil
}
