package node

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// maxBufferedAnswerBytes is the size up to which an answer is read completely before
	// any of it is passed on, so that the call can be retried if the answer is truncated.
	maxBufferedAnswerBytes = 256 << 10
	// answerBlockBytes is the size of the blocks in which an answer is read. Growing one
	// slice would take a few times the memory of the answer until it is collected.
	answerBlockBytes = 16 << 10
)

// answerBlocks holds emptied blocks of answerBlockBytes. Without it, long answers would leave
// as much garbage as memory is allowed for all of them.
var answerBlocks = sync.Pool{New: func() any { return new([answerBlockBytes]byte) }}

func newAnswerBlock(n int64) []byte {
	if n == answerBlockBytes {
		return answerBlocks.Get().(*[answerBlockBytes]byte)[:0]
	}
	return make([]byte, 0, n)
}

func releaseAnswerBlock(b []byte) {
	if cap(b) == answerBlockBytes {
		answerBlocks.Put((*[answerBlockBytes]byte)(b[:answerBlockBytes]))
	}
}

// answerBuffer is the body of an answer that is read from the backend server ahead of the
// caller, as far as there is memory. Without memory for more, the server is read as fast
// as the caller takes the answer. It has one reader.
type answerBuffer struct {
	source io.ReadCloser
	length int64 // as stated by the server; negative if it is not known
	memory *bodyMemory

	mu sync.Mutex
	// changed is signalled when a field below has changed.
	changed sync.Cond
	// blocks holds what has been read from the server and not by the caller. The last
	// block may be filled further; offset is what the caller has taken of the first.
	blocks [][]byte
	offset int
	// size is the number of bytes read from the server.
	size int64
	// held is the number of bytes taken from memory. spare is a block of them that the
	// caller has emptied and that is filled again. Until the answer ends, one block is
	// held, so that the answer goes on whatever others take.
	held  int64
	spare []byte
	// err is what ended the answer: io.EOF if it is complete.
	err error
	// reading is set while readAhead runs, closed by Close.
	reading, closed bool
	// waited is how long readAhead has waited for memory, and so for the caller.
	waited time.Duration
}

// bufferAnswer replaces the body of an answer by an answerBuffer that holds all of it, up to
// maxBufferedAnswerBytes, or its start. The buffer is nil if there is no memory for it. An
// answer without a length ends with its connection, whatever its size: a regular close (FIN)
// completes it, a reset or the deadline does not.
func bufferAnswer(resp *http.Response, memory *bodyMemory) (*answerBuffer, error) {
	b := &answerBuffer{source: resp.Body, length: resp.ContentLength, memory: memory}
	b.changed.L = &b.mu
	if !b.takeBlock() {
		return nil, nil
	}
	resp.Body = b
	if resp.ContentLength > maxBufferedAnswerBytes {
		return b, nil
	}
	for b.err == nil && b.size <= maxBufferedAnswerBytes && (b.lastHasRoom() || b.takeBlock()) {
		b.readOnce()
	}
	if b.err != nil {
		_ = b.source.Close()
	}
	if b.err != nil && !errors.Is(b.err, io.EOF) {
		b.freeAll()
		return nil, b.err
	}
	if b.err != nil {
		resp.ContentLength = b.size
	}
	return b, nil
}

// nextBlockBytes returns the size of the next block. The end of an answer shows only after
// its last byte.
func (b *answerBuffer) nextBlockBytes() int64 {
	if b.length < 0 {
		return answerBlockBytes
	}
	return min(answerBlockBytes, max(b.length-b.size, 0)+1)
}

// takeBlock reserves the memory of the next block, if there is any, and adds the block. The
// caller holds mu, or has the only reference.
func (b *answerBuffer) takeBlock() bool {
	if b.spare != nil {
		b.blocks, b.spare = append(b.blocks, b.spare[:0]), nil
		return true
	}
	n, take := b.nextBlockBytes(), b.memory.take
	if b.held > 0 && max(b.length, b.size) > maxBufferedAnswerBytes {
		take = b.memory.takeAhead
	}
	if b.held+n > b.memory.maxForAnswer() || !take(n) {
		return false
	}
	b.held += n
	b.blocks = append(b.blocks, newAnswerBlock(n))
	return true
}

