package note

import (
	"errors"
	"fmt"
	"strconv"

	"balsamtrail.org/mesh/note/strictjson"
)

// The errors of this package; use errors.Is.
var (
	// ErrInvalid is returned for a note or configuration with a bad field.
	ErrInvalid = errors.New("invalid configuration")
	// ErrConflict is returned when another operator's change came first.
	ErrConflict = errors.New("conflict with an accepted change")
	// ErrNotFound is returned for an unknown note or data centre.
	ErrNotFound = errors.New("not found")
	// ErrOperationReused is returned when an operation id comes again with another command.
	ErrOperationReused = errors.New("operation id was used for another command")
	// ErrMalformed is returned for a command, result or snapshot that does not decode.
	ErrMalformed = errors.New("malformed record")
)

// FieldError is an ErrInvalid with the path of the field.
type FieldError struct {
	// Field is the path, such as moves[0].by; it is empty for the whole input.
	Field string
	// Message states what is wrong with it.
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return ErrInvalid.Error() + ": " + e.Message
	}
	return ErrInvalid.Error() + ": " + e.Field + ": " + e.Message
}

// Unwrap makes errors.Is(err, ErrInvalid) hold.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// invalidJSON translates an error of strictjson.
func invalidJSON(err error) error {
	var f *strictjson.FieldError
	if errors.As(err, &f) {
		return &FieldError{Field: f.Path, Message: f.Message}
	}
	return &FieldError{Message: err.Error()}
}

func indexPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
