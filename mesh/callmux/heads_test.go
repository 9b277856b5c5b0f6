package callmux

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"

	"balsamtrail.org/mesh/peer"
)

// Guards against a head that ends the connection, and with it the calls of others, because
// it cannot be decoded.
func TestMalformedHeadEndsItsCallOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientEnd, serverEnd := net.Pipe()
		defer clientEnd.Close()
		go NewServer(Config{}).serve(t.Context(), serverEnd, serverEnd, peer.Identity{}, respondOK)
		cn, err := newConnection(Config{}.withDefaults(), clientEnd, clientEnd, peer.Identity{}, true)
		if err != nil {
			t.Fatal(err)
		}
		p := rawPeer{clientEnd, cn.r}
		for call, head := range [][]byte{{0, 0, 0, 1, 0xff}, {0, 0, 0, 9}, {0}, mustEncodeHead(t, map[int]int{6: 7}),
			mustEncodeHead(t, &Request{Header: map[string][]string{"X Bad": {"1"}}}), mustEncodeHead(t, &Request{Header: map[string][]string{"X": {"a\r\nY: b"}}})} {
			p.send(frame{kind: frameRequest, call: uint32(2*call + 1), payload: head})
			p.send(frame{kind: frameData, call: uint32(2*call + 1), payload: []byte("body")})
			var resp Response
			if _, err := decodeHead(p.next(t), &resp); err != nil || resp.Refusal == nil || !resp.Refusal.NotRun || resp.Refusal.Reason != ReasonMalformed {
				t.Fatalf("head %x: %+v, %v", head, resp, err)
			}
			p.send(frame{kind: frameRequest, end: true, call: uint32(2*call + 2), payload: mustEncodeHead(t, &Request{})})
			resp = Response{}
			if _, err := decodeHead(p.next(t), &resp); err != nil || resp.Status != http.StatusOK {
				t.Fatalf("call after head %x: %+v, %v", head, resp, err)
			}
		}
	})
}

// Guards against a response that HTTP cannot carry and that the entry node passes on without
// some of its fields, or panics over.
func TestMalformedResponseEndsItsCallOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, p := rawServer(t)
		defer c.Close()
		for _, r := range []Response{
			{Status: http.StatusOK, Header: map[string][]string{"X Bad": {"1"}}}, {Status: http.StatusOK, Header: map[string][]string{"": {"1"}}},
			{Status: http.StatusOK, Header: map[string][]string{"X": {"a\x00"}}}, {}, {Status: 99}, {Status: 101}, {Status: 1000},
		} {
			done := make(chan error)
			go func() { _, err := c.Do(t.Context(), "n2", peer.Identity{}, &Request{}); done <- err }()
			p.send(frame{kind: frameResponse, end: true, call: p.next(t).call, payload: mustEncodeHead(t, &r)})
			if err := <-done; !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("%+v: %v", r, err)
			}
		}
		go func() {
			p.send(frame{kind: frameResponse, end: true, call: p.next(t).call, payload: mustEncodeHead(t, &Response{Status: http.StatusOK})})
		}()
		if _, err := c.Do(t.Context(), "n2", peer.Identity{}, &Request{}); err != nil {
			t.Errorf("call after them: %v", err)
		}
	})
}

// Guards against heads that HTTP allows and that the receiver cannot decode: values that
// are not UTF-8, more fields or values than a bound of the codec, and the largest head.
func TestEveryHeadOfHTTPCanBeDecoded(t *testing.T) {
	const headBytes = 64 << 10
	names, values, large := map[string][]string{}, []string{}, map[string][]string{}
	for n := 0; n < headBytes/len("A0000:\r\n"); n++ {
		names[fmt.Sprintf("A%04x", n)] = []string{""}
	}
	for range headBytes / len("A:\r\n") {
		values = append(values, "")
	}
	for n := range 16 {
		large[fmt.Sprintf("Large-%02d", n)] = []string{string(make([]byte, headBytes/16))}
	}
	for name, header := range map[string]map[string][]string{
		"not UTF-8": {"X-Note": {"caf\xe9", "\xff\x80", ""}}, "many fields": names, "many values": {"A": values}, "large": large,
	} {
		sent := Request{Path: "/caf\xe9", Header: header}
		var got Request
		if _, err := decodeHead(frame{end: true, payload: mustEncodeHead(t, &sent)}, &got); err != nil || !reflect.DeepEqual(got, sent) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
