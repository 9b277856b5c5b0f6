package claim

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
)

// TestMain fixes the seed of the random runs; -rapid.seed=N sets another one.
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
