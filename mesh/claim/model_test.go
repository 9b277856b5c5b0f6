package claim

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// stage is how far an attempt has come.
type stage int

const (
	awaitingGrant stage = iota
	granted
	ran
	reportedNotRun // the attempt was reported as not run
	ended
)

// attempt is one attempt at a write on one entry node.
type attempt struct {
	token, key, node string
	stage            stage
	runs             int
}

// reply is the result of a claim on its way to the attempt.
type reply struct {
	a *attempt
	r Result
}

// simulation models callers, entry nodes and one claim group. Messages and replies
// are taken from pools at random, so they are lost, repeated and reordered.
type simulation struct {
	indexedState
	now      Instant
	messages []Command
	replies  []reply
	attempts map[string]*attempt
	started  []*attempt
	ranBy    map[string]string // token of the attempt that ran the write, by key
}

// withAttemptAt calls f with a random attempt at the stage, if there is one.
func (w *simulation) withAttemptAt(t *rapid.T, at stage, f func(*attempt)) {
	var matching []*attempt
	for _, a := range w.started {
		if a.stage == at {
			matching = append(matching, a)
		}
	}
	if len(matching) > 0 {
		f(rapid.SampledFrom(matching).Draw(t, "attempt"))
	}
}

func (w *simulation) start(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	a := &attempt{token: fmt.Sprint("t", len(w.started)), key: keyAt(t0, name), node: rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node")}
	w.attempts[a.token] = a
	w.started = append(w.started, a)
	w.sendClaim(a)
}

func (w *simulation) sendClaim(a *attempt) {
	c := claimCommand(a.key, a.token, w.now)
	c.Limits.Claims = 2
	w.messages = append(w.messages, c)
}

// deliver applies a message from the pool, which may stay there to be delivered again.
func (w *simulation) deliver(t *rapid.T) {
	if len(w.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	c := w.messages[i]
	if !rapid.Bool().Draw(t, "repeat") {
		w.messages = slices.Delete(w.messages, i, i+1)
	}
	r := w.applyNext(c)
	if a := w.attempts[c.Token]; a != nil && c.Op == OpClaim {
		w.replies = append(w.replies, reply{a, r})
	}
}

// receiveReply hands a reply from the pool to its attempt.
func (w *simulation) receiveReply(t *rapid.T) {
	if len(w.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.replies)-1).Draw(t, "reply")
	p := w.replies[i]
	w.replies = slices.Delete(w.replies, i, i+1)
	if p.a.stage != awaitingGrant {
		return
	}
	switch p.r.Status {
	case StatusGranted:
		p.a.stage = granted
	case StatusFull:
		w.reportNotRun(p.a)
	case StatusAnswered:
		if body := string(p.r.Answer.Body); body != w.ranBy[p.a.key] {
			t.Fatalf("key %s: recorded answer is from %q, but %q ran", p.a.key, body, w.ranBy[p.a.key])
		}
		fallthrough
	default:
		p.a.stage = ended
	}
}

func (w *simulation) reportNotRun(a *attempt) {
	a.stage = reportedNotRun
	w.messages = append(w.messages, releaseCommand(a.key, a.token, w.now))
}

func (w *simulation) run(t *rapid.T, a *attempt) {
	if by, ok := w.ranBy[a.key]; ok {
		t.Fatalf("key %s ran twice: by %s and %s", a.key, by, a.token)
	}
	w.ranBy[a.key] = a.token
	a.stage = ran
	a.runs++
}

func (w *simulation) crash(node string) {
	for _, a := range w.started {
		if a.node == node && a.stage != reportedNotRun {
			a.stage = ended
		}
	}
	w.messages = append(w.messages, Command{Op: OpMarkUnknown, Time: w.now, Owner: "n1", Incarnation: 1})
}

func (w *simulation) step(t *rapid.T) {
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0:
		w.start(t)
	case 2, 3, 4:
		w.deliver(t)
	case 5, 6:
		w.receiveReply(t)
	case 7:
		w.withAttemptAt(t, awaitingGrant, w.sendClaim)
	case 8:
		w.withAttemptAt(t, awaitingGrant, w.reportNotRun)
	case 9, 14:
		w.withAttemptAt(t, granted, func(a *attempt) { w.run(t, a) })
	case 10:
		w.withAttemptAt(t, granted, w.reportNotRun)
	case 11, 15:
		w.withAttemptAt(t, ran, func(a *attempt) { w.messages = append(w.messages, completeCommand(a.key, a.token, w.now, a.token)) })
	case 12:
		w.crash(rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "node"))
	case 13:
		w.now += rapid.SampledFrom([]Instant{100, 1000, 10_000, 2 * minute, 9 * hour}).Draw(t, "span")
		if b, err := w.Snapshot(); err != nil || w.Restore(b) != nil {
			t.Fatalf("snapshot does not restore: %v", err)
		}
	}
}

