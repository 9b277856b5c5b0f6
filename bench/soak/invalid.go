package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"balsamtrail.org/bench/standin"
)

const (
	// invalidPercent is the percentage of invalid answers of a stand-in that sends them.
	invalidPercent = 20
	// minInvalidTime and maxInvalidTime bound the time for which a stand-in sends them.
	minInvalidTime, maxInvalidTime = 300 * time.Millisecond, 1500 * time.Millisecond
)

// sendInvalidAnswers lets one backend server after the other send invalid answers, beside the
// faults of the plan, until ctx ends. It is no fault of the plan, so that the plans of the seeds
// that once failed stay as they were. A caller that gets such an answer has a wrong one.
func (r *run) sendInvalidAnswers(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.Seed, 18))
	for ctx.Err() == nil {
		s := r.fleet.Servers[rng.IntN(len(r.fleet.Servers))]
		length := minInvalidTime + time.Duration(rng.Int64N(int64(maxInvalidTime-minInvalidTime)))
		url := fmt.Sprintf("http://%s/_standin/invalid?%s=%d&%s=%d", s.BackendAddress, standin.ParamShare, invalidPercent, standin.ParamFor, length.Milliseconds())
		if err := post(url); err == nil { // else it is stopped or paused
			r.logProgress("%s: backend server sends invalid answers", s.Host)
		}
		sleep(ctx, length)
	}
}
