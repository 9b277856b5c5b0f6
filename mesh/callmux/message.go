package callmux

import (
	"io"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"

	"balsamtrail.org/mesh/model"
)

// Request is one call to a backend server through its node.
type Request struct {
	Route   model.RouteName      `cbor:"1,keyasint,omitempty"`
	Service model.ServiceName    `cbor:"2,keyasint,omitempty"`
	Version model.ServiceVersion `cbor:"3,keyasint,omitempty"`
	Method  string               `cbor:"4,keyasint,omitempty"`
	// Path is the URL path, with the query.
	Path   string              `cbor:"5,keyasint,omitempty"`
	Header map[string][]string `cbor:"6,keyasint,omitempty"`
	Kind   model.Kind          `cbor:"7,keyasint,omitempty"`
	// Timeout is the time left for the call; 0 means no deadline. Do reduces it to
	// the time until the deadline of its context.
	Timeout time.Duration `cbor:"8,keyasint,omitempty"`
	// RetryBudget is the number of retries that this call and all calls made on its
	// behalf may still use.
	RetryBudget int `cbor:"9,keyasint,omitempty"`
	// Position is the configuration position of the sender.
	Position model.Position `cbor:"10,keyasint"`
	// Priority orders requests, 1 before 2; with 0, the kind decides.
	Priority uint8 `cbor:"11,keyasint,omitempty"`
	// MaxWait is the maximum time that the request waits for a slot; with 0, the
	// serving node decides.
	MaxWait time.Duration `cbor:"12,keyasint,omitempty"`
	// TimeToLatencyTarget is the time left until the latency target, counted from the caller's
	// first attempt; negative once it has passed, 0 if the route has no target.
	TimeToLatencyTarget time.Duration `cbor:"13,keyasint,omitempty"`
	// Notice is what the backend server last said about itself, as far as the sender
	// knows; nil if nothing.
	Notice *ServerNotice `cbor:"14,keyasint,omitempty"`
	// BodyLength is the exact length of Body in bytes if known, otherwise 0. It is
	// not sent; a body of known length up to 16 KiB is sent in the frame of the head.
	BodyLength int64 `cbor:"-"`
	// Body is nil in a request that is sent, and http.NoBody in one that was received, if
	// the request has no body.
	Body io.Reader `cbor:"-"`
}

// Response is the response of a node to a Request.
type Response struct {
	Status int                 `cbor:"1,keyasint,omitempty"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	// Position is the configuration position of the serving node.
	Position model.Position `cbor:"3,keyasint"`
	// Limit is the concurrency limit that the serving node advertises.
	Limit int `cbor:"4,keyasint,omitempty"`
	// RetryBudget is the unused part of the request's retry budget.
	RetryBudget int `cbor:"6,keyasint,omitempty"`
	// Utilization is the fraction of Limit in use, waiting requests included.
	Utilization float32 `cbor:"7,keyasint,omitempty"`
	// Refusal is set if the serving node or the backend server refused the request.
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
	// Notice is what the backend server has said about itself; nil if nothing.
	Notice *ServerNotice `cbor:"8,keyasint,omitempty"`
	// RecentServiceTime and UsualServiceTime are the mean service times of the backend
	// server over about 0.5 s and 5 s, all requests included; 0 if unknown.
	RecentServiceTime time.Duration `cbor:"9,keyasint,omitempty"`
	UsualServiceTime  time.Duration `cbor:"10,keyasint,omitempty"`
	// BodyLength is the exact length of Body if known; see Request.BodyLength.
	BodyLength int64 `cbor:"-"`
	// Body is never nil in a response that Do returns; the receiver closes it.
	Body io.ReadCloser `cbor:"-"`
}

// Statuses that a response between nodes may have; informational ones are not passed on.
const (
	minStatus = 200
	maxStatus = 599
)

// check returns ErrProtocol for a response that HTTP cannot carry: net/http drops fields whose
// names are invalid, and panics if it has to send a status below 100.
func (r *Response) check() error {
	if r.Refusal == nil && (r.Status < minStatus || r.Status > maxStatus) {
		return eris.Wrapf(ErrProtocol, "status %d", r.Status)
	}
	return checkFields(r.Header)
}

// checkFields returns ErrProtocol if a field has a name or value that HTTP does not allow.
func checkFields(header map[string][]string) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Wrapf(ErrProtocol, "field name %.40q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return eris.Wrapf(ErrProtocol, "value of field %.40q", name)
			}
		}
	}
	return nil
}

// ServerNotice is what a backend server has said about itself in its answers. Nodes that
// have passed on such an answer return the notice with their requests, so that it outlives
// a restart of the serving node.
type ServerNotice struct {
	// Instance and Started identify the lifetime of the server; see
	// registration.Heartbeat.
	Instance string `cbor:"1,keyasint"`
	Started  int64  `cbor:"4,keyasint,omitempty"`
	// RateLimit is the number of requests per second that the server takes from all
	// hosts together; 0 if it states no limit.
	RateLimit float64 `cbor:"2,keyasint,omitempty"`
	// Leaving is set if the server wants no new requests.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// Refusal says why a request was not served.
type Refusal struct {
	Reason string `cbor:"1,keyasint"`
	// NotRun is true only if the request is known not to have run.
	NotRun bool `cbor:"2,keyasint,omitempty"`
	// Declined is true if the serving node refused the request and its backend
	// server has not seen it.
	Declined bool `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when the serving node expects room again; 0 if it cannot tell.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Reasons of refusals by this package.
const (
	// ReasonShuttingDown refuses calls that arrive while the server shuts down.
	ReasonShuttingDown = "node is shutting down"
	// ReasonTooManyCalls refuses calls above Config.MaxCalls.
	ReasonTooManyCalls = "too many calls on the connection"
	// ReasonMalformed refuses calls whose head cannot be decoded.
	ReasonMalformed = "malformed request head"
)

// hello is the first frame in each direction.
type hello struct {
	// Window is the number of body bytes that the sender of the hello accepts on each
	// call before it returns credit.
	Window int `cbor:"1,keyasint"`
	// MaxCalls is the number of calls that the sender of the hello serves at a time.
	MaxCalls int `cbor:"2,keyasint"`
}
