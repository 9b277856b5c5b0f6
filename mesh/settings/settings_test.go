package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

const processFields = `
  "data_centre": "thun", "region": "aare", "cluster": "aare",
  "credentials": {"ca": "ca.pem", "certificate": "x.pem", "key": "/keys/x-key.pem"},
  "control_hosts": [{"host": "c1", "data_centre": "thun", "peer": "127.0.0.1:7001", "voter": true}],`

const controlJSON = `{"host": "c1",` + processFields + `
  "data_dir": "data", "listen": {"peer": "127.0.0.1:7001", "operator": "127.0.0.1:7101"},
  "data_centres": ["thun"],
  "operator_tls": {"certificate": "server.pem", "key": "server-key.pem"},
  "operators": [{"name": "berta", "token_sha256": "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"}],
  "timeouts": {"election": "1s"}, "claim_groups": 4}`

const nodeJSON = `{"host": "n1",` + processFields + `
  "listen": {"caller": "127.0.0.1:8001", "outgoing": "127.0.0.1:8002", "peer": "127.0.0.1:8003",
    "call": "127.0.0.1:8004", "admin": "127.0.0.1:8005"},
  "backend": {"service": "ledger", "version": "v1", "url": "http://127.0.0.1:9001", "slots": 20, "connections": 100},
  "timeouts": {"lease_renew": "500ms"}}`

// rejectedField replaces one text of a settings file, requires that parsing fails and
// returns the path of the invalid field.
func rejectedField(text, old, with string) string {
	Expect(text).To(ContainSubstring(old))
	text = strings.Replace(text, old, with, 1)
	_, err := settings.ParseControl([]byte(text))
	if strings.Contains(text, `"backend"`) {
		_, err = settings.ParseNode([]byte(text))
	}
	Expect(err).To(MatchError(settings.ErrInvalid))
	var f *settings.FieldError
	Expect(errors.As(err, &f)).To(BeTrue())
	return f.Field
}

var _ = Describe("Settings", func() {
	It("applies defaults to fields that are not set", func() {
		c, err := settings.ParseControl([]byte(controlJSON))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Timeouts.Heartbeat).To(Equal(150 * time.Millisecond))
		n, err := settings.ParseNode([]byte(nodeJSON))
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Advertise.Call).To(Equal("127.0.0.1:8004"))
		Expect(n.FanOut.Children).To(Equal(8))
		Expect(n.Limits.Memory).To(BeEquivalentTo(64 << 20))
	})

	It("resolves relative file names against the folder of the settings file", func() {
		path := filepath.Join(GinkgoT().TempDir(), "c1.json")
		Expect(os.WriteFile(path, []byte(controlJSON), 0o600)).To(Succeed())
		c, err := settings.LoadControl(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.DataDir).To(Equal(filepath.Join(filepath.Dir(path), "data")))
		Expect(c.Credentials.Key).To(Equal("/keys/x-key.pem"))
	})

	DescribeTable("rejects invalid control settings and names the field",
		func(old, with, field string) { Expect(rejectedField(controlJSON, old, with)).To(Equal(field)) },
		Entry("unknown key", `"election"`, `"elections"`, "timeouts.elections"),
		Entry("missing unit", `"1s"`, `1`, "timeouts.election"),
		Entry("unknown unit", `"1s"`, `"1 sec"`, "timeouts.election"),
		Entry("too short", `"1s"`, `"1ms"`, "timeouts.election"),
		Entry("heartbeat longer than a third of election", `"1s"`, `"300ms"`, "timeouts.heartbeat"),
		Entry("propose longer than request", `"1s"`, `"1s", "propose": "11s"`, "timeouts.propose"),
		Entry("no host", `"host": "c1",`, ``, "host"),
		Entry("invalid name", `"region": "aare"`, `"region": "a b"`, "region"),
		Entry("address without port", `127.0.0.1:7001", "voter"`, `127.0.0.1", "voter"`, "control_hosts[0].peer"),
		Entry("host missing in the control hosts", `{"host": "c1",`, `{"host": "c9",`, "control_hosts"),
		Entry("no voter", `true`, `false`, "control_hosts"),
		Entry("unknown data centre", `["thun"]`, `["bern"]`, "data_centre"),
		Entry("token digest too short", `9f86d081`, ``, "operators[0].token_sha256"),
		Entry("repeated key", `"claim_groups": 4`, `"claim_groups": 4, "claim_groups": 5`, "claim_groups"),
		Entry("null", `"claim_groups": 4`, `"claim_groups": null`, "claim_groups"),
		Entry("fraction", `"claim_groups": 4`, `"claim_groups": 4.5`, "claim_groups"),
		Entry("no credentials", `"ca": "ca.pem",`, ``, "credentials.ca"),
	)

	DescribeTable("rejects invalid node settings and names the field",
		func(old, with, field string) { Expect(rejectedField(nodeJSON, old, with)).To(Equal(field)) },
		Entry("no slots", `"slots": 20,`, ``, "backend.slots"),
		Entry("fewer connections than slots", `100`, `10`, "backend.connections"),
		Entry("invalid URL", `http://127`, `127`, "backend.url"),
		Entry("URL with a path", `9001"`, `9001/app"`, "backend.url"),
		Entry("renewal interval longer than a third of the lease", `"500ms"`, `"1s"`, "timeouts.lease_renew"),
		Entry("listen address without a host and no advertised address", `127.0.0.1:8004`, `:8004`, "advertise.call"),
		Entry("hedging limit above its range", `"timeouts"`, `"hedging": {"limit": 0.26}, "timeouts"`, "hedging.limit"),
		Entry("hedging limit below its range", `"timeouts"`, `"hedging": {"limit": -0.01}, "timeouts"`, "hedging.limit"),
		Entry("no burst of hedged attempts", `"timeouts"`, `"hedging": {"burst": 0}, "timeouts"`, "hedging.burst"),
		Entry("hedging load above its range", `"timeouts"`, `"hedging": {"max_load": 1.1}, "timeouts"`, "hedging.max_load"),
		Entry("memory that bodies alone may fill", `"timeouts"`, `"limits": {"memory": 33554431}, "timeouts"`, "limits.memory"),
		Entry("the node itself as a control host", `{"host": "n1",`, `{"host": "c1",`, "control_hosts[0].host"),
	)
})

// FuzzSettings guards against input that makes a parser panic, and against accepted
// settings that violate a validation rule.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(controlJSON))
	f.Add([]byte(nodeJSON))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := settings.ParseControl(data); err == nil && c.Timeouts.Heartbeat*3 > c.Timeouts.Election {
			t.Fatal("accepted a heartbeat longer than a third of the election timeout")
		}
		if n, err := settings.ParseNode(data); err == nil && n.Backend.Connections < n.Backend.Slots {
			t.Fatal("accepted fewer connections than slots")
		}
	})
}
