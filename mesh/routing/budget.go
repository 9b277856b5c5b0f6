package routing

import "sync"

// Budget is a retry budget: the number of retries that one call and all calls nested
// in it may still make. All goroutines that serve the call share it. It is passed on
// with the call: Lend hands the retries to the next level, and Return takes them back
// if the failure occurred between this level and the next. It is safe for concurrent
// use.
type Budget struct {
	// mu guards left.
	mu   sync.Mutex
	left int
}

// maxBudget is the maximum number of retries in a budget, whatever a peer sends.
const maxBudget = 16

// NewBudget returns a budget of the given number of retries, limited to maxBudget
// because the number may come from a peer.
func NewBudget(tries int) *Budget { return &Budget{left: min(max(tries, 0), maxBudget)} }

// Take uses one retry; it reports false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Lend removes all retries from the budget and returns their number, to be sent to
// the next level with the call. In a chain of 25 levels a failure most likely occurs
// further down, and if each level kept a retry none would be left for the deep ones.
func (b *Budget) Lend() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	lent := b.left
	b.left = 0
	return lent
}

// Return adds retries back that Lend removed. The caller returns all of them after an
// attempt that did not run or whose connection was lost, because the failure is then
// between this level and the next. After a lost connection the next level may have
// used some of them already, and each further use needs another lost connection. The
// total number of attempts of a call therefore grows at most polynomially in the
// number of levels, with the budget as the degree, and not exponentially.
func (b *Budget) Return(tries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+max(tries, 0), maxBudget)
}

// Left returns the number of retries left.
func (b *Budget) Left() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// Bucket is a token bucket that limits retries or hedged attempts to a fraction of
// the calls of this node. Each call adds tokensPerCall tokens, up to burst, and each
// extra attempt takes one. It is safe for concurrent use.
type Bucket struct {
	tokensPerCall float64
	burst         float64

	// mu guards tokens.
	mu     sync.Mutex
	tokens float64
}

// Defaults of the token buckets. The bursts let a node with few calls make extra
// attempts at all.
const (
	// RetryRatio is the number of tokens that each call adds to the retry bucket, and so
	// the maximum ratio of retries to calls.
	RetryRatio = 0.10
	// RetryBurst is the maximum number of tokens in the retry bucket.
	RetryBurst = 10
)

// NewRetryBucket returns a full bucket for the retries of a node, with the default
// ratio and burst.
func NewRetryBucket() *Bucket { return NewBucket(RetryRatio, RetryBurst) }

// NewBucket returns a full bucket.
func NewBucket(tokensPerCall, burst float64) *Bucket {
	return &Bucket{tokensPerCall: tokensPerCall, burst: burst, tokens: burst}
}

// NewEmptyBucket returns a bucket without tokens.
func NewEmptyBucket(tokensPerCall, burst float64) *Bucket {
	return &Bucket{tokensPerCall: tokensPerCall, burst: burst}
}

// Burst returns the maximum number of tokens.
func (b *Bucket) Burst() float64 { return b.burst }

// Tokens returns the number of tokens left.
func (b *Bucket) Tokens() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Deposit adds the tokens for one call.
func (b *Bucket) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokensPerCall, b.burst)
}

// Take uses one token; it reports false if none is left.
func (b *Bucket) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeAbove uses one token if at least reserve tokens remain afterwards.
func (b *Bucket) TakeAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1+reserve {
		return false
	}
	b.tokens--
	return true
}

// Refund puts an unused token back.
func (b *Bucket) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.burst)
}

// TakeRetry charges one retry to both the bucket of the node and the budget of the
// call, or to neither.
func TakeRetry(bucket *Bucket, budget *Budget) bool {
	if !bucket.Take() {
		return false
	}
	if !budget.Take() {
		bucket.Refund()
		return false
	}
	return true
}
