package soak

// regressions are the seeds that failed once, with the cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{7, "the soak appended bytes to a log that no crash leaves, and the control host refused it as damaged; zeros since then"},
}

// Regressions returns the seeds that failed once.
func Regressions() []uint64 {
	var out []uint64
	for _, r := range regressions {
		out = append(out, r.seed)
	}
	return out
}
