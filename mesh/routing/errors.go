package routing

import "errors"

// The errors of this package. They are returned wrapped; compare with errors.Is.
var (
	// ErrNoRoute is returned when no route matches the path.
	ErrNoRoute = errors.New("no route for the path")
	// ErrMethodNotAllowed is returned when the path matches only routes of other methods.
	ErrMethodNotAllowed = errors.New("no route for the method")
	// ErrUnknownService is returned for a service that is not in the table.
	ErrUnknownService = errors.New("unknown service")
	// ErrNoVersion is returned when no version that may get calls has a live backend server.
	ErrNoVersion = errors.New("no version with a live backend server")
	// ErrNoBackendServer is returned when no backend server of the version may be chosen.
	ErrNoBackendServer = errors.New("no backend server available")
	// ErrNoRoom is returned for another attempt of a call that has been declined for lack of
	// room, while all other backend servers are as full.
	ErrNoRoom = errors.New("no backend server has room")
)
