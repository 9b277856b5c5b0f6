package callmux

import (
	"bufio"
	"bytes"
	"testing"
)

// Guards against panics, allocations beyond the bounds and frames that change
// on their way: each accepted frame must encode to the bytes it was read from.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, frame{kind: frameData, end: true, call: 7, payload: []byte("body")}))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		for rest := b; ; {
			got, err := readFrame(r)
			if err != nil {
				return
			}
			n := got.size()
			again := appendFrame(nil, got)
			again[5] = rest[5] // unknown flags are dropped
			if !bytes.Equal(again, rest[:n]) {
				t.Fatalf("read %x, encoded %x", rest[:n], again)
			}
			rest = rest[n:]
		}
	})
}

// Guards against panics in the head decoder, and against heads that are
// accepted but cannot be passed on.
func FuzzDecodeHead(f *testing.F) {
	f.Add(head(f, &Request{Method: "GET", Path: "/a?b", Header: map[string][]string{"A": {"b"}}, Timeout: 5}), true)
	f.Add(head(f, &Response{Status: 200, Refusal: &Refusal{Reason: "full", NotRun: true}}), false)
	f.Fuzz(func(t *testing.T, b []byte, end bool) {
		for _, v := range []any{&Request{}, &Response{}} {
			body, err := decodeHead(frame{payload: b, end: end}, v)
			if err != nil {
				continue
			}
			if len(body) > 0 && !end {
				t.Fatal("body bytes in the head of a streamed body")
			}
			if _, err := encodeHead(v, body); err != nil {
				t.Fatalf("%+v: %v", v, err)
			}
		}
	})
}