// Guards against a write that runs twice, and against an attempt that runs after
// it was reported as not run, with lost, repeated and reordered messages, crashes
// of entry nodes, and expiry of keys.
func TestWritesRunAtMostOnce(t *testing.T) {
	grants, writes, answers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{indexedState: indexedState{State: NewState()}, now: t0, attempts: map[string]*attempt{}, ranBy: map[string]string{}}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			w.step(t)
			for _, a := range w.started {
				if a.stage == reportedNotRun && a.runs > 0 {
					t.Fatalf("attempt %s was reported as not run but ran", a.token)
				}
			}
		}
		for _, r := range w.records {
			if r.Phase == phaseAnswered {
				answers++
			}
		}
		grants += len(w.started)
		writes += len(w.ranBy)
	})
	t.Logf("%d attempts, %d writes ran, %d answers recorded at the end", grants, writes, answers)
	if writes == 0 || answers == 0 {
		t.Fatal("no write ran or no answer was recorded, so the test checks nothing")
	}
}

// historyModel is a reference model of State. For each command it computes the status from
// the whole history of the key.
type historyModel struct {
	clock   Instant
	history map[string][]Command // by key: valid commands and every OpMarkUnknown
}

func (n *historyModel) apply(c Command) Status {
	n.clock = max(n.clock, c.Time)
	created, err := KeyTime(c.Key)
	switch {
	case c.Op == OpMarkUnknown:
		for k := range n.history {
			n.history[k] = append(n.history[k], c)
		}
		return StatusDone
	case err != nil:
		return StatusBadKey
	case created+24*hour <= n.clock:
		return StatusExpired
	case c.Op == OpClaim && created > n.clock+5*minute:
		return StatusAhead
	}
	n.history[c.Key] = append(n.history[c.Key], Command{Op: OpMarkUnknown, Time: n.clock}, c)
	return n.replay(c.Key)
}

// replay replays the history of a key and returns the status of its last command.
func (n *historyModel) replay(key string) (last Status) {
	var holder, answer string
	var firstGrant, lastGrant Command
	released, unknown := map[string]bool{}, false
	for _, c := range n.history[key] {
		switch {
		case c.Op == OpMarkUnknown:
			ownerEnded := c.Owner != "" && c.Owner == lastGrant.Owner && c.Incarnation >= lastGrant.Incarnation
			unknown = unknown || holder != "" && (ownerEnded || lastGrant.RunDeadline < c.Time)
		case c.Op == OpRelease && (released[c.Token] || holder != c.Token || answer == ""):
			released[c.Token] = true
			if holder == c.Token {
				holder, unknown = "", false
			}
			last = StatusReleased
		case c.Op == OpRelease:
			last = StatusNotOwner
		case c.Op == OpComplete && holder != c.Token:
			last = StatusNotOwner
		case c.Op == OpComplete && answer != "" && answer != string(c.Answer.Body):
			last = StatusConflict
		case c.Op == OpComplete:
			answer, last = string(c.Answer.Body), StatusAnswered
		case released[c.Token]:
			last = StatusReleased
		case firstGrant.Op != 0 && firstGrant.Digest != c.Digest:
			last = StatusMismatch
		case holder == "":
			holder, lastGrant, last = c.Token, c, StatusGranted
			if firstGrant.Op == 0 {
				firstGrant = c
			}
		case answer != "":
			last = StatusAnswered
		case unknown:
			last = StatusUnknown
		case holder == c.Token:
			last = StatusGranted
		default:
			last = StatusInProgress
		}
	}
	return last
}

// Guards against State returning another status than the full history of a key
// gives, because of expiry, snapshots or the bounded list of released tokens.
func TestStateAgainstHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &indexedState{State: NewState()}
		n := &historyModel{history: map[string][]Command{}}
		now := t0
		releasedAttempts := map[string]bool{} // key and token of released attempts, which must not complete
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.SampledFrom([]Instant{-minute, 0, 1, minute / 2, 5 * hour}).Draw(t, "span")
			key := keyAt(t0+rapid.SampledFrom([]Instant{0, hour}).Draw(t, "created"), "k")
			token := fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "token"))
			c := claimCommand(key, token, now)
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				c.Digest = DigestOf([]byte(rapid.SampledFrom([]string{"body", "other"}).Draw(t, "body")))
			case 1:
				c = releaseCommand(key, token, now)
				releasedAttempts[key+token] = true
			case 2:
				c = completeCommand(key, token, now, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "answer"))
			case 3:
				c = Command{Op: OpMarkUnknown, Time: now, Owner: "n1", Incarnation: rapid.Uint64Range(0, 1).Draw(t, "incarnation")}
			}
			if c.Op == OpComplete && releasedAttempts[key+token] {
				continue // the protocol forbids it; Apply reports an invariant violation
			}
			got, want := s.applyNext(c).Status, n.apply(c)
			if got != want {
				t.Fatalf("%s %s %s at %d: %s, want %s", c.Op, key, token, now, got, want)
			}
			if b, err := s.Snapshot(); err != nil || s.Restore(b) != nil {
				t.Fatal("snapshot does not restore")
			}
		}
	})
}
