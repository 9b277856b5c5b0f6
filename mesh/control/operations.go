package control

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/compress"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/telemetry"
)

// Operations are the requests of operators, for a platform adapter with a protocol
// other than that of package operator. Each request can be repeated safely.
type Operations interface {
	// Declare submits a whole configuration; see note.Declare.
	Declare(ctx context.Context, d note.Declare) (note.Result, error)
	// Declared returns the newest accepted declaration. It fails unless the
	// leader confirms its leadership after the call began.
	Declared(ctx context.Context) (note.Declaration, error)
	// StartMove starts to move the traffic of a service to a version; the move
	// is due within the given time.
	StartMove(ctx context.Context, service model.ServiceName, to model.ServiceVersion, within time.Duration) error
	// Move returns the newest move of a service, confirmed as in Declared.
	Move(ctx context.Context, service model.ServiceName) (rollout.Status, error)
	// TakeOut takes a data centre out of service.
	TakeOut(ctx context.Context, dc model.DataCentre) error
	// Return starts to take a data centre back into service.
	Return(ctx context.Context, dc model.DataCentre) error
}

// documentPacker compresses the documents of declarations. They are repetitive,
// and every control host keeps them in its replicated state.
var documentPacker = compress.New(compress.Config{MaxDecodedBytes: maxDocumentBytes, Window: 1 << 20, Fast: true})

// maxDocumentBytes is the maximum size of a decompressed document.
const maxDocumentBytes = 64 << 20

// platformAdapterOperator is the operator name that the audit records for commands of
// a platform adapter, which does not name its operators.
const platformAdapterOperator model.OperatorName = "front-end"

// servePlatformAdapter serves the operator interface of a platform adapter until ctx ends.
func (c *Control) servePlatformAdapter(ctx context.Context, l net.Listener) error {
	return c.serveHTTP(ctx, l, c.operatorHandler(c))
}

// serveAdmin serves the metrics on the listen.admin address until ctx ends.
func (c *Control) serveAdmin(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", c.cfg.Listen.Admin)
	if err != nil {
		return eris.Wrapf(ErrStart, "listen.admin: %v", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler())
	return c.serveHTTP(ctx, l, mux)
}

// serveHTTP serves HTTP without TLS on a listener until ctx ends.
func (c *Control) serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	passThrough := func(http.Handler) http.Handler { return h }
	// Without an explicit address, kratos lists the network interfaces of the host.
	srv := khttp.NewServer(khttp.Listener(l), khttp.Address(l.Addr().String()), khttp.Timeout(0), khttp.Filter(passThrough))
	srv.ReadHeaderTimeout = c.cfg.Timeouts.Request
	defer context.AfterFunc(ctx, func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Timeouts.Shutdown)
		defer cancel()
		if err := srv.Stop(stopCtx); err != nil {
			c.log.Warn("HTTP server did not stop within the shutdown timeout", "reason", err.Error())
		}
	})()
	if err := srv.Start(ctx); err != nil && ctx.Err() == nil {
		return eris.Wrapf(ErrStart, "serve %s: %v", l.Addr(), err)
	}
	return ctx.Err()
}

// submitPlatformAdapter submits a command in the name of the platform adapter and returns a
// refusal as an error.
func (c *Control) submitPlatformAdapter(ctx context.Context, cmd note.Command) (note.Result, error) {
	cmd.Operator = platformAdapterOperator
	r, err := c.submit(ctx, cmd)
	if err != nil {
		return note.Result{}, operatorError(err)
	}
	return r, r.Err()
}

// Declare implements Operations.
func (c *Control) Declare(ctx context.Context, d note.Declare) (note.Result, error) {
	d.Document = documentPacker.Compress(d.Document)
	return c.submitPlatformAdapter(ctx, note.Command{Declare: &d})
}

// readConfirmed calls read with a state that includes everything accepted
// before the call, as confirmed by the leader.
func (c *Control) readConfirmed(ctx context.Context, read func(*note.State, *rollout.State) error) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.catchUp(ctx); err != nil {
		return operatorError(err)
	}
	var err error
	c.machine.View(func(n *note.State, r *rollout.State) { err = read(n, r) })
	return err
}

// Declared implements Operations.
func (c *Control) Declared(ctx context.Context) (note.Declaration, error) {
	var d note.Declaration
	err := c.readConfirmed(ctx, func(n *note.State, _ *rollout.State) error {
		d = n.Declared()
		return nil
	})
	if err != nil || len(d.Document) == 0 {
		return d, err
	}
	if d.Document, err = documentPacker.Decompress(d.Document); err != nil {
		return d, eris.Wrapf(ErrCorrupt, "document of version %d: %v", d.Version, err)
	}
	return d, nil
}

