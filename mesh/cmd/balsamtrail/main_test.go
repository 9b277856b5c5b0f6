package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/explain"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
	"balsamtrail.org/mesh/settings"
)

func TestTool(t *testing.T) {
	invariant.SetFatal(true)
	RegisterFailHandler(Fail)
	RunSpecs(t, "balsamtrail")
}

// fakeBackend accepts or rejects notes like a control host and ends its move in
// finalState.
type fakeBackend struct {
	operator.Backend
	mu          sync.Mutex
	state       *note.State
	index       uint64
	move        operator.MoveView
	finalState  operator.MovePhase
	submitError error
}

func (f *fakeBackend) Submit(_ context.Context, c note.Command) (note.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.submitError != nil {
		return note.Result{}, f.submitError
	}
	f.index++
	c.Time = time.Now()
	return f.state.Apply(c, model.Position{Epoch: 1, Index: f.index}), nil
}

func (f *fakeBackend) Note(_ context.Context, number uint64) (note.Record, operator.Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, err := f.state.Note(number)
	return r, operator.Read{Host: "c1"}, err
}

func (f *fakeBackend) Config(context.Context) (note.Config, operator.Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Config(), operator.Read{Host: "c1", Confirmed: true}, nil
}

// Move returns the move in progress when first called and in finalState afterwards.
func (f *fakeBackend) Move(context.Context, model.ServiceName) (operator.MoveView, operator.Read, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.move
	f.move.State, f.move.Sequence = f.finalState, 2
	return m, operator.Read{Host: "c1", Confirmed: true}, nil
}

func (f *fakeBackend) Changed() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

const ledger = `{"number": 1, "title": "ledger",
  "services": {"added": [{"name": "ledger", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "50ms"}]},
  "shares": [{"service": "ledger", "shares": {"v1": 10000}}]}`

