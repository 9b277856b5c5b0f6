package routing

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrNoRoute is returned when no route has a prefix of the path.
	ErrNoRoute = errors.New("no route for the path")
	// ErrMethodNotAllowed is returned when only routes of other methods have a prefix of the path.
	ErrMethodNotAllowed = errors.New("no route for the method")
	// ErrUnknownService is returned for a service that the table does not have.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoVersion is returned when no version with a share has a live backend server.
	ErrNoVersion = errors.New("no version with a live backend server")
	// ErrNoBackendServer is returned when no backend server of the version may get the call.
	ErrNoBackendServer = errors.New("no backend server available")
)
