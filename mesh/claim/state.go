// Package claim makes sure that a write runs at most once. Before an entry node
// sends the first byte of a write to a backend server, it claims the write's
// idempotency key in a replicated log group. State is the replicated table of
// claims, Service handles claim requests on control hosts, and Client sends
// them from entry nodes.
package claim

import (
	"container/heap"
	"slices"
	"sync"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

const (
	// recordOverheadBytes is the accounted size of a record without its strings,
	// in bytes. A benchmark run measured 510 B of heap for a record with 103 B of strings.
	recordOverheadBytes = 400
	// maxExpiredPerCommand bounds the expired records that one command deletes, so that no entry takes long to apply.
	maxExpiredPerCommand = 64
	// maxReleasedTokens bounds the tokens of released attempts that the record of one key keeps.
	maxReleasedTokens = 8
	// maxFieldBytes bounds each of the token, route and owner of a command.
	maxFieldBytes = 128
)

// phase is the state of the write of one key.
type phase uint8

const (
	// phaseInProgress means that an attempt holds the claim.
	phaseInProgress phase = iota + 1
	// phaseAnswered means that the answer of the write is recorded.
	phaseAnswered
	// phaseUnknown means that an attempt may have run the write, but no answer is recorded.
	phaseUnknown
	// phaseReleased means that no attempt holds the claim.
	phaseReleased
)

// record holds the claim of one key.
type record struct {
	Key         string          `cbor:"1,keyasint"`
	Phase       phase           `cbor:"2,keyasint"`
	Digest      Digest          `cbor:"3,keyasint"`
	Route       model.RouteName `cbor:"4,keyasint,omitempty"`
	Owner       model.HostID    `cbor:"5,keyasint,omitempty"`
	Incarnation uint64          `cbor:"6,keyasint,omitempty"`
	Token       string          `cbor:"7,keyasint,omitempty"`
	RunDeadline Instant         `cbor:"8,keyasint,omitempty"`
	Index       uint64          `cbor:"9,keyasint,omitempty"`
	Answer      *Answer         `cbor:"10,keyasint,omitempty"`
	// ReleasedTokens holds the tokens of the last released attempts. A delayed claim with one of them gets no grant.
	ReleasedTokens []string `cbor:"11,keyasint,omitempty"`
	created        Instant
}

// size returns the accounted size in bytes.
func (r *record) size() int {
	n := recordOverheadBytes + len(r.Key) + len(r.Route) + len(r.Owner) + len(r.Token)
	for _, t := range r.ReleasedTokens {
		n += len(t)
	}
	if r.Answer != nil {
		n += r.Answer.size()
	}
	return n
}

// matches reports whether c is a claim of the same request. A record that has had
// no grant matches every request; a release that is applied before its claim
// creates one.
func (r *record) matches(c Command) bool {
	return r.Index == 0 || r.Digest == c.Digest && r.Route == c.Route
}

// State is the replicated claim table of one group. It is deterministic: it
// depends only on the applied commands, and its clock is the latest time in any
// of them. The methods may be called concurrently: the log applies commands
// while the service queries the table.
type State struct {
	mu      sync.Mutex
	clock   Instant
	records map[string]*record
	expiry  expiryHeap
	// inProgress holds the records in phaseInProgress, which OpMarkUnknown scans.
	inProgress map[string]*record
	bytes      int
}

// NewState returns an empty table.
func NewState() *State {
	return &State{records: map[string]*record{}, inProgress: map[string]*record{}}
}

// Len returns the number of records and their accounted bytes.
func (s *State) Len() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}

// HasOverdueClaim reports whether a claim in progress has passed its run deadline.
func (s *State) HasOverdueClaim(now Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.inProgress {
		if r.RunDeadline < now {
			return true
		}
	}
	return false
}

