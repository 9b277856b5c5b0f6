package distribute

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/membership"
)

var _ = Describe("Cache file", func() {
	var path string
	v := &Version{Position: positionAt(7), Config: configOf(route("r", "ledger", 1))}
	v.Sum = sumOf(v.Config)
	peers := []Parent{{Host: "n2", Role: "node", DataCentre: "thun", Address: "127.0.0.1:2"}}
	BeforeEach(func() { path = filepath.Join(GinkgoT().TempDir(), "n1.cache") })

	It("returns what was written, and nothing if there is no file", func() {
		c, err := ReadCache(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Version).To(BeNil())
		Expect(WriteCache(path, Cache{Version: v, Peers: peers})).To(Succeed())
		c, err = ReadCache(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(c).To(Equal(Cache{Version: v, Peers: peers}))
	})

	// A damaged file must never give a version, or a node would start with a
	// configuration that nobody published.
	It("refuses a file that is truncated or changed at any byte, and names it", func() {
		Expect(WriteCache(path, Cache{Version: v, Peers: peers})).To(Succeed())
		whole, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		damaged := func(b []byte) {
			GinkgoHelper()
			Expect(os.WriteFile(path, b, 0o600)).To(Succeed())
			c, err := ReadCache(path)
			Expect(err).To(MatchError(ErrCache))
			Expect(err).To(MatchError(ContainSubstring(path)))
			Expect(c.Version).To(BeNil())
		}
		for i := range whole {
			damaged(whole[:i])
			flipped := append([]byte{}, whole...)
			flipped[i] ^= 0x10
			damaged(flipped)
		}
		damaged(append(whole, 0))
	})
})

// TestKeepCache guards against a write for each change of a burst, and against
// a last change that is not written.
func TestKeepCache(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.cache")
	synctest.Test(t, func(t *testing.T) {
		s, writes := NewStore(), 0
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- KeepCache(ctx, path, s, membership.NewTable(), func() []Parent { writes++; return nil }, discardLog)
		}()
		for i := range uint64(100) {
			if err := s.Publish(positionAt(i+1), configOf(route("r", "ledger", int(i%3)))); err != nil {
				t.Fatal(err)
			}
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(2 * cacheInterval)
		cancel()
		<-done
		c, err := ReadCache(path)
		if err != nil || c.Version.Position != positionAt(100) {
			t.Errorf("cache %+v, error %v", c, err)
		}
		if writes > 5 {
			t.Errorf("%d writes for 100 changes in 3 s", writes)
		}
	})
}

// TestCachedVersionBelowFloor guards against a version from a cache file that
// is brought into force again after the floor has risen above it.
func TestCachedVersionBelowFloor(t *testing.T) {
	p := newProcess(nodeIdentity("n1"))
	v := &Version{Position: positionAt(7), Config: configOf(route("r", "ledger", 1))}
	v.Sum = sumOf(v.Config)
	if err := p.a.Restore(v); err != nil {
		t.Fatal(err)
	}
	p.a.SetFloor(positionAt(8))
	held := p.a.InForce()
	p.eps.Merge(servingAnnouncement("n2", "ledger", 1))
	p.a.ReleaseHeldRoutes()
	if p.a.InForce() != held {
		t.Error("routes of a version below the floor came into force")
	}
	if err := p.a.Restore(v); err == nil {
		t.Error("the same version was restored twice")
	}
}
