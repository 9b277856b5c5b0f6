package peer

import (
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// pipeQueue is the maximum number of unread frames in each direction of a Pipe.
const pipeQueue = 64

// pipeStream is one end of an in-memory stream.
type pipeStream struct {
	peer   Identity
	out    chan<- []byte
	in     <-chan []byte
	ctx    context.Context
	cancel context.CancelFunc
	// sendClosed ends when this end closes its sending half, recvClosed when the
	// other end does.
	sendClosed context.Context
	closeSend  context.CancelFunc
	recvClosed context.Context
}

// Pipe returns the two ends of an in-memory stream for tests. The first end has
// peer b, the second has peer a.
func Pipe(a, b Identity) (Stream, Stream) {
	ab, ba := make(chan []byte, pipeQueue), make(chan []byte, pipeQueue)
	ctx, cancel := context.WithCancel(context.Background())
	aClosed, closeA := context.WithCancel(context.Background())
	bClosed, closeB := context.WithCancel(context.Background())
	first := &pipeStream{peer: b, out: ab, in: ba, ctx: ctx, cancel: cancel, sendClosed: aClosed, closeSend: closeA, recvClosed: bClosed}
	second := &pipeStream{peer: a, out: ba, in: ab, ctx: ctx, cancel: cancel, sendClosed: bClosed, closeSend: closeB, recvClosed: aClosed}
	return first, second
}

func (p *pipeStream) Send(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if p.ctx.Err() != nil || p.sendClosed.Err() != nil {
		return ErrClosed
	}
	select {
	case p.out <- body:
		return nil
	case <-p.ctx.Done():
		return ErrClosed
	}
}

// Recv also delivers the frames that were queued before the other end closed its
// sending half or the stream was aborted.
func (p *pipeStream) Recv(v any) error {
	select {
	case body := <-p.in:
		return decodeMode.Unmarshal(body, v)
	default:
	}
	select {
	case body := <-p.in:
		return decodeMode.Unmarshal(body, v)
	case <-p.recvClosed.Done():
		select {
		case body := <-p.in:
			return decodeMode.Unmarshal(body, v)
		default:
			return io.EOF
		}
	case <-p.ctx.Done():
		return ErrClosed
	}
}

func (p *pipeStream) Peer() Identity           { return p.peer }
func (p *pipeStream) Context() context.Context { return p.ctx }
func (p *pipeStream) Close() error             { p.closeSend(); return nil }
func (p *pipeStream) Abort()                   { p.cancel() }