// HasClaimOf reports whether the given or an earlier incarnation of the owner has a claim in progress.
func (s *State) HasClaimOf(owner model.HostID, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.inProgress {
		if r.Owner == owner && r.Incarnation <= incarnation {
			return true
		}
	}
	return false
}

// Apply applies the command of the log entry at index.
func (s *State) Apply(c Command, index uint64) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = max(s.clock, c.Time)
	s.dropExpired()
	if c.Op == OpMarkUnknown {
		return s.markUnknown(c)
	}
	if status := s.validate(c); status != 0 {
		return Result{Status: status}
	}
	switch c.Op {
	case OpClaim:
		return s.claim(c, index)
	case OpComplete:
		return s.complete(c)
	default:
		return s.release(c)
	}
}

// validate returns the status that refuses a command with an invalid field or key,
// or 0 for a valid one.
func (s *State) validate(c Command) Status {
	created, err := KeyTime(c.Key)
	switch {
	case c.Op < OpClaim || c.Op > OpRelease:
		return StatusBadCommand
	case err != nil:
		return StatusBadKey
	case c.Token == "" || len(c.Token) > maxFieldBytes || len(c.Route) > maxFieldBytes || len(c.Owner) > maxFieldBytes:
		return StatusBadCommand
	case c.Op == OpComplete && (c.Answer == nil || !c.Answer.valid()):
		return StatusBadCommand
	case created.add(KeyLifetime) <= s.clock:
		return StatusExpired
	case c.Op == OpClaim && created > s.clock.add(MaxClockSkew):
		return StatusAhead
	}
	return 0
}

func (s *State) claim(c Command, index uint64) Result {
	r := s.records[c.Key]
	if r == nil {
		if s.exceedsLimits(c) {
			return Result{Status: StatusFull}
		}
		return s.grant(s.insert(c.Key), c, index)
	}
	if slices.Contains(r.ReleasedTokens, c.Token) {
		return Result{Status: StatusReleased}
	}
	if !r.matches(c) {
		return Result{Status: StatusMismatch}
	}
	s.markIfOverdue(r)
	switch r.Phase {
	case phaseAnswered:
		return Result{Status: StatusAnswered, Answer: r.Answer}
	case phaseUnknown:
		return Result{Status: StatusUnknown}
	case phaseInProgress:
		if r.Token == c.Token {
			return Result{Status: StatusGranted, Index: r.Index}
		}
		return Result{Status: StatusInProgress}
	default:
		return s.grant(r, c, index)
	}
}

func (s *State) exceedsLimits(c Command) bool {
	size := recordOverheadBytes + len(c.Key) + len(c.Route) + len(c.Owner) + len(c.Token)
	return len(s.records) >= c.Limits.Claims || s.bytes+size > c.Limits.Bytes
}

// grant gives the claim of r to the attempt of c.
func (s *State) grant(r *record, c Command, index uint64) Result {
	invariant.Check(r.Phase == phaseReleased, invariant.WriteAtMostOnce, "second grant of a key",
		"key", r.Key, "phase", r.Phase, "holder", r.Token, "token", c.Token, "index", index)
	s.update(r, func() {
		r.Phase, r.Digest, r.Route = phaseInProgress, c.Digest, c.Route
		r.Owner, r.Incarnation, r.Token = c.Owner, c.Incarnation, c.Token
		r.RunDeadline, r.Index = c.RunDeadline, index
	})
	s.inProgress[r.Key] = r
	return Result{Status: StatusGranted, Index: index}
}

func (s *State) complete(c Command) Result {
	r := s.records[c.Key]
	if r == nil {
		return Result{Status: StatusNotOwner}
	}
	invariant.Check(!slices.Contains(r.ReleasedTokens, c.Token), invariant.TrueNotRun, "answer of an attempt that was released as not run",
		"key", r.Key, "token", c.Token)
	switch {
	case r.Token != c.Token || r.Phase == phaseReleased:
		return Result{Status: StatusNotOwner}
	case r.Phase == phaseAnswered && !r.Answer.equivalent(*c.Answer):
		return Result{Status: StatusConflict, Answer: r.Answer}
	case r.Phase == phaseAnswered:
		return Result{Status: StatusAnswered, Answer: r.Answer}
	}
	a := *c.Answer
	if s.bytes+a.size() > c.Limits.Bytes {
		a = a.withoutBody()
	}
	s.setAnswer(r, a)
	return Result{Status: StatusAnswered, Answer: r.Answer}
}

