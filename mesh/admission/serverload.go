package admission

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// ServerLoad is the load that a backend server states in an answer.
type ServerLoad struct {
	// Running and Waiting are the numbers of its running and queued requests.
	Running, Waiting int
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Slowness is how long work takes on its machine at the moment, 100 being usual; 0 if
	// it is not stated.
	Slowness int
}

// errServerLoad is returned for a stated load that is malformed or impossible.
var errServerLoad = errors.New("not a load of a backend server")

// maxStatedRequests bounds the numbers in a stated load. It is far above what a backend
// server can hold, so that a greater number is an error.
const maxStatedRequests = 100_000

// maxSlowness bounds the stated slowness.
const maxSlowness = 10_000

// ParseServerLoad parses a load of the form "running,waiting,slots", which may be followed
// by ",slowness".
func ParseServerLoad(text string) (ServerLoad, error) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 && len(fields) != 4 {
		return ServerLoad{}, errServerLoad
	}
	var n [4]int
	for i, f := range fields {
		v, err := strconv.Atoi(strings.TrimSpace(f))
		if err != nil || v < 0 || v > maxStatedRequests {
			return ServerLoad{}, errServerLoad
		}
		n[i] = v
	}
	l := ServerLoad{Running: n[0], Waiting: n[1], Slots: n[2], Slowness: n[3]}
	if l.Slots == 0 || l.Running > l.Slots {
		return ServerLoad{}, errServerLoad
	}
	if len(fields) == 4 && (l.Slowness < 1 || l.Slowness > maxSlowness) {
		return ServerLoad{}, errServerLoad
	}
	return l, nil
}

const (
	// loadWindow is the time over which the least number of unknown requests counts.
	// Answers overtake each other, so that a single one may state requests whose end
	// the gate knows already. A longer window is surer, a shorter one tells sooner.
	loadWindow = 250 * time.Millisecond
	// maxLoadAge is how long a stated load counts without a newer one.
	maxLoadAge = time.Second
)

// unknownLoad is the number of requests that the backend server states and the gate does
// not know: those that a former process of this node sent, or whose callers have left
// while the server works on. The zero value is ready for use.
type unknownLoad struct {
	windowStart, last time.Time
	// least is the least number in the current window, previous that in the one before.
	least, previous int
}

// observe takes a stated load while the gate has inFlight requests at the server.
func (u *unknownLoad) observe(now time.Time, l ServerLoad, inFlight int) {
	n := max(l.Running+l.Waiting-inFlight, 0)
	switch {
	case now.Sub(u.last) > maxLoadAge:
		*u = unknownLoad{windowStart: now, least: n}
	case now.Sub(u.windowStart) > loadWindow:
		u.windowStart, u.previous, u.least = now, u.least, n
	default:
		u.least = min(u.least, n)
	}
	u.last = now
}

// stated reports whether the backend server states its load.
func (u *unknownLoad) stated(now time.Time) bool { return now.Sub(u.last) <= maxLoadAge }

// requests returns the number of unknown requests, 0 if it is not known to last.
func (u *unknownLoad) requests(now time.Time) int {
	if !u.stated(now) {
		return 0
	}
	return min(u.least, u.previous)
}
