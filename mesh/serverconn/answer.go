package serverconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalid is returned for bytes of the server that are not an answer of HTTP/1.1 by RFC 9112.
// net/http reads answers leniently: it drops fields without a name, and a field like
// "Content-Length : 2" does not frame the body, so that other bytes become the answer.
//
// Where the RFC leaves a choice, these are refused: folded lines, lines that end without CR,
// several transfer codings or another one than chunked, Transfer-Encoding together with
// Content-Length or in HTTP/1.0, a list of lengths, and status 101, which no request asks for.
// Equal lengths in several fields and a status line without a space at its end are read.
var ErrInvalid = errors.New("invalid answer")

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}

const (
	httpVersion = "HTTP/1."
	crlf        = "\r\n"
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// maxStatus is the highest status that RFC 9110 defines a class for.
	maxStatus = 599
	// maxChunkSizeDigits keeps the size of a chunk within an int64.
	maxChunkSizeDigits = 15
	// maxKeptHeadBytes is the largest head buffer that a connection keeps for later answers.
	maxKeptHeadBytes = 4 << 10
)

// framing says what ends the body of an answer.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
)

// answerReader reads answers from a connection.
type answerReader struct {
	r *bufio.Reader
	// buf is kept for heads of up to maxKeptHeadBytes.
	buf []byte
	// beforeTrailers is called before the trailers of an answer are read, to bound them;
	// may be nil.
	beforeTrailers func()
}

// next reads the head of an answer to a request of the given method, and returns it without
// its body, which is to be read next. ContentLength is -1 if it is not stated.
func (a *answerReader) next(method string) (*http.Response, answerBody, error) {
	if start, err := a.r.Peek(len(httpVersion)); err == nil && string(start) != httpVersion {
		return nil, answerBody{}, invalid("%q in place of a status line", start)
	}
	head, err := a.readLines()
	if err != nil {
		return nil, answerBody{}, err
	}
	line, rest, _ := strings.Cut(head, crlf)
	resp, err := parseStatusLine(line)
	if err != nil {
		return nil, answerBody{}, err
	}
	if resp.Header, err = parseFields(rest); err != nil {
		return nil, answerBody{}, err
	}
	b := answerBody{reader: a}
	b.framing, err = frame(resp, method)
	if b.framing == framedByLength && method != http.MethodHead {
		b.left = resp.ContentLength
	}
	return resp, b, err
}

// largeHeads holds buffers for heads above maxKeptHeadBytes. A faulty server that sends such
// heads all the time would otherwise leave several times their size to be collected.
var largeHeads = sync.Pool{New: func() any { return new([maxHeadBytes + bufferBytes]byte) }}

// readLines reads lines up to and including an empty one, and returns them without the empty
// one. Each line ends with CR LF.
func (a *answerReader) readLines() (string, error) {
	buf := a.buf[:0]
	for start := 0; ; {
		part, err := a.r.ReadSlice('\n')
		if before := len(buf); before <= maxKeptHeadBytes && before+len(part) > maxKeptHeadBytes {
			large, _ := largeHeads.Get().(*[maxHeadBytes + bufferBytes]byte)
			defer largeHeads.Put(large)
			buf = append(large[:0], buf...)
		}
		buf = append(buf, part...)
		if len(buf) <= maxKeptHeadBytes {
			a.buf = buf
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", unexpected(err)
		}
		line := buf[start:]
		if len(line) < len(crlf) || line[len(line)-len(crlf)] != '\r' {
			return "", invalid("line %.40q ends without CR", line)
		}
		if len(line) == len(crlf) {
			return string(buf[:start]), nil
		}
		start = len(buf)
	}
}

