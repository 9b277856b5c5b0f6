package standin

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Query parameters of POST /_standin/invalid.
const (
	// ParamShare is the percentage of requests that get an invalid answer.
	ParamShare = "share"
	// ParamFor is for how long, in milliseconds.
	ParamFor = "for"
)

// invalidBody is the body of invalid answers. It is never the body of a healthy one, so that a
// caller that gets it as complete has a wrong answer.
const invalidBody = "invalid"

// invalidAnswers are bytes that are not an answer, or the start of one. The connection is
// closed after each.
var invalidAnswers = []string{
	"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 7\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nContent-Length : 7\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 7\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 7\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 7\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 6\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n" + invalidBody + "\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n" + invalidBody + "\r\n0\r\nX Bad: 1\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nseven\r\n" + invalidBody + "\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n" + invalidBody,
	"HTTP/1.1 000 OK\r\nContent-Length: 7\r\n\r\n" + invalidBody,
	"HTTP/1.1 101 OK\r\n\r\n" + invalidBody,
	"HTTP/1.1 200 OK\r\nContent-Le",
	"HTTP/1.1 100 Continue\r\nX Bad: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + invalidBody,
	"\x00\x01\x02 not HTTP at all \r\n\r\n",
}

const (
	// resetAnswer begins an answer without a length, whose connection is then reset.
	resetAnswer = "HTTP/1.1 200 OK\r\n\r\n" + invalidBody
	// maxResetDelay bounds the time from resetAnswer to the reset.
	maxResetDelay = 20 * time.Millisecond
	// longBodyBytes is the size from which a body is still being sent when it is answered
	// unread.
	longBodyBytes = 64 << 10
)

// invalidShare is the percentage of requests that get an invalid answer, and until when.
type invalidShare struct {
	percent int64
	until   time.Time
}

// drawInvalid decides whether a request gets an invalid answer.
func (s *Server) drawInvalid(now time.Time) bool {
	share := s.invalid.Load()
	return share != nil && now.Before(share.until) && rand.Int64N(100) < share.percent
}

// serveInvalid sets the share of requests that get an invalid answer.
func (s *Server) serveInvalid(w http.ResponseWriter, r *http.Request) {
	percent, err := strconv.ParseInt(r.URL.Query().Get(ParamShare), 10, 64)
	ms, msErr := strconv.ParseInt(r.URL.Query().Get(ParamFor), 10, 64)
	if err != nil || msErr != nil || percent < 0 || percent > 100 {
		http.Error(w, ParamShare+" or "+ParamFor+" is not valid", http.StatusBadRequest)
		return
	}
	s.invalid.Store(&invalidShare{percent, time.Now().Add(time.Duration(ms) * time.Millisecond)})
	w.WriteHeader(http.StatusNoContent)
}

// sendInvalid sends an invalid answer and ends the connection. A long request is answered while
// its body is being sent, and its connection is reset.
func sendInvalid(w http.ResponseWriter, r *http.Request) {
	long := r.ContentLength < 0 || r.ContentLength >= longBodyBytes
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // not a regular answer
	}
	defer conn.Close()
	if !long {
		_, _ = io.WriteString(conn, invalidAnswers[rand.IntN(len(invalidAnswers))])
		return
	}
	_, _ = io.WriteString(conn, resetAnswer)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// The node goes on writing until the reset.
	_ = conn.SetReadDeadline(time.Now().Add(rand.N(maxResetDelay)))
	_, _ = io.Copy(io.Discard, Paced(conn, 100<<20))
}
