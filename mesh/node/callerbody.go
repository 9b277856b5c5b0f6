package node

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"hash"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
)

const (
	// maxKeptBodyBytes is how much of a request body is kept for another attempt: one size
	// says what is retried in both directions.
	maxKeptBodyBytes = maxBufferedAnswerBytes
	// minKeptBodyBytes is how much of a longer body is kept at least, or else the request is
	// refused before its body is read. It covers what is sent to a serving node before the
	// request has a place there, so that a request that is declined can be sent elsewhere.
	minKeptBodyBytes = callmux.DefaultWindow
	// bodyReserveBytes is the step in which the memory for kept bodies is reserved.
	bodyReserveBytes = 16 << 10
)

// unreadBodyTimeout bounds the time for which a caller may go on sending a body that is not
// used. Within it the caller reads the answer; a connection that is closed with unread bytes is
// reset, which can discard the answer.
const unreadBodyTimeout = time.Second

var (
	errTooManyBodies   = errors.New(reasonTooManyBodies)
	errBodyNotReceived = errors.New(reasonBodyNotReceived)
	// errFormerAttempt ends the reads of an attempt that has been replaced by another.
	errFormerAttempt = errors.New("another attempt sends the body")
	// errBodyClosed ends reads after the request was answered.
	errBodyClosed = errors.New("request was answered before its body was sent")
)

// callerBody is the body of a caller's request. A body of up to maxKeptBodyBytes is read
// before the request is sent. Of a longer one, the start is kept, and the rest is read from
// the caller as fast as a backend server takes it.
type callerBody struct {
	// length is the number of bytes that the caller stated; -1 if none.
	length int64
	// memory bounds the bytes of bodies that the node keeps.
	memory *bodyMemory

	// reading is held while rest is read. It also guards hash.
	reading sync.Mutex
	rest    io.Reader // what the caller has not sent yet, up to the limit of a body
	hash    hash.Hash // of what the caller has sent; nil if no digest is needed

	// mu guards the fields below. Lock order: reading before mu.
	mu sync.Mutex
	// kept holds the start of the body; it is all that was read unless dropped is set.
	kept     []byte
	reserved int64
	// dropped is set once more was sent than is kept.
	dropped bool
	// err is what ended the reads from the caller: io.EOF after the whole body.
	err error
	// attempt is the number of the latest reader.
	attempt int
	// onFailure ends the request once the rest of its body can't be received.
	onFailure func()
}

// receive reads the body of a request, or the start of a long one. A body above limit
// is refused by its stated length, or else as soon as the limit is passed. withDigest is
// set for a body whose digest is needed. Without memory the body is refused unread.
func (b *callerBody) receive(r *http.Request, limit int64, withDigest bool, memory *bodyMemory, progress *callerProgress) error {
	b.length, b.memory = r.ContentLength, memory
	if withDigest {
		b.hash = sha256.New()
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		b.err = io.EOF
		return nil
	}
	if r.ContentLength > limit {
		return ErrBodyTooLarge
	}
	b.rest = &limitedBody{progress.reader(r.Body), limit}
	if !b.reserve(b.minReserve()) {
		return errTooManyBodies
	}
	if err := b.receiveStart(); err != nil {
		b.release()
		return err
	}
	b.releaseSurplus()
	return nil
}

// minReserve returns the memory without which the body is not read.
func (b *callerBody) minReserve() int64 {
	if b.length < 0 {
		return minKeptBodyBytes
	}
	return min(max(b.length, bodyReserveBytes), minKeptBodyBytes)
}

// releaseSurplus returns what a body that has ended will not need.
func (b *callerBody) releaseSurplus() {
	if surplus := b.reserved - int64(max(cap(b.kept), bodyReserveBytes)); errors.Is(b.err, io.EOF) && surplus > 0 {
		b.memory.free(surplus)
		b.reserved -= surplus
	}
}

// receiveStart reads the body up to its end, to maxKeptBodyBytes, or until there is no memory
// to keep more.
func (b *callerBody) receiveStart() error {
	if b.length > 0 {
		b.kept = make([]byte, 0, min(b.length, bodyReserveBytes)) // grows by what has arrived
	}
	for b.err == nil && len(b.kept) < maxKeptBodyBytes && (int64(len(b.kept)) < b.reserved || b.reserve(int64(len(b.kept))+bodyReserveBytes)) {
		room := min(b.reserved-int64(len(b.kept)), maxKeptBodyBytes-int64(len(b.kept)), bodyReserveBytes)
		n := len(b.kept)
		b.kept = append(b.kept, make([]byte, room)...)
		m, err := b.rest.Read(b.kept[n:])
		b.kept, b.err = b.kept[:n+m], err
		b.addToDigest(b.kept[n:])
	}
	switch {
	case b.err == nil || errors.Is(b.err, io.EOF):
		return nil
	case errors.Is(b.err, ErrBodyTooLarge):
		return ErrBodyTooLarge
	case errors.Is(b.err, errCallerStalled):
		return errCallerStalled
	}
	return errBodyNotReceived
}

func (b *callerBody) addToDigest(p []byte) {
	if b.hash != nil {
		_, _ = b.hash.Write(p) // never fails
	}
}

