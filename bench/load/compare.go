package load

import (
	"fmt"
	"maps"
	"slices"
)

// CompareRuns compares the outcomes that callers received for their writes with the
// runs of each idempotency key, and lists the violations: a write that ran more than
// once, one that was answered but did not run, and one that was refused as not run
// but ran.
func CompareRuns(writes map[string]KeyReport, runs map[string]int) []string {
	var violations []string
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		if n := runs[key]; n > 1 {
			violations = append(violations, fmt.Sprintf("write %s ran %d times", key, n))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(writes)) {
		write := writes[key]
		if write.OK && runs[key] == 0 {
			violations = append(violations, fmt.Sprintf("write %s was answered and did not run", key))
		}
		if write.NotRun && runs[key] > 0 {
			violations = append(violations, fmt.Sprintf("write %s was refused as not run and ran", key))
		}
	}
	return violations
}
