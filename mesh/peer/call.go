package peer

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// errorsByCode maps the error codes of a reply to errors, so that callers can test
// for them with errors.Is.
var errorsByCode = map[string]error{
	"unknown-method": ErrUnknownMethod,
	"forbidden":      ErrForbidden,
}

// errorCode returns the code of the error, or "" if it has none.
func errorCode(err error) string {
	for code, target := range errorsByCode {
		if errors.Is(err, target) {
			return code
		}
	}
	return ""
}

// HandleCall registers a unary method: f receives the decoded request, and its
// result is sent as the response.
func HandleCall[Req, Resp any](e *Endpoint, name string, roles []Role, f func(context.Context, Identity, Req) (Resp, error)) {
	e.Handle(name, roles, func(ctx context.Context, st Stream) error {
		var raw request
		if err := st.Recv(&raw); err != nil {
			return err
		}
		var req Req
		if err := decodeMode.Unmarshal(raw.Body, &req); err != nil {
			return eris.Wrapf(ErrBadFrame, "decode %T: %v", req, err)
		}
		resp, err := f(ctx, st.Peer(), req)
		if err != nil {
			return st.Send(reply{Error: err.Error(), Code: errorCode(err)})
		}
		body, err := cbor.Marshal(resp)
		if err != nil {
			return eris.Wrapf(ErrBadFrame, "encode %T: %v", resp, err)
		}
		return st.Send(reply{Body: body})
	})
}

// Call makes a unary call and decodes the response into resp.
func (e *Endpoint) Call(ctx context.Context, addr string, want Identity, name string, req, resp any) error {
	st, err := e.Open(ctx, addr, want, name)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, st.Abort)
	defer stop()
	defer st.Abort()
	body, err := cbor.Marshal(req)
	if err != nil {
		return eris.Wrapf(ErrBadFrame, "encode %T: %v", req, err)
	}
	if err := st.Send(request{Body: body}); err != nil {
		return err
	}
	var r reply
	if err := st.Recv(&r); err != nil {
		noteTimeout(ctx, st)
		return eris.Wrapf(ErrClosed, "%s %s: %v", addr, name, err)
	}
	if r.Error != "" {
		return remoteError(r)
	}
	if err := decodeMode.Unmarshal(r.Body, resp); err != nil {
		return eris.Wrapf(ErrBadFrame, "decode %T: %v", resp, err)
	}
	return nil
}

// remoteError returns the error that a reply carries.
func remoteError(r reply) error {
	if target, ok := errorsByCode[r.Code]; ok {
		return eris.Wrap(target, r.Error)
	}
	return eris.Wrap(ErrRemote, r.Error)
}