// digest returns the digest of the whole body; false if it is not known, because the caller
// has not sent all of it.
func (b *callerBody) digest() (claim.Digest, bool) {
	if !b.isReceived() || b.hash == nil {
		return claim.Digest{}, false
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	return claim.Digest(b.hash.Sum(nil)), true
}

// reserve raises the reserved memory to n bytes and reports whether there was room.
func (b *callerBody) reserve(n int64) bool {
	if n <= b.reserved {
		return true
	}
	if !b.memory.take(n - b.reserved) {
		return false
	}
	b.reserved = n
	return true
}

// release returns the reserved memory.
func (b *callerBody) release() {
	b.memory.free(b.reserved)
	b.reserved = 0
}

// isWhole reports whether the whole body is kept, so that attempts may overlap.
func (b *callerBody) isWhole() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped && errors.Is(b.err, io.EOF)
}

// canRepeat reports whether another attempt can send the body from its start.
func (b *callerBody) canRepeat() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dropped && (b.err == nil || errors.Is(b.err, io.EOF))
}

// failure returns why the body did not arrive completely; nil if it did, or may still.
func (b *callerBody) failure() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err == nil, errors.Is(b.err, io.EOF), errors.Is(b.err, errBodyClosed):
		return nil
	case errors.Is(b.err, ErrBodyTooLarge):
		return ErrBodyTooLarge
	case errors.Is(b.err, errCallerStalled):
		return errCallerStalled
	}
	return errBodyNotReceived
}

// isReceived reports whether the caller has sent the whole body.
func (b *callerBody) isReceived() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// bytes returns what is kept: the whole body, or the start of a long one that has not been
// sent yet.
func (b *callerBody) bytes() []byte {
	if b == nil {
		return nil
	}
	return b.kept
}

// open returns a reader of the body from its start for one more attempt, nil if there is no
// body, and its length, 0 if that is unknown. It ends the readers of earlier attempts, unless
// the whole body is kept.
func (b *callerBody) open() (io.Reader, int64) {
	if b == nil {
		return nil, 0
	}
	if b.isWhole() {
		if len(b.kept) == 0 {
			return nil, 0
		}
		return bytes.NewReader(b.kept), int64(len(b.kept))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempt++
	return &bodyReader{body: b, attempt: b.attempt}, max(b.length, 0)
}

// bodyReader reads a body for one attempt.
type bodyReader struct {
	body    *callerBody
	attempt int
	offset  int
}

// Read implements io.Reader. What it reads from the caller is kept for another attempt as
// long as there is room.
func (r *bodyReader) Read(p []byte) (int, error) {
	b := r.body
	if n, err := r.readKept(p); n > 0 || err != nil {
		return n, err
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	// A former attempt may have read more while this one waited.
	if n, err := r.readKept(p); n > 0 || err != nil {
		return n, err
	}
	n, err := b.rest.Read(p)
	b.addToDigest(p[:n])
	if err != nil && !errors.Is(err, io.EOF) {
		defer b.onFailure()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
	current := r.attempt == b.attempt
	if !b.dropped && current && !b.hasRoom(n) {
		b.dropped, b.kept = true, nil
	}
	if !b.dropped {
		b.kept = append(b.kept, p[:n]...)
	}
	if !current {
		return 0, errFormerAttempt
	}
	r.offset += n
	return n, err
}

// hasRoom reports whether n more bytes may be kept. The caller holds mu.
func (b *callerBody) hasRoom(n int) bool {
	size := int64(len(b.kept) + n)
	return size <= maxKeptBodyBytes && b.reserve(size)
}

// readKept reads what is kept beyond the reader's offset. It returns 0 and no error if
// more has to be read from the caller.
func (r *bodyReader) readKept(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.attempt != b.attempt {
		return 0, errFormerAttempt
	}
	if !b.dropped && r.offset < len(b.kept) {
		n := copy(p, b.kept[r.offset:])
		r.offset += n
		return n, nil
	}
	return 0, b.err
}

// close ends the reads of the body once its request is answered, so that none is under way
// when the handler returns. w is the writer of the answer.
func (b *callerBody) close(w http.ResponseWriter) {
	b.mu.Lock()
	ended := b.err != nil
	if !ended {
		b.err = errBodyClosed
	}
	b.attempt++
	b.mu.Unlock()
	if !ended {
		// A caller that has stopped sending would otherwise hold the read, and with it the
		// handler.
		_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

// unreadBodyWriter sends an answer to a request with a body. An answer that begins before the
// caller has sent the whole body ends the connection: net/http discards the rest of the body
// after the handler, and its reader of the connection is not ready for another request then.
type unreadBodyWriter struct {
	http.ResponseWriter
	body  *callerBody
	wrote bool
}

// WriteHeader implements http.ResponseWriter.
func (w *unreadBodyWriter) WriteHeader(status int) {
	if !w.wrote && !w.body.isReceived() {
		w.Header().Set("Connection", "close")
	}
	w.wrote = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *unreadBodyWriter) Write(p []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom, by that of net/http if there is one.
func (w *unreadBodyWriter) ReadFrom(r io.Reader) (int64, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return io.Copy(w.ResponseWriter, r)
}

// receiveRest lets net/http discard the rest of a body, for a limited time, once nothing else
// reads it.
func (w *unreadBodyWriter) receiveRest() {
	if !w.body.isReceived() {
		_ = http.NewResponseController(w.ResponseWriter).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *unreadBodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// limitedBody reads a body and returns ErrBodyTooLarge once it is longer than left.
type limitedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > l.left+1 {
		p = p[:l.left+1]
	}
	n, err := l.r.Read(p)
	if int64(n) > l.left {
		return int(l.left), ErrBodyTooLarge
	}
	l.left -= int64(n)
	return n, err
}
