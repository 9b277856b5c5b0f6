package control

import (
	"context"
	"slices"
	"time"

	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/tolerance"
)

// mayVote reports whether a learner should become a voter. Hosts that no longer
// respond hold no place, so that a learner of their data centre replaces them. It
// implements replog.Config.MayVote.
func (c *Control) mayVote(learner replog.Member, members replog.Members) bool {
	var hosts []tolerance.Voter
	now := time.Now()
	for _, m := range members {
		if !c.leaderWork.responds(now, m.Host) {
			continue
		}
		h, ok := c.machine.Host(m.Host)
		if !ok || h.DataCentre == "" {
			return true // a founding voter has not recorded its data centre yet
		}
		hosts = append(hosts, tolerance.Voter{Host: m.Host, DataCentre: h.DataCentre, Votes: m.Voter})
	}
	return slices.ContainsFunc(tolerance.Assign(hosts, c.cfg.Tolerate), func(v tolerance.Voter) bool { return v.Host == learner.Host })
}

// survivedLosses returns what the voters of group 0 survive, and false while the data
// centre of one of them is not known.
func (c *Control) survivedLosses(members replog.Members) (tolerance.Losses, bool) {
	var voters []tolerance.Voter
	for _, m := range members {
		if !m.Voter {
			continue
		}
		h, ok := c.findHost(m.Host)
		if !ok || h.DataCentre == "" {
			return tolerance.Losses{}, false
		}
		voters = append(voters, tolerance.Voter{Host: m.Host, DataCentre: h.DataCentre})
	}
	return tolerance.Survived(voters), len(voters) > 0
}

// reportTolerance logs what the control group survives at each change of its voters.
func (c *Control) reportTolerance(ctx context.Context) error {
	var last tolerance.Losses
	known := false
	for {
		st, changed := c.configLog.Watch()
		if survives, ok := c.survivedLosses(st.Members); ok && st.MembersCommitted && (!known || survives != last) {
			known, last = true, survives
			if survives.Covers(c.cfg.Tolerate) {
				c.log.Info("control group survives the losses that the settings state", "voters", st.Members.Voters(), "survives", survives.String())
			} else {
				c.log.Warn("control group survives fewer losses than the settings state", "voters", st.Members.Voters(),
					"survives", survives.String(), "stated", c.cfg.Tolerate.String(), "acknowledged_by", st.Members.Voters()/2+1)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
