package membership

import (
	"net/netip"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	sendRateLimit = 300.0 // datagrams a second
	sendBurst     = 600.0 // datagrams; also how far answers to pings may overdraw the bucket
)

// sendLimiter is a token bucket that limits the rate of all datagrams sent. Answers to pings may overdraw it by one
// burst: a gateway that is considered gone because it was busy causes more work than the limit saves.
type sendLimiter struct {
	tokens     float64
	refilledAt time.Duration
}

// allow takes one token and reports whether one was available for a datagram of this kind.
func (l *sendLimiter) allow(now time.Duration, kind gossipcodec.Kind) bool {
	l.tokens = min(sendBurst, l.tokens+sendRateLimit*(now-l.refilledAt).Seconds())
	l.refilledAt = now
	minTokens := 1.0
	if kind == gossipcodec.Ack {
		minTokens -= sendBurst
	}
	if l.tokens < minTokens {
		return false
	}
	l.tokens--
	return true
}

// allowSend takes a token for one datagram. If there is none, it returns false and counts the datagram as not sent.
func (m *Membership) allowSend(kind gossipcodec.Kind) bool {
	ok := m.limiter.allow(m.now, kind)
	if !ok {
		m.counts.RateLimited++
	}
	return ok
}

// send sends a message to a member if its address is known.
func (m *Membership) send(peer *member, msg *gossipcodec.Message, about *gossipcodec.Claim) {
	if peer.Addr.IsValid() {
		m.sendTo(peer.Addr, msg, about)
	}
}

// sendTo sends a message, unless the rate limit forbids it. The message carries the claim about, if not nil, and,
// except for a Digest, as many queued claims as fit.
func (m *Membership) sendTo(to netip.AddrPort, msg *gossipcodec.Message, about *gossipcodec.Claim) {
	if !m.allowSend(msg.Kind) {
		return
	}
	datagram := m.encode(msg)
	if about != nil {
		datagram, _ = gossipcodec.AppendClaim(datagram, about)
	}
	if msg.Kind != gossipcodec.Digest {
		datagram = m.queue.appendTo(datagram, m.transmitLimit)
	}
	m.enqueue(to, datagram)
}

// encode sets the header fields of a message of this gateway and encodes it without claims.
func (m *Membership) encode(msg *gossipcodec.Message) []byte {
	msg.Cluster, msg.From, msg.Start, msg.Digest = m.cfg.Cluster, m.cfg.Name, m.self.Start, m.table.digest
	return gossipcodec.Append(make([]byte, 0, gossipcodec.MaxDatagram), msg)
}

func (m *Membership) enqueue(to netip.AddrPort, datagram []byte) {
	m.counts.Sent++
	m.counts.SentBytes += uint64(len(datagram))
	m.outgoing = append(m.outgoing, Datagram{To: to, Data: datagram})
}
