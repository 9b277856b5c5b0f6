package callmux_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

func TestCallmux(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callmux")
}

var (
	entryID   = peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}
	servingID = peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n2"}
	controlID = peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}
)

func credentials(dir string, id peer.Identity) *peer.Credentials {
	return must(peer.LoadCredentials(must(must(peer.OpenDevCA(dir)).Issue(id))))
}

// echo responds with the request's body, its path and the sender's host.
func echo(_ context.Context, from peer.Identity, req *callmux.Request) (*callmux.Response, error) {
	return &callmux.Response{
		Status:   200,
		Header:   map[string][]string{"From": {string(from.Host)}, "Path": {req.Path}},
		Position: model.Position{Epoch: 1, Index: 7},
		Limit:    20,
		Body:     io.NopCloser(req.Body),
	}, nil
}

var _ = Describe("Client and Server", func() {
	var dir, addr string
	var client *callmux.Client
	var stop func()

	serve := func(cfg callmux.Config, h callmux.Handler) {
		cfg.Credentials = credentials(dir, servingID)
		ln := must(net.Listen("tcp", "127.0.0.1:0"))
		addr = ln.Addr().String()
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- callmux.NewServer(cfg).Serve(ctx, ln, h) }()
		stop = sync.OnceFunc(func() {
			cancel()
			Eventually(done).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		})
	}
	do := func(ctx context.Context, req *callmux.Request) (*callmux.Response, error) {
		return client.Do(ctx, addr, servingID, req)
	}

	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
		dir = GinkgoT().TempDir()
		client = callmux.NewClient(callmux.Config{Credentials: credentials(dir, entryID)})
		stop = func() {}
		DeferCleanup(func() { client.Close(); stop() })
	})

	It("returns each of many concurrent callers the complete response to its own request, small or large", func() {
		serve(callmux.Config{}, echo)
		var wg sync.WaitGroup
		for i := range 40 {
			wg.Go(func() {
				defer GinkgoRecover()
				body := bytes.Repeat([]byte{byte(i)}, 1+i*i*700)
				req := &callmux.Request{Path: fmt.Sprint("/", i), Body: bytes.NewReader(body)}
				if i%2 == 0 {
					req.BodyLength = int64(len(body))
				}
				resp := must(do(context.Background(), req))
				defer resp.Body.Close()
				Expect(resp.Header).To(Equal(map[string][]string{"From": {"n1"}, "Path": {fmt.Sprint("/", i)}}))
				Expect(resp.Limit).To(Equal(20))
				Expect(resp.Position).To(Equal(model.Position{Epoch: 1, Index: 7}))
				Expect(bytes.Equal(must(io.ReadAll(resp.Body)), body)).To(BeTrue())
			})
		}
		wg.Wait()
	})

	It("returns a refusal, and reports a handler error as outcome unknown without waiting for the deadline", func() {
		refusal := &callmux.Refusal{Reason: "queue full", NotRun: true}
		serve(callmux.Config{}, func(_ context.Context, _ peer.Identity, req *callmux.Request) (*callmux.Response, error) {
			if req.Path == "/refused" {
				return &callmux.Response{Refusal: refusal}, nil
			}
			return nil, errors.New("backend server unreachable")
		})
		Expect(must(do(context.Background(), &callmux.Request{Path: "/refused"})).Refusal).To(Equal(refusal))
		_, err := do(context.Background(), &callmux.Request{Timeout: time.Minute})
		Expect(errors.Is(err, callmux.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
	})

	It("does not send a request to a host with another identity, nor from a process that is not a node", func() {
		serve(callmux.Config{}, echo)
		_, err := client.Do(context.Background(), addr, peer.Identity{Host: "n3"}, &callmux.Request{})
		Expect(errors.Is(err, callmux.ErrNotSent)).To(BeTrue(), "%v", err)
		control := callmux.NewClient(callmux.Config{Credentials: credentials(dir, controlID)})
		defer control.Close()
		_, err = control.Do(context.Background(), addr, servingID, &callmux.Request{})
		Expect(errors.Is(err, callmux.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	It("reports calls to a closed port and calls past their deadline as not sent", func() {
		serve(callmux.Config{}, echo)
		stop()
		_, err := do(context.Background(), &callmux.Request{})
		Expect(errors.Is(err, callmux.ErrNotSent)).To(BeTrue(), "%v", err)
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
		defer cancel()
		_, err = do(ctx, &callmux.Request{})
		Expect(errors.Is(err, callmux.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	It("ends the handler's context at the deadline and on cancellation, and reports the outcome as unknown", func() {
		causes := make(chan error, 2)
		remaining := make(chan time.Duration, 2)
		serve(callmux.Config{}, func(ctx context.Context, _ peer.Identity, req *callmux.Request) (*callmux.Response, error) {
			remaining <- req.Timeout
			<-ctx.Done()
			causes <- context.Cause(ctx)
			return nil, ctx.Err()
		})
		_, err := do(context.Background(), &callmux.Request{Timeout: 100 * time.Millisecond})
		Expect(errors.Is(err, callmux.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Eventually(causes).WithTimeout(3 * time.Second).Should(Receive())
		Expect(<-remaining).To(BeNumerically("<=", 100*time.Millisecond))
		ctx, cancel := context.WithCancel(context.Background())
		go func() { defer cancel(); <-remaining }()
		_, err = do(ctx, &callmux.Request{})
		Expect(errors.Is(err, callmux.ErrOutcomeUnknown)).To(BeTrue(), "%v", err)
		Eventually(causes).WithTimeout(3 * time.Second).Should(Receive())
	})

	It("returns ErrBodyTruncated to the reader of a response body that ends early", func() {
		serve(callmux.Config{}, func(context.Context, peer.Identity, *callmux.Request) (*callmux.Response, error) {
			broken := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("backend server reset")))
			return &callmux.Response{Status: 200, Body: io.NopCloser(broken)}, nil
		})
		resp := must(do(context.Background(), &callmux.Request{}))
		defer resp.Body.Close()
		_, err := io.ReadAll(resp.Body)
		Expect(errors.Is(err, callmux.ErrBodyTruncated)).To(BeTrue(), "%v", err)
	})

	It("does not delay other calls while a response body is not read", func() {
		serve(callmux.Config{}, echo)
		endless := must(do(context.Background(), &callmux.Request{Body: zeroReader{}}))
		defer endless.Body.Close()
		for range 20 {
			resp := must(do(context.Background(), &callmux.Request{Timeout: 2 * time.Second}))
			Expect(resp.Body.Close()).To(Succeed())
		}
	})

	It("rejects calls above MaxCalls as not sent", func() {
		release := make(chan struct{})
		serve(callmux.Config{MaxCalls: 2}, func(context.Context, peer.Identity, *callmux.Request) (*callmux.Response, error) {
			<-release
			return &callmux.Response{Status: 200}, nil
		})
		errs := make(chan error, 3)
		for range 3 {
			go func() { _, err := do(context.Background(), &callmux.Request{}); errs <- err }()
		}
		err := <-errs
		Expect(errors.Is(err, callmux.ErrNotSent) && errors.Is(err, callmux.ErrBusy)).To(BeTrue(), "%v", err)
		close(release)
		Expect([]error{<-errs, <-errs}).To(HaveEach(BeNil()))
	})

	It("closes connections above MaxConnections before a request is sent", func() {
		serve(callmux.Config{MaxConnections: 1}, echo)
		must(do(context.Background(), &callmux.Request{}))
		other := callmux.NewClient(callmux.Config{Credentials: credentials(dir, entryID)})
		defer other.Close()
		_, err := other.Do(context.Background(), addr, servingID, &callmux.Request{})
		Expect(errors.Is(err, callmux.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	It("rejects a head larger than MaxHead before sending it", func() {
		serve(callmux.Config{}, echo)
		_, err := do(context.Background(), &callmux.Request{Path: strings.Repeat("x", callmux.MaxHead)})
		Expect(errors.Is(err, callmux.ErrTooLarge) && errors.Is(err, callmux.ErrNotSent)).To(BeTrue(), "%v", err)
	})

	It("finishes calls in progress when the server stops", func() {
		started, release := make(chan struct{}), make(chan struct{})
		serve(callmux.Config{}, func(context.Context, peer.Identity, *callmux.Request) (*callmux.Response, error) {
			close(started)
			<-release
			return &callmux.Response{Status: 200, Body: io.NopCloser(strings.NewReader("whole"))}, nil
		})
		body := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			resp := must(do(context.Background(), &callmux.Request{}))
			defer resp.Body.Close()
			body <- string(must(io.ReadAll(resp.Body)))
		}()
		<-started
		time.AfterFunc(50*time.Millisecond, func() { close(release) })
		stop()
		Eventually(body).WithTimeout(3 * time.Second).Should(Receive(Equal("whole")))
	})
})

// zeroReader is an endless body.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) { return len(p), nil }
