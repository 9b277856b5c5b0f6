package registration

import (
	"errors"
	"regexp"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

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
	// maxInstanceBytes is the length of an instance.
	maxInstanceBytes = 128
	// maxEndedInstances is the number of unknown instances whose deregistration is kept.
	maxEndedInstances = 8
	// maxSlots is the number of slots.
	maxSlots = 10_000
	// maxColdFor is the time for which a backend server may still be cold. A longer one
	// would limit its rate for good.
	maxColdFor = time.Hour
)

// isInstance reports whether s can name an instance. It is sent in a header to the backend
// server, and as text to other processes.
func isInstance(s string) bool {
	return s != "" && len(s) <= maxInstanceBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, unicode.IsControl)
}

// versionPattern allows what versions of software contain, such as build metadata after a
// plus sign; mesh/note allows the same.
var versionPattern = regexp.MustCompile(`^[A-Za-z0-9._+~:-]{1,64}$`)

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
	// current is the latest heartbeat of the newest lifetime. It has only Instance and
	// Started while registered is false.
	current Heartbeat
	// registered is set once a heartbeat of the newest lifetime has arrived. Before that,
	// other processes or a deregistration may have told of it.
	registered bool
	// draining and deregistered are never reset within a lifetime.
	draining, deregistered bool
	// ended holds the newest instances that deregistered without a time of start while no
	// such lifetime was known, as to a node that was just restarted.
	ended []endedInstance
}

// endedInstance is an instance whose lifetimes that started up to a time have ended, in
// Unix milliseconds.
type endedInstance struct {
	instance     string
	startedUntil int64
}

// New returns a registry without a registered backend server.
func New(own Expected) *Registry { return &Registry{expected: own} }

// Current returns the latest heartbeat; false if no backend server is registered.
func (r *Registry) Current() (Heartbeat, bool) { return r.current, r.registered && !r.deregistered }

// Lifetime returns the newest lifetime; its Started is 0 if none is known.
func (r *Registry) Lifetime() Lifetime {
	return Lifetime{Instance: r.current.Instance, Started: r.current.Started, Closed: r.draining || r.deregistered}
}

// Observe applies what another process knows of a lifetime, for example from before a
// restart of this node. It returns Draining if no new requests may be sent any more.
func (r *Registry) Observe(l Lifetime) Change {
	serving := r.registered && !r.draining
	switch {
	case l.Started > r.current.Started:
		r.begin(Heartbeat{Instance: l.Instance, Started: l.Started}, false)
		r.draining = l.Closed
	case l.Started == r.current.Started && l.Instance == r.current.Instance && l.Closed && !r.draining:
		r.draining = true
	default:
		return Unchanged
	}
	if serving || r.draining {
		return Draining
	}
	return Unchanged
}

// begin replaces the newest lifetime.
func (r *Registry) begin(h Heartbeat, registered bool) {
	r.current, r.registered = h, registered
	r.draining, r.deregistered = h.State == StateDraining, false
}

// Heartbeat applies a heartbeat. A late heartbeat of the current lifetime changes
// nothing.
func (r *Registry) Heartbeat(h Heartbeat) (Change, error) {
	if err := r.check(h); err != nil {
		return Unchanged, err
	}
	if r.hasEnded(h) {
		return Unchanged, nil
	}
	switch {
	case h.Started > r.current.Started:
		r.begin(h, true)
		return Started, nil
	case h.Started < r.current.Started || h.Instance != r.current.Instance:
		return Unchanged, eris.Wrapf(ErrFormerLifetime, "instance %s started at %d, %s at %d is newer",
			h.Instance, h.Started, r.current.Instance, r.current.Started)
	case !r.registered && !r.draining:
		r.begin(h, true)
		return Started, nil
	case !r.registered || r.deregistered || h.Sequence <= r.current.Sequence:
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
	if !r.registered || r.draining || instance != r.current.Instance || started != r.current.Started {
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
	case !isInstance(h.Instance):
		return eris.Wrapf(ErrInvalid, "instance %.200q is no text of 1 to %d bytes", h.Instance, maxInstanceBytes)
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

// hasEnded reports whether the heartbeat is of an instance that deregistered before it
// was known.
func (r *Registry) hasEnded(h Heartbeat) bool {
	return slices.ContainsFunc(r.ended, func(e endedInstance) bool {
		return e.instance == h.Instance && h.Started <= e.startedUntil
	})
}

// Deregister ends a lifetime. started is 0 if the request does not state it; now is the
// time of the request. A newer lifetime than the known one is recorded as ended, so that
// a late heartbeat does not register it.
func (r *Registry) Deregister(instance string, started int64, now time.Time) (Change, error) {
	switch {
	case !isInstance(instance):
		return Unchanged, eris.Wrapf(ErrInvalid, "instance %.200q is no text of 1 to %d bytes", instance, maxInstanceBytes)
	case r.current.Started != 0 && instance == r.current.Instance && (started == 0 || started == r.current.Started):
		if r.deregistered {
			return Unchanged, nil
		}
		r.deregistered, r.draining = true, true
		return Deregistered, nil
	case started > r.current.Started:
		r.begin(Heartbeat{Instance: instance, Started: started}, false)
		r.deregistered, r.draining = true, true
		return Deregistered, nil
	case started == 0:
		r.ended = append(r.ended, endedInstance{instance: instance, startedUntil: now.UnixMilli()})
		r.ended = r.ended[max(len(r.ended)-maxEndedInstances, 0):]
	}
	return Unchanged, nil
}
