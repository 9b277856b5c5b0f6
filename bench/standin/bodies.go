package standin

import (
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"time"
)

// BodiesPrefix is the path prefix of requests that transfer bodies of a given size.
const BodiesPrefix = "/bodies/"

// Query parameters under BodiesPrefix.
const (
	// ParamAnswer is the number of bytes of the answer; of any other request than those under
	// BodiesPrefix, the number of bytes that follow its answer.
	ParamAnswer = "answer"
	// ParamFraming is FramingLength, FramingChunked or FramingClose.
	ParamFraming = "framing"
	// ParamRate is the number of bytes per second that the stand-in reads and writes; 0 for
	// no limit.
	ParamRate = "rate"
)

// Framings of an answer.
const (
	FramingLength  = "length"
	FramingChunked = "chunked"
	FramingClose   = "close"
)

// serveBodies reads the body of a request and answers with as many bytes as it asks for.
func (s *Server) serveBodies(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, _ := strconv.ParseInt(q.Get(ParamAnswer), 10, 64)
	rate, _ := strconv.ParseInt(q.Get(ParamRate), 10, 64)
	received, err := io.Copy(io.Discard, Paced(r.Body, rate))
	if err != nil {
		return
	}
	w.Header().Set("X-Received", strconv.FormatInt(received, 10))
	switch q.Get(ParamFraming) {
	case FramingLength:
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	case FramingClose:
		w.Header().Set("Transfer-Encoding", "identity") // net/http then ends the answer with the connection
	}
	_, _ = io.Copy(w, Paced(Pattern(size), rate))
}

// NoncePattern returns a reader of size bytes that depend on a nonce, so that a part of one
// body is not taken for a part of another.
func NoncePattern(nonce string, size int64) io.Reader {
	h := fnv.New64a()
	_, _ = io.WriteString(h, nonce)
	return io.LimitReader(&pattern{n: h.Sum64()}, size)
}

// Pattern returns a reader of size bytes that do not repeat within 64 KiB.
func Pattern(size int64) io.Reader { return io.LimitReader(&pattern{}, size) }

type pattern struct{ n uint64 }

// Read implements io.Reader.
func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		p.n++
		b[i] = byte(p.n ^ p.n>>8)
	}
	return len(b), nil
}

// pacedBlockBytes is the size of the blocks between which Paced waits.
const pacedBlockBytes = 32 << 10

// Paced limits a reader to rate bytes per second; 0 for no limit.
func Paced(r io.Reader, rate int64) io.Reader {
	if rate <= 0 {
		return r
	}
	return &paced{r: r, rate: rate, start: time.Now()}
}

type paced struct {
	r     io.Reader
	rate  int64
	start time.Time
	read  int64
}

// Read implements io.Reader.
func (p *paced) Read(b []byte) (int, error) {
	due := time.Duration(float64(p.read) / float64(p.rate) * float64(time.Second))
	if wait := due - time.Since(p.start); wait > 0 {
		time.Sleep(wait)
	}
	n, err := p.r.Read(b[:min(len(b), pacedBlockBytes)])
	p.read += int64(n)
	return n, err
}
