package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// sendPattern is a backend server that sends as many bytes as the path says, with a stated
// length or in chunks, and closes the connection before the end if the path says so.
func sendPattern(c net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		var size int
		var framing, end string
		_, _ = fmt.Sscanf(strings.ReplaceAll(req.URL.Path, "/", " "), "%d %s %s", &size, &framing, &end)
		body := pattern(size)
		if end == "cut" {
			body = body[:size-1]
		}
		if framing == "length" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
			_, _ = c.Write(body)
		} else {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
			if end != "cut" {
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
		}
		if end == "cut" {
			return
		}
	}
}

func download(t *testing.T, s *serving, path string) *callmux.Response {
	t.Helper()
	resp, err := s.handle(t.Context(), peer.Identity{}, &callmux.Request{
		Service: "ledger", Version: "v1", Method: http.MethodGet, Path: path, Kind: model.KindDownload, Header: http.Header{},
	})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// slotIsFree reports whether the slot of the only request is released within wait.
func slotIsFree(s *serving, wait time.Duration) bool {
	for began := time.Now(); time.Since(began) < wait; time.Sleep(time.Millisecond) {
		if inFlight, _ := s.gate.Load(); inFlight == 0 {
			return true
		}
	}
	return false
}

// isFree waits until the slot and the memory of the only request are released.
func (s *serving) isFree(t *testing.T, request string) {
	t.Helper()
	for began := time.Now(); !slotIsFree(s, 5*time.Second) || s.memory.used.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatalf("%s: %d bytes are kept, or the slot", request, s.memory.used.Load())
		}
	}
}

// Guards against a slot that is held until a slow caller has taken its answer, against a
// node that keeps more of answers than its limit, and against answers that are changed, or
// complete although they broke off, at any limit.
func TestSlotIsReleasedOnceTheServerHasSent(t *testing.T) {
	s := startTwoNodes(t, sendPattern).serving
	for _, size := range []int{2, answerBlockBytes - 1, answerBlockBytes, 100_000, maxBufferedAnswerBytes, maxBufferedAnswerBytes + 1, 540_000} {
		for _, framing := range []string{"length", "chunked"} {
			for _, end := range []string{"whole", "cut"} {
				for _, limit := range []int64{0, answerBlockBytes, 3*answerBlockBytes + 5, 16 << 20} {
					path := fmt.Sprintf("/%d/%s/%s", size, framing, end)
					s.memory = newBodyMemory(limit)
					resp := download(t, s, path)
					if end == "cut" && resp.Refusal != nil {
						continue // nothing has been passed on, so that the call can be retried
					}
					if end == "cut" && size <= maxBufferedAnswerBytes && limit > 1<<20 {
						t.Errorf("%s, limit %d: passed on", path, limit)
					}
					if roomForAll := limit > int64(size)+answerBlockBytes; roomForAll && !slotIsFree(s, 5*time.Second) {
						t.Errorf("%s, limit %d: the slot is held", path, limit)
					} else if !roomForAll && limit <= int64(size)-answerBlockBytes && slotIsFree(s, 10*time.Millisecond) {
						t.Errorf("%s, limit %d: the slot is free before the server has sent", path, limit)
					}
					var got bytes.Buffer
					var err error
					for buf := make([]byte, 5000); err == nil; {
						var n int
						n, err = resp.Body.Read(buf)
						got.Write(buf[:n])
						if used := s.memory.used.Load(); used > limit {
							t.Fatalf("%s, limit %d: %d bytes are kept", path, limit, used)
						}
					}
					if complete := errors.Is(err, io.EOF); complete != (end == "whole") || complete && !bytes.Equal(got.Bytes(), pattern(size)) {
						t.Errorf("%s, limit %d: %d bytes, %v", path, limit, got.Len(), err)
					}
					_ = resp.Body.Close()
					s.isFree(t, path)
				}
			}
		}
	}
}

// Guards against memory and slots that are lost when callers leave in the middle of an
// answer, while it is read ahead or waits for memory.
func TestAnswersThatAreClosedEarlyFreeTheirMemory(t *testing.T) {
	s := startTwoNodes(t, sendPattern).serving
	for i := range 200 {
		s.memory = newBodyMemory(int64(i) * 4096)
		resp := download(t, s, "/540000/"+[]string{"length", "chunked"}[i%2]+"/whole")
		_, _ = io.CopyN(io.Discard, resp.Body, int64(i)*2500)
		_ = resp.Body.Close()
		s.isFree(t, strconv.Itoa(i))
	}
}
