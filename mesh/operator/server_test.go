package operator

import (
	"bufio"
	"context"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/note/strictjson"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

var _ = Describe("Server", func() {
	var backend *fakeBackend
	var server *Server

	BeforeEach(func() {
		backend = newFake()
		var err error
		server, err = NewServer(serverConfig(), backend, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
	})

	// send makes an authenticated request with an operation id. headers holds names
	// and values in turn, which replace the default headers.
	send := func(method, path, body string, headers ...string) (int, Error) {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set(HeaderOperation, method+path)
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		w := httptest.NewRecorder()
		server.ServeHTTP(w, r)
		var e Error
		if w.Code >= 300 {
			Expect(strictjson.Unmarshal(w.Body.Bytes(), &e)).To(Succeed(), w.Body.String())
		}
		return w.Code, e
	}

	It("answers a conflict with status 409 and the winning change", func() {
		code, _ := send("POST", "/v1/notes", ledger)
		Expect(code).To(Equal(201))
		code, e := send("POST", "/v1/notes", ledger, HeaderOperation, "other")
		Expect(code).To(Equal(409))
		Expect(e.Winner.Number).To(Equal(uint64(1)))
		code, e = send("PUT", "/v1/notes/1", ledger, HeaderRevision, "2")
		Expect(code).To(Equal(409))
		Expect(e.Winner.Revision).To(Equal(uint64(1)))
	})

	DescribeTable("rejects an invalid request with an error code and the field",
		func(method, path, body string, headers []string, status int, code ErrorCode, field string) {
			got, e := send(method, path, body, headers...)
			Expect(got).To(Equal(status), e.Message)
			Expect(e.Code).To(Equal(code))
			Expect(e.Field).To(Equal(field))
			Expect(backend.submits).To(BeZero())
		},
		Entry("no token", "GET", "/v1/notes", "", []string{"Authorization", ""}, 401, CodeUnauthorized, ""),
		Entry("unknown token", "POST", "/v1/notes", ledger, []string{"Authorization", "Bearer x"}, 401, CodeUnauthorized, ""),
		Entry("no operation id", "POST", "/v1/notes", ledger, []string{HeaderOperation, ""}, 400, CodeInvalid, HeaderOperation),
		Entry("unknown key", "POST", "/v1/notes", `{"nr": 1}`, nil, 400, CodeInvalid, "nr"),
		Entry("value out of range", "POST", "/v1/notes", strings.Replace(ledger, "20", "0", 1), nil, 400, CodeInvalid, "services.added[0].slots"),
		Entry("body too large", "POST", "/v1/notes", strings.Repeat(" ", 5000), nil, 413, CodeTooLarge, ""),
		Entry("no revision", "DELETE", "/v1/notes/1", "", nil, 428, CodePrecondition, HeaderRevision),
		Entry("note number differs from the path", "PUT", "/v1/notes/2", ledger, []string{HeaderRevision, "1"}, 400, CodeInvalid, "number"),
		Entry("unknown data centre", "POST", "/v1/data-centres/thunn/out", "", nil, 404, CodeNotFound, ""),
		Entry("unknown resource", "GET", "/v1/note", "", nil, 404, CodeNotFound, ""),
		Entry("unknown note", "GET", "/v1/notes/7", "", nil, 404, CodeNotFound, ""),
		Entry("wrong method", "PATCH", "/v1/notes", "", nil, 405, CodeMethod, ""),
		Entry("page size above the limit", "GET", "/v1/audit?limit=5000", "", nil, 400, CodeInvalid, "limit"),
		Entry("unknown control host", "DELETE", "/v1/control-hosts/c9", "", nil, 404, CodeNotFound, ""),
		Entry("control host without address", "POST", "/v1/control-hosts", `{"host": "c4", "data_centre": "thun"}`, nil, 400, CodeInvalid, "peer"),
	)

	It("distinguishes a write that was not accepted from one with an unknown outcome", func() {
		backend.fail = ErrUnavailable
		code, e := send("POST", "/v1/notes", ledger)
		Expect([]any{code, e.Code}).To(Equal([]any{503, CodeUnavailable}))
		backend.fail = ErrOutcomeUnknown
		code, e = send("POST", "/v1/notes", ledger)
		Expect([]any{code, e.Code}).To(Equal([]any{504, CodeOutcomeUnknown}))
	})

	It("limits concurrent requests, and long polls to half of them", func() {
		for range cap(server.pollSlots) {
			server.pollSlots <- struct{}{}
		}
		code, _ := send("GET", "/v1/moves/ledger?watch=1", "")
		Expect(code).To(Equal(503))
		code, _ = send("GET", "/v1/moves/ledger", "")
		Expect(code).To(Equal(200))
		for range cap(server.requestSlots) {
			server.requestSlots <- struct{}{}
		}
		code, e := send("GET", "/v1/notes", "")
		Expect([]any{code, e.Code}).To(Equal([]any{503, CodeOverloaded}))
	})

	It("serves health and metrics without a token", func() {
		for _, path := range []string{"/healthz", "/metrics"} {
			w := httptest.NewRecorder()
			server.ServeHTTP(w, httptest.NewRequest("GET", path, nil))
			Expect(w.Code).To(Equal(200), path)
		}
		server.ready = func() error { return errors.New("log is replayed") }
		code, e := send("GET", "/healthz", "")
		Expect(code).To(Equal(503))
		Expect(e.Message).To(Equal("log is replayed"))
	})
})

var _ = Describe("Client", func() {
	var backend *fakeBackend
	var server *Server

	BeforeEach(func() {
		backend = newFake()
		var err error
		server, err = NewServer(serverConfig(), backend, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
	})

	parse := func() note.Note {
		n, err := note.ParseNote([]byte(ledger))
		Expect(err).NotTo(HaveOccurred())
		return n
	}

	It("encodes requests and decodes answers of the resources", func() {
		c := newTestClient(startServer(server))
		ctx := context.Background()
		res, err := c.Publish(ctx, "a", parse())
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Revision).To(Equal(uint64(1)))
		_, err = c.Amend(ctx, "b", parse(), 1)
		Expect(err).NotTo(HaveOccurred())
		n, err := c.Note(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Note.Note).To(Equal(func() note.Note { p := parse(); p.Revision = 2; return p }()))
		Expect(n.Read.Confirmed).To(BeTrue())
		_, err = c.TakeOut(ctx, "c", "thun")
		Expect(err).NotTo(HaveOccurred())
		dcs, err := c.DataCentres(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(dcs.DataCentres[0].State).To(Equal("out"))
		audit, err := c.Audit(ctx, 1, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(audit.Records).To(HaveLen(2))
		cfg, err := c.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(cfg.Config.Services).To(HaveLen(1))
		_, err = c.Withdraw(ctx, "d", 1, 1)
		Expect(err).To(MatchError(ErrConflict))
		var e *Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Winner.Revision).To(Equal(uint64(2)))
	})

	It("skips a control host that is down", func() {
		down := httptest.NewServer(http.NotFoundHandler())
		down.Close()
		c := newTestClient(down.URL, startServer(server))
		_, err := c.Status(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.preferred.Load()).To(Equal(int64(1)), "the next call must start with the host that answered")
		_, err = newTestClient(down.URL).Publish(context.Background(), "x", parse())
		Expect(err).To(MatchError(ErrUnreachable))
	})

	// losing starts a server that handles requests but closes the connection before
	// it answers.
	losing := func() string {
		return startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			server.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}))
	}

	It("retries a write with the same operation id after a lost answer", func() {
		res, err := newTestClient(losing(), startServer(server)).Publish(context.Background(), "x", parse())
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Code).To(Equal(note.CodeOK), "the note must not conflict with itself")
		Expect(backend.state.Head()).To(Equal(uint64(1)))
	})

	It("reports an unknown outcome of a write when every answer is lost", func() {
		_, err := newTestClient(losing()).Publish(context.Background(), "x", parse())
		Expect(err).To(MatchError(ErrOutcomeUnknown))
	})

	It("connects over TLS and gets an answer to its long poll at a graceful shutdown", func() {
		dir := GinkgoT().TempDir()
		ca, err := peer.OpenDevCA(dir)
		Expect(err).NotTo(HaveOccurred())
		files, err := ca.Issue(peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"})
		Expect(err).NotTo(HaveOccurred())
		cfg := serverConfig()
		cfg.WatchTimeout = time.Minute
		cfg.TLS = settings.OperatorTLS{Certificate: files.Certificate, Key: files.Key}
		cfg.Listener, err = net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server, err = NewServer(cfg, backend, func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, 5*time.Second) }()

		pem, err := os.ReadFile(files.CA)
		Expect(err).NotTo(HaveOccurred())
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		c, err := NewClient(ClientConfig{Servers: []string{"https://" + cfg.Listener.Addr().String()}, Token: token, CA: pool})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		answered := make(chan error, 1)
		go func() {
			m, err := c.WatchMove(context.Background(), "ledger", 1)
			if err == nil && m.Move.Sequence != 1 {
				err = errors.New("the move has not changed")
			}
			answered <- err
		}()
		Eventually(func() int { return len(server.requestSlots) }).WithTimeout(5 * time.Second).Should(Equal(1))
		stop()
		Eventually(answered).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
		Eventually(served).WithTimeout(5 * time.Second).Should(Receive(BeNil()))
	})

	It("takes no status below 200 as a success", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, _ = io.WriteString(c, "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}")
				_ = c.Close()
			}
		}()
		c, err := NewClient(ClientConfig{Servers: []string{"http://" + l.Addr().String()}, TotalTimeout: 100 * time.Millisecond})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Withdraw(context.Background(), "op", 1, 1)
		Expect(err).To(MatchError(ErrOutcomeUnknown))
	})
})
