package note

import (
	"errors"
	"fmt"
	"strconv"

	"balsamtrail.org/mesh/note/strictjson"
)

// Errors of this package, matched with errors.Is.
var (
	// ErrInvalid is returned for a note or configuration with an invalid field.
	ErrInvalid = errors.New("invalid configuration")
	// ErrConflict is returned when a command conflicts with a change accepted before it.
	ErrConflict = errors.New("conflict with an accepted change")
	// ErrNotFound is returned for an unknown note, service or move.
	ErrNotFound = errors.New("not found")
	// ErrOperationReused is returned when an operation ID is sent again with another command.
	ErrOperationReused = errors.New("operation id was used for another command")
	// ErrMalformed is returned for a command, result or snapshot that cannot be decoded.
	ErrMalformed = errors.New("malformed record")
)

// FieldError is an ErrInvalid with the path of the invalid field.
type FieldError struct {
	// Field is the path, such as moves[0].by; it is empty for the whole input.
	Field string
	// Message says what is wrong with the field.
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

// invalidJSON converts an error of strictjson to a FieldError.
func invalidJSON(err error) error {
	var f *strictjson.FieldError
	if errors.As(err, &f) {
		return &FieldError{Field: f.Path, Message: f.Message}
	}
	return &FieldError{Message: err.Error()}
}

// indexPath returns the path of a list element, such as moves[0].
func indexPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
