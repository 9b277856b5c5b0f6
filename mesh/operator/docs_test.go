package operator

import (
	"os"
	"reflect"
	"strings"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/note/strictjson"
)

// Guards against resources, fields and error codes that docs/api.md does not
// describe; partners rely on that page.
var _ = Describe("docs/api.md", func() {
	read := func() string {
		page, err := os.ReadFile("../../docs/api.md")
		Expect(err).NotTo(HaveOccurred())
		return string(page)
	}

	It("describes every resource with an example", func() {
		server, err := NewServer(serverConfig(), newFake(), func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		sections := map[string]string{}
		for _, part := range strings.Split(read(), "\n### `")[1:] {
			title, text, _ := strings.Cut(part, "`")
			sections[title] = text
		}
		routes := 0
		Expect(server.http.WalkRoute(func(r khttp.RouteInfo) error {
			routes++
			Expect(sections).To(HaveKey(r.Method + " " + r.Path))
			Expect(sections[r.Method+" "+r.Path]).To(ContainSubstring("```sh"))
			return nil
		})).To(Succeed())
		Expect(sections).To(HaveLen(routes+1), "the page also describes /metrics, which has no method")
	})

	It("names every field of the answers and every code", func() {
		page := read()
		for _, v := range []any{
			Read{}, MoveView{}, StepView{}, DataCentreView{}, ControlHostView{}, ControlHostChange{}, StatusView{}, NodeView{},
			ConfigView{}, Error{}, note.Record{}, note.MoveState{}, note.AuditRecord{}, note.Result{}, note.Winner{},
			note.Note{}, note.Move{}, note.Service{}, note.Route{}, note.ServiceShares{},
		} {
			for _, name := range strictjson.Fields(v) {
				Expect(page).To(MatchRegexp("[`.\"]"+name+"[`\\[\":]"), reflect.TypeOf(v).Name())
			}
		}
		for _, k := range errorMappings {
			Expect(page).To(ContainSubstring("`" + string(k.code) + "`"))
		}
	})
})
