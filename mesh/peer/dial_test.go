package peer

import (
	"net"
	"testing"
	"time"
)

// Guards against a process that finds a peer late that starts after it, as in the start of a
// whole fleet: QUIC alone repeats its first packet after 200, 600 and 1,400 ms.
func TestPeerThatStartsLaterIsFoundSoon(t *testing.T) {
	node, control := Identity{Role: RoleNode, DataCentre: "d", Host: "n"}, Identity{Role: RoleControl, DataCentre: "d", Host: "c"}
	reserved, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := startLimited(t, node, Config{})
	found := make(chan error, 1)
	go func() {
		o, err := client.acquire(t.Context(), reserved.LocalAddr().String(), control)
		client.release(o)
		found <- err
	}()
	time.Sleep(620 * time.Millisecond)
	_ = reserved.Close()
	started := time.Now()
	startLimited(t, control, Config{Listen: reserved.LocalAddr().String()})
	if err := <-found; err != nil {
		t.Fatal(err)
	}
	if took := time.Since(started); took > 500*time.Millisecond {
		t.Errorf("found after %s", took)
	}
}
