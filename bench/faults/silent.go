package faults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/relay"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note/strictjson"
	"balsamtrail.org/mesh/operator"
	"balsamtrail.org/mesh/settings"
)

// relays holds the relays between nodes and control hosts and between nodes.
type relays struct {
	tcp []*relay.TCP
	udp []*relay.UDP
}

// blackhole drops all further traffic of the open connections without closing them, and
// returns the numbers of TCP connections and UDP flows.
func (r *relays) blackhole() (tcp, udp int) {
	for _, t := range r.tcp {
		tcp += t.Blackhole()
	}
	for _, u := range r.udp {
		udp += u.Blackhole()
	}
	return tcp, udp
}

// addUDP starts a UDP relay to the target and returns the address of the relay.
func (r *relays) addUDP(target string, wg *sync.WaitGroup) (string, error) {
	u, err := relay.ListenUDP(target)
	if err != nil {
		return "", err
	}
	r.udp = append(r.udp, u)
	wg.Go(u.Run)
	return u.Addr(), nil
}

// insert edits the settings of the prepared processes so that all connections to
// nodes, and those of nodes to control hosts, go through relays.
func (r *relays) insert(ctx context.Context, e *env, wg *sync.WaitGroup) error {
	var first settings.Control
	relayAddresses := map[model.HostID]string{}
	for _, c := range e.Controls {
		s, err := settings.LoadControl(e.settingsFile(c.Host))
		if err != nil {
			return err
		}
		first = s
		if relayAddresses[c.Host], err = r.addUDP(s.Listen.Peer, wg); err != nil {
			return err
		}
	}
	for _, b := range e.Servers {
		n, err := settings.LoadNode(e.settingsFile(b.Host))
		if err != nil {
			return err
		}
		for i, h := range first.ControlHosts {
			n.ControlHosts[i].Peer = relayAddresses[h.Host]
		}
		if n.Advertise.Peer, err = r.addUDP(n.Listen.Peer, wg); err != nil {
			return err
		}
		t, err := relay.ListenTCP(ctx, "127.0.0.1:0", n.Listen.Call)
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, t)
		wg.Go(func() { t.Run(ctx) })
		n.Advertise.Call = t.Addr()
		if err := e.saveSettings(b.Host, n); err != nil {
			return err
		}
	}
	return nil
}

// settingsFile returns the path of the settings file of a process.
func (e *env) settingsFile(host model.HostID) string {
	return filepath.Join(e.dir, string(host)+".json")
}

// saveSettings writes the settings file of a process.
func (e *env) saveSettings(host model.HostID, v any) error {
	b, err := strictjson.MarshalIndent(v)
	if err != nil {
		return err
	}
	return os.WriteFile(e.settingsFile(host), b, 0o600)
}

const (
	// recoveryTimeout is the time within which every blackholed connection must be
	// replaced: the idle timeout, a connection set-up and one backoff.
	recoveryTimeout = 6 * time.Second
	// blackholeRounds is the number of times the open connections are blackholed.
	blackholeRounds = 2
)

// blackholeConnections drops all traffic of the open connections without closing them,
// twice. Requests must be answered again, and a note must be in force on all nodes,
// within recoveryTimeout.
func blackholeConnections(e *env) error {
	for _, s := range append(backendSpecs("ledger", "v1", ledgerDataCentres), backendSpecs("roster", "v1", allDataCentres)...) {
		if _, err := e.Add(s); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(e.ctx)
	var wg sync.WaitGroup
	r := &relays{}
	defer func() {
		e.endLoad()
		cancel()
		for _, u := range r.udp {
			u.Close()
		}
		wg.Wait()
	}()
	if err := r.insert(ctx, e, &wg); err != nil {
		return err
	}
	if err := e.startAll(); err != nil {
		return err
	}
	entries, _ := e.entryNodes()
	e.startLoad(entries)
	c, err := e.client()
	if err != nil {
		return err
	}
	for round := range blackholeRounds {
		time.Sleep(3 * time.Second)
		if err := e.blackholeOnce(c, r, round+2); err != nil {
			return err
		}
	}
	e.endLoad()
	return nil
}

// blackholeOnce runs one round: it blackholes the open connections, publishes the note
// with the given number and measures the recovery.
func (e *env) blackholeOnce(c *operator.Client, r *relays, number int) error {
	began := time.Now()
	second := int64(time.Since(e.reportStart) / time.Second)
	tcp, udp := r.blackhole()
	e.logProgress("dropping all traffic of %d TCP connections and %d UDP flows", tcp, udp)
	res, err := e.publish(c, operator.NewOperationID(), smallNote(number, "while connections are silent"))
	if err != nil {
		return err
	}
	entries, _ := e.entryNodes()
	wrote, err := timeUntil(recoveryTimeout, func() error { return sendWrite(e, entries[number%len(entries)].CallerURL) })
	if err != nil {
		return fmt.Errorf("no write ran within %s: %w", recoveryTimeout, err)
	}
	err = demo.Eventually(recoveryTimeout, func() error { return e.checkAllRoute(res.Position.Index) })
	converged := time.Since(began)
	if err != nil {
		return fmt.Errorf("note not in force everywhere within %s: %w", recoveryTimeout, err)
	}
	time.Sleep(time.Until(began.Add(recoveryTimeout + time.Second)))
	last := time.Duration(0)
	var missed int64
	for _, f := range e.report.Flows() {
		missed += notOK(f)
		if n := lastSecondNotOK(f); n >= second {
			last = max(last, time.Duration(n+1-second)*time.Second)
		}
	}
	e.addFigure("%d+%d connections blackholed: first write after %s, note in force on all nodes within %s, last request not answered in time within %s, %d in all",
		tcp, udp, seconds(wrote), seconds(converged), last, missed)
	if last > recoveryTimeout {
		return fmt.Errorf("requests still not answered in time after %s", last)
	}
	return nil
}
