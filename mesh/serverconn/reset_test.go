package serverconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// partialAnswer is an answer without a length, of which the server has sent only a part.
const partialAnswer = "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart of it"

// upload sends a body of the given size and returns what its answer holds.
func upload(ctx context.Context, c *Client, size int) (string, error) {
	return send(ctx, c, http.MethodPost, "a", strings.NewReader(strings.Repeat("x", size)))
}

// Guards against a reset that only the writer of a long request is told of, so that the part of
// an answer that came before it reaches the caller as a complete one.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	var delay atomic.Int64
	c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, partialAnswer)
		_ = c.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // a TCP listener
		// The writer goes on while the connection is reset.
		block := make([]byte, 4<<10)
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		for end := time.Now().Add(time.Duration(delay.Add(1)%8) * 100 * time.Microsecond); time.Now().Before(end); {
			_, _ = io.ReadFull(r, block)
		}
	})
	for n := range 300 {
		size := []int{400_000, 3_000_000}[n%2]
		if got, err := upload(t.Context(), c, size); err == nil {
			t.Errorf("try %d with %d bytes: %q is complete", n, size, got)
		}
	}
}

// resetOnWrite is a connection on which a Write is told of a reset, so that the following Read
// returns a regular end. early says whether that Read returns before the Write does.
type resetOnWrite struct {
	net.Conn
	answer io.Reader
	early  bool
	reset  chan struct{} // closed when the reset has been reported to Write
	atEnd  chan struct{} // closed when Read has returned the end
}

func (c *resetOnWrite) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if errors.Is(err, io.EOF) {
		<-c.reset
		close(c.atEnd)
	}
	return n, err
}

func (c *resetOnWrite) Write([]byte) (int, error) {
	close(c.reset)
	if c.early {
		<-c.atEnd
		time.Sleep(10 * time.Millisecond) // the reader acts on the end first
	}
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *resetOnWrite) Close() error                     { return nil }
func (c *resetOnWrite) SetDeadline(time.Time) error      { return nil }
func (c *resetOnWrite) SetWriteDeadline(time.Time) error { return nil }

// Guards against the same fault in both orders of the two goroutines.
func TestResetThatTheWriterConsumes(t *testing.T) {
	for _, early := range []bool{false, true} {
		c := New(Config{Address: "unused", Connections: 1, EchoHeader: "X-Id"})
		cn := newConn(c, &resetOnWrite{answer: strings.NewReader(partialAnswer), early: early, reset: make(chan struct{}), atEnd: make(chan struct{})})
		c.open = 1
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://server/", strings.NewReader(strings.Repeat("x", 400_000)))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Id", "a")
		resp, err := cn.exchange(req)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("end before the error of the writer %v: %q, %v", early, got, err)
		}
	}
}

// Guards against a complete answer that is given up because its request is still being written:
// the server ends its side in order, and reads on or not.
func TestOrderlyEndDuringAnUploadIsComplete(t *testing.T) {
	for _, reads := range []bool{false, true} {
		end := make(chan struct{})
		c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, partialAnswer)
			_ = c.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // a TCP listener
			if reads {
				_, _ = io.Copy(io.Discard, r)
			} else {
				<-end
			}
		})
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			if got, err := upload(ctx, c, 8_000_000); err != nil || got != "part of it" {
				t.Errorf("server that reads on %v: %q, %v", reads, got, err)
			}
			cancel()
		}
		close(end)
	}
}
