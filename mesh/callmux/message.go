package callmux

import (
	"io"
	"time"

	"balsamtrail.org/mesh/model"
)

// Request is one call to a backend server through its node.
type Request struct {
	Route   model.RouteName      `cbor:"1,keyasint,omitempty"`
	Service model.ServiceName    `cbor:"2,keyasint,omitempty"`
	Version model.ServiceVersion `cbor:"3,keyasint,omitempty"`
	Method  string               `cbor:"4,keyasint,omitempty"`
	// Path is the path with its query.
	Path   string              `cbor:"5,keyasint,omitempty"`
	Header map[string][]string `cbor:"6,keyasint,omitempty"`
	Kind   model.Kind          `cbor:"7,keyasint,omitempty"`
	// Timeout is the remaining time of the call. Do shortens it to the deadline
	// of its context; zero means no deadline.
	Timeout time.Duration `cbor:"8,keyasint,omitempty"`
	// RetryBudget is the number of further tries that this call and all calls
	// nested in it may still make.
	RetryBudget int `cbor:"9,keyasint,omitempty"`
	// Position is the configuration position of the sender.
	Position model.Position `cbor:"10,keyasint"`
	// Priority ranks the request against others, 1 before 2; 0 leaves it to the kind.
	Priority uint8 `cbor:"11,keyasint,omitempty"`
	// Patience is how long the request may wait for a slot; 0 leaves it to the
	// serving node.
	Patience time.Duration `cbor:"12,keyasint,omitempty"`
	// TargetIn is the time left until the latency target of the caller's first try,
	// negative once it has passed; 0 if the route has none.
	TargetIn time.Duration `cbor:"13,keyasint,omitempty"`
	// BodyLength is the exact length of Body where it is known; zero if not. It
	// is not transmitted: a short body of known length travels with the head.
	BodyLength int64 `cbor:"-"`
	// Body is nil for a request without one.
	Body io.Reader `cbor:"-"`
}

// Response is the answer to a Request.
type Response struct {
	Status int                 `cbor:"1,keyasint,omitempty"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	// Position is the configuration position of the serving node.
	Position model.Position `cbor:"3,keyasint"`
	// Limit is the concurrency limit that the serving node advertises.
	Limit int `cbor:"4,keyasint,omitempty"`
	// RetryBudget is the part of the request's budget that was not used.
	RetryBudget int `cbor:"6,keyasint,omitempty"`
	// Utilization is the part of the limit that is in use, waiting requests included.
	Utilization float32 `cbor:"7,keyasint,omitempty"`
	// Refusal is set if the serving node or the backend server refused the request.
	Refusal *Refusal `cbor:"5,keyasint,omitempty"`
	// BodyLength is the exact length of Body where it is known; see Request.
	BodyLength int64 `cbor:"-"`
	// Body is never nil in a response that Do returns; the receiver closes it.
	Body io.ReadCloser `cbor:"-"`
}

// Refusal says why a request was not served.
type Refusal struct {
	Reason string `cbor:"1,keyasint"`
	// NotRun is true only if the request is known not to have run.
	NotRun bool `cbor:"2,keyasint,omitempty"`
	// Declined is true if the serving node refused the request and its backend
	// server has not seen it.
	Declined bool `cbor:"3,keyasint,omitempty"`
}

// Reasons of refusals that this package makes itself.
const (
	// ReasonClosing refuses calls that arrive while the server shuts down.
	ReasonShuttingDown = "node is shutting down"
	// ReasonTooManyCalls refuses calls above the bound of one connection.
	ReasonTooManyCalls = "too many calls on the connection"
)

// hello is the first frame in each direction.
type hello struct {
	// Window is the number of body bytes per call that the sender of this frame accepts
	// before it returns credit.
	Window int `cbor:"1,keyasint"`
	// MaxCalls is the number of calls that the sender serves at a time.
	MaxCalls int `cbor:"2,keyasint"`
}
