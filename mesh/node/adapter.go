package node

import "net/http"

// PlatformAdapter translates between the HTTP interface of a node and that of the platform it
// runs on. It makes no routing decisions. A nil field means no translation.
type PlatformAdapter struct {
	// Caller translates callers' requests to the headers of this package, and the
	// answers back.
	Caller func(http.Handler) http.Handler
	// Backend translates requests to the backend server, and its answers.
	Backend func(http.RoundTripper) http.RoundTripper
	// BackendEchoHeader is the platform's header in which the backend server echoes the
	// request ID; HeaderRequestID if empty.
	BackendEchoHeader string
	// Ready translates readiness probes.
	Ready func(http.Handler) http.Handler
	// Registration serves the heartbeats and deregistrations of the backend server.
	Registration func(Registrar) http.Handler
}

// Option configures a Node in New.
type Option func(*Node)

// WithPlatformAdapter sets the translation for a platform.
func WithPlatformAdapter(f PlatformAdapter) Option { return func(n *Node) { n.adapter = f } }

func (f PlatformAdapter) wrapCaller(h http.Handler) http.Handler {
	if f.Caller == nil {
		return h
	}
	return f.Caller(h)
}

func (f PlatformAdapter) wrapReady(h http.Handler) http.Handler {
	if f.Ready == nil {
		return h
	}
	return f.Ready(h)
}
