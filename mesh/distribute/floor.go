package distribute

import (
	"context"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// minFloorPeers is the minimum number of peers whose answers can determine a
// floor.
const minFloorPeers = 3

// FloorAnswer is the position that one process returned to AskPosition.
type FloorAnswer struct {
	From     peer.Identity
	Position model.Position
	// Confirmed says that Position includes everything accepted before the
	// request.
	Confirmed bool
	// Own is the process's record of the asking host, which may be from before its
	// restart; nil if there is none.
	Own *membership.Announcement
}

// Floor returns the lowest position that a restarted node may route by. It is
// the highest position of the control hosts if one of their answers is
// confirmed or a quorum of them has answered. Otherwise it is the highest
// position in all answers, provided that at least half of the reachable peers
// and at least minFloorPeers of them have answered. ok is false while there are
// too few answers. Each host counts once.
func Floor(answers []FloorAnswer, controlHosts, reachablePeers int) (floor model.Position, ok bool) {
	controls, peers := map[model.HostID]struct{}{}, map[model.HostID]struct{}{}
	var fromControls, fromPeers model.Position
	for _, a := range answers {
		if a.From.Role == peer.RoleControl {
			controls[a.From.Host] = struct{}{}
			fromControls = laterPosition(fromControls, a.Position)
			ok = ok || a.Confirmed
			continue
		}
		peers[a.From.Host] = struct{}{}
		fromPeers = laterPosition(fromPeers, a.Position)
	}
	if ok || len(controls) > controlHosts/2 {
		return fromControls, true
	}
	if len(peers) < max((reachablePeers+1)/2, minFloorPeers) {
		return model.Position{}, false
	}
	return laterPosition(fromControls, fromPeers), true
}

func laterPosition(a, b model.Position) model.Position {
	if a.Less(b) {
		return b
	}
	return a
}

// AskPosition requests the position of a process over an exchange stream.
func AskPosition(ctx context.Context, st peer.Stream) (FloorAnswer, error) {
	defer context.AfterFunc(ctx, st.Abort)()
	defer st.Abort()
	reply, err := compare(st, compareFrame{Confirm: true})
	if err != nil {
		return FloorAnswer{}, err
	}
	a := FloorAnswer{From: st.Peer(), Position: reply.Position, Confirmed: reply.Confirmed}
	if reply.Own != nil && reply.Own.Check() == nil {
		a.Own = reply.Own
	}
	return a, nil
}
