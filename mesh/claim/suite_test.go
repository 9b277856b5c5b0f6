package claim

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
)

// TestMain sets a fixed seed and 1000 checks for the rapid tests, unless the flags
// -rapid.seed and -rapid.checks set others, and makes invariant violations panic.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	if f := flag.Lookup("rapid.checks"); f.Value.String() == "100" {
		_ = f.Value.Set("1000")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}
