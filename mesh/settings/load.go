package settings

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/note/strictjson"
)

// The errors of this package, to be tested with errors.Is.
var (
	// ErrInvalid is returned for settings with an invalid field.
	ErrInvalid = errors.New("invalid settings")
	// ErrRead is returned when the settings file cannot be read.
	ErrRead = errors.New("settings file cannot be read")
)

// FieldError is an ErrInvalid with the path of the invalid field.
type FieldError struct {
	// Field is the path, such as timeouts.election. It is empty if the error concerns
	// the whole file.
	Field string
	// Message describes what is wrong with the field.
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return ErrInvalid.Error() + ": " + e.Message
	}
	return ErrInvalid.Error() + ": " + e.Field + ": " + e.Message
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Message: fmt.Sprintf(format, args...)}
}

func controlHostField(i int, field string) string {
	return "control_hosts[" + strconv.Itoa(i) + "]." + field
}

// maxFileBytes is the largest size of a settings file in bytes.
const maxFileBytes = 1 << 20

// LoadControl reads and validates the settings file of a control host.
func LoadControl(path string) (Control, error) {
	data, err := readFile(path)
	if err != nil {
		return Control{}, err
	}
	c, err := ParseControl(data)
	if err != nil {
		return Control{}, eris.Wrap(err, path)
	}
	resolvePaths(path, c.filePaths())
	return c, nil
}

// LoadNode reads and validates the settings file of a node.
func LoadNode(path string) (Node, error) {
	data, err := readFile(path)
	if err != nil {
		return Node{}, err
	}
	n, err := ParseNode(data)
	if err != nil {
		return Node{}, eris.Wrap(err, path)
	}
	resolvePaths(path, n.filePaths())
	return n, nil
}

// ParseControl decodes and validates the JSON settings of a control host.
func ParseControl(data []byte) (Control, error) {
	c := DefaultControl()
	if err := parse(data, &c); err != nil {
		return Control{}, err
	}
	return c, c.check()
}

// ParseNode decodes and validates the JSON settings of a node.
func ParseNode(data []byte) (Node, error) {
	n := DefaultNode()
	if err := parse(data, &n); err != nil {
		return Node{}, err
	}
	if err := n.check(); err != nil {
		return Node{}, err
	}
	n.setDerivedDefaults()
	return n, nil
}

func parse(data []byte, v any) error {
	if len(data) > maxFileBytes {
		return invalid("", "%d bytes, at most %d", len(data), maxFileBytes)
	}
	if err := strictjson.Unmarshal(data, v); err != nil {
		var f *strictjson.FieldError
		if errors.As(err, &f) {
			return &FieldError{Field: f.Path, Message: f.Message}
		}
		return invalid("", "%v", err)
	}
	return validate(v)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(ErrRead, "%v", err)
	}
	return data, nil
}

// resolvePaths makes relative paths relative to the folder of the settings file.
func resolvePaths(file string, paths []*string) {
	for _, p := range paths {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(file), *p)
		}
	}
}

func (p *Process) filePaths() []*string {
	return []*string{&p.Credentials.CA, &p.Credentials.Certificate, &p.Credentials.Key}
}

// isDialable reports whether other processes could connect to a listen address: it
// has a host, the IP address is not unspecified, and the port is not 0.
func isDialable(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "0" {
		return false
	}
	ip := net.ParseIP(host)
	return ip == nil || !ip.IsUnspecified()
}
