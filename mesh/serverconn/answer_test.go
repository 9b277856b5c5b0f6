package serverconn

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"maps"
	"math/big"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"balsamtrail.org/mesh/telemetry"
)

// Guards against an answer that is not one by RFC 9112 and is passed on, or that is read with
// another body than it has. Each is sent and then followed by silence, so that the reader must
// not need the end of the connection.
func TestInvalidAnswers(t *testing.T) {
	const line, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n"
	heads := map[string]string{
		"space in a name":            line + "X Bad: 1\r\n" + length,
		"space after a name":         line + "Content-Length : 2\r\n",
		"space before a name":        line + " X: 1\r\n" + length,
		"tab in a name":              line + "X\tBad: 1\r\n" + length,
		"control byte in a name":     line + "X\x01: 1\r\n" + length,
		"byte above 127 in a name":   line + "X\xe9: 1\r\n" + length,
		"separator in a name":        line + "X(1): 1\r\n" + length,
		"no name":                    line + ": 1\r\n" + length,
		"no colon":                   line + "X\r\n" + length,
		"NUL in a value":             line + "X: a\x00b\r\n" + length,
		"CR in a value":              line + "X: a\rb\r\n" + length,
		"control byte in a value":    line + "X: a\x1bb\r\n" + length,
		"folded line":                line + "X: a\r\n b\r\n" + length,
		"line without CR":            line + "X: a\n" + length,
		"two lengths":                line + length + "Content-Length: 3\r\n",
		"list of lengths":            line + "Content-Length: 2, 2\r\n",
		"length with a sign":         line + "Content-Length: +2\r\n",
		"empty length":               line + "Content-Length:\r\n",
		"length above any range":     line + "Content-Length: 99999999999999999999\r\n",
		"length and chunks":          line + length + "Transfer-Encoding: chunked\r\n",
		"other coding":               line + "Transfer-Encoding: gzip, chunked\r\n",
		"coding twice":               line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"status 000":                 "HTTP/1.1 000 OK\r\n" + length,
		"status 099":                 "HTTP/1.1 099 OK\r\n" + length,
		"status 600":                 "HTTP/1.1 600 OK\r\n" + length,
		"status of two digits":       "HTTP/1.1 20 OK\r\n" + length,
		"status of four digits":      "HTTP/1.1 2000 OK\r\n" + length,
		"status 101":                 "HTTP/1.1 101 OK\r\n",
		"other version":              "HTTP/2.0 200 OK\r\n" + length,
		"control byte in the reason": "HTTP/1.1 200 O\x00K\r\n" + length,
		"invalid field of 100":       "HTTP/1.1 100 Continue\r\nX Bad: 1\r\n\r\n" + line + length,
		"invalid length of 204":      "HTTP/1.1 204 OK\r\nContent-Length: x\r\n",
		"bytes before the answer":    "ok" + line + length,
		"no HTTP":                    "\x00\x01\x02\x03\x04\x05\x06\x07\x08",
	}
	answers := map[string]string{}
	for name, head := range heads {
		answers[name] = head + "X-Id: a\r\n\r\nok"
	}
	for name, body := range map[string]string{
		"space in a trailer's name":    "2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n",
		"space after a trailer's name": "2\r\nok\r\n0\r\nX-Sum : 1\r\n\r\n",
		"NUL in a trailer":             "2\r\nok\r\n0\r\nX-Sum: \x00\r\n\r\n",
		"no size of a chunk":           "2\r\nok\r\n\r\n\r\n",
		"size of a chunk with 0x":      "0x2\r\nok\r\n0\r\n\r\n",
		"negative size of a chunk":     "-2\r\nok\r\n0\r\n\r\n",
		"size above any range":         "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
		"chunk longer than its size":   "2\r\nokay\r\n0\r\n\r\n",
		"chunk line without CR":        "2\nok\r\n0\r\n\r\n",
		"chunk end without CR":         "2\r\nok\n0\r\n\r\n",
	} {
		answers[name] = line + "X-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body
	}
	for name, answer := range answers {
		closed := make(chan struct{})
		c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
			defer close(closed)
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, answer)
				_, _ = io.Copy(io.Discard, r)
			}
		})
		before := telemetry.Counter(MetricInvalidAnswers).Count()
		began := time.Now()
		resp, err := get(t.Context(), c, "a")
		if !errors.Is(err, ErrInvalid) || time.Since(began) > time.Second || telemetry.Counter(MetricInvalidAnswers).Count() != before+1 {
			t.Errorf("%s: %v, %v, counted %d", name, resp, err, telemetry.Counter(MetricInvalidAnswers).Count()-before)
			continue
		}
		<-closed
	}
}

