package claim

import (
	"context"
	"crypto/rand"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// PeerCaller makes unary calls to peers; *peer.Endpoint implements it.
type PeerCaller interface {
	Call(ctx context.Context, addr string, want peer.Identity, name string, req, resp any) error
}

// ControlHost is a control host and the address of its peer endpoint.
type ControlHost struct {
	Host    model.HostID
	Address string
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	PeerCaller PeerCaller
	// Hosts returns the control hosts in order of preference.
	Hosts func() []ControlHost
	// Groups is the number of claim groups; it must be the same in every process.
	Groups uint32
	// Incarnation returns this node's current incarnation.
	Incarnation func() uint64
	// AttemptTimeout bounds one call to one control host. With a longer one, a host
	// that does not respond delays the next try for longer; a shorter one repeats
	// requests when commits are slow.
	AttemptTimeout time.Duration
	// MaxPendingReleases bounds the queued background releases of each group.
	// If the queue is full, a release is dropped, and its claim becomes "outcome
	// unknown" at its run deadline.
	MaxPendingReleases int
	Log                *slog.Logger
}

// Grant is the right to run one write once, until Deadline.
type Grant struct {
	Key   string
	Token string
	Group uint32
	// Deadline is the run deadline by this node's clock. The write must not be
	// started after it.
	Deadline time.Time
	digest   Digest
}

// Client claims keys for a node. mu guards leaders; Run starts one goroutine
// for each group, which sends the background releases.
type Client struct {
	cfg      ClientConfig
	mu       sync.Mutex
	leaders  map[uint32]model.HostID
	releases map[uint32]chan Grant
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = 500 * time.Millisecond
	}
	if cfg.MaxPendingReleases == 0 {
		cfg.MaxPendingReleases = 1024
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	c := &Client{cfg: cfg, leaders: map[uint32]model.HostID{}, releases: map[uint32]chan Grant{}}
	for g := uint32(1); g <= cfg.Groups; g++ {
		c.releases[g] = make(chan Grant, cfg.MaxPendingReleases)
	}
	return c
}

// Claim claims the key, which gives the right to run its write once within
// runTimeout. It retries with the same token until ctx or runTimeout ends. After
// an error the write must not be run; NotRun tells whether the write may then be
// reported as not run.
func (c *Client) Claim(ctx context.Context, key string, digest Digest, route model.RouteName, runTimeout time.Duration) (Grant, error) {
	if _, err := KeyTime(key); err != nil {
		return Grant{}, err
	}
	g := Grant{
		Key: key, Token: rand.Text(), Group: GroupOf(key, c.cfg.Groups),
		Deadline: time.Now().Add(runTimeout), digest: digest,
	}
	req := Request{
		Group: g.Group, Key: key, Token: g.Token, Digest: digest, Route: route,
		Incarnation: c.cfg.Incarnation(), RunTimeout: runTimeout,
	}
	ctx, cancel := context.WithDeadline(ctx, g.Deadline)
	defer cancel()
	result, err := c.call(ctx, MethodClaim, req)
	if err == nil {
		err = claimError(result)
	}
	if NotRun(err) {
		// An earlier request of this attempt may still be applied and then hold the claim.
		c.queueRelease(g)
	}
	if err != nil {
		return Grant{}, err
	}
	return g, nil
}

// claimError returns the error for a result other than a grant.
func claimError(r Result) error {
	switch r.Status {
	case StatusGranted:
		return nil
	case StatusAnswered:
		return &AnsweredError{Answer: *r.Answer}
	case StatusInProgress:
		return eris.Wrap(ErrInProgress, "claim")
	case StatusUnknown:
		return eris.Wrap(ErrOutcomeUnknown, "claim")
	case StatusMismatch:
		return eris.Wrap(ErrBodyMismatch, "claim")
	case StatusExpired:
		return eris.Wrap(ErrKeyExpired, "claim")
	case StatusAhead:
		return eris.Wrap(ErrKeyAhead, "claim")
	case StatusBadKey:
		return eris.Wrap(ErrBadKey, "claim")
	case StatusFull:
		return eris.Wrap(ErrFull, "claim")
	default:
		return eris.Wrapf(ErrRefused, "claim: %s", r.Status)
	}
}

// Complete records the answer of a granted write; it retries until ctx ends.
func (c *Client) Complete(ctx context.Context, g Grant, a Answer) error {
	result, err := c.call(ctx, MethodComplete, Request{Group: g.Group, Key: g.Key, Token: g.Token, Digest: g.digest, Answer: &a})
	return updateError(result, err, StatusAnswered)
}

// Release gives a grant back on proof that the write did not run; it retries until ctx ends.
func (c *Client) Release(ctx context.Context, g Grant, reason string) error {
	result, err := c.call(ctx, MethodRelease, Request{Group: g.Group, Key: g.Key, Token: g.Token, Digest: g.digest, Reason: reason})
	return updateError(result, err, StatusReleased)
}

// updateError returns the error of a completion or release that did not end with
// the wanted status. It does not wrap err, because NotRun must not hold for a
// completion that could not be recorded.
func updateError(r Result, err error, want Status) error {
	switch {
	case err != nil:
		return eris.Wrapf(ErrNotRecorded, "want status %s: %v", want, err)
	case r.Status == want:
		return nil
	case r.Status == StatusNotOwner || r.Status == StatusConflict:
		return eris.Wrapf(ErrNotOwner, "want status %s, got %s", want, r.Status)
	default:
		return eris.Wrapf(ErrNotRecorded, "want status %s, got %s", want, r.Status)
	}
}

// call sends the request to the leader of its group, with retries until it has a
// result or ctx ends.
func (c *Client) call(ctx context.Context, method string, req Request) (Result, error) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = 5*time.Millisecond, 200*time.Millisecond
	reason := "no control host known"
	for ctx.Err() == nil {
		tried := map[model.HostID]bool{}
		for _, h := range c.leaderFirst(req.Group) {
			tried[h.Host] = true
			resp, err := c.callHost(ctx, h, method, req)
			switch {
			case err != nil:
				reason = err.Error()
				c.setLeader(req.Group, h.Host, "")
			case resp.Refused != "":
				return Result{}, eris.Wrap(ErrRefused, resp.Refused)
			case resp.NotLeader:
				reason = "no host leads the group"
				c.setLeader(req.Group, h.Host, resp.Leader)
			case resp.Uncertain != "":
				reason = resp.Uncertain
			default:
				c.setLeader(req.Group, "", h.Host)
				return resp.Result, nil
			}
			if resp.Leader != "" && !tried[resp.Leader] {
				break // tries the named leader next
			}
		}
		sleep(ctx, retryDelay.NextBackOff())
	}
	return Result{}, eris.Wrapf(ErrUnavailable, "%s: %s", method, reason)
}

