package peer_test

import (
	"context"
	"errors"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/peer"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// endpoint starts an Endpoint whose certificate is signed by the CA in dir.
func endpoint(dir string, id peer.Identity) *peer.Endpoint {
	ca, err := peer.OpenDevCA(dir)
	Expect(err).NotTo(HaveOccurred())
	files, err := ca.Issue(id)
	Expect(err).NotTo(HaveOccurred())
	creds, err := peer.LoadCredentials(files)
	Expect(err).NotTo(HaveOccurred())
	e, err := peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: creds})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Serve(ctx) }()
	DeferCleanup(func() { cancel(); Eventually(done).WithTimeout(5 * time.Second).Should(BeClosed()) })
	return e
}

var _ = Describe("Endpoint", func() {
	var dir string
	var control, node *peer.Endpoint
	control1 := peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}
	node1 := peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}

	BeforeEach(func() {
		dir = GinkgoT().TempDir()
		control, node = endpoint(dir, control1), endpoint(dir, node1)
		peer.HandleCall(control, "echo", []peer.Role{peer.RoleNode},
			func(_ context.Context, from peer.Identity, req echo) (echo, error) {
				return echo{Text: req.Text + " from " + string(from.Host)}, nil
			})
		peer.HandleCall(control, "control-only", []peer.Role{peer.RoleControl},
			func(context.Context, peer.Identity, echo) (echo, error) { return echo{}, nil })
	})

	call := func(want peer.Identity, method string) (echo, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var out echo
		err := node.Call(ctx, control.Addr().String(), want, method, echo{Text: "hello"}, &out)
		return out, err
	}

	It("answers a call and takes the caller's identity from its certificate", func() {
		out, err := call(control1, "echo")
		Expect(err).NotTo(HaveOccurred())
		Expect(out.Text).To(Equal("hello from n1"))
	})

	It("refuses a node that calls a method reserved for control hosts", func() {
		_, err := call(control1, "control-only")
		Expect(errors.Is(err, peer.ErrForbidden)).To(BeTrue(), "%v", err)
	})

	It("refuses a host other than the expected one", func() {
		_, err := call(peer.Identity{Role: peer.RoleControl, Host: "c2"}, "echo")
		Expect(errors.Is(err, peer.ErrIdentity)).To(BeTrue(), "%v", err)
	})

	// Guards against a connection that is replaced while it is dialled and then
	// never closed: the node's Serve, which the clean-up waits for, would not
	// return.
	It("closes all connections to one address that were dialled for different identities", func() {
		var wg sync.WaitGroup
		for i := range 8 {
			want := control1
			if i%2 == 1 {
				want.Host = ""
			}
			wg.Go(func() {
				defer GinkgoRecover()
				_, err := call(want, "echo")
				Expect(err).NotTo(HaveOccurred())
			})
		}
		wg.Wait()
	})

	It("refuses a peer whose certificate is signed by another CA", func() {
		foreign := endpoint(GinkgoT().TempDir(), node1)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		var out echo
		err := foreign.Call(ctx, control.Addr().String(), control1, "echo", echo{}, &out)
		Expect(errors.Is(err, peer.ErrIdentity)).To(BeTrue(), "%v", err)
	})
})