// Guards against answers that are valid, if unusual, and are refused, and against a connection
// that is kept although it holds or may get bytes that belong to no request.
func TestUnusualAnswersAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		method, answer, body string
		kept                 bool
	}{
		"no reason":                {http.MethodGet, "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"no space after a status":  {http.MethodGet, "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"equal lengths":            {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"bytes above 127, tabs":    {http.MethodGet, "HTTP/1.1 200 caf\xe9\r\nX:\ta\t\xff \r\nContent-Length:2\r\n\r\nok", "ok", true},
		"chunk extension, trailer": {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n02 ;a=\"b\"\r\nok\r\n000\r\nX-Sum: 1\r\n\r\n", "ok", true},
		"informational answers":    {http.MethodGet, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"HTTP/1.0":                 {http.MethodGet, "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", false},
		"HTTP/1.0, kept":           {http.MethodGet, "HTTP/1.0 200 OK\r\nConnection: Keep-Alive\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		"HEAD with a length":       {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "", true},
		"HEAD with a body":         {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", false},
		"HEAD with chunks":         {http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "", true},
		"204":                      {http.MethodGet, "HTTP/1.1 204 OK\r\n\r\n", "", true},
		"204 with a body":          {http.MethodGet, "HTTP/1.1 204 OK\r\nContent-Length: 2\r\n\r\nok", "", false},
		"204 that states a body":   {http.MethodGet, "HTTP/1.1 204 OK\r\nContent-Length: 2\r\n\r\n", "", false},
		"304 with a length":        {http.MethodGet, "HTTP/1.1 304 OK\r\nContent-Length: 2\r\n\r\n", "", true},
		"304 with a body":          {http.MethodGet, "HTTP/1.1 304 OK\r\nContent-Length: 2\r\n\r\nok", "", false},
		"bytes after the body":     {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", "ok", false},
		"bytes after the chunks":   {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nHTTP", "ok", false},
	} {
		client := faultyServer(t, func(conn net.Conn, r *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				if _, err := io.WriteString(conn, c.answer); err != nil {
					return
				}
			}
		})
		got, err := send(t.Context(), client, c.method, "", nil)
		client.mu.Lock()
		kept := len(client.idle) == 1
		client.mu.Unlock()
		if got != c.body || err != nil || kept != c.kept {
			t.Errorf("%s: %q, %v, connection kept %v", name, got, err, kept)
		}
	}
}

// The strict reader takes an answer as a whole, by the grammar of RFC 9112, with the choices
// that ErrInvalid documents. It shares no code with the reader
// under test. A byte above 127 that is not UTF-8 matches as U+FFFD.
var (
	strictLine    = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])( [\t\x20-\x7e\x{80}-\x{10ffff}]*)?\r\n`)
	strictField   = regexp.MustCompile("^([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \\t]*([\\t\\x20-\\x7e\\x{80}-\\x{10ffff}]*)\\r\\n")
	strictChunk   = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})([ \t]*;[\t\x20-\x7e\x{80}-\x{10ffff}]*)?\r\n`)
	strictDigits  = regexp.MustCompile(`^[0-9]+$`)
	strictChunked = regexp.MustCompile(`(?i)^chunked$`)
)

// strictAnswer is what the strict reader made of some bytes and the end of the connection.
type strictAnswer struct {
	status string
	fields map[string][]string
	body   string
}

// strictFields takes fields up to and including the empty line.
func strictFields(s string) (fields map[string][]string, rest string, ok bool) {
	fields = map[string][]string{}
	for {
		if rest, ok := strings.CutPrefix(s, "\r\n"); ok {
			return fields, rest, true
		}
		m := strictField.FindStringSubmatch(s)
		if m == nil {
			return nil, "", false
		}
		name := http.CanonicalHeaderKey(m[1])
		fields[name] = append(fields[name], strings.TrimRight(m[2], " \t"))
		s = s[len(m[0]):]
	}
}

// strictRead returns the answer to a request of a method in s; false if s holds none.
func strictRead(s, method string) (a strictAnswer, ok bool) {
	m := strictLine.FindStringSubmatch(s)
	if m == nil || m[2] == "101" {
		return a, false
	}
	a.status = m[2]
	var rest string
	if a.fields, rest, ok = strictFields(s[len(m[0]):]); !ok {
		return a, false
	}
	lengths, codings := a.fields["Content-Length"], a.fields["Transfer-Encoding"]
	length := new(big.Int)
	for n, v := range lengths {
		l, _ := new(big.Int).SetString(v, 10)
		if !strictDigits.MatchString(v) || !l.IsInt64() || n > 0 && l.Cmp(length) != 0 {
			return a, false
		}
		length = l
	}
	if codings != nil && (lengths != nil || m[1] == "0" || len(codings) != 1 || !strictChunked.MatchString(codings[0])) {
		return a, false
	}
	delete(a.fields, "Transfer-Encoding")
	if lengths != nil {
		a.fields["Content-Length"] = lengths[:1]
	}
	switch {
	case m[2][0] == '1':
		return strictRead(rest, method)
	case method == http.MethodHead, m[2] == "204", m[2] == "304":
		return a, true
	case codings != nil:
		a.body, ok = strictChunks(rest)
		return a, ok
	case lengths == nil:
		a.body = rest
		return a, true
	case length.Cmp(big.NewInt(int64(len(rest)))) > 0:
		return a, false
	}
	a.body = rest[:length.Int64()]
	return a, true
}

func strictChunks(s string) (body string, ok bool) {
	for {
		m := strictChunk.FindStringSubmatch(s)
		if m == nil {
			return "", false
		}
		s = s[len(m[0]):]
		size, _ := new(big.Int).SetString(m[1], 16)
		if size.Sign() == 0 {
			_, _, ok := strictFields(s)
			return body, ok
		}
		if size.Cmp(big.NewInt(int64(len(s)))) > 0 {
			return "", false
		}
		body, s = body+s[:size.Int64()], s[size.Int64():]
		if s, ok = strings.CutPrefix(s, "\r\n"); !ok {
			return "", false
		}
	}
}

// readAnswer reads the answer in s by the reader under test, skipping informational ones.
func readAnswer(r io.Reader, method string) (a strictAnswer, ok bool) {
	reader := answerReader{r: bufio.NewReaderSize(r, bufferBytes)}
	for {
		resp, rest, err := reader.next(method)
		if err != nil {
			return a, false
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(&rest)
		return strictAnswer{resp.Status[:3], resp.Header, string(body)}, err == nil
	}
}

// maxFuzzedBytes keeps the quadratic work of an input small.
const maxFuzzedBytes = 300

// Guards against an answer, or the start of one, that is read in another way than RFC 9112
// says, whatever the blocks are in which it arrives.
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
		"HTTP/1.0 200\r\nConnection: keep-alive\r\n\r\nhello",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\nX Bad: 1\r\n b\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok",
	} {
		f.Add([]byte(s), false, false)
		f.Add([]byte(s), true, true)
	}
	f.Fuzz(func(t *testing.T, s []byte, head, small bool) {
		if len(s) > maxFuzzedBytes {
			return
		}
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		for n := range len(s) + 1 {
			var r io.Reader = bytes.NewReader(s[:n])
			if small {
				r = iotest.HalfReader(r)
			}
			want, wantOK := strictRead(string(s[:n]), method)
			got, ok := readAnswer(r, method)
			if ok != wantOK || ok && (got.status != want.status || got.body != want.body || !maps.EqualFunc(got.fields, want.fields, slices.Equal[[]string])) {
				t.Fatalf("%q: read %v %+v, want %v %+v", s[:n], ok, got, wantOK, want)
			}
		}
	})
}
