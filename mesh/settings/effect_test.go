package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/settings"
)

// selectors returns the Go selectors of all fields of a settings type that are not
// structs of this package, such as .Timeouts.Drain.
func selectors(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		switch {
		case f.Anonymous:
			out = append(out, selectors(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct && f.Type.PkgPath() == t.PkgPath():
			out = append(out, selectors(f.Type, prefix+"."+f.Name)...)
		default:
			out = append(out, prefix+"."+f.Name)
		}
	}
	return out
}

// sources returns the source code of a package without its tests.
func sources(dir string) string {
	files, err := filepath.Glob(filepath.Join("..", dir, "*.go"))
	Expect(err).NotTo(HaveOccurred())
	var all strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		b, err := os.ReadFile(f)
		Expect(err).NotTo(HaveOccurred())
		all.Write(b)
	}
	return all.String()
}

// Guards against a setting that is accepted from operators but that no code reads.
var _ = DescribeTable("Every setting is read by the role that has it",
	func(t reflect.Type, dirs ...string) {
		var code string
		for _, d := range dirs {
			code += sources(d)
		}
		for _, s := range selectors(t, "") {
			// Some functions take a struct of the settings as a parameter named f, l, p or files.
			read := regexp.MustCompile(`\b(cfg` + regexp.QuoteMeta(s) + `|([flp]|files)` + regexp.QuoteMeta(s[strings.LastIndexByte(s, '.'):]) + `)\b`)
			Expect(read.MatchString(code)).To(BeTrue(), s)
		}
	},
	Entry("control", reflect.TypeFor[settings.Control](), "control", "operator", "cmd/balsamtraild"),
	Entry("node", reflect.TypeFor[settings.Node](), "node", "cmd/balsamtraild"),
)
