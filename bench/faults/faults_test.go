package faults

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
)

func steps(shares ...model.Share) operator.MoveView {
	var v operator.MoveView
	for i, s := range shares {
		v.Steps = append(v.Steps, operator.StepView{At: time.Unix(int64(i), 0), Share: s})
	}
	return v
}

// Guards against a leader-kill scenario that passes although the share of a move
// decreased or accepted steps were replaced.
func TestMoveWatcherFindsChangedSteps(t *testing.T) {
	for name, c := range map[string]struct {
		reads []operator.MoveView
		bad   bool
	}{
		"steps are added":     {[]operator.MoveView{steps(100), steps(100, 500), steps(100)}, false},
		"share falls":         {[]operator.MoveView{steps(100, 500, 100)}, true},
		"a step is replaced":  {[]operator.MoveView{steps(100, 500), steps(100, 600)}, true},
		"first step replaced": {[]operator.MoveView{steps(100, 500), steps(200)}, true},
	} {
		w := &moveWatcher{}
		for _, r := range c.reads {
			w.checkSteps(r)
		}
		if (w.err != nil) != c.bad {
			t.Errorf("%s: %v", name, w.err)
		}
	}
}

// Guards against a misspelt scenario name that runs no scenario and passes.
func TestUnknownScenarioIsRefused(t *testing.T) {
	if _, err := selectScenarios([]string{"herd", "hert"}); err == nil {
		t.Fatal("unknown scenario accepted")
	}
}
