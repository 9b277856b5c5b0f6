package peer

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestCredentialsReload guards against a renewed certificate that is used only
// after a restart, and a corrupt file that replaces the certificate in use.
func TestCredentialsReload(t *testing.T) {
	ca, err := OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	id := Identity{Role: RoleNode, DataCentre: "thun", Host: "n1"}
	files, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	c, err := LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	first, _ := c.current()
	rewrite := func(write func()) *[]byte {
		write()
		later := time.Now().Add(time.Hour)
		if err := os.Chtimes(files.Certificate, later, later); err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		c.lastCheck = time.Time{} // the next call of current checks the file
		c.mu.Unlock()
		cert, _ := c.current()
		return &cert.Certificate[0]
	}
	renewed := rewrite(func() {
		if _, err := ca.Issue(id); err != nil {
			t.Fatal(err)
		}
	})
	if bytes.Equal(*renewed, first.Certificate[0]) {
		t.Error("the renewed certificate is not used")
	}
	kept := rewrite(func() {
		if err := os.WriteFile(files.Certificate, []byte("damaged"), 0o600); err != nil {
			t.Fatal(err)
		}
	})
	if !bytes.Equal(*kept, *renewed) {
		t.Error("a corrupt file replaced the certificate in use")
	}
}

// FuzzReadFrame guards against a frame from a peer that makes the decoder panic or
// allocate more than the size limit of a frame.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, streamHeader{Method: "echo"}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Add([]byte{0, 0, 0, 2, 0xa1})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h streamHeader
		if err := readFrame(bytes.NewReader(b), &h); err != nil {
			return
		}
		if _, err := cbor.Marshal(h); err != nil {
			t.Errorf("decoded value does not encode: %v", err)
		}
	})
}
