package admission

import (
	"slices"
	"time"
)

const (
	// abandonedQuantile is the quantile of the service time after which an abandoned request
	// counts as ended.
	abandonedQuantile = 0.9
	// maxAbandonedTime bounds for how long a request counts after it was abandoned because
	// of the mean service time, which a stalled server raises without limit.
	maxAbandonedTime = 2 * time.Second
)

// abandoned holds the requests whose callers have left, or whose deadline has passed, while
// the backend server may still run them. Without them the gate would send more requests than
// the server has slots, up to its own queue, and a server that does not respond when it is
// full would never respond to what is sent next.
type abandoned struct {
	// ends holds when the server is expected to have ended them, in order.
	ends []time.Time
}

// add adds a request that the server is expected to have ended at the given time.
func (a *abandoned) add(end time.Time) {
	i, _ := slices.BinarySearchFunc(a.ends, end, time.Time.Compare)
	a.ends = slices.Insert(a.ends, i, end)
}

// requests returns how many of them the server still runs.
func (a *abandoned) requests(now time.Time) int {
	ended := 0
	for ended < len(a.ends) && !now.Before(a.ends[ended]) {
		ended++
	}
	a.ends = slices.Delete(a.ends, 0, ended)
	return len(a.ends)
}

// last returns when the last of them is expected to have ended; zero without any.
func (a *abandoned) last() time.Time {
	if len(a.ends) == 0 {
		return time.Time{}
	}
	return a.ends[len(a.ends)-1]
}
