package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/settings"
)

// TestMain guards against goroutines that servers or clients leak. Ginkgo's signal
// handler runs until the process exits and is ignored.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction(
		"github.com/onsi/ginkgo/v2/internal/interrupt_handler.(*InterruptHandler).registerForInterrupts.func2"))
}

func TestOperator(t *testing.T) {
	invariant.SetFatal(true)
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

const (
	token  = "correct-token"
	ledger = `{"number": 1, "title": "ledger",
  "services": {"added": [{"name": "ledger", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "50ms"}]},
  "shares": [{"service": "ledger", "shares": {"v1": 10000}}]}`
)

// fakeBackend is an operator.Backend with a real note.State and no replication.
type fakeBackend struct {
	mu    sync.Mutex
	state *note.State
	index uint64
	// submits counts the calls of Submit.
	submits int
	// fail is returned by Submit and AddControlHost unless it is nil.
	fail error
	// move is the only move.
	move    MoveView
	changed chan struct{}
}

func newFake() *fakeBackend {
	return &fakeBackend{
		state: note.NewState(), changed: make(chan struct{}),
		move: MoveView{Service: "ledger", To: "v2", State: MoveWaiting, Sequence: 1},
	}
}

func (f *fakeBackend) Submit(_ context.Context, c note.Command) (note.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submits++
	if f.fail != nil {
		return note.Result{}, f.fail
	}
	f.index++
	c.Time = time.Now()
	return f.state.Apply(c, model.Position{Epoch: 1, Index: f.index}), nil
}

func (f *fakeBackend) read() Read {
	return Read{Host: "c1", Position: f.state.Position(), Confirmed: true}
}

func (f *fakeBackend) Notes(_ context.Context, before uint64, limit int) ([]note.Record, Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Notes(before, limit), f.read(), nil
}

func (f *fakeBackend) Note(_ context.Context, number uint64) (note.Record, Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, err := f.state.Note(number)
	return r, f.read(), err
}

func (f *fakeBackend) Moves(context.Context) ([]MoveView, Read, error) {
	return []MoveView{f.move}, Read{}, nil
}

func (f *fakeBackend) Move(_ context.Context, service model.ServiceName) (MoveView, Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if service != f.move.Service {
		return MoveView{}, Read{}, ErrNotFound
	}
	return f.move, f.read(), nil
}

func (f *fakeBackend) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// advance sets the state of the move and wakes up the long polls.
func (f *fakeBackend) advance(state MovePhase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.move.Sequence++
	f.move.State = state
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeBackend) DataCentres(context.Context) ([]DataCentreView, Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return []DataCentreView{{Name: "thun", State: f.state.Config().DataCentres["thun"].String()}}, f.read(), nil
}

func (f *fakeBackend) ControlHosts(context.Context) ([]ControlHostView, Read, error) {
	return []ControlHostView{{Host: "c1", Role: "leader"}}, f.read(), nil
}

func (f *fakeBackend) AddControlHost(context.Context, Caller, ControlHostChange) error { return f.fail }

func (f *fakeBackend) RemoveControlHost(context.Context, Caller, model.HostID) error {
	return ErrNotFound
}

func (f *fakeBackend) Audit(_ context.Context, after uint64, limit int) ([]note.AuditRecord, Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Audit(after, limit), f.read(), nil
}

func (f *fakeBackend) Status(context.Context) (StatusView, Read, error) {
	return StatusView{Cluster: "aare", HeadNote: f.state.Head()}, f.read(), nil
}

func (f *fakeBackend) Nodes(_ context.Context, service model.ServiceName) ([]NodeView, Read, error) {
	return []NodeView{{Host: "n1", Service: service}}, f.read(), nil
}

func (f *fakeBackend) Config(context.Context) (note.Config, Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Config(), f.read(), nil
}

// serverConfig returns a server configuration without a listener.
func serverConfig() ServerConfig {
	return ServerConfig{
		Operators:    []settings.Operator{{Name: "berta", TokenSHA256: TokenDigest(token)}},
		WatchTimeout: time.Second, RequestTimeout: time.Second, RequestBytes: 4096, Requests: 16,
	}
}

// startServer serves the handler over plain HTTP on loopback.
func startServer(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.URL
}

func newTestClient(servers ...string) *Client {
	c, err := NewClient(ClientConfig{Servers: servers, Token: token, AttemptTimeout: time.Second, TotalTimeout: time.Second})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}