var _ = Describe("balsamtrail", func() {
	var backend *fakeBackend
	var file, server, ca string
	var out, errs bytes.Buffer

	runTool := func(args ...string) int {
		out.Reset()
		errs.Reset()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return run(ctx, append([]string{"--servers", server, "--ca", ca, "--token", "t", "--timeout", "1s"}, args...), &out, &errs)
	}

	BeforeEach(func() {
		dir := GinkgoT().TempDir()
		file = filepath.Join(dir, "note.json")
		Expect(os.WriteFile(file, []byte(ledger), 0o600)).To(Succeed())
		ca = filepath.Join(dir, "ca.pem")
		code := run(context.Background(), []string{"dev-ca", dir, "--control", "thun/c1", "--node", "thun/n1", "--operator", "127.0.0.1"}, &out, &errs)
		Expect(code).To(Equal(exitOK), errs.String())

		backend = &fakeBackend{
			state: note.NewState(), finalState: operator.MoveDone,
			move: operator.MoveView{Service: "ledger", To: "v2", State: operator.MoveMoving, Share: 150, Sequence: 1},
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server = "https://" + listener.Addr().String()
		s, err := operator.NewServer(operator.ServerConfig{
			Listener:     listener,
			TLS:          settings.OperatorTLS{Certificate: filepath.Join(dir, "operator.pem"), Key: filepath.Join(dir, "operator-key.pem")},
			Operators:    []settings.Operator{{Name: "berta", TokenSHA256: operator.TokenDigest("t")}},
			WatchTimeout: time.Second, RequestTimeout: time.Second, RequestBytes: 1 << 20, Requests: 8,
		}, backend, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- s.Serve(ctx, time.Second) }()
		DeferCleanup(func() { stop(); Eventually(served).WithTimeout(5 * time.Second).Should(Receive()) })
	})

	It("publishes, withdraws and shows a note and returns exitConflict on a conflict", func() {
		Expect(runTool("publish", file)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring("accepted note 1 revision 1 at position 1.1"))
		Expect(runTool("publish", file)).To(Equal(exitConflict))
		Expect(errs.String()).To(ContainSubstring(`accepted instead: note 1 revision 1 "ledger" by berta`))
		Expect(runTool("show", "1")).To(Equal(exitOK))
		Expect(errs.String()).To(ContainSubstring("could not confirm the leader"))
		Expect(runTool("-o", "json", "withdraw", "1", "--revision", "1")).To(Equal(exitOK))
		Expect(out.String()).To(ContainSubstring(`"revision": 2`))
	})

	It("shows what a note would change", func() {
		Expect(runTool("diff", file)).To(Equal(exitOK), errs.String())
		Expect(out.String()).To(ContainSubstring(`+ shares {"service":"ledger","shares":{"v1":10000}}`))
		Expect(runTool("publish", file)).To(Equal(exitOK))
		Expect(os.WriteFile(file, []byte(strings.Replace(ledger, "20", "30", 1)), 0o600)).To(Succeed())
		Expect(runTool("diff", file)).To(Equal(exitOK))
		Expect(out.String()).To(ContainSubstring(`- service added {"name":"ledger","slots":20`))
	})

	DescribeTable("ends a watch with the exit code of the outcome",
		func(finalState operator.MovePhase, code int) {
			backend.finalState = finalState
			Expect(runTool("status", "ledger", "--watch")).To(Equal(code), errs.String())
			Expect(out.String()).To(ContainSubstring("v2: moving at 1.5%"))
		},
		Entry("done", operator.MoveDone, exitOK),
		Entry("reversed", operator.MoveReversed, exitReversed),
		Entry("withdrawn", operator.MoveWithdrawn, exitFailure),
	)

	It("ends a watch that exceeds --wait", func() {
		backend.finalState = operator.MoveMoving
		Expect(runTool("status", "ledger", "--watch", "--wait", "100ms")).To(Equal(exitFailure))
		Expect(errs.String()).To(ContainSubstring("not finished within 100ms"))
	})

	// Guards against a script that takes a slow control host for an unreachable one.
	It("ends a watch whose first answer exceeds --wait", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		server = "https://" + silent.Addr().String()
		Expect(runTool("status", "ledger", "--watch", "--wait", "100ms")).To(Equal(exitFailure))
		Expect(errs.String()).To(ContainSubstring("not finished within 100ms"))
	})

	It("distinguishes usage errors, unreachable hosts and unknown outcomes", func() {
		Expect(runTool("publish")).To(Equal(exitUsage))
		Expect(runTool("withdraw", "1")).To(Equal(exitUsage))
		Expect(run(context.Background(), []string{"list"}, &out, &errs)).To(Equal(exitUsage))
		backend.submitError = operator.ErrOutcomeUnknown
		Expect(runTool("publish", file, "--operation-id", "my-id")).To(Equal(exitUnreachable))
		Expect(errs.String()).To(ContainSubstring("--operation-id my-id"))
		server = "https://127.0.0.1:1"
		Expect(runTool("list")).To(Equal(exitUnreachable))
	})

	It("takes its settings from the environment", func() {
		GinkgoT().Setenv("BALSAMTRAIL_SERVERS", "https://127.0.0.1:1,"+server)
		GinkgoT().Setenv("BALSAMTRAIL_TOKEN", "t")
		GinkgoT().Setenv("BALSAMTRAIL_CA", ca)
		Expect(run(context.Background(), []string{"publish", file}, &out, &errs)).To(Equal(exitOK), errs.String())
	})

	It("checks notes and settings without a server", func() {
		invalid := filepath.Join(filepath.Dir(file), "bad.json")
		Expect(os.WriteFile(invalid, []byte(`{"host": "c1", "hots": 1}`), 0o600)).To(Succeed())
		Expect(runTool("check", file)).To(Equal(exitOK))
		Expect(runTool("check", file, invalid)).To(Equal(exitFailure))
		Expect(out.String()).To(MatchRegexp(`bad.json +control +.*hots: unknown key`))
	})

	// Guards against input that is not reported by the flag it came from, and against
	// --timeout being taken as stated by the caller when it is only the default.
	It("explains a request and names the flag of invalid input", func() {
		var asked url.Values
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked = r.URL.Query()
			_ = json.NewEncoder(w).Encode(explain.Explanation{Node: "n1", Outcome: explain.Outcome{Routed: true}})
		}))
		DeferCleanup(node.Close)
		address := node.Listener.Addr().String()
		explainTool := func(args ...string) int {
			out.Reset()
			errs.Reset()
			return run(context.Background(), append([]string{"explain"}, args...), &out, &errs)
		}
		Expect(explainTool("--node", address, "--path", "/x?a=b")).To(Equal(exitOK), errs.String())
		Expect(asked).To(Equal(url.Values{"method": {"GET"}, "host": {""}, "path": {"/x?a=b"}}))
		Expect(out.String()).To(MatchRegexp(`outcome +routed`))
		Expect(explainTool("--node", address, "--path", "/x", "--timeout", "800ms", "--json")).To(Equal(exitOK), errs.String())
		Expect(asked.Get("timeout")).To(Equal("800ms"))
		Expect(out.String()).To(ContainSubstring(`"node": "n1"`))
		for _, c := range []struct {
			args []string
			flag string
			code int
		}{
			{[]string{"--path", "/x"}, "--node", exitUsage},
			{[]string{"--node", address}, "--path", exitUsage},
			{[]string{"--node", "n1", "--path", "/x"}, "--node", exitUsage},
			{[]string{"--node", "127.0.0.1:1", "--path", "/x"}, "--node", exitUnreachable},
			{[]string{"--node", address, "--path", "x"}, "--path", exitUsage},
			{[]string{"--node", address, "--path", "/x", "--method", "G@T"}, "--method", exitUsage},
			{[]string{"--node", address, "--path", "/x", "--host", "a/b"}, "--host", exitUsage},
			{[]string{"--node", address, "--path", "/x", "--timeout", "0s"}, "--timeout", exitUsage},
		} {
			Expect(explainTool(c.args...)).To(Equal(c.code), c.flag)
			Expect(errs.String()).To(ContainSubstring(c.flag))
		}
	})

	It("gives an example in the help of every command", func() {
		parser, err := kong.New(&cli{})
		Expect(err).NotTo(HaveOccurred())
		for _, leaf := range parser.Model.Leaves(true) {
			command, _, _ := strings.Cut(leaf.Path(), " <")
			Expect(leaf.Detail).To(ContainSubstring("Example:\n  balsamtrail "+command), leaf.Path())
		}
	})
})
