package peer

import (
	"context"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// pipeQueue bounds the frames in flight in one direction of a Pipe.
const pipeQueue = 64

// pipeStream is one end of an in-memory stream.
type pipeStream struct {
	peer   Identity
	out    chan<- []byte
	in     <-chan []byte
	ctx    context.Context
	cancel context.CancelFunc
	eof    context.Context
	setEOF context.CancelFunc
	inEOF  context.Context
}

// Pipe returns the two ends of an in-memory stream for tests. The first end
// talks to b, the second to a.
func Pipe(a, b Identity) (Stream, Stream) {
	ab, ba := make(chan []byte, pipeQueue), make(chan []byte, pipeQueue)
	ctx, cancel := context.WithCancel(context.Background())
	aEOF, setA := context.WithCancel(context.Background())
	bEOF, setB := context.WithCancel(context.Background())
	first := &pipeStream{peer: b, out: ab, in: ba, ctx: ctx, cancel: cancel, eof: aEOF, setEOF: setA, inEOF: bEOF}
	second := &pipeStream{peer: a, out: ba, in: ab, ctx: ctx, cancel: cancel, eof: bEOF, setEOF: setB, inEOF: aEOF}
	return first, second
}

func (p *pipeStream) Send(v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	if p.ctx.Err() != nil || p.eof.Err() != nil {
		return ErrClosed
	}
	select {
	case p.out <- body:
		return nil
	case <-p.ctx.Done():
		return ErrClosed
	}
}

func (p *pipeStream) Recv(v any) error {
	select {
	case body := <-p.in:
		return decodeMode.Unmarshal(body, v)
	default:
	}
	select {
	case body := <-p.in:
		return decodeMode.Unmarshal(body, v)
	case <-p.inEOF.Done():
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
func (p *pipeStream) Close() error             { p.setEOF(); return nil }
func (p *pipeStream) Abort()                   { p.cancel() }
