package node

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
)

// Guards against a request that reaches a service through the route of another
// service, because the backend server interprets its path differently. Accepted paths
// are forwarded unchanged.
func TestPathsAreMatchedCleanedAndPassedOnUnchanged(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
	}{
		{"/cabinets/7", 200},
		{"/cabinets/a%20b?q=1//../2", 200},
		{"/cabinets//7", 200},
		{"/cabinets/7/", 200},
		{"/cabinets/7/../8", 200},
		{"/cabinets/a%2Fb", 200},
		{"/cabinets/%2e%2e/cabinets/8", 200},
		{"//cabinets/7", 400},
		{"/x/../cabinets/7", 400},
		{"/cabinets%2F7", 400},
		{"/restocks/../cabinets/7", 400},
		{"/restocks/%2e%2e/cabinets/7", 400},
		{"/restocks%2F..%2Fcabinets/7", 400},
		{"/restocks/..%2Fcabinets/7", 400},
		{"/cabinets/../../x", 404},
		{"/cabinets/a|b?{}", 200},
		{"//cabinets/a|b", 400},
	} {
		var passed string
		e := newTestEntry(t, scriptedSender(func(_ context.Context, _ string, req *callmux.Request) (*callmux.Response, error) {
			passed = req.Path
			return answer("ok"), nil
		}), nil)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		u, err := url.ParseRequestURI(c.path)
		if err != nil {
			t.Fatal(err)
		}
		r.URL, r.RequestURI = u, c.path
		e.ServeHTTP(w, r)
		if w.Code != c.status {
			t.Errorf("%s: status %d, want %d", c.path, w.Code, c.status)
		}
		if w.Code == 200 && passed != c.path || w.Code != 200 && (passed != "" || w.Header().Get(HeaderNotRun) == "") {
			t.Errorf("%s: passed on as %q, headers %v", c.path, passed, w.Header())
		}
	}
}

// Guards against a changed request path at the backend server, and against a first
// path segment that is used as the host.
func TestBackendGetsThePathUnchanged(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	lines := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				lines <- req.RequestURI
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"))
			}
			_ = c.Close()
		}
	}()
	b := newBackend(backendConfig{base: &url.URL{Scheme: "http", Host: l.Addr().String()}, connections: 1, dialTimeout: time.Second})
	defer b.close()
	for _, path := range []string{"//cabinets/7", "/cabinets/7/../8", "/cabinets/a%2Fb?q=%2F", "/cabinets//7", "/a|b?q={", "/a?"} {
		r := writeRequest()
		r.path = path
		resp, err := b.do(t.Context(), r)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		_ = resp.Body.Close()
		if got := <-lines; got != path {
			t.Errorf("%s arrived as %s", path, got)
		}
	}
}
