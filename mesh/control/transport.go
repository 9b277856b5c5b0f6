package control

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
)

// methodLog is the peer method of the streams that carry messages of the
// replicated logs.
const methodLog = "control.log"

// logOpenTimeout bounds opening a stream to another control host. The sender
// goroutine for that host waits meanwhile, and messages that do not fit its
// queue are dropped.
const logOpenTimeout = 500 * time.Millisecond

// streamKey identifies the stream to one host for one group.
type streamKey struct {
	host  model.HostID
	group uint32
}

// logTransport implements replog.Transport for all groups. Each group has a
// sender goroutine for each host, and each sender writes to a stream of its
// own.
type logTransport struct {
	ep         *peer.Endpoint
	log        *slog.Logger
	ctx        context.Context
	lookupHost func(model.HostID) (HostAddress, bool)

	// mu guards the fields below.
	mu      sync.Mutex
	streams map[streamKey]peer.Stream
	groups  map[uint32]*replog.Log
	// loggedUnknown holds the hosts for which a missing address has been
	// logged.
	loggedUnknown map[model.HostID]bool
}

func newLogTransport(ctx context.Context, ep *peer.Endpoint, log *slog.Logger, find func(model.HostID) (HostAddress, bool)) *logTransport {
	t := &logTransport{ep: ep, log: log, ctx: ctx, lookupHost: find,
		streams: map[streamKey]peer.Stream{}, groups: map[uint32]*replog.Log{}, loggedUnknown: map[model.HostID]bool{}}
	ep.Handle(methodLog, []peer.Role{peer.RoleControl}, t.receive)
	return t
}

// add registers the log that receives the messages of a group.
func (t *logTransport) add(group uint32, l *replog.Log) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.groups[group] = l
}

// Send implements replog.Transport. A message that cannot be sent is dropped.
func (t *logTransport) Send(to model.HostID, m replog.Message) {
	key := streamKey{host: to, group: m.Group}
	st, err := t.stream(key)
	if err != nil {
		t.log.Debug("opening a log stream to control host failed", "peer", string(to), "group", m.Group, "reason", err.Error())
		return
	}
	if err := st.Send(m); err != nil {
		t.log.Info("sending on a log stream to control host failed", "peer", string(to), "group", m.Group, "reason", err.Error())
		t.dropStream(key, st)
	}
}

func (t *logTransport) stream(key streamKey) (peer.Stream, error) {
	t.mu.Lock()
	st := t.streams[key]
	t.mu.Unlock()
	if st != nil && st.Context().Err() == nil {
		return st, nil
	}
	host, ok := t.lookupHost(key.host)
	if !ok {
		t.warnUnknownHost(key.host)
		return nil, eris.Wrapf(ErrUnknownHost, "%s", key.host)
	}
	ctx, cancel := context.WithTimeout(t.ctx, logOpenTimeout)
	defer cancel()
	st, err := t.ep.Open(ctx, host.Peer, host.Identity(), methodLog)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", key.host, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams[key] = st
	return st, nil
}

// warnUnknownHost logs once for each host that its address is not known. A new
// control host whose settings do not list the leader cannot reply to the leader
// and never catches up.
func (t *logTransport) warnUnknownHost(host model.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loggedUnknown[host] {
		t.loggedUnknown[host] = true
		t.log.Warn("control host has no known address; add it to control_hosts in the settings", "peer", string(host))
	}
}

func (t *logTransport) dropStream(key streamKey, st peer.Stream) {
	st.Abort()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.streams[key] == st {
		delete(t.streams, key)
	}
}

// receive delivers the messages of one stream to the logs. A message must come
// from the host that the peer certificate names.
func (t *logTransport) receive(_ context.Context, st peer.Stream) error {
	for {
		var m replog.Message
		if err := st.Recv(&m); err != nil {
			return eris.Wrapf(ErrUnreachable, "log stream: %v", err)
		}
		if m.From != st.Peer().Host {
			return eris.Wrapf(ErrForbidden, "message of %s sent by %s", m.From, st.Peer())
		}
		t.mu.Lock()
		l := t.groups[m.Group]
		t.mu.Unlock()
		if l != nil {
			l.Deliver(m)
		}
	}
}

// allLogs returns the logs of all groups by group number.
func (t *logTransport) allLogs() map[uint32]*replog.Log {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.groups)
}