// unexpected returns the error for an answer that breaks off.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func parseStatusLine(line string) (*http.Response, error) {
	rest, ok := strings.CutPrefix(line, httpVersion)
	if !ok || len(rest) < len("1 ")+statusDigits || !isDigit(rest[0]) || rest[1] != ' ' {
		return nil, invalid("status line %.40q", line)
	}
	digits, reason := rest[len("1 "):len("1 ")+statusDigits], rest[len("1 ")+statusDigits:]
	status, ok := parseDigits(digits)
	if !ok || reason != "" && reason[0] != ' ' || !httpguts.ValidHeaderFieldValue(reason) {
		return nil, invalid("status line %.40q", line)
	}
	if status < http.StatusContinue || status > maxStatus {
		return nil, invalid("status %s", digits) // net/http panics if it has to send one below 100
	}
	if status == http.StatusSwitchingProtocols {
		return nil, invalid("status 101 without an upgrade")
	}
	return &http.Response{
		Status: strings.TrimPrefix(line[len("HTTP/1.1 "):], " "), StatusCode: int(status),
		Proto: line[:len("HTTP/1.1")], ProtoMajor: 1, ProtoMinor: int(rest[0] - '0'),
	}, nil
}

// parseFields parses field lines, each with its CR LF.
func parseFields(lines string) (http.Header, error) {
	n := strings.Count(lines, crlf)
	header, values := make(http.Header, n), make([]string, 0, n)
	for lines != "" {
		var line string
		line, lines, _ = strings.Cut(lines, crlf)
		if line[0] == ' ' || line[0] == '\t' {
			return nil, invalid("folded line %.40q", line)
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || !httpguts.ValidHeaderFieldName(name) {
			return nil, invalid("field name in %.40q", line)
		}
		if !httpguts.ValidHeaderFieldValue(value) {
			return nil, invalid("value of field %.40q", name)
		}
		name = http.CanonicalHeaderKey(name)
		if former, ok := header[name]; ok {
			header[name] = append(former, strings.Trim(value, " \t"))
			continue
		}
		// A slice of its own for each name would take an allocation each.
		values = append(values, strings.Trim(value, " \t"))
		header[name] = values[len(values)-1 : len(values) : len(values)]
	}
	return header, nil
}

// frame sets the length of an answer, and whether its connection ends with it. It checks the
// framing fields of every answer, also where they do not apply.
func frame(resp *http.Response, method string) (framing, error) {
	length, err := statedLength(resp.Header["Content-Length"])
	if err != nil {
		return 0, err
	}
	chunked, err := isChunked(resp)
	if err != nil {
		return 0, err
	}
	resp.Close = endsConnection(resp)
	resp.Header.Del("Transfer-Encoding")
	if length >= 0 {
		resp.Header["Content-Length"] = resp.Header["Content-Length"][:1]
	}
	switch {
	case resp.StatusCode < http.StatusOK, resp.StatusCode == http.StatusNoContent:
		// These have no body, and must not state one: what follows is not to be trusted.
		resp.Close = resp.Close || chunked || length > 0
		return framedByLength, nil
	case resp.StatusCode == http.StatusNotModified:
		return framedByLength, nil
	case method == http.MethodHead:
		resp.ContentLength = length
		return framedByLength, nil
	case chunked:
		resp.ContentLength = -1
		return framedByChunks, nil
	case length >= 0:
		resp.ContentLength = length
		return framedByLength, nil
	}
	resp.ContentLength, resp.Close = -1, true
	return framedByClose, nil
}

// statedLength returns the length that an answer states; -1 if none.
func statedLength(values []string) (int64, error) {
	if len(values) == 0 {
		return -1, nil
	}
	length, ok := parseDigits(values[0])
	if !ok {
		return 0, invalid("length %.40q", values[0])
	}
	for _, v := range values[1:] {
		if other, ok := parseDigits(v); !ok || other != length {
			return 0, invalid("lengths %.40q and %.40q", values[0], v)
		}
	}
	return length, nil
}

// isChunked reports whether the body of an answer is sent in chunks.
func isChunked(resp *http.Response) (bool, error) {
	codings, ok := resp.Header["Transfer-Encoding"]
	if !ok {
		return false, nil
	}
	if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
		return false, invalid("transfer coding %.40q", codings)
	}
	if resp.Header["Content-Length"] != nil {
		return false, invalid("Transfer-Encoding together with Content-Length")
	}
	if resp.ProtoMinor == 0 {
		return false, invalid("Transfer-Encoding in HTTP/1.0")
	}
	return true, nil
}

