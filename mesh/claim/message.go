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

// Bounds of a recorded answer, in bytes.
const (
	MaxBodyBytes   = 16 << 10
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
	// BodyDigest identifies the body also when it was not kept.
	BodyDigest Digest `cbor:"4,keyasint"`
	// NotKept says that the body is missing because it was too large or the group had no room.
	NotKept bool `cbor:"5,keyasint,omitempty"`
}

// NewAnswer builds the record of an answer. A body above MaxBody is replaced
// by its digest; headers past the bound are left out.
func NewAnswer(status int, headers []Header, body []byte) Answer {
	a := Answer{Status: status, BodyDigest: DigestOf(body)}
	room := maxHeaderBytes
	for _, h := range headers {
		if room -= len(h.Name) + len(h.Value); room < 0 {
			break
		}
		a.Headers = append(a.Headers, h)
	}
	if len(body) > MaxBodyBytes {
		a.NotKept = true
		return a
	}
	a.Body = bytes.Clone(body)
	return a
}

func (a Answer) withoutBody() Answer {
	a.Body, a.NotKept = nil, true
	return a
}

// equivalent compares what the caller sees; the body is compared by digest because
// either side may have dropped it.
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
	return len(a.Body) <= MaxBodyBytes && a.size()-len(a.Body) <= maxHeaderBytes && (!a.NotKept || len(a.Body) == 0)
}

// Op is the kind of a command.
type Op uint8

// The commands.
const (
	// OpClaim asks for the right to run the write of a key once.
	OpClaim Op = iota + 1
	// OpComplete records the answer of a claimed write.
	OpComplete
	// OpRelease gives a claim back on proof that the write did not run.
	OpRelease
	// OpMarkUnknown marks claims whose run deadline has passed or whose owner is gone.
	OpMarkUnknown
)

// Limits bound the memory of one group. The leader stamps them on each claim
// command, so that hosts with other settings still apply it alike.
type Limits struct {
	// Claims bounds the number of records. Records live for KeyLifetime, so a
	// group sustains Claims/86,400 writes a second; raising it costs about 500 B each.
	Claims int `cbor:"1,keyasint"`
	// Bytes bounds the accounted bytes of records with their answers. Past it,
	// answers are kept as digests first, then new claims are refused.
	Bytes int `cbor:"2,keyasint"`
}

// DefaultLimits sustain 11 writes a second for each group.
var DefaultLimits = Limits{Claims: 1_000_000, Bytes: 512 << 20}

// Command is one entry of a claim group's log.
type Command struct {
	Op   Op      `cbor:"1,keyasint"`
	Key  string  `cbor:"2,keyasint,omitempty"`
	Time Instant `cbor:"3,keyasint"`
	// Token identifies one attempt of one owner. A resend of the same attempt carries the same one.
	Token  string          `cbor:"4,keyasint,omitempty"`
	Digest Digest          `cbor:"5,keyasint"`
	Route  model.RouteName `cbor:"6,keyasint,omitempty"`
	// Owner and Incarnation are the entry node's; OpMarkUnknown names those that are gone.
	Owner       model.HostID `cbor:"7,keyasint,omitempty"`
	Incarnation uint64       `cbor:"8,keyasint,omitempty"`
	RunDeadline Instant      `cbor:"9,keyasint,omitempty"`
	Limits      Limits       `cbor:"10,keyasint"`
	Answer      *Answer      `cbor:"11,keyasint,omitempty"`
	// Reason is the proof that stands behind OpRelease.
	Reason string `cbor:"12,keyasint,omitempty"`
}

// Status is the outcome of a command.
type Status uint8

// The outcomes.
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
	// StatusReleased says that this token gave its claim back; it never gets it again.
	StatusReleased
	// StatusNotOwner refuses a completion or release by a token that does not hold the claim.
	StatusNotOwner
	// StatusConflict refuses a second, different answer.
	StatusConflict
	// StatusDone acknowledges OpMarkUnknown.
	StatusDone
	// StatusBadCommand refuses a command with a missing or oversized field.
	StatusBadCommand
)

// Result is the outcome of a command; Answer is set with StatusAnswered.
type Result struct {
	Status Status  `cbor:"1,keyasint"`
	Answer *Answer `cbor:"2,keyasint,omitempty"`
	// Index is the log index of the entry that granted the claim.
	Index uint64 `cbor:"3,keyasint,omitempty"`
	// Marked is the number of claims that OpMarkUnknown changed.
	Marked int `cbor:"4,keyasint,omitempty"`
}

// Request is the message of the methods claim.claim, claim.complete and
// claim.release. The owner is taken from the peer's certificate.
type Request struct {
	Group       uint32          `cbor:"1,keyasint"`
	Key         string          `cbor:"2,keyasint"`
	Token       string          `cbor:"3,keyasint"`
	Digest      Digest          `cbor:"4,keyasint"`
	Route       model.RouteName `cbor:"5,keyasint,omitempty"`
	Incarnation uint64          `cbor:"6,keyasint,omitempty"`
	// RunTimeout is the time that the owner still has to run the write. It is a
	// span so that the clocks of node and leader need not agree.
	RunTimeout time.Duration `cbor:"7,keyasint,omitempty"`
	Answer     *Answer       `cbor:"8,keyasint,omitempty"`
	Reason     string        `cbor:"9,keyasint,omitempty"`
}

// Response answers a Request.
type Response struct {
	Result Result `cbor:"1,keyasint"`
	// NotLeader says that the host did nothing; Leader is its guess whom to ask.
	NotLeader bool         `cbor:"2,keyasint,omitempty"`
	Leader    model.HostID `cbor:"3,keyasint,omitempty"`
	// Refused says why the message itself is wrong; nothing was proposed.
	Refused string `cbor:"4,keyasint,omitempty"`
	// Uncertain says that the command may or may not be applied later.
	Uncertain string `cbor:"5,keyasint,omitempty"`
}
