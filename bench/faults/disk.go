package faults

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

const (
	// notesBeforeLoss is the number of notes published before the first disk is lost.
	notesBeforeLoss = 20
	// noQuorumTimeout bounds the attempt to publish a note without a quorum.
	noQuorumTimeout = 4 * time.Second
	// writeTimeout bounds the time until a write runs after the second loss.
	writeTimeout = 10 * time.Second
)

// loseDisks wipes the disk of one control host, replaces it by a control host with a new
// identity, and wipes a second control host right after the repair.
func loseDisks(e *env) error {
	if err := e.startMesh(ledgerDataCentres, allDataCentres); err != nil {
		return err
	}
	entries, others := e.entryNodes()
	e.startLoad(entries)
	c, err := e.client()
	if err != nil {
		return err
	}
	number := 2
	for ; number < 2+notesBeforeLoss; number++ {
		if _, err := e.publish(c, operator.NewOperationID(), smallNote(number, "accepted before the loss")); err != nil {
			return err
		}
	}
	lost, second := e.Controls[1], e.Controls[2]
	if err := e.wipe(lost); err != nil {
		return err
	}
	if err := e.checkWipedHostHasNoVote(lost, second, number); err != nil {
		return err
	}
	began := time.Now()
	if err := e.replaceControlHost("c4", lost); err != nil {
		return err
	}
	repaired := time.Since(began)
	if second, err = e.leaderExcept("c4"); err != nil {
		return err
	}
	second.Kill()
	if err := os.RemoveAll(e.dataDir(second.Host)); err != nil {
		return err
	}
	e.logProgress("%s lost right after the repair", second.Host)
	if err := e.checkAcceptsCommands(number - 1); err != nil {
		return err
	}
	began = time.Now()
	if err := others[0].Node.Stop(); err != nil {
		return err
	}
	if err := others[0].Node.Start(); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, func() error { return e.checkAllRoute(2) }); err != nil {
		return fmt.Errorf("a node restarted after the repair: %w", err)
	}
	e.addFigure("repair took %s; a node stopped and restarted after it routes within %s", seconds(repaired), seconds(time.Since(began)))
	e.endLoad()
	if n := notOK(e.flowReport(lookupFlow)); n > 0 {
		return fmt.Errorf("%d of %d lookups not answered in time", n, e.flowReport(lookupFlow).Sent)
	}
	return nil
}

// leaderExcept returns the leader, or another control host if the leader is the excluded
// host.
func (e *env) leaderExcept(excluded model.HostID) (*demo.ControlHost, error) {
	leader, err := e.Leader()
	if err != nil || leader.Host != excluded {
		return leader, err
	}
	return e.Controls[0], nil
}

func (e *env) dataDir(host model.HostID) string { return filepath.Join(e.dir, string(host)+"-data") }

// wipe kills a control host and removes its data directory.
func (e *env) wipe(c *demo.ControlHost) error {
	c.Kill()
	e.logProgress("%s lost its disk", c.Host)
	return os.RemoveAll(e.dataDir(c.Host))
}

// checkWipedHostHasNoVote starts a control host with an empty disk under its old identity
// while another one is down. The wiped host must not vote, so the two running hosts
// must accept no note and confirm no read. The note that is tried may still be
// accepted after the other host is back.
func (e *env) checkWipedHostHasNoVote(lost, down *demo.ControlHost, number int) error {
	down.Kill()
	if err := lost.Start(); err != nil {
		return err
	}
	c, err := e.client(e.Controls[0], lost)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, noQuorumTimeout)
	defer cancel()
	n, err := note.ParseNote([]byte(smallNote(number, "without a quorum")))
	if err != nil {
		return err
	}
	if _, err := c.Publish(ctx, operator.NewOperationID(), n); err == nil {
		return errors.New("a note was accepted with the vote of a wiped disk")
	}
	a, err := c.Notes(e.ctx, 0, 1)
	if err == nil && a.Read.Confirmed {
		return errors.New("a read was confirmed with the vote of a wiped disk")
	}
	lost.Kill()
	if err := down.Start(); err != nil {
		return err
	}
	return demo.Eventually(startTimeout, func() error { _, err := e.Leader(); return err })
}

