package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// longRoute leads to service A and leaves time for long answers.
var longRoute = route{
	Host: hostA, PathPrefix: "/l/", RouteType: "idempotent", TimeoutMs: 6000, TargetLatencyMs: 3000, Priority: 2, Service: serviceA, MaxAttempts: 2,
}

// keptClient is a caller with one kept connection to a node.
type keptClient struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialKept(at *machine) (*keptClient, error) {
	conn, err := net.DialTimeout("tcp", addr(at.ip, portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &keptClient{conn: conn, r: bufio.NewReader(conn)}, nil
}

// get sends a request on the kept connection and reads the whole answer.
func (k *keptClient) get(path, id, note string, deadline time.Duration) (status int, n int64, err error) {
	_ = k.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Note: %s\r\n\r\n",
		path, hostA, id, deadline.Milliseconds(), note); err != nil {
		return 0, 0, err
	}
	resp, err := http.ReadResponse(k.r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, 0, err
	}
	n, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, n, err
}

// foreignByte lets callers receive long answers on kept connections while another caller sends
// one request whose header value holds a byte beyond ASCII.
func foreignByte(rec *recorder, trouble bool) (bool, error) {
	const callers, allowed = 8, 3
	m, err := newMesh(rec, []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	ups, err := m.startSmall()
	for _, u := range ups {
		defer u.close()
	}
	if err != nil {
		return false, err
	}
	status, err := m.replace(2, 1, map[string]route{"r-1": idempotentRoute, "r-2": writeRoute, "r-4": longRoute}, []string{serviceA, serviceB})
	if err != nil || status != 200 {
		return false, fmt.Errorf("%w: configuration: %d, %v", errCannotRun, status, err)
	}
	time.Sleep(6 * time.Second) // nodes and core are in touch
	at := m.nodes[2]
	var mu sync.Mutex
	var wg sync.WaitGroup
	broken := 0
	for n := range callers {
		wg.Go(func() {
			k, err := dialKept(at)
			if err != nil {
				rec.log("caller %d: %v", n, err)
				return
			}
			defer k.conn.Close()
			first, size, err := k.get("/l/short", fmt.Sprintf("%016x", 0x100+n), "cafe", 6*time.Second)
			rec.log("caller %d: the first request on its connection got %d, %d bytes, %v", n, first, size, err)
			if err != nil || first != 200 {
				return // it has no kept connection
			}
			id := fmt.Sprintf("%016x", 0x200+n)
			status, size, err := k.get("/l/long", id, "cafe", 6*time.Second)
			rec.log("caller %d: the request for a long answer got %d, %d of %d bytes, %v", n, status, size, longAnswerBytes, err)
			// A complete answer of any status is one, and a caller's own timeout closes nothing.
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && (ups[0].ran(id) || ups[1].ran(id)) {
				mu.Lock()
				defer mu.Unlock()
				broken++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	note := "cafe"
	if trouble {
		note = "caf\xe9"
	}
	if k, err := dialKept(at); err == nil {
		status, size, err := k.get("/p/x", fmt.Sprintf("%016x", 0x300), note, 1200*time.Millisecond)
		rec.log("another caller: a request with the header X-Note: %q got %d, %d bytes, %v", note, status, size, err)
		_ = k.conn.Close()
	}
	wg.Wait()
	rec.log("%d of %d kept connections were closed before the answer was complete, after an upstream had begun to run the request", broken, callers)
	return broken > allowed, nil
}
