package settings_test

import (
	"os"
	"reflect"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/settings"
)

// jsonPaths returns the paths of all JSON fields of a settings type. The path of a
// field of a list entry is that of the list, followed by [] and the field.
func jsonPaths(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		path := prefix + name
		switch {
		case f.Anonymous:
			out = append(out, jsonPaths(f.Type, prefix)...)
		case f.Type.Kind() == reflect.Struct:
			out = append(out, jsonPaths(f.Type, path+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			out = append(append(out, path), jsonPaths(f.Type.Elem(), path+"[].")...)
		default:
			out = append(out, path)
		}
	}
	return out
}

// Guards against settings that docs/settings.md does not describe, and against rows
// of settings that do not exist.
var _ = DescribeTable("docs/settings.md names every field with unit, default, range and meaning",
	func(t reflect.Type, section string) {
		page, err := os.ReadFile("../../docs/settings.md")
		Expect(err).NotTo(HaveOccurred())
		parts := strings.Split(string(page), "\n## ")
		rows := map[string]bool{}
		for _, part := range parts {
			if !strings.HasPrefix(part, section) && !strings.HasPrefix(part, "Both roles") {
				continue
			}
			for _, line := range strings.Split(part, "\n") {
				if cells := strings.Split(line, " | "); len(cells) == 5 && strings.HasPrefix(line, "| `") {
					rows[strings.Trim(cells[0], "| `")] = true
				}
			}
		}
		for _, path := range jsonPaths(t, "") {
			Expect(rows).To(HaveKey(path))
			delete(rows, path)
		}
		Expect(rows).To(BeEmpty(), "the page has rows of fields that do not exist")
	},
	Entry("control", reflect.TypeFor[settings.Control](), "Control host"),
	Entry("node", reflect.TypeFor[settings.Node](), "Node"),
)
