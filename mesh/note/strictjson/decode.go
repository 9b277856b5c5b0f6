// Package strictjson decodes and encodes JSON that operators write or read: notes,
// settings and the bodies of the operator interface. Unknown and repeated keys,
// nulls, numbers out of range and wrong types are errors that name the path of the
// field. Durations are strings such as "500ms", times are in RFC 3339.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// ErrInvalid is returned for input that does not fit the target type.
var ErrInvalid = errors.New("invalid JSON")

// FieldError is an ErrInvalid with the path of the invalid field.
type FieldError struct {
	// Path is the field, such as moves[0].by; it is empty for the whole input.
	Path string
	// Message says what is wrong with the field.
	Message string
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Unwrap makes errors.Is(err, ErrInvalid) hold.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Message: fmt.Sprintf(format, args...)}
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
	rawType      = reflect.TypeFor[json.RawMessage]()
)

// Unmarshal decodes data into the value that v points to. Fields that are missing
// in the input keep their value, so v may hold defaults.
func Unmarshal(data []byte, v any) error { return unmarshal(data, v, false) }

// UnmarshalIgnoringUnknown is Unmarshal without an error for unknown keys. Clients use it, so
// that a newer server may add fields.
func UnmarshalIgnoringUnknown(data []byte, v any) error { return unmarshal(data, v, true) }

func unmarshal(data []byte, v any, skipUnknown bool) error {
	d := decoder{json.NewDecoder(bytes.NewReader(data)), skipUnknown}
	d.UseNumber()
	if err := d.decodeValue("", reflect.ValueOf(v).Elem()); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fieldError("", "text after the end of the value")
	}
	return nil
}

type decoder struct {
	*json.Decoder
	// skipUnknown skips unknown keys instead of refusing them.
	skipUnknown bool
}

func (d decoder) readToken(path string) (json.Token, error) {
	t, err := d.Token()
	if err != nil {
		return nil, fieldError(path, "%v", err)
	}
	return t, nil
}

func (d decoder) decodeValue(path string, v reflect.Value) error {
	switch {
	case v.Kind() == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		return d.decodeValue(path, v.Elem())
	case v.Type() == rawType:
		return d.decodeRaw(path, v)
	}
	t, err := d.readToken(path)
	if err != nil {
		return err
	}
	switch t := t.(type) {
	case json.Delim:
		return d.decodeComposite(path, t, v)
	case string:
		return setString(path, t, v)
	case json.Number:
		return setNumber(path, t, v)
	case bool:
		if v.Kind() != reflect.Bool {
			return fieldError(path, "%t, want %s", t, describeType(v.Type()))
		}
		v.SetBool(t)
		return nil
	default:
		return fieldError(path, "null, want %s", describeType(v.Type()))
	}
}

func (d decoder) decodeRaw(path string, v reflect.Value) error {
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		return fieldError(path, "%v", err)
	}
	v.SetBytes(raw)
	return nil
}

func (d decoder) decodeComposite(path string, t json.Delim, v reflect.Value) error {
	switch {
	case t == '{' && v.Kind() == reflect.Struct && v.Type() != timeType:
		return d.decodeStruct(path, v)
	case t == '{' && v.Kind() == reflect.Map:
		return d.decodeMap(path, v)
	case t == '[' && v.Kind() == reflect.Slice:
		return d.decodeSlice(path, v)
	default:
		return fieldError(path, "%s, want %s", map[json.Delim]string{'{': "an object", '[': "a list"}[t], describeType(v.Type()))
	}
}

func (d decoder) readKey(path string, seen map[string]bool) (string, error) {
	t, err := d.readToken(path)
	if err != nil {
		return "", err
	}
	key, _ := t.(string) // json.Decoder returns object keys as strings
	if seen[key] {
		return "", fieldError(joinPath(path, key), "key is repeated")
	}
	seen[key] = true
	return key, nil
}

func (d decoder) decodeStruct(path string, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	seen := map[string]bool{}
	for d.More() {
		key, err := d.readKey(path, seen)
		if err != nil {
			return err
		}
		index, ok := fields.index[key]
		if !ok && d.skipUnknown {
			var ignored json.RawMessage
			if err := d.decodeRaw(joinPath(path, key), reflect.ValueOf(&ignored).Elem()); err != nil {
				return err
			}
			continue
		}
		if !ok {
			return fieldError(joinPath(path, key), "unknown key")
		}
		if err := d.decodeValue(joinPath(path, key), v.FieldByIndex(index)); err != nil {
			return err
		}
	}
	_, err := d.readToken(path)
	return err
}

