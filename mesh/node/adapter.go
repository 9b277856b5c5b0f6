package node

import "net/http"

// FrontEnd translates between the HTTP interface of a node and that of a
// platform that it runs on. It decides nothing. A nil field translates nothing.
type FrontEnd struct {
	// Caller translates requests of callers into those of this package's headers,
	// and the answers back.
	Caller func(http.Handler) http.Handler
	// Backend translates the requests to the backend server, and its answers.
	Backend func(http.RoundTripper) http.RoundTripper
	// BackendEcho names the header by which the backend server repeats the id of a
	// request, in the platform's words; empty stands for HeaderRequestID.
	BackendEcho string
	// Ready translates readiness probes.
	Ready func(http.Handler) http.Handler
	// Registration serves the backend server's own reports.
	Registration func(Registrar) http.Handler
}

// Option changes how New builds a node.
type Option func(*Node)

// WithFrontEnd gives a node a front end.
func WithFrontEnd(f FrontEnd) Option { return func(n *Node) { n.adapter = f } }

func (f FrontEnd) wrapCaller(h http.Handler) http.Handler {
	if f.Caller == nil {
		return h
	}
	return f.Caller(h)
}

func (f FrontEnd) wrapReady(h http.Handler) http.Handler {
	if f.Ready == nil {
		return h
	}
	return f.Ready(h)
}