func endsConnection(resp *http.Response) bool {
	options := resp.Header["Connection"]
	return httpguts.HeaderValuesContainsToken(options, "close") ||
		resp.ProtoMinor == 0 && !httpguts.HeaderValuesContainsToken(options, "keep-alive")
}

// parseDigits parses a decimal number of digits only.
func parseDigits(s string) (int64, bool) {
	for i := range len(s) {
		if !isDigit(s[i]) {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// answerBody reads the body of an answer. It returns io.EOF only after the whole body.
type answerBody struct {
	reader  *answerReader
	framing framing
	// left is the number of bytes left of the body or, of one in chunks, of the chunk.
	left int64
	// inChunk is set from the size of a chunk to the line end that follows its bytes.
	inChunk bool
	// err is what ended the body.
	err error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n := 0
	switch b.framing {
	case framedByLength:
		n, b.err = b.readLeft(p)
		if b.err == nil && b.left == 0 {
			b.err = io.EOF
		}
	case framedByChunks:
		n, b.err = b.readChunks(p)
	case framedByClose:
		n, b.err = b.reader.r.Read(p)
	}
	return n, b.err
}

// readLeft reads bytes of those left.
func (b *answerBody) readLeft(p []byte) (int, error) {
	if b.left == 0 {
		return 0, nil
	}
	n, err := b.reader.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, unexpected(err)
}

// readChunks reads bytes of a chunk, and what is between chunks.
func (b *answerBody) readChunks(p []byte) (int, error) {
	if b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	return b.readLeft(p)
}

// nextChunk reads up to the bytes of the next chunk; io.EOF after the trailers.
func (b *answerBody) nextChunk() error {
	if b.inChunk {
		if err := b.reader.readLineEnd(); err != nil {
			return err
		}
	}
	size, err := b.reader.readChunkSize()
	if err != nil {
		return err
	}
	b.left, b.inChunk = size, true
	if size > 0 {
		return nil
	}
	if b.reader.beforeTrailers != nil {
		b.reader.beforeTrailers()
	}
	trailers, err := b.reader.readLines()
	if err != nil {
		return err
	}
	if trailers != "" { // nodes do not pass them on
		if _, err := parseFields(trailers); err != nil {
			return err
		}
	}
	return io.EOF
}

// readLineEnd reads the line end after the bytes of a chunk.
func (a *answerReader) readLineEnd() error {
	end, err := a.r.Peek(len(crlf))
	if string(end) != crlf[:len(end)] {
		return invalid("%q in place of the end of a chunk", end)
	}
	if err != nil {
		return unexpected(err)
	}
	_, err = a.r.Discard(len(crlf))
	return err
}

// readChunkSize reads the line before a chunk. Extensions are ignored.
func (a *answerReader) readChunkSize() (int64, error) {
	line, err := a.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return 0, invalid("line of %d bytes before a chunk", len(line))
	}
	if err != nil {
		return 0, unexpected(err)
	}
	s := string(line) // short; the compiler keeps it off the heap
	s, ok := strings.CutSuffix(s, crlf)
	digits, extension, extended := strings.Cut(s, ";")
	if extended {
		digits = strings.TrimRight(digits, " \t")
	}
	size, valid := parseHex(digits)
	if !ok || !valid || !httpguts.ValidHeaderFieldValue(extension) {
		return 0, invalid("size of a chunk %.40q", line)
	}
	return size, nil
}

func parseHex(s string) (n int64, ok bool) {
	if s == "" || len(s) > maxChunkSizeDigits {
		return 0, false
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case isDigit(c):
			c -= '0'
		case 'a' <= c|0x20 && c|0x20 <= 'f':
			c = c | 0x20 - 'a' + 10
		default:
			return 0, false
		}
		n = n<<4 | int64(c)
	}
	return n, true
}
