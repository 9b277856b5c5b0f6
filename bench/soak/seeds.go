package soak

// regressions lists the seeds that once failed, with the cause of the failure.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{7, "the soak appended bytes to a log that no crash leaves, and the control host refused the log as damaged; the soak appends zeros since then"},
	{123, "a node was paused after another injection had killed it; such a pause has no effect since then"},
	{150, "two injections ended and restarted one node, so that two instances competed for its addresses"},
}

// RegressionSeeds returns the seeds that once failed.
func RegressionSeeds() []uint64 {
	var out []uint64
	for _, r := range regressions {
		out = append(out, r.seed)
	}
	return out
}