func (c *Client) callHost(ctx context.Context, h ControlHost, method string, req Request) (Response, error) {
	if ctx.Err() != nil {
		return Response{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AttemptTimeout)
	defer cancel()
	var resp Response
	err := c.cfg.PeerCaller.Call(ctx, h.Address, peer.Identity{Role: peer.RoleControl, Host: h.Host}, method, req, &resp)
	return resp, err
}

// leaderFirst returns the control hosts with the last known leader of the group first.
func (c *Client) leaderFirst(group uint32) []ControlHost {
	c.mu.Lock()
	leader := c.leaders[group]
	c.mu.Unlock()
	hosts := slices.Clone(c.cfg.Hosts())
	slices.SortStableFunc(hosts, func(a, b ControlHost) int {
		switch {
		case a.Host == leader && b.Host != leader:
			return -1
		case b.Host == leader && a.Host != leader:
			return 1
		}
		return 0
	})
	return hosts
}

// setLeader records the leader of the group. An empty leader only clears old, or
// any host if old is empty too.
func (c *Client) setLeader(group uint32, old, leader model.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old == "" || leader != "" || c.leaders[group] == old {
		c.leaders[group] = leader
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// queueRelease queues the release of an attempt that will never run the write but
// may hold a grant whose response was lost.
func (c *Client) queueRelease(g Grant) {
	select {
	case c.releases[g.Group] <- g:
	default:
		telemetry.Counter("claim.release-dropped").Inc(1)
	}
}

// Run sends the queued releases until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	eg, ctx := errgroup.WithContext(ctx)
	for _, queue := range c.releases {
		eg.Go(func() error { return c.runReleases(ctx, queue) })
	}
	return eg.Wait()
}

func (c *Client) runReleases(ctx context.Context, queue <-chan Grant) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case g := <-queue:
			c.releaseAttempt(ctx, g)
		}
	}
}

// releaseAttempt retries a release until AttemptTimeout after the claim's run
// deadline; by then the claim becomes "outcome unknown" in any case.
func (c *Client) releaseAttempt(ctx context.Context, g Grant) {
	ctx, cancel := context.WithDeadline(ctx, g.Deadline.Add(c.cfg.AttemptTimeout))
	defer cancel()
	if err := c.Release(ctx, g, "attempt ended before its grant was learned"); err != nil {
		c.cfg.Log.Warn("claim not released", "key", g.Key, "group", g.Group, "reason", err.Error())
	}
}