// replaceControlHost adds a control host with a new identity and removes the lost one,
// following the procedure in docs/notes/faults.md.
func (e *env) replaceControlHost(id model.HostID, lost *demo.ControlHost) error {
	address, err := e.addControlHost(id, lost)
	if err != nil {
		return err
	}
	if _, err := e.CLI("control-host", "add", string(id), "--data-centre", "bern-altstadt", "--peer", address); err != nil {
		return err
	}
	if _, err := e.CLI("control-host", "remove", string(lost.Host)); err != nil {
		return err
	}
	e.Controls = slices.DeleteFunc(e.Controls, func(c *demo.ControlHost) bool { return c == lost })
	e.logProgress("%s replaces %s", id, lost.Host)
	return nil
}

// addControlHost starts a control host whose settings list it as a non-voter, and
// returns its peer address.
func (e *env) addControlHost(id model.HostID, lost *demo.ControlHost) (string, error) {
	ca, err := peer.OpenDevCA(filepath.Join(e.dir, "ca"))
	if err != nil {
		return "", err
	}
	s, err := settings.LoadControl(e.settingsFile(lost.Host))
	if err != nil {
		return "", err
	}
	files, err := ca.Issue(peer.Identity{Role: peer.RoleControl, DataCentre: s.DataCentre, Host: id})
	if err != nil {
		return "", err
	}
	var ports [2]string
	for i := range ports {
		if ports[i], err = e.FreeAddress(); err != nil {
			return "", err
		}
	}
	s.Host, s.Credentials, s.DataDir = id, files, e.dataDir(id)
	s.Listen = settings.ControlListen{Peer: ports[0], Operator: ports[1]}
	s.OperatorTLS = settings.OperatorTLS{Certificate: files.Certificate, Key: files.Key}
	s.ControlHosts = append(s.ControlHosts, settings.ControlHost{Host: id, DataCentre: s.DataCentre, Peer: ports[0]})
	if err := e.saveSettings(id, s); err != nil {
		return "", err
	}
	h := &demo.ControlHost{
		Process: demo.NewProcess(e.dir, string(id), filepath.Join(e.bin, "balsamtraild"), "control", "--settings", e.settingsFile(id)),
		Host:    id, OperatorAddress: ports[1],
	}
	e.Controls = append(e.Controls, h)
	return ports[0], h.Start()
}

// checkAcceptsCommands checks that no accepted note is lost and that new notes and writes
// are accepted. The newest note must have at least the number accepted.
func (e *env) checkAcceptsCommands(accepted int) error {
	c, err := e.client()
	if err != nil {
		return err
	}
	var st operator.StatusAnswer
	began := time.Now()
	err = demo.Eventually(startTimeout, func() error {
		if st, err = c.Status(e.ctx); err == nil && !st.Read.Confirmed {
			err = errors.New("no read is confirmed")
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("after the second loss: %w", err)
	}
	if st.Status.HeadNote < uint64(accepted) {
		return fmt.Errorf("newest note is %d after the second loss, %d were accepted", st.Status.HeadNote, accepted)
	}
	number := int(st.Status.HeadNote) + 1
	res, err := e.publish(c, operator.NewOperationID(), smallNote(number, "after the second loss"))
	if err != nil {
		return fmt.Errorf("publish after the second loss: %w", err)
	}
	published := time.Since(began)
	a, err := c.Notes(e.ctx, 0, 100)
	if err != nil {
		return err
	}
	if len(a.Notes) != number || !a.Read.Confirmed {
		return fmt.Errorf("%d notes after the second loss, want %d; confirmed %t", len(a.Notes), number, a.Read.Confirmed)
	}
	entries, _ := e.entryNodes()
	for range 4 * len(entries) { // several keys, so that the writes reach all claim groups
		if err := demo.Eventually(writeTimeout, func() error { return sendWrite(e, entries[0].CallerURL) }); err != nil {
			return fmt.Errorf("writes after the second loss: %w", err)
		}
	}
	wrote := time.Since(began)
	if err := demo.Eventually(startTimeout, func() error { return e.checkAllRoute(res.Position.Index) }); err != nil {
		return err
	}
	if took := time.Since(began); took > maxConvergenceTime {
		return fmt.Errorf("the note is in force everywhere only after %s", took)
	}
	e.addFigure("after the second loss a note was accepted in %s, %d writes ran within %s, the note is in force everywhere within %s",
		seconds(published), 4*len(entries), seconds(wrote), seconds(time.Since(began)))
	return nil
}
