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

// The errors of this package; use errors.Is.
var (
	// ErrInvalid is returned for settings with a bad field.
	ErrInvalid = errors.New("invalid settings")
	// ErrRead is returned when the settings file cannot be read.
	ErrRead = errors.New("settings file cannot be read")
)

// FieldError is an ErrInvalid with the path of the field.
type FieldError struct {
	// Field is the path, such as timeouts.election; it is empty for the whole file.
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

func controlHostField(i int, field string) string {
	return "control_hosts[" + strconv.Itoa(i) + "]." + field
}

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// LoadControl reads the settings file of a control host.
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

// LoadNode reads the settings file of a node.
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

// ParseControl reads the JSON form of Control and checks it.
func ParseControl(data []byte) (Control, error) {
	c := DefaultControl()
	if err := parse(data, &c); err != nil {
		return Control{}, err
	}
	return c, c.check()
}

// ParseNode reads the JSON form of Node and checks it.
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

// isDialable reports whether a listen address names a host that others can reach.
func isDialable(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "0" {
		return false
	}
	ip := net.ParseIP(host)
	return ip == nil || !ip.IsUnspecified()
}
