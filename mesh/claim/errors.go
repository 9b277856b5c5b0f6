package claim

import "errors"

// The errors of this package. Compare with errors.Is; NotRun tells whether an
// error means that the attempt cannot have run.
var (
	// ErrInProgress is returned while another attempt holds the claim.
	ErrInProgress = errors.New("write in progress")
	// ErrOutcomeUnknown is returned when an earlier attempt may have run, but no answer is recorded.
	ErrOutcomeUnknown = errors.New("outcome of the write unknown")
	// ErrBodyMismatch is returned when the key was used before with another body or route.
	ErrBodyMismatch = errors.New("idempotency key was used with another request")
	// ErrKeyExpired is returned for a key older than KeyLifetime; its write may have run.
	ErrKeyExpired = errors.New("idempotency key expired")
	// ErrKeyAhead is returned for a key created more than MaxClockSkew in the future.
	ErrKeyAhead = errors.New("idempotency key created in the future")
	// ErrBadKey is returned for a key that does not have the format of KeyTime.
	ErrBadKey = errors.New("malformed idempotency key")
	// ErrFull is returned when another claim would exceed the Limits of the group.
	ErrFull = errors.New("claim table full")
	// ErrUnavailable is returned when no control host returned a result in time.
	ErrUnavailable = errors.New("claim service unavailable")
	// ErrNotOwner is returned when the token does not hold the claim or another answer is recorded.
	ErrNotOwner = errors.New("token does not hold the claim")
	// ErrNotRecorded is returned when a completion or release was not confirmed by a control host.
	ErrNotRecorded = errors.New("claim not updated")
	// ErrRefused is returned when a control host refuses the request as invalid.
	ErrRefused = errors.New("claim message refused")
	// ErrCorrupt is returned for a command or snapshot that does not decode.
	ErrCorrupt = errors.New("malformed claim data")
)

// AnsweredError is returned by Client.Claim when the write has already run and
// its answer was recorded.
type AnsweredError struct{ Answer Answer }

// Error implements error.
func (*AnsweredError) Error() string { return "write already answered" }

// NotRun reports whether err guarantees that the attempt for which it was
// returned has not run and will not run. It says nothing about other attempts
// with the same key, so a retry must use the same key.
func NotRun(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, ErrUnavailable) || errors.Is(err, ErrRefused)
}