// lastHasRoom reports whether the last block can be filled further. The caller holds mu.
func (b *answerBuffer) lastHasRoom() bool {
	last := len(b.blocks) - 1
	return last >= 0 && len(b.blocks[last]) < cap(b.blocks[last])
}

// readOnce reads from the server into the last block. Only one goroutine may call it at a
// time.
func (b *answerBuffer) readOnce() {
	b.mu.Lock()
	last := b.blocks[len(b.blocks)-1]
	b.mu.Unlock()
	n, err := b.source.Read(last[len(last):cap(last)])
	b.mu.Lock()
	defer b.mu.Unlock()
	// The caller may have taken blocks in the meantime, but not the last one.
	b.blocks[len(b.blocks)-1] = last[:len(last)+n]
	b.size += int64(n)
	b.err = err
	b.changed.Broadcast()
}

// readAhead reads the rest of the answer and then calls sent: with io.EOF if the server has
// sent the whole answer, with errBodyClosed if the answer was closed before, or else with the
// error at which it broke off. waited is how long it was held
// up by a caller that took the answer more slowly than the server sent it.
func (b *answerBuffer) readAhead(sent func(err error, waited time.Duration)) {
	for b.waitForRoom() {
		b.readOnce()
	}
	_ = b.source.Close()
	b.mu.Lock()
	b.reading = false
	err, waited := b.err, b.waited
	if b.closed {
		b.freeAll()
		if !errors.Is(err, io.EOF) {
			err = errBodyClosed
		}
	}
	b.mu.Unlock()
	sent(err, waited)
}

// waitForRoom waits until the last block can be filled further. It reports false if nothing
// more is to be read.
func (b *answerBuffer) waitForRoom() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil || b.closed {
		return false
	}
	if b.lastHasRoom() || b.takeBlock() {
		return true
	}
	started := time.Now()
	for !b.closed && b.spare == nil {
		b.changed.Wait()
	}
	b.waited += time.Since(started)
	return !b.closed && b.takeBlock()
}

// Read implements io.Reader. An answer that breaks off never ends with io.EOF.
func (b *answerBuffer) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.err == nil && !b.closed && b.available() == 0 {
		b.changed.Wait()
	}
	n := 0
	for n < len(p) && b.available() > 0 {
		m := copy(p[n:], b.blocks[0][b.offset:])
		n, b.offset = n+m, b.offset+m
		b.dropEmptied()
	}
	switch {
	case b.closed:
		return 0, errBodyClosed
	case b.err != nil && b.available() == 0 && (n == 0 || errors.Is(b.err, io.EOF)):
		return n, b.err
	}
	return n, nil
}

// available returns the number of bytes of the first block that the caller has not taken.
// The caller holds mu.
func (b *answerBuffer) available() int {
	if len(b.blocks) == 0 {
		return 0
	}
	return len(b.blocks[0]) - b.offset
}

// dropEmptied drops the first block if the caller has taken all of it. One block is kept
// as spare while the answer goes on. The caller holds mu.
func (b *answerBuffer) dropEmptied() {
	emptied := b.blocks[0]
	if b.offset < cap(emptied) && (b.err == nil || b.available() > 0) {
		return
	}
	b.blocks, b.offset = b.blocks[1:], 0
	if b.err == nil && b.spare == nil {
		b.spare = emptied
		b.changed.Broadcast()
		return
	}
	b.held -= int64(cap(emptied))
	b.memory.free(int64(cap(emptied)))
	releaseAnswerBlock(emptied)
}

// freeAll returns all memory. The caller holds mu, or has the only reference.
func (b *answerBuffer) freeAll() {
	for _, block := range append(b.blocks, b.spare) {
		releaseAnswerBlock(block)
	}
	b.memory.free(b.held)
	b.held, b.spare, b.blocks = 0, nil, nil
}

// Close ends the answer. The server's connection is closed if the answer is not complete.
func (b *answerBuffer) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.closed = true
	b.changed.Broadcast()
	if !b.reading {
		b.freeAll()
		return nil
	}
	return b.source.Close() // ends the read of readAhead, which then frees the memory
}