func (d decoder) decodeMap(path string, v reflect.Value) error {
	out := reflect.MakeMap(v.Type())
	seen := map[string]bool{}
	for d.More() {
		key, err := d.readKey(path, seen)
		if err != nil {
			return err
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		if err := d.decodeValue(fmt.Sprintf("%s[%s]", path, key), elem); err != nil {
			return err
		}
		out.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), elem)
	}
	v.Set(out)
	_, err := d.readToken(path)
	return err
}

func (d decoder) decodeSlice(path string, v reflect.Value) error {
	out := reflect.MakeSlice(v.Type(), 0, 0)
	for d.More() {
		elem := reflect.New(v.Type().Elem()).Elem()
		if err := d.decodeValue(fmt.Sprintf("%s[%d]", path, out.Len()), elem); err != nil {
			return err
		}
		out = reflect.Append(out, elem)
	}
	v.Set(out)
	_, err := d.readToken(path)
	return err
}

func setString(path, s string, v reflect.Value) error {
	switch {
	case v.Type() == durationType:
		d, err := time.ParseDuration(s)
		if err != nil {
			return fieldError(path, "%q is not a duration such as \"500ms\"", s)
		}
		v.SetInt(int64(d))
	case v.Type() == timeType:
		t, err := time.Parse(time.RFC3339Nano, s)
		if err != nil {
			return fieldError(path, "%q is not a time such as \"2026-05-01T12:00:00Z\"", s)
		}
		v.Set(reflect.ValueOf(t.UTC()))
	case implementsTextUnmarshaler(v):
		u, _ := v.Addr().Interface().(encoding.TextUnmarshaler)
		if err := u.UnmarshalText([]byte(s)); err != nil {
			return fieldError(path, "%v", err)
		}
	case v.Kind() == reflect.String:
		v.SetString(s)
	default:
		return fieldError(path, "%q, want %s", s, describeType(v.Type()))
	}
	return nil
}

func implementsTextUnmarshaler(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func setNumber(path string, n json.Number, v reflect.Value) error {
	if v.Type() == durationType || v.Type() == timeType || implementsTextUnmarshaler(v) {
		return fieldError(path, "%s, want %s", n, describeType(v.Type()))
	}
	switch {
	case v.CanInt():
		i, err := strconv.ParseInt(string(n), 10, v.Type().Bits())
		if err != nil {
			return fieldError(path, "%s, want %s", n, describeType(v.Type()))
		}
		v.SetInt(i)
	case v.CanUint():
		u, err := strconv.ParseUint(string(n), 10, v.Type().Bits())
		if err != nil {
			return fieldError(path, "%s, want %s", n, describeType(v.Type()))
		}
		v.SetUint(u)
	case v.CanFloat():
		f, err := strconv.ParseFloat(string(n), v.Type().Bits())
		if err != nil {
			return fieldError(path, "%s, want %s", n, describeType(v.Type()))
		}
		v.SetFloat(f)
	default:
		return fieldError(path, "%s, want %s", n, describeType(v.Type()))
	}
	return nil
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// describeType names a type in the messages to operators.
func describeType(t reflect.Type) string {
	switch {
	case t == durationType:
		return "a duration such as \"500ms\""
	case t == timeType:
		return "a time such as \"2026-05-01T12:00:00Z\""
	case reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
		return "a string"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "a list"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return fmt.Sprintf("a whole number of %d bits", t.Bits())
	}
}

// fieldSet holds the JSON fields of a struct type: their names in order, whether
// each has the option omitempty, and the index of each for FieldByIndex.
type fieldSet struct {
	names     []string
	omitEmpty []bool
	index     map[string][]int
}

// fieldsOf returns the JSON fields of a struct type in order. The fields of
// embedded structs without a tag count as fields of the struct itself.
func fieldsOf(t reflect.Type) fieldSet {
	set := fieldSet{index: map[string][]int{}}
	for _, f := range reflect.VisibleFields(t) {
		tag := f.Tag.Get("json")
		name, options, _ := strings.Cut(tag, ",")
		if !f.IsExported() || name == "-" || f.Anonymous && tag == "" || name == "" {
			continue
		}
		set.names = append(set.names, name)
		set.omitEmpty = append(set.omitEmpty, strings.Contains(options, "omitempty"))
		set.index[name] = f.Index
	}
	return set
}

// Fields returns the JSON names of the fields of v's type in order.
func Fields(v any) []string { return fieldsOf(reflect.TypeOf(v)).names }
