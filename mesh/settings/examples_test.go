package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/settings"
)

// loadMesh loads all settings files of an example.
func loadMesh(dir string) (controls []settings.Control, nodes []settings.Node) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		if strings.HasPrefix(filepath.Base(f), "c-") {
			c, err := settings.LoadControl(f)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(c.Host) + ".json").To(Equal(filepath.Base(f)))
			controls = append(controls, c)
			continue
		}
		n, err := settings.LoadNode(f)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(n.Host) + ".json").To(Equal(filepath.Base(f)))
		nodes = append(nodes, n)
	}
	return controls, nodes
}

// publishNotes publishes the notes of an example in order of file name and returns
// the resulting configuration.
func publishNotes(dir string) note.Config {
	files, err := filepath.Glob(filepath.Join(dir, "notes", "*.json"))
	Expect(err).NotTo(HaveOccurred())
	Expect(files).NotTo(BeEmpty())
	s := note.NewState()
	for i, f := range files {
		data, err := os.ReadFile(f)
		Expect(err).NotTo(HaveOccurred())
		n, err := note.ParseNote(data)
		Expect(err).NotTo(HaveOccurred(), f)
		c := note.Command{Operator: "test", Time: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), Publish: &note.Publish{Note: n}}
		Expect(s.Apply(c, model.Position{Epoch: 1, Index: uint64(i + 1)}).Err()).To(Succeed(), f)
	}
	return s.Config()
}

// Operators copy the examples. Guards against a settings file that does not load,
// two processes on one port and a node of an unknown service.
var _ = DescribeTable("Examples",
	func(name string, controlHosts, dataCentres int, upstreams map[model.ServiceName]int) {
		dir := filepath.Join("..", "..", "examples", name)
		controls, nodes := loadMesh(dir)
		cfg := publishNotes(dir)
		Expect(controls).To(HaveLen(controlHosts))
		ports := map[string]model.HostID{}
		reserve := func(host model.HostID, addrs ...string) {
			for _, a := range addrs {
				Expect(ports).NotTo(HaveKey(a), fmt.Sprintf("%s and %s listen on %s", host, ports[a], a))
				ports[a] = host
			}
		}
		for _, c := range controls {
			reserve(c.Host, c.Listen.Peer, c.Listen.Operator)
			Expect(c.DataCentres).To(HaveLen(dataCentres))
			Expect(c.ControlHosts).To(Equal(controls[0].ControlHosts))
			Expect(c.Cluster).To(Equal(name))
			Expect(c.ControlHosts).To(ContainElement(HaveField("Peer", c.Listen.Peer)))
		}
		counts := map[model.ServiceName]int{}
		for _, n := range nodes {
			reserve(n.Host, n.Listen.Caller, n.Listen.Outgoing, n.Listen.Peer, n.Listen.Call, n.Listen.Admin,
				strings.TrimPrefix(n.Backend.URL, "http://"))
			Expect(n.ControlHosts).To(Equal(controls[0].ControlHosts))
			Expect(controls[0].DataCentres).To(ContainElement(n.DataCentre))
			Expect(n.Cluster).To(Equal(name))
			Expect([]int{n.Backend.Slots, n.Backend.Connections}).To(Equal([]int{20, 100}))
			Expect(cfg.Shares[n.Backend.Service]).To(HaveKey(n.Backend.Version))
			counts[n.Backend.Service]++
		}
		Expect(counts).To(Equal(upstreams))
		Expect(cfg.Services).To(HaveLen(len(upstreams)))
	},
	Entry("aare", "aare", 3, 3, map[model.ServiceName]int{"cabinet-ledger": 7, "roster-desk": 3}),
	Entry("sfax", "sfax", 3, 4, map[model.ServiceName]int{"inspection-records": 6, "leak-alerts": 4}),
)
