package settings

import (
	"errors"
	"fmt"
	"net"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// structValidator is a validator with the additional tags name, address and listen.
var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	tags := map[string]validator.Func{
		"name":    func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) },
		"address": func(f validator.FieldLevel) bool { return isAddress(f.Field().String(), 1) },
		"listen":  func(f validator.FieldLevel) bool { return isAddress(f.Field().String(), 0) },
	}
	for tag, fn := range tags {
		if err := v.RegisterValidation(tag, fn); err != nil {
			panic(err) // unreachable: the tags are constant and valid
		}
	}
	return v
}

// isAddress reports whether s is host:port with a port of at least minPort. If
// minPort is 0, the host may be empty, as in a listen address.
func isAddress(s string, minPort uint64) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n >= minPort && (host != "" || minPort == 0)
}

// validate checks v against its validate tags and returns a FieldError for the first
// invalid field.
func validate(v any) error {
	err := structValidator.Struct(v)
	var fields validator.ValidationErrors
	if err == nil {
		return nil
	}
	if !errors.As(err, &fields) || len(fields) == 0 {
		return invalid("", "%v", err)
	}
	return &FieldError{Field: fieldPath(fields[0].Namespace()), Message: ruleMessage(fields[0])}
}

// fieldPath removes the names of the type and of the embedded struct from a
// validator namespace such as Control.Process.host.
func fieldPath(namespace string) string {
	_, path, _ := strings.Cut(namespace, ".")
	return strings.TrimPrefix(path, "Process.")
}

// ruleMessage describes the validation rule that a field violates.
func ruleMessage(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "name":
		return fmt.Sprintf("%q is not a name of 1 to 64 letters, digits, dots, dashes and underscores", f.Value())
	case "address":
		return fmt.Sprintf("%q is not host:port", f.Value())
	case "listen":
		return fmt.Sprintf("%q is not an address to listen on, such as 127.0.0.1:7000", f.Value())
	case "min":
		return fmt.Sprintf("%s, want at least %s", describeValue(f), f.Param())
	case "max":
		return fmt.Sprintf("%s, want at most %s", describeValue(f), f.Param())
	case "unique":
		return "names the same entry twice"
	default:
		return strings.TrimSpace(fmt.Sprintf("%v, want %s %s", f.Value(), f.Tag(), f.Param()))
	}
}

// describeValue returns the length of a list, string or map, and any other value as
// text.
func describeValue(f validator.FieldError) string {
	switch f.Kind() {
	case reflect.Slice, reflect.String, reflect.Map:
		return fmt.Sprintf("length %d", reflect.ValueOf(f.Value()).Len())
	default:
		return fmt.Sprint(f.Value())
	}
}
