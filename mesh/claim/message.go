package claim

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

// Digest is the SHA-256 of a request or answer body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// Size limits of a recorded answer.
const (
	// MaxBodyBytes bounds the body. A larger body is recorded as its digest only.
	MaxBodyBytes = 16 << 10
	// maxHeaderBytes bounds the total size of the header names and values.
	maxHeaderBytes = 2 << 10
)

// Header is one header of a recorded answer.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is the recorded answer of a write.
type Answer struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
	// BodyDigest is the digest of the whole body, also if Body is omitted.
	BodyDigest Digest `cbor:"4,keyasint"`
	// BodyOmitted says that Body was omitted because it was too large or the group had no room for it.
	BodyOmitted bool `cbor:"5,keyasint,omitempty"`
	// RequestDigest is the digest of the whole body of the request, if that of the claim
	// covers only its start; nil if it was not received completely before the answer.
	RequestDigest *Digest `cbor:"6,keyasint,omitempty"`
}

// NewAnswer returns the record of an answer. A body above MaxBodyBytes is replaced
// by its digest; headers that would exceed maxHeaderBytes are left out.
func NewAnswer(status int, headers []Header, body []byte) Answer {
	a := NewAnswerWithoutBody(status, headers, DigestOf(body))
	if len(body) <= MaxBodyBytes {
		a.Body, a.BodyOmitted = bytes.Clone(body), false
	}
	return a
}

// NewAnswerWithoutBody returns the record of an answer whose body is too large to keep.
func NewAnswerWithoutBody(status int, headers []Header, body Digest) Answer {
	a := Answer{Status: status, BodyDigest: body, BodyOmitted: true}
	room := maxHeaderBytes
	for _, h := range headers {
		if room -= len(h.Name) + len(h.Value); room < 0 {
			break
		}
		a.Headers = append(a.Headers, h)
	}
	return a
}

func (a Answer) withoutBody() Answer {
	a.Body, a.BodyOmitted = nil, true
	return a
}

// equivalent reports whether a and b are the same answer to the caller. Bodies are
// compared by digest because either record may have omitted its body.
func (a Answer) equivalent(b Answer) bool {
	return a.Status == b.Status && a.BodyDigest == b.BodyDigest && slices.Equal(a.Headers, b.Headers)
}

func (a Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

func (a Answer) valid() bool {
	return len(a.Body) <= MaxBodyBytes && a.size()-len(a.Body) <= maxHeaderBytes && (!a.BodyOmitted || len(a.Body) == 0)
}

// Op is the kind of a command.
type Op uint8

// Kinds of commands.
const (
	// OpClaim requests the right to run the write of a key once.
	OpClaim Op = iota + 1
	// OpComplete records the answer of a claimed write.
	OpComplete
	// OpRelease ends an attempt that is known not to have run the write.
	OpRelease
	// OpMarkUnknown marks claims in progress as unknown whose run deadline has
	// passed or whose owner's incarnation has ended.
	OpMarkUnknown
)

// Limits bound the memory of one group. The leader puts its limits into each
// command, so that hosts with other settings apply it with the same result.
type Limits struct {
	// Claims bounds the number of records. A record is kept for KeyLifetime, so a
	// group sustains Claims/86,400 writes a second. A record takes about 500 B.
	Claims int `cbor:"1,keyasint"`
	// Bytes bounds the accounted bytes of the records with their answers. Answers
	// that would exceed it are recorded without their body; claims that would
	// exceed it are refused.
	Bytes int `cbor:"2,keyasint"`
}

// DefaultLimits sustain 11 writes a second in each group.
var DefaultLimits = Limits{Claims: 1_000_000, Bytes: 512 << 20}

// Command is one entry of a claim group's log.
type Command struct {
	Op   Op      `cbor:"1,keyasint"`
	Key  string  `cbor:"2,keyasint,omitempty"`
	Time Instant `cbor:"3,keyasint"`
	// Token identifies one attempt of one owner. All requests of an attempt carry the same token.
	Token  string          `cbor:"4,keyasint,omitempty"`
	Digest Digest          `cbor:"5,keyasint"`
	Route  model.RouteName `cbor:"6,keyasint,omitempty"`
	// Owner and Incarnation are those of the entry node. In OpMarkUnknown they name
	// the newest incarnation that has ended; an empty Owner names none.
	Owner       model.HostID `cbor:"7,keyasint,omitempty"`
	Incarnation uint64       `cbor:"8,keyasint,omitempty"`
	RunDeadline Instant      `cbor:"9,keyasint,omitempty"`
	Limits      Limits       `cbor:"10,keyasint"`
	Answer      *Answer      `cbor:"11,keyasint,omitempty"`
	// Reason says how the owner knows, at OpRelease, that the write did not run.
	Reason string `cbor:"12,keyasint,omitempty"`
}

// Status is the outcome of a command.
type Status uint8

// Outcomes of commands.
const (
	// StatusGranted gives the attempt the right to run the write once.
	StatusGranted Status = iota + 1
	StatusInProgress
	StatusAnswered
	StatusUnknown
	StatusMismatch
	StatusExpired
	StatusAhead
	StatusBadKey
	StatusFull
	// StatusReleased confirms a release, and refuses a claim with a released token.
	StatusReleased
	// StatusNotOwner refuses a completion with a token that does not hold the
	// claim, and a release after the answer was recorded.
	StatusNotOwner
	// StatusConflict refuses an answer that differs from the recorded one.
	StatusConflict
	// StatusDone acknowledges OpMarkUnknown.
	StatusDone
	// StatusBadCommand refuses a command with a missing or oversized field.
	StatusBadCommand
)

// Result is the outcome of a command. Answer is the recorded answer, set with
// StatusAnswered and StatusConflict.
type Result struct {
	Status Status  `cbor:"1,keyasint"`
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Index is the log index of the entry that granted the claim.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	// Marked is the number of claims that OpMarkUnknown changed.
	Marked int `cbor:"4,keyasint,omitempty"`
}

// Request is the request of the methods claim.claim, claim.complete and
// claim.release. The service takes the owner from the peer's certificate.
type Request struct {
	Group       uint32          `cbor:"1,keyasint"`
	Key         string          `cbor:"2,keyasint"`
	Token       string          `cbor:"3,keyasint"`
	Digest      Digest          `cbor:"4,keyasint"`
	Route       model.RouteName `cbor:"5,keyasint,omitempty"`
	Incarnation uint64          `cbor:"6,keyasint,omitempty"`
	// RunTimeout is the time that the owner still has to run the write. It is a
	// duration, so that the clocks of node and leader need not agree.
	RunTimeout time.Duration `cbor:"7,keyasint,omitempty"`
	Answer     *Answer       `cbor:"8,keyasint,omitempty"`
	Reason     string        `cbor:"9,keyasint,omitempty"`
}

// Response is the response to a Request.
type Response struct {
	Result Result `cbor:"1,keyasint"`
	// NotLeader says that the host does not lead the group and proposed nothing;
	// Leader is the leader if the host knows one.
	NotLeader bool         `cbor:"2,keyasint,omitempty"`
	Leader    model.HostID `cbor:"3,keyasint,omitempty"`
	// Refused says why the request is invalid; nothing was proposed.
	Refused string `cbor:"4,keyasint,omitempty"`
	// Uncertain is the error of a command that may or may not be applied later.
	Uncertain string `cbor:"5,keyasint,omitempty"`
}
