package admission

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
)

func TestAdmission(t *testing.T) {
	invariant.SetFatal(true)
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}
