package directory

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"balsamtrail.org/mesh/model"
)

// Answer is a control host's answer to the enquiry of a node that is about to connect.
type Answer struct {
	// Accepting says that the control host knows a leader and lets nodes connect.
	Accepting bool `cbor:"1,keyasint"`
	List      List `cbor:"2,keyasint"`
}

// EncodeAnswer returns the encoded answer.
func EncodeAnswer(a Answer) ([]byte, error) { return cbor.Marshal(a) }

// DecodeAnswer reads what EncodeAnswer returned.
func DecodeAnswer(b []byte) (a Answer, err error) {
	err = cbor.Unmarshal(b, &a)
	return a, err
}

// Enquiry decides to which control host a starting node connects, from the answers to its
// enquiries. It is used by one goroutine.
type Enquiry struct {
	dc         model.DataCentre
	started    time.Time
	accepting  map[model.HostID]bool
	answered   bool
	firstReady time.Time
}

const (
	// silenceWait is how long a node waits for the first answer. Control hosts may get
	// power later than nodes, and a node that has given up finds them only after its
	// backoff of seconds. Control hosts of an earlier release do not answer; a longer wait
	// delays nodes beside them.
	silenceWait = 4 * time.Second
	// localOnlyWait is how long it asks only the hosts of its data centre once it knows them.
	localOnlyWait = time.Second
	// answerWait is how long it waits for a control host that accepts nodes while others
	// answer. It is as long as a control host without a leader keeps nodes waiting.
	answerWait = 5 * time.Second
	// settleWait is how long it waits for further hosts of its data centre after the
	// first host that accepts it. Without it, all nodes of a data centre would connect to the
	// host that has started first.
	settleWait = 60 * time.Millisecond
)

// remoteWait is how long it waits for a host of its data centre before it takes another one,
// since control hosts learn of a new leader at different times. A longer one delays the
// nodes of a data centre that has lost its control hosts.
const remoteWait = 250 * time.Millisecond

// NewEnquiry returns an Enquiry of a node in the data centre.
func NewEnquiry(now time.Time, dc model.DataCentre) *Enquiry {
	return &Enquiry{dc: dc, started: now, accepting: map[model.HostID]bool{}}
}

// Record takes over the answer of a control host.
func (e *Enquiry) Record(now time.Time, host model.HostID, accepting bool) {
	e.answered = true
	if !accepting {
		delete(e.accepting, host)
		return
	}
	e.accepting[host] = true
	if e.firstReady.IsZero() {
		e.firstReady = now
	}
}

// Targets returns the hosts to ask now: those that are not known to accept nodes, and for
// localOnlyWait only those of the node's data centre once they are known.
func (e *Enquiry) Targets(now time.Time, hosts []Host) []Host {
	waiting := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return e.accepting[h.Host] })
	here := slices.DeleteFunc(slices.Clone(waiting), func(h Host) bool { return h.DataCentre != e.dc })
	if len(here) > 0 && now.Sub(e.started) < localOnlyWait {
		return here
	}
	return waiting
}

// Decide returns the host to connect to; hosts are those that are known, the preferred ones
// first. done is false while the node should wait for further answers. host is empty if
// the node has to try them without an answer.
func (e *Enquiry) Decide(now time.Time, hosts []Host) (host model.HostID, done bool) {
	local := func(h Host) bool { return h.DataCentre == e.dc }
	ready := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return !e.accepting[h.Host] })
	readyHere := slices.DeleteFunc(slices.Clone(ready), func(h Host) bool { return !local(h) })
	switch {
	case slices.ContainsFunc(hosts, local) && !slices.ContainsFunc(hosts, func(h Host) bool { return local(h) && !e.accepting[h.Host] }):
		return readyHere[0].Host, true
	case len(ready) == 0 && !e.answered:
		return "", now.Sub(e.started) >= silenceWait
	case len(ready) == 0:
		return "", now.Sub(e.started) >= answerWait
	case now.Sub(e.firstReady) < settleWait:
		return "", false
	case len(readyHere) > 0:
		return readyHere[0].Host, true
	case slices.ContainsFunc(hosts, local) && now.Sub(e.firstReady) < remoteWait:
		return "", false
	default:
		return ready[0].Host, true
	}
}
