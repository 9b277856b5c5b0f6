// Package link shares the outgoing link of a host between the large bodies that its node
// sends to other nodes. It paces them below the rate of the link: a queue in front of the
// link would also delay heartbeats, configuration versions and short answers. It also
// decides whether one more large answer could be sent in time.
//
// The goroutine that sends a body waits for its turn in Read; bodies of at most
// MaxUnpacedBytes are counted and never wait.
package link

import (
	"context"
	"io"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"balsamtrail.org/mesh/telemetry"
)

const (
	// MaxUnpacedBytes is the size up to which a body is sent at once. It is the size of a
	// body that callmux sends in the frame of its head.
	MaxUnpacedBytes = 16 << 10
	// pacedRatio is the part of the link's rate that is given to bodies. The rest is for
	// protocol overhead, control traffic and the answers to this host's own callers.
	pacedRatio = 0.85
	// chunkBytes is the number of bytes that a body sends in one turn.
	chunkBytes = 16 << 10
	// burstBytes is the number of bytes that may be sent at once after a pause.
	burstBytes = 2 * chunkBytes
	// usableTime is the part of the time left that an admitted answer may be expected to
	// need. Bodies share the link, so that each ends later than the queue ahead of it, and
	// sizes vary.
	usableTime = 0.6
	// meanWeight is the weight of the newest transfer in the moving averages of size and
	// service time, which cover about 20 transfers.
	meanWeight = 0.05
)

// Names of the counters of this package.
const (
	// MetricPacedBytes counts the bytes of bodies that were paced.
	MetricPacedBytes = "link.paced_bytes"
	// MetricDeclined counts the requests whose answer the link could not carry in time.
	MetricDeclined = "link.declined"
)

// Link is the outgoing link of a host. A nil *Link paces nothing and admits everything. It
// is safe for concurrent use.
type Link struct {
	limiter *rate.Limiter
	load    load
}

// New returns a link of the given rate in bytes per second; nil if the rate is 0.
func New(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	paced := bytesPerSecond * pacedRatio
	return &Link{limiter: rate.NewLimiter(rate.Limit(paced), burstBytes), load: load{rate: paced}}
}

// load is what the link still has to send. Its decisions depend on no clock and no socket.
type load struct {
	// rate is the rate of paced bodies in bytes per second.
	rate float64

	// mu guards the fields below.
	mu sync.Mutex
	// queued is the number of bytes of bodies that have begun and are not sent yet.
	queued float64
	// expected is the number of large answers that the backend server has not given yet.
	expected int
	// meanSize and meanService are moving averages over large answers: their size in bytes
	// and the time until the backend server has given them; zero before the first one.
	meanSize, meanService float64
}

// admit decides whether a large answer that is wanted within timeLeft can be sent in time:
// the backend server works on it while the link sends what is ahead of it. A request that
// is late already is admitted while the link is not what delays it. Otherwise it returns
// the time after which the link would have room.
func (l *load) admit(timeLeft time.Duration) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ahead := (l.queued + float64(l.expected)*l.meanSize) / l.rate
	own := l.meanSize / l.rate
	needed := max(l.meanService, ahead) + own
	allowed := max(usableTime*timeLeft.Seconds(), l.meanService+own)
	if needed <= allowed {
		return true, 0
	}
	return false, time.Duration((needed - allowed) * float64(time.Second))
}

func (l *load) expect(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected += n
}

// begin replaces an expected answer by one of a known size, -1 if it is not known, that the
// backend server gave after the service time.
func (l *load) begin(size int64, service time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected--
	average(&l.meanService, service.Seconds())
	if size >= 0 {
		average(&l.meanSize, float64(size))
	}
}

// average adds a value to a moving average.
func average(mean *float64, v float64) {
	if *mean == 0 {
		*mean = v
		return
	}
	*mean += meanWeight * (v - *mean)
}

func (l *load) queue(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queued = math.Max(l.queued+float64(bytes), 0)
}

// Admit decides whether the large answer to a request can be sent to another node within
// timeLeft. If not, retryAfter is the time after which there would be room for it.
func (l *Link) Admit(timeLeft time.Duration) (ok bool, retryAfter time.Duration) {
	if l == nil {
		return true, 0
	}
	if ok, retryAfter = l.load.admit(timeLeft); !ok {
		telemetry.Counter(MetricDeclined).Inc(1)
	}
	return ok, retryAfter
}

// Reserve counts a large answer that is expected from the backend server. Begin or Cancel
// ends the reservation.
func (l *Link) Reserve(now time.Time) *Reservation {
	if l == nil {
		return nil
	}
	l.load.expect(1)
	return &Reservation{link: l, since: now}
}

// Reservation is a large answer that is expected. A nil *Reservation has no effect. It is
// used by the goroutine of its request.
type Reservation struct {
	link  *Link
	since time.Time
	ended bool
}

// Begin ends the reservation when the backend server has given an answer of the given
// size, -1 if it is not known.
func (r *Reservation) Begin(now time.Time, size int64) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.link.load.begin(size, now.Sub(r.since))
}

// Cancel ends the reservation if there is no answer.
func (r *Reservation) Cancel() {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.link.load.expect(-1)
}

// Pace returns a reader of a body that is sent to another node. Its reads wait for their
// turn on the link until ctx ends. size is -1 if it is not known.
func (l *Link) Pace(ctx context.Context, body io.ReadCloser, size int64) io.ReadCloser {
	if l == nil || body == nil {
		return body
	}
	if size >= 0 && size <= MaxUnpacedBytes {
		l.limiter.ReserveN(time.Now(), int(size)) // the others wait longer for it
		return body
	}
	b := &pacedBody{ReadCloser: body, ctx: ctx, link: l}
	b.count(max(size, 0))
	return b
}

// pacedBody is a body that waits for its turn on the link. One goroutine reads and closes
// it.
type pacedBody struct {
	io.ReadCloser
	ctx  context.Context
	link *Link
	// left is the number of bytes that are counted as queued.
	left int64
}

func (b *pacedBody) count(bytes int64) {
	b.left += bytes
	b.link.load.queue(bytes)
}

// Read implements io.Reader. It waits after each read for the time that the bytes take on
// the link, so that a body whose bytes are not there yet holds no turn.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), chunkBytes)])
	if n == 0 {
		return n, err
	}
	b.count(-min(int64(n), b.left))
	telemetry.Counter(MetricPacedBytes).Inc(int64(n))
	if waitErr := b.link.limiter.WaitN(b.ctx, n); waitErr != nil && err == nil {
		err = waitErr // ctx has ended, or ends before the turn
	}
	return n, err
}

// Close implements io.Closer.
func (b *pacedBody) Close() error {
	b.count(-b.left)
	return b.ReadCloser.Close()
}
