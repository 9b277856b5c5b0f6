package peer

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// An enquiry is a datagram that a starting node sends to control hosts before it connects.
// The answer costs a control host some microseconds, a handshake milliseconds. It is
// neither encrypted nor authenticated, and thus only for closed networks. The two highest
// bits of the first byte are 0, which tells it from a QUIC packet.
var (
	enquiryPrefix = []byte{0x07, 'b', 't', 'q', 1}
	answerPrefix  = []byte{0x07, 'b', 't', 'a', 1}
)

const (
	// enquiryBytes is the size of an enquiry and the greatest size of an answer, so that
	// an enquiry with a forged source cannot be used to send more than it takes.
	enquiryBytes = 1200
	nonceBytes   = 16
	// An enquiry is repeated after enquiryMinInterval at first, and after a time that grows
	// by enquiryFactor up to enquiryMaxInterval, with jitter. A shorter one finds a host
	// sooner that starts meanwhile; the answers to a fleet take processor time from it.
	enquiryMinInterval = 80 * time.Millisecond
	enquiryMaxInterval = 120 * time.Millisecond
	enquiryFactor      = 1.3
)

// maxEnquirers bounds the number of processes that wait for a final answer.
const maxEnquirers = 1024

// enquirers holds the last enquiry of each process that has no final answer yet. One mutex
// guards it.
type enquirers struct {
	mu      sync.Mutex
	waiting map[string]enquirer
}

type enquirer struct {
	from  net.Addr
	nonce []byte
}

// serveEnquiries answers enquiries with Config.AnswerEnquiry until the endpoint is closed.
func (e *Endpoint) serveEnquiries(ctx context.Context) {
	buf := make([]byte, 2*enquiryBytes)
	for {
		n, from, err := e.transport.ReadNonQUICPacket(ctx, buf)
		if err != nil {
			return
		}
		if n < enquiryBytes || !bytes.HasPrefix(buf, enquiryPrefix) {
			continue
		}
		q := enquirer{from: from, nonce: bytes.Clone(buf[len(enquiryPrefix) : len(enquiryPrefix)+nonceBytes])}
		payload, final := e.cfg.AnswerEnquiry()
		e.enquirers.record(q, final)
		e.answer(q, payload)
	}
}

// record keeps an enquiry until the final answer.
func (s *enquirers) record(q enquirer, final bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case final:
		delete(s.waiting, q.from.String())
	case len(s.waiting) < maxEnquirers:
		if s.waiting == nil {
			s.waiting = map[string]enquirer{}
		}
		s.waiting[q.from.String()] = q
	}
}

func (e *Endpoint) answer(q enquirer, payload []byte) {
	packet := slices.Concat(answerPrefix, q.nonce, payload)
	if len(packet) <= enquiryBytes {
		_, _ = e.transport.WriteTo(packet, q.from)
	}
}

// AnswerEnquirers answers all processes that wait for a final answer, so that they need not
// repeat their enquiries often.
func (e *Endpoint) AnswerEnquirers() {
	e.enquirers.mu.Lock()
	waiting := e.enquirers.waiting
	e.enquirers.waiting = nil
	e.enquirers.mu.Unlock()
	if len(waiting) == 0 {
		return
	}
	payload, _ := e.cfg.AnswerEnquiry()
	for _, q := range waiting {
		e.answer(q, payload)
	}
}

// Enquirer sends enquiries of a starting process and receives the answers. One goroutine
// uses it.
type Enquirer struct {
	sock *net.UDPConn
	// packet is the enquiry, and want the start of each answer to it.
	packet, want []byte
	buf          []byte
	// asked holds the targets by resolved address.
	asked map[string]string
	// next is when all targets are asked again, and interval the mean time between that.
	next     time.Time
	interval time.Duration
}

// NewEnquirer returns an Enquirer, which the caller closes.
func NewEnquirer() (*Enquirer, error) {
	sock, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "enquiry: %v", err)
	}
	q := &Enquirer{sock: sock, packet: make([]byte, enquiryBytes), buf: make([]byte, 2*enquiryBytes), asked: map[string]string{}, interval: enquiryMinInterval}
	copy(q.packet, enquiryPrefix)
	nonce := q.packet[len(enquiryPrefix) : len(enquiryPrefix)+nonceBytes]
	_, _ = rand.Read(nonce) // never fails
	q.want = append(bytes.Clone(answerPrefix), nonce...)
	return q, nil
}

// Close closes the socket.
func (q *Enquirer) Close() { _ = q.sock.Close() }

// Ask sends an enquiry to the targets that have none yet, and to all of them when they are due
// again. A lost datagram and an address that cannot be resolved look like a silent host.
func (q *Enquirer) Ask(now time.Time, targets []string) {
	repeat := !now.Before(q.next)
	if repeat {
		q.next = now.Add(q.interval/2 + mathrand.N(q.interval))
		q.interval = min(time.Duration(float64(q.interval)*enquiryFactor), enquiryMaxInterval)
	}
	for _, target := range targets {
		addr, err := net.ResolveUDPAddr("udp", target)
		if err != nil {
			continue
		}
		if _, known := q.asked[addr.String()]; repeat || !known {
			q.asked[addr.String()] = target
			_, _ = q.sock.WriteToUDP(q.packet, addr)
		}
	}
}

// Receive waits for an answer until the targets are due again or ctx ends, and returns the
// target that gave it. target is empty if there is none.
func (q *Enquirer) Receive(ctx context.Context) (target string, payload []byte, err error) {
	defer context.AfterFunc(ctx, func() { _ = q.sock.SetReadDeadline(time.Unix(1, 0)) })()
	if err := q.sock.SetReadDeadline(q.next); err != nil {
		return "", nil, eris.Wrapf(ErrUnreachable, "enquiry: %v", err)
	}
	if ctx.Err() != nil {
		return "", nil, ctx.Err() // the deadline set for its end may have been replaced
	}
	n, from, err := q.sock.ReadFromUDP(q.buf)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "", nil, ctx.Err()
	case err != nil:
		return "", nil, eris.Wrapf(ErrUnreachable, "enquiry: %v", err)
	case !bytes.HasPrefix(q.buf[:n], q.want):
		return "", nil, nil
	}
	source := net.UDPAddr{IP: from.IP.To16(), Port: from.Port}
	return q.asked[source.String()], bytes.Clone(q.buf[len(q.want):n]), nil
}
