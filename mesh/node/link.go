package node

import (
	"context"
	"io"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/link"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/routing"
)

// reasonLinkFull is the reason of a refusal because the link of this host could not carry
// the answer in time.
const reasonLinkFull = "link of the host is full"

// ownServerLoad is the load of the backend server on this host, as a fraction of its limit,
// up to which downloads that enter here go to it: they use no link. A call that waits for
// a slot is better off at another server.
const ownServerLoad = 0.9

// linkRefuses decides whether the answer to a download of another node would come too late
// because of this host's link. timeLeft is the time to its latency target, or to its
// deadline if it has none.
func (s *serving) linkRefuses(ctx context.Context, from peer.Identity, req *callmux.Request) (retryAfter time.Duration, refuses bool) {
	if from == s.self || req.Kind != model.KindDownload {
		return 0, false
	}
	timeLeft := req.TimeToLatencyTarget
	if timeLeft == 0 {
		timeLeft = remainingTime(ctx)
	}
	ok, retryAfter := s.link.Admit(timeLeft)
	return retryAfter, !ok
}

// forwardOverLink is forward for a request of another node: its answer shares this host's
// link with other answers.
func (s *serving) forwardOverLink(ctx context.Context, req *callmux.Request, release func(admission.Outcome)) *callmux.Response {
	var reservation *link.Reservation
	if req.Kind == model.KindDownload {
		reservation = s.link.Reserve(time.Now())
	}
	resp := s.forward(ctx, req, false, release)
	if resp.Refusal != nil {
		reservation.Cancel()
		return resp
	}
	size := bodySize(resp.BodyLength)
	reservation.Begin(time.Now(), size)
	resp.Body = s.link.Pace(ctx, resp.Body, size)
	return resp
}

// bodySize returns the length of a body as package link takes it: -1 if it is not known.
func bodySize(length int64) int64 {
	if length <= 0 {
		return -1
	}
	return length
}

// paceRequest paces the body of a request to another node. What is left of it is not
// counted as queued, because a body that is not read to its end is not closed.
func (d *dispatcher) paceRequest(ctx context.Context, req *callmux.Request) {
	if req.Body == nil || req.BodyLength > 0 && req.BodyLength <= link.MaxUnpacedBytes {
		return
	}
	req.Body = d.link.Pace(ctx, io.NopCloser(req.Body), -1)
}

// chooseOwnServer chooses the backend server on this host for a download, if it has room,
// with the picker of this node or a snapshot of it.
func (d *dispatcher) chooseOwnServer(now time.Time, p *routing.Picker, kind model.Kind, service model.ServiceName, version model.ServiceVersion, tried []model.HostID) (routing.Choice, bool) {
	if d.link == nil || kind != model.KindDownload || d.local.service != service || d.local.gate.Utilization() >= ownServerLoad {
		return routing.Choice{}, false
	}
	return p.PickHost(now, service, version, d.self.Host, tried)
}
