package claim

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// Peer methods that control hosts serve to nodes.
const (
	MethodClaim    = "claim.claim"
	MethodComplete = "claim.complete"
	MethodRelease  = "claim.release"
)

// maxRunTimeout bounds the run timeout of a claim, so that a faulty request
// cannot keep a key in progress for its whole lifetime. It is no less than the
// greatest route timeout that a configuration accepts.
const maxRunTimeout = 10 * time.Minute

// Proposer appends encoded commands to a replicated log. Propose returns the
// result of State.Apply.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (any, error)
}

// Group is the local replica of one claim group on a control host.
type Group struct {
	Log Proposer
	// State is the table that the log applies commands to; the service only reads it.
	State *State
}

// ServiceConfig is the configuration of a Service.
type ServiceConfig struct {
	// Groups holds the claim groups by number, from 1. Every process must have
	// the same number of groups.
	Groups map[uint32]Group
	// NotLeader reports whether an error of Propose says that this host does not
	// lead the group, and returns the leader if known. After any other error the
	// outcome of the proposal is unknown.
	NotLeader func(error) (model.HostID, bool)
	Limits    Limits
	// SweepInterval is the time between two checks for claims past their run
	// deadline. With a longer one, a write whose entry node crashed is reported
	// as in progress for longer.
	SweepInterval time.Duration
	Now           func() time.Time
	Log           *slog.Logger
}

// Service handles the claim requests of nodes on a control host. It has no
// state of its own.
type Service struct{ cfg ServiceConfig }

// NewService returns a service for the groups.
func NewService(cfg ServiceConfig) *Service {
	if cfg.Limits == (Limits{}) {
		cfg.Limits = DefaultLimits
	}
	if cfg.SweepInterval == 0 {
		cfg.SweepInterval = time.Second
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Service{cfg: cfg}
}

// Register registers the claim methods at the endpoint; only nodes may call them.
func (s *Service) Register(e *peer.Endpoint) {
	nodes := []peer.Role{peer.RoleNode}
	peer.HandleCall(e, MethodClaim, nodes, s.handler(OpClaim))
	peer.HandleCall(e, MethodComplete, nodes, s.handler(OpComplete))
	peer.HandleCall(e, MethodRelease, nodes, s.handler(OpRelease))
}

func (s *Service) handler(op Op) func(context.Context, peer.Identity, Request) (Response, error) {
	return func(ctx context.Context, from peer.Identity, req Request) (Response, error) {
		return s.Handle(ctx, from, op, req), nil
	}
}

// Handle proposes the command of one request and waits for its result.
func (s *Service) Handle(ctx context.Context, from peer.Identity, op Op, req Request) Response {
	g, ok := s.cfg.Groups[req.Group]
	if !ok || GroupOf(req.Key, uint32(len(s.cfg.Groups))) != req.Group {
		return Response{Refused: "the key does not belong to this group"}
	}
	if req.RunTimeout < 0 || req.RunTimeout > maxRunTimeout {
		return Response{Refused: "lifetime out of range"}
	}
	now := InstantOf(s.cfg.Now())
	resp := s.propose(ctx, g, Command{
		Op: op, Key: req.Key, Time: now, Token: req.Token, Digest: req.Digest, Route: req.Route,
		Owner: from.Host, Incarnation: req.Incarnation, RunDeadline: now.add(req.RunTimeout),
		Limits: s.cfg.Limits, Answer: req.Answer, Reason: req.Reason,
	})
	if op == OpComplete {
		resp.Result.Answer = nil // saves bytes: the owner has just sent its answer
	}
	return resp
}

func (s *Service) propose(ctx context.Context, g Group, c Command) Response {
	data, err := EncodeCommand(c)
	if err != nil {
		return Response{Refused: err.Error()}
	}
	out, err := g.Log.Propose(ctx, data)
	if err != nil {
		if leader, not := s.cfg.NotLeader(err); not {
			return Response{NotLeader: true, Leader: leader}
		}
		return Response{Uncertain: err.Error()}
	}
	result, ok := out.(Result)
	if !ok {
		return Response{Uncertain: "the log returned no claim result"}
	}
	telemetry.Counter("claim." + c.Op.String() + "." + result.Status.String()).Inc(1)
	return Response{Result: result}
}

// Run marks claims past their run deadline as unknown in the groups that this
// host leads, until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	t := time.NewTicker(s.cfg.SweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.sweep(ctx)
		}
	}
}

func (s *Service) sweep(ctx context.Context) {
	now := InstantOf(s.cfg.Now())
	for number, g := range s.cfg.Groups {
		if g.State.HasOverdueClaim(now) {
			s.proposeUnknown(ctx, number, g, Command{Op: OpMarkUnknown, Time: now})
		}
	}
}

// MarkOwnerUnknown marks the claims in progress of an owner as unknown, for all its
// incarnations up to the given one, which must have ended. It may be called on
// any control host; only the leader of a group proposes. It returns
// ErrUnavailable if the outcome of a proposal is unknown.
func (s *Service) MarkOwnerUnknown(ctx context.Context, owner model.HostID, incarnation uint64) error {
	now := InstantOf(s.cfg.Now())
	for number, g := range s.cfg.Groups {
		if !g.State.HasClaimOf(owner, incarnation) {
			continue
		}
		c := Command{Op: OpMarkUnknown, Time: now, Owner: owner, Incarnation: incarnation}
		if r := s.proposeUnknown(ctx, number, g, c); r.Uncertain != "" {
			return eris.Wrapf(ErrUnavailable, "group %d: %s", number, r.Uncertain)
		}
	}
	return nil
}

func (s *Service) proposeUnknown(ctx context.Context, number uint32, g Group, c Command) Response {
	r := s.propose(ctx, g, c)
	if r.Result.Marked > 0 {
		s.cfg.Log.Warn("claims marked as outcome unknown", "group", number, "claims", r.Result.Marked,
			"owner", string(c.Owner), "incarnation", c.Incarnation)
	}
	return r
}
