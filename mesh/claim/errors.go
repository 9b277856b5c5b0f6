package claim

import "errors"

// The errors of this package; use errors.Is, and NotRun for the question
// whether the attempt is certain not to run.
var (
	// ErrInProgress is returned while another attempt holds the claim.
	ErrInProgress = errors.New("write in progress")
	// ErrOutcomeUnknown is returned when an attempt held the claim and its end was never learned.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrBodyMismatch is returned when the key was used with another body or route.
	ErrBodyMismatch = errors.New("idempotency key was used with another request")
	// ErrKeyExpired is returned for a key past its lifetime; it may have run.
	ErrKeyExpired = errors.New("idempotency key expired")
	// ErrKeyAhead is returned for a key whose creation time is too far in the future.
	ErrKeyAhead = errors.New("idempotency key created in the future")
	// ErrBadKey is returned for a key of another form.
	ErrBadKey = errors.New("malformed idempotency key")
	// ErrFull is returned when the group has no room for another claim.
	ErrFull = errors.New("claim table full")
	// ErrUnavailable is returned when no grant was learned in time.
	ErrUnavailable = errors.New("claim service unavailable")
	// ErrNotOwner is returned when the token does not hold the claim.
	ErrNotOwner = errors.New("token does not hold the claim")
	// ErrNotRecorded is returned when a completion or release was not confirmed.
	ErrNotRecorded = errors.New("claim not updated")
	// ErrRefused is returned when the control hosts refuse the message itself.
	ErrRefused = errors.New("claim message refused")
	// ErrCorrupt is returned for a command or snapshot that does not decode.
	ErrCorrupt = errors.New("malformed claim data")
)

// AnsweredError is returned by Client.Claim when the write has already run and
// its answer was recorded.
type AnsweredError struct{ Answer Answer }

// Error implements error.
func (*AnsweredError) Error() string { return "write already answered" }

// NotRun reports whether err guarantees that the attempt which got it has not
// run and will not run. It says nothing of other attempts with the same key: a
// caller that wants to try again must use the same key.
func NotRun(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRefused)
}
