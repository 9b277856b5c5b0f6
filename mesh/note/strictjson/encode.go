package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Marshal encodes v in the form that Unmarshal reads. Fields tagged omitempty are
// left out when they are empty.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := encode(&b, reflect.ValueOf(v)); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// MarshalIndent is Marshal with line breaks and an indent of two spaces.
func MarshalIndent(v any) ([]byte, error) {
	raw, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, raw, "", "  "); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func encode(b *bytes.Buffer, v reflect.Value) error {
	switch {
	case !v.IsValid() || v.Kind() == reflect.Pointer && v.IsNil():
		b.WriteString("null")
		return nil
	case v.Kind() == reflect.Pointer || v.Kind() == reflect.Interface:
		return encode(b, v.Elem())
	case v.Type() == durationType:
		return encodeWithJSON(b, time.Duration(v.Int()).String())
	case v.Type() == timeType || v.Type() == rawType:
		return encodeWithJSON(b, v.Interface())
	}
	if _, ok := v.Interface().(encoding.TextMarshaler); ok {
		return encodeWithJSON(b, v.Interface())
	}
	switch v.Kind() {
	case reflect.Struct:
		return encodeStruct(b, v)
	case reflect.Map:
		return encodeMap(b, v)
	case reflect.Slice:
		return encodeSlice(b, v)
	default:
		return encodeWithJSON(b, v.Interface())
	}
}

func encodeWithJSON(b *bytes.Buffer, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	b.Write(raw)
	return nil
}

func encodeStruct(b *bytes.Buffer, v reflect.Value) error {
	fields := fieldsOf(v.Type())
	b.WriteByte('{')
	first := true
	for i, name := range fields.names {
		f := v.FieldByIndex(fields.index[name])
		if fields.omitEmpty[i] && isEmpty(f) {
			continue
		}
		if err := encodeMember(b, &first, name, f); err != nil {
			return err
		}
	}
	b.WriteByte('}')
	return nil
}

// isEmpty reports whether omitempty leaves out v. Unlike in encoding/json, this
// includes zero times and structs whose fields are all empty.
func isEmpty(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Slice, reflect.Map:
		return v.Len() == 0
	case reflect.Struct:
		if t, ok := v.Interface().(time.Time); ok {
			return t.IsZero()
		}
		for _, index := range fieldsOf(v.Type()).index {
			if !isEmpty(v.FieldByIndex(index)) {
				return false
			}
		}
		return true
	default:
		return v.IsZero()
	}
}

func encodeMember(b *bytes.Buffer, first *bool, name string, v reflect.Value) error {
	if !*first {
		b.WriteByte(',')
	}
	*first = false
	if err := encodeWithJSON(b, name); err != nil {
		return err
	}
	b.WriteByte(':')
	return encode(b, v)
}

func encodeMap(b *bytes.Buffer, v reflect.Value) error {
	keys := v.MapKeys()
	slices.SortFunc(keys, func(x, y reflect.Value) int { return strings.Compare(x.String(), y.String()) })
	b.WriteByte('{')
	first := true
	for _, k := range keys {
		if err := encodeMember(b, &first, k.String(), v.MapIndex(k)); err != nil {
			return err
		}
	}
	b.WriteByte('}')
	return nil
}

func encodeSlice(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('[')
	for i := range v.Len() {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := encode(b, v.Index(i)); err != nil {
			return err
		}
	}
	b.WriteByte(']')
	return nil
}