func (s *State) setAnswer(r *record, a Answer) {
	invariant.Check(r.Answer == nil || r.Answer.equivalent(a), invariant.WriteAtMostOnce, "recorded answer replaced by another",
		"key", r.Key, "token", r.Token)
	s.update(r, func() { r.Phase, r.Answer = phaseAnswered, &a })
	delete(s.inProgress, r.Key)
}

// release ends the attempt with the command's token. The token is recorded even
// if the attempt's claim has not been applied yet, so that the late claim gets no
// grant: the attempt has ended and would never use it.
func (s *State) release(c Command) Result {
	r := s.records[c.Key]
	if r == nil {
		if s.exceedsLimits(c) {
			return Result{Status: StatusFull}
		}
		r = s.insert(c.Key)
	}
	switch {
	case slices.Contains(r.ReleasedTokens, c.Token):
		return Result{Status: StatusReleased}
	case r.Token == c.Token && r.Phase == phaseAnswered:
		return Result{Status: StatusNotOwner}
	}
	held := r.Token == c.Token
	s.update(r, func() {
		r.ReleasedTokens = append(slices.Clone(r.ReleasedTokens), c.Token)
		r.ReleasedTokens = r.ReleasedTokens[max(0, len(r.ReleasedTokens)-maxReleasedTokens):]
		if held {
			r.Phase, r.Token = phaseReleased, ""
		}
	})
	if held {
		delete(s.inProgress, r.Key)
	}
	return Result{Status: StatusReleased}
}

func (s *State) markUnknown(c Command) Result {
	marked := 0
	for _, r := range s.inProgress {
		ownerEnded := c.Owner != "" && r.Owner == c.Owner && r.Incarnation <= c.Incarnation
		if ownerEnded || r.RunDeadline < s.clock {
			s.setUnknown(r)
			marked++
		}
	}
	return Result{Status: StatusDone, Marked: marked}
}

func (s *State) markIfOverdue(r *record) {
	if r.Phase == phaseInProgress && r.RunDeadline < s.clock {
		s.setUnknown(r)
	}
}

func (s *State) setUnknown(r *record) {
	r.Phase = phaseUnknown
	delete(s.inProgress, r.Key)
}

// insert adds a record whose claim no attempt holds.
func (s *State) insert(key string) *record {
	created, _ := KeyTime(key) // validate has checked the key
	r := &record{Key: key, Phase: phaseReleased, created: created}
	s.add(r)
	return r
}

func (s *State) add(r *record) {
	s.records[r.Key] = r
	s.bytes += r.size()
	heap.Push(&s.expiry, r)
}

// update changes a record and adjusts the accounted bytes of the table.
func (s *State) update(r *record, change func()) {
	s.bytes -= r.size()
	change()
	s.bytes += r.size()
}

func (s *State) dropExpired() {
	for range maxExpiredPerCommand {
		if len(s.expiry) == 0 || s.expiry[0].created.add(KeyLifetime) > s.clock {
			return
		}
		r, _ := heap.Pop(&s.expiry).(*record)
		delete(s.records, r.Key)
		delete(s.inProgress, r.Key)
		s.bytes -= r.size()
	}
}

// expiryHeap orders records by creation time, then key, so that every host
// deletes the same records.
type expiryHeap []*record

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if h[i].created != h[j].created {
		return h[i].created < h[j].created
	}
	return h[i].Key < h[j].Key
}
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r, _ := x.(*record)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
