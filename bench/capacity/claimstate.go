package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"balsamtrail.org/mesh/claim"
)

// ClaimState measures the replicated state of one claim group as a function of its
// number of records: memory, snapshot and the processor time to apply a write.
func ClaimState(w io.Writer, sizes []int, repeat int) error {
	p := newSeriesSet("records")
	for range repeat {
		for _, n := range sizes {
			if err := measureClaimState(p, n); err != nil {
				return err
			}
		}
	}
	return p.write(w, targetClaimRecords)
}

func measureClaimState(p *seriesSet, n int) error {
	before := liveHeapBytes()
	s := claim.NewState()
	now := time.Now()
	start := ownCPU()
	for i := range n {
		if err := claimAndComplete(s, i, now); err != nil {
			return err
		}
	}
	x := float64(n)
	p.add("claim and completion applied", "µs", x, micros(ownCPU()-start, n))
	p.add("claim state heap", "B", x, liveHeapBytes()-before)
	var snapshot []byte
	var err error
	p.add("claim state snapshot", "ms", x, microsPerRun(1, func() { snapshot, err = s.Snapshot() })/1e3)
	if err != nil {
		return err
	}
	p.add("claim state snapshot size", "B", x, float64(len(snapshot)))
	p.add("claim state restore", "ms", x, microsPerRun(1, func() { err = claim.NewState().Restore(snapshot) })/1e3)
	runtime.KeepAlive(s)
	return err
}

// claimAndComplete applies the two commands of one write to the state, decoded from
// their encoded form as the log's apply loop does.
func claimAndComplete(s *claim.State, i int, now time.Time) error {
	key := fmt.Sprintf("%d-capacity-%020d", now.Unix(), i)
	token := fmt.Sprintf("%026d", i)
	limits := claim.Limits{Claims: 1 << 30, Bytes: 1 << 40}
	answer := claim.NewAnswer(200, nil, make([]byte, claimBodyBytes))
	commands := []claim.Command{
		{Op: claim.OpClaim, Key: key, Token: token, Time: claim.InstantOf(now), Digest: claim.DigestOf([]byte(key)), Route: claimRoute,
			Owner: "service-0000-v1-00001", Incarnation: 1, RunDeadline: claim.InstantOf(now.Add(time.Minute)), Limits: limits},
		{Op: claim.OpComplete, Key: key, Token: token, Time: claim.InstantOf(now), Answer: &answer, Limits: limits},
	}
	want := []claim.Status{claim.StatusGranted, claim.StatusAnswered}
	for j, c := range commands {
		data, err := claim.EncodeCommand(c)
		if err != nil {
			return err
		}
		decoded, err := claim.DecodeCommand(data)
		if err != nil {
			return err
		}
		if r := s.Apply(decoded, uint64(2*i+j+1)); r.Status != want[j] {
			return fmt.Errorf("command %d of write %d: %s, want %s", j, i, r.Status, want[j])
		}
	}
	return nil
}
