package claim

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// startEndpoint starts a peer endpoint with a certificate of ca for id.
func startEndpoint(ca *peer.DevCA, id peer.Identity, register func(*peer.Endpoint)) *peer.Endpoint {
	files, err := ca.Issue(id)
	Expect(err).NotTo(HaveOccurred())
	creds, err := peer.LoadCredentials(files)
	Expect(err).NotTo(HaveOccurred())
	e, err := peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: creds})
	Expect(err).NotTo(HaveOccurred())
	register(e)
	DeferCleanup(background(e.Serve))
	return e
}

// Guards against fields lost in encoding, and against an owner that is not the
// one in the peer certificate.
var _ = Describe("Client and Service over peer connections", func() {
	It("claims, completes and answers a resend", func() {
		ca, err := peer.OpenDevCA(GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		log := &fakeLog{leader: "c1", state: NewState()}
		svc := NewService(ServiceConfig{Groups: map[uint32]Group{1: {Log: log.at("c1"), State: log.state}},
			NotLeader: func(error) (model.HostID, bool) { return "", false }})
		control := startEndpoint(ca, peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}, svc.Register)
		node := startEndpoint(ca, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}, func(*peer.Endpoint) {})
		c := NewClient(ClientConfig{PeerCaller: node, Groups: 1, Incarnation: func() uint64 { return 7 },
			Hosts: func() []ControlHost { return []ControlHost{{Host: "c1", Address: control.Addr().String()}} }})
		key := newKey("a")
		g, err := claimWithTimeout(c, key, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(log.state.HasClaimOf("n1", 7)).To(BeTrue())
		Expect(log.state.HasClaimOf("n1", 6)).To(BeFalse())
		answer := NewAnswer(201, []Header{{Name: "Location", Value: "/1"}}, []byte("done"))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(c.Complete(ctx, g, answer)).To(Succeed())
		var answered *AnsweredError
		_, err = claimWithTimeout(c, key, 5*time.Second)
		Expect(errors.As(err, &answered)).To(BeTrue())
		Expect(answered.Answer).To(Equal(answer))
	})
})
