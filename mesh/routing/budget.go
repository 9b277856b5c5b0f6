package routing

import "sync"

// Budget is the number of further tries that one call, and all calls nested
// in it, may still make. All goroutines that serve the call share it. It
// travels with the call: Lend gives tries to the next level, Return takes them
// back if the fault is next to this level.
type Budget struct {
	// mu guards left.
	mu   sync.Mutex
	left int
}

// maxBudget bounds the budget that a peer may send.
const maxBudget = 16

// NewBudget returns a budget of that many tries; it is bounded, since the
// number may come from a peer.
func NewBudget(tries int) *Budget { return &Budget{left: min(max(tries, 0), maxBudget)} }

// Take uses one try; it reports false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Lend gives all tries to the next level: of 25 levels the fault is most likely
// further down, and a try that is kept at each level leaves none for the deep ones.
func (b *Budget) Lend() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lent := b.left
	b.left = 0
	return lent
}

// Return takes back tries that were lent: all of them after a try that did not
// run, and after the connection to the next level was lost, since this level is
// then the one next to the fault. The level below may have used some of them; each
// further use needs a lost connection of its own, so that the tries of a call grow
// at most with a power of its levels that is the budget, not exponentially.
func (b *Budget) Return(tries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+max(tries, 0), maxBudget)
}

// Left returns the tries left.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Bucket bounds extra tries to a part of the calls of this node: each call adds
// that part of a token, each extra try takes one.
type Bucket struct {
	tokensPerCall float64
	burst         float64

	// mu guards tokens.
	mu     sync.Mutex
	tokens float64
}

// Default parts of extra tries and the tokens that a bucket holds at most. The burst
// lets a node with few calls retry at all.
const (
	RetryPart  = 0.10
	HedgeRatio = 0.05
	RetryBurst = 10
	hedgeBurst = 5
)

// NewRetryBucket returns the bucket of a node's retries with the default bounds.
func NewRetryBucket() *Bucket { return NewBucket(RetryPart, RetryBurst) }

// NewBucket returns a full bucket that each call adds a part of a token to.
func NewBucket(tokensPerCall, burst float64) *Bucket {
	return &Bucket{tokensPerCall: tokensPerCall, burst: burst, tokens: burst}
}

// NewHedgeBucket returns the bucket of a node's hedged calls. It starts empty:
// hedging is never needed.
func NewHedgeBucket() *Bucket { return &Bucket{tokensPerCall: HedgeRatio, burst: hedgeBurst} }

// Deposit counts a call.
func (b *Bucket) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokensPerCall, b.burst)
}

// Take uses a token; it reports false if there is none.
func (b *Bucket) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takeAbove uses a token if the reserve is left after it.
func (b *Bucket) takeAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// refund returns a token that was not used.
func (b *Bucket) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.burst)
}

// TakeRetry uses one try of the node's bucket and of the call's budget, or neither.
func TakeRetry(bucket *Bucket, budget *Budget) bool {
	if !bucket.Take() {
		return false
	}
	if !budget.Take() {
		bucket.refund()
		return false
	}
	return true
}
