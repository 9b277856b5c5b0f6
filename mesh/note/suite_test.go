package note

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
)

// TestMain fixes the seed of the random tests unless the flag rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20261204")
	}
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

func TestNote(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "note")
}
