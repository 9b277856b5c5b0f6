package peer

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a node that finds a control host late that starts after it, that does not
// ask hosts that an answer names, or that takes an answer to another enquiry; and against a
// control host that answers short datagrams, which could be used to send more than they take.
func TestEnquiries(t *testing.T) {
	control := Identity{Role: RoleControl, DataCentre: "d", Host: "c"}
	var answers atomic.Int64
	answer := func(text string) func() ([]byte, bool) {
		return func() ([]byte, bool) { answers.Add(1); return []byte(text), true }
	}
	var final atomic.Bool
	second := startLimited(t, control, Config{AnswerEnquiry: func() ([]byte, bool) {
		answers.Add(1)
		if final.Load() {
			return []byte("second"), true
		}
		return []byte("wait"), false
	}})
	reserved, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	targets := []string{reserved.LocalAddr().String()}
	_ = reserved.Close()
	time.AfterFunc(200*time.Millisecond, func() {
		startLimited(t, control, Config{Listen: targets[0], AnswerEnquiry: answer(second.Addr().String())})
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var got []string
	var waited time.Time
	began := time.Now()
	q, err := NewEnquirer()
	if err != nil {
		t.Fatal(err)
	}
	defer q.Close()
	for err == nil && !slices.Contains(got, "second") {
		q.Ask(time.Now(), targets)
		var target string
		var payload []byte
		if target, payload, err = q.Receive(ctx); target == "" {
			continue
		}
		if target == targets[0] && len(targets) == 1 {
			targets = append(targets, string(payload))
		}
		if got = append(got, string(payload)); string(payload) == "wait" && !final.Swap(true) {
			second.AnswerEnquirers() // this node has just been told to wait
			waited = time.Now()
		}
	}
	if took := time.Since(waited); took > enquiryMinInterval/2 {
		t.Errorf("the final answer came after %s, with a repeated enquiry", took)
	}
	if took := time.Since(began); err != nil || took > time.Second {
		t.Fatalf("%v after %s, answers %v", err, took, got)
	}
	conn, err := net.Dial("udp", second.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	before := answers.Load()
	for _, size := range []int{1, 30, enquiryBytes - 1} {
		packet := make([]byte, size)
		copy(packet, enquiryPrefix)
		if _, err := conn.Write(packet); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if n := answers.Load() - before; n != 0 {
		t.Errorf("%d short datagrams were answered", n)
	}
	if err := callEcho(t.Context(), startLimited(t, Identity{Role: RoleNode, DataCentre: "d", Host: "n"}, Config{}), second, control); err != nil {
		t.Errorf("connections beside enquiries: %v", err)
	}
}
