package claim

import "fmt"

var opNames = map[Op]string{OpClaim: "claim", OpComplete: "complete", OpRelease: "release", OpMarkUnknown: "mark-unknown"}

// String returns the name used in metrics.
func (o Op) String() string {
	if n, ok := opNames[o]; ok {
		return n
	}
	return fmt.Sprintf("op(%d)", uint8(o))
}

var statusNames = map[Status]string{
	StatusGranted: "granted", StatusInProgress: "in-progress", StatusAnswered: "answered", StatusUnknown: "unknown",
	StatusMismatch: "mismatch", StatusExpired: "expired", StatusAhead: "ahead", StatusBadKey: "bad-key",
	StatusFull: "full", StatusReleased: "released", StatusNotOwner: "not-owner", StatusConflict: "conflict",
	StatusDone: "done", StatusBadCommand: "bad-command",
}

// String returns the name used in metrics and errors.
func (s Status) String() string {
	if n, ok := statusNames[s]; ok {
		return n
	}
	return fmt.Sprintf("status(%d)", uint8(s))
}
