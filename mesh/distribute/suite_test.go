package distribute

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
)

// init fixes the seed of rapid; -rapid.seed on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
	invariant.SetFatal(true)
}

func TestDistribute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "distribute")
}

var discardLog = slog.New(slog.DiscardHandler)

func positionAt(i uint64) model.Position { return model.Position{Epoch: 1, Index: i} }

func service(name string) note.Service {
	return note.Service{Name: model.ServiceName(name), Slots: 20, Connections: 100, QueueLimit: 10, QueueTimeout: time.Second}
}

func route(name, target string, retries int) note.Route {
	return note.Route{Name: model.RouteName(name), PathPrefix: "/" + name, Methods: []string{"GET"},
		Service: model.ServiceName(target), Kind: model.KindLookup, Timeout: time.Second, MaxRetries: retries}
}

// configOf returns a configuration of the given routes and their services.
func configOf(routes ...note.Route) note.Config {
	c := note.NewConfig()
	for _, r := range routes {
		c.Services[r.Service] = service(string(r.Service))
		c.Routes[r.Name] = r
	}
	return c
}

func drawConfig(t *rapid.T) note.Config {
	c := note.NewConfig()
	for i := range rapid.IntRange(0, 4).Draw(t, "services") {
		name := fmt.Sprintf("s%d", i)
		c.Services[model.ServiceName(name)] = service(name)
		if rapid.Bool().Draw(t, "shares") {
			c.Shares[model.ServiceName(name)] = note.Shares{"v1": model.Share(rapid.SampledFrom([]int{0, 5000}).Draw(t, "share")), "v2": 0}
			s := c.Shares[model.ServiceName(name)]
			s["v2"] = model.ShareAll - s["v1"]
		}
		for range rapid.IntRange(0, 3).Draw(t, "routes") {
			r := route(fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "route")), name, rapid.IntRange(0, 2).Draw(t, "retries"))
			c.Routes[r.Name] = r
		}
	}
	if rapid.Bool().Draw(t, "out") {
		c.DataCentres["thun"] = note.DataCentreOut
		c.Limits.BodyBytes = rapid.Int64Range(0, 2).Draw(t, "body bytes")
	}
	return c
}

func servingAnnouncement(host, svc string, seq uint64) membership.Announcement {
	return membership.Announcement{Host: model.HostID(host), Incarnation: 1, Sequence: seq, Service: model.ServiceName(svc),
		Version: "v1", DataCentre: "thun", CallAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Slots: 20, State: membership.StateServing}
}

func nodeIdentity(host string) peer.Identity {
	return peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: model.HostID(host)}
}

var sourceIdentity = peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}

// process is a control host or node in a test.
type process struct {
	id    peer.Identity
	store *Store
	eps   *membership.Table
	a     *Acceptor
	serve ServeOptions
}

func newProcess(id peer.Identity) *process {
	p := &process{id: id, store: NewStore(), eps: membership.NewTable()}
	p.serve = ServeOptions{Freshness: &Freshness{}, Log: discardLog}
	if id.Role == peer.RoleControl {
		p.serve.Subtree, p.serve.Admission = NewSubtree(nil), NewAdmission(SourceAdmission())
		return p
	}
	p.a = NewAcceptor(id.Host, p.store, p.eps, discardLog)
	p.serve.Subtree, p.serve.Admission = NewSubtree(p.a.Report), NewAdmission(NodeAdmission())
	return p
}

func (p *process) follow() FollowOptions {
	return FollowOptions{Subtree: p.serve.Subtree, Freshness: p.serve.Freshness, Progress: &Progress{}, Log: discardLog}
}

// open starts Serve on p as the parent and returns the child's end of the
// stream.
func (p *process) open(ctx context.Context, child peer.Identity) peer.Stream {
	clientEnd, serverEnd := peer.Pipe(child, p.id)
	go func() {
		if Serve(ctx, p.store, p.eps, serverEnd, p.serve) != nil {
			serverEnd.Abort()
		}
	}()
	return clientEnd
}

// keepFresh records contact with the source until ctx ends.
func (p *process) keepFresh(ctx context.Context) {
	p.serve.Freshness.RecordContact(time.Now(), 0)
	go func() {
		for sleep(ctx, HeartbeatInterval/2) {
			p.serve.Freshness.RecordContact(time.Now(), 0)
		}
	}()
}
