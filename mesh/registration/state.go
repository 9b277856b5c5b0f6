package registration

import (
	"errors"
	"regexp"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Errors of this package; test for them with errors.Is.
var (
	// ErrInvalid is returned for a heartbeat or deregistration with a missing or
	// invalid field.
	ErrInvalid = errors.New("invalid heartbeat")
	// ErrWrongBackendServer is returned for a heartbeat of a backend server other than
	// the one in the node's settings.
	ErrWrongBackendServer = errors.New("heartbeat of another backend server")
	// ErrFormerLifetime is returned for a heartbeat of an earlier lifetime.
	ErrFormerLifetime = errors.New("heartbeat of a former lifetime")
)

// Limits of a heartbeat.
const (
	// maxSlots is the number of slots.
	maxSlots = 10_000
	// maxColdFor is the time for which a backend server may still be cold. A longer one
	// would limit its rate for good.
	maxColdFor = time.Hour
)

var versionPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Expected is the backend server that the node's settings describe. Only its heartbeats are
// accepted.
type Expected struct {
	Service    model.ServiceName
	DataCentre model.DataCentre
	Address    string
}

// Registry holds the newest lifetime of the backend server. It is not safe for
// concurrent use.
type Registry struct {
	expected Expected
	current  Heartbeat
	known    bool
	// draining and deregistered are never reset within a lifetime.
	draining, deregistered bool
}

// New returns a registry without a registered backend server.
func New(own Expected) *Registry { return &Registry{expected: own} }

// Current returns the latest heartbeat; false if no backend server is registered.
func (r *Registry) Current() (Heartbeat, bool) { return r.current, r.known && !r.deregistered }

// Heartbeat applies a heartbeat. A late heartbeat of the current lifetime changes
// nothing.
func (r *Registry) Heartbeat(h Heartbeat) (Change, error) {
	if err := r.check(h); err != nil {
		return Unchanged, err
	}
	switch {
	case !r.known || h.Started > r.current.Started:
		r.current, r.known, r.deregistered = h, true, false
		r.draining = h.State == StateDraining
		return Started, nil
	case h.Started < r.current.Started || h.Instance != r.current.Instance:
		return Unchanged, eris.Wrapf(ErrFormerLifetime, "instance %s started at %d, %s at %d is newer",
			h.Instance, h.Started, r.current.Instance, r.current.Started)
	case r.deregistered || h.Sequence <= r.current.Sequence:
		return Unchanged, nil
	}
	r.current = h
	switch {
	case r.draining:
		return Unchanged, nil
	case h.State == StateDraining:
		r.draining = true
		return Draining, nil
	}
	return Renewed, nil
}

// Leave applies that a lifetime has said in an answer that it ends. It returns Draining if
// that is the current one and was not known.
func (r *Registry) Leave(instance string, started int64) Change {
	if !r.known || r.draining || instance != r.current.Instance || started != r.current.Started {
		return Unchanged
	}
	r.draining = true
	return Draining
}

// check validates the fields of a heartbeat and compares it with the settings.
func (r *Registry) check(h Heartbeat) error {
	switch {
	case h.Instance == "" || h.Started <= 0:
		return eris.Wrap(ErrInvalid, "instance or time of start is missing")
	case h.State != StateReady && h.State != StateDraining:
		return eris.Wrapf(ErrInvalid, "state %d", h.State)
	case h.Slots < 1 || h.Slots > maxSlots:
		return eris.Wrapf(ErrInvalid, "%d slots, want 1 to %d", h.Slots, maxSlots)
	case !versionPattern.MatchString(string(h.Version)):
		return eris.Wrapf(ErrInvalid, "version %q", h.Version)
	case h.ColdFor < 0 || h.ColdFor > maxColdFor:
		return eris.Wrapf(ErrInvalid, "cold for %s, want at most %s", h.ColdFor, maxColdFor)
	case h.Service != r.expected.Service || h.Address != r.expected.Address || h.DataCentre != r.expected.DataCentre:
		return eris.Wrapf(ErrWrongBackendServer, "service %q at %s in %q, want %q at %s in %q",
			h.Service, h.Address, h.DataCentre, r.expected.Service, r.expected.Address, r.expected.DataCentre)
	}
	return nil
}

// Deregister ends a lifetime. started is 0 if the request does not state it. A newer
// lifetime than the known one is recorded as ended, so that a late heartbeat does not
// register it.
func (r *Registry) Deregister(instance string, started int64) (Change, error) {
	switch {
	case instance == "":
		return Unchanged, eris.Wrap(ErrInvalid, "instance is missing")
	case r.known && instance == r.current.Instance && (started == 0 || started == r.current.Started):
		if r.deregistered {
			return Unchanged, nil
		}
		r.deregistered, r.draining = true, true
		return Deregistered, nil
	case started > r.current.Started:
		r.current = Heartbeat{Instance: instance, Started: started}
		r.known, r.deregistered, r.draining = true, true, true
		return Deregistered, nil
	}
	return Unchanged, nil
}