// Move implements Operations.
func (c *Control) Move(ctx context.Context, service model.ServiceName) (rollout.Status, error) {
	var st rollout.Status
	err := c.readConfirmed(ctx, func(_ *note.State, r *rollout.State) error {
		var ok bool
		if st, ok = r.Current(service); !ok {
			return eris.Wrapf(operator.ErrNotFound, "no move of service %q", service)
		}
		return nil
	})
	return st, err
}

// StartMove implements Operations. The note with the move gets the next free
// number. If another note takes that number first, StartMove builds a new
// command.
func (c *Control) StartMove(ctx context.Context, service model.ServiceName, to model.ServiceVersion, within time.Duration) error {
	for {
		cmd, err := c.moveCommand(ctx, service, to, within)
		if err != nil || cmd == nil {
			return err
		}
		_, err = c.submitPlatformAdapter(ctx, *cmd)
		if err == nil && cmd.Publish != nil || err != nil && !eris.Is(err, note.ErrConflict) {
			return err
		}
		sleep(ctx, submitRetryInterval)
		if ctx.Err() != nil {
			return eris.Wrapf(operator.ErrUnavailable, "%v", ctx.Err())
		}
	}
}

// moveCommand returns the next command for a move, or nil if the service
// already moves or has moved to the version. The command publishes a note with
// the move. For a service without shares it first gives all traffic to another
// version, because a move of a service without shares names its first version
// and starts no rollout.
func (c *Control) moveCommand(ctx context.Context, service model.ServiceName, to model.ServiceVersion, within time.Duration) (cmd *note.Command, err error) {
	err = c.readConfirmed(ctx, func(s *note.State, r *rollout.State) error {
		if _, ok := s.Config().Services[service]; !ok {
			return eris.Wrapf(operator.ErrNotFound, "service %q", service)
		}
		if st, ok := r.Current(service); ok && st.Move.To == to {
			return nil
		}
		if len(s.Config().Shares[service]) == 0 {
			shares := c.announcedShares(service, to)
			if shares == nil {
				return eris.Wrapf(operator.ErrUnavailable, "service %q has no backend server of another version yet", service)
			}
			cmd = &note.Command{SetShares: &note.SetShares{Service: service, Shares: shares}}
			return nil
		}
		cmd = &note.Command{Publish: &note.Publish{Note: note.Note{
			Number: s.Head() + 1, Title: "move of " + string(service) + " to " + string(to),
			Moves: []note.Move{{Service: service, To: to, By: time.Now().Add(within), WatchFor: platformAdapterWatchFor}},
		}}}
		return nil
	})
	return cmd, err
}

// platformAdapterWatchFor is how long a move that a platform adapter starts is watched after
// its completion. It is 0 because the platform stops the old version at
// completion, so that the traffic cannot move back.
const platformAdapterWatchFor = 0

// announcedShares returns shares that give all traffic to the version that most
// serving backend servers of the service announce, not counting the version
// except; nil if there is none.
func (c *Control) announcedShares(service model.ServiceName, except model.ServiceVersion) note.Shares {
	counts := map[model.ServiceVersion]int{}
	var best model.ServiceVersion
	for _, a := range c.endpoints.Service(service) {
		if a.State != membership.StateServing || a.Version == except {
			continue
		}
		counts[a.Version]++
		if best == "" || counts[a.Version] > counts[best] || counts[a.Version] == counts[best] && a.Version < best {
			best = a.Version
		}
	}
	if best == "" {
		return nil
	}
	return note.Shares{best: model.ShareAll}
}

// TakeOut implements Operations.
func (c *Control) TakeOut(ctx context.Context, dc model.DataCentre) error {
	return c.submitDataCentre(ctx, dc, note.Command{TakeOut: &note.TakeOut{DataCentre: dc}})
}

// Return implements Operations.
func (c *Control) Return(ctx context.Context, dc model.DataCentre) error {
	return c.submitDataCentre(ctx, dc, note.Command{BeginReturn: &note.BeginReturn{DataCentre: dc}})
}

func (c *Control) submitDataCentre(ctx context.Context, dc model.DataCentre, cmd note.Command) error {
	if !slices.Contains(c.cfg.DataCentres, dc) {
		return eris.Wrapf(operator.ErrNotFound, "data centre %q", dc)
	}
	_, err := c.submitPlatformAdapter(ctx, cmd)
	return err
}
