package peer

import (
	"bytes"
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"
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

// Enquire sends enquiries to the targets until stop returns true or ctx ends. It calls
// answered with each answer, and stop after each answer and at each repetition. targets
// may return more addresses after an answer; they are asked at once.
func Enquire(ctx context.Context, targets func() []string, answered func(target string, payload []byte), stop func(now time.Time) bool) error {
	sock, err := net.ListenUDP("udp", nil)
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "enquiry: %v", err)
	}
	defer sock.Close()
	defer context.AfterFunc(ctx, func() { _ = sock.SetReadDeadline(time.Unix(1, 0)) })()
	packet := make([]byte, enquiryBytes)
	copy(packet, enquiryPrefix)
	nonce := packet[len(enquiryPrefix) : len(enquiryPrefix)+nonceBytes]
	_, _ = rand.Read(nonce)
	want := append(bytes.Clone(answerPrefix), nonce...)
	buf := make([]byte, 2*enquiryBytes)
	asked := map[string]string{} // targets by resolved address
	next, interval := time.Now(), enquiryMinInterval
	for ctx.Err() == nil && !stop(time.Now()) {
		repeat := !time.Now().Before(next)
		if repeat {
			next = time.Now().Add(interval/2 + mathrand.N(interval))
			interval = min(time.Duration(float64(interval)*enquiryFactor), enquiryMaxInterval)
		}
		for _, target := range targets() {
			addr, err := net.ResolveUDPAddr("udp", target)
			if err != nil {
				continue
			}
			if _, known := asked[addr.String()]; repeat || !known {
				asked[addr.String()] = target
				_, _ = sock.WriteToUDP(packet, addr)
			}
		}
		if ctx.Err() != nil || sock.SetReadDeadline(next) != nil {
			break
		}
		n, from, err := sock.ReadFromUDP(buf)
		if err != nil || !bytes.HasPrefix(buf[:n], want) {
			continue
		}
		if target, ok := asked[(&net.UDPAddr{IP: from.IP.To16(), Port: from.Port}).String()]; ok {
			answered(target, bytes.Clone(buf[len(want):n]))
		}
	}
	return ctx.Err()
}
