package peer

import (
	"errors"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

// RecvWithTimeout reads one frame into v and aborts the stream if none arrives within
// timeout. It returns ErrTimeout in that case and ErrClosed if the stream ended or
// failed.
func RecvWithTimeout(st Stream, v any, timeout time.Duration) error {
	timer := time.AfterFunc(timeout, st.Abort)
	err := st.Recv(v)
	inTime := timer.Stop()
	switch {
	case err == nil:
		return nil
	case !inTime:
		if s, ok := st.(*quicStream); ok {
			s.timedOut()
		}
		return eris.Wrapf(ErrTimeout, "no frame from %s within %s", st.Peer(), timeout)
	case errors.Is(err, io.EOF):
		return eris.Wrapf(ErrClosed, "%s ended the stream", st.Peer())
	default:
		return eris.Wrapf(ErrClosed, "%s: %v", st.Peer(), err)
	}
}
