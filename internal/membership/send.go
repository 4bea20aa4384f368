package membership

import (
	"net/netip"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	sendRateLimit = 300.0 // datagrams a second
	sendBurst     = 600.0 // datagrams; answers to pings may go as far below nothing
)

// sendLimiter is a token bucket over all that is sent. Answers to pings may overdraw it by one burst: a gateway taken
// for gone because it was busy makes more work than it saves.
type sendLimiter struct {
	tokens     float64
	refilledAt time.Duration
}

// allow takes one token, if there is one.
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

// allowSend takes one datagram from the limit, or counts that it was not sent.
func (m *Membership) allowSend(kind gossipcodec.Kind) bool {
	ok := m.limiter.allow(m.now, kind)
	if !ok {
		m.counts.Deferred++
	}
	return ok
}

// send sends a message to a member, if its address is known.
func (m *Membership) send(peer *member, msg *gossipcodec.Message, about *gossipcodec.Claim) {
	if peer.Addr.IsValid() {
		m.sendTo(peer.Addr, msg, about)
	}
}

// sendTo sends a message, with a claim that must be in it and waiting claims as far as there is room.
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

// encode begins a datagram of this gateway.
func (m *Membership) encode(msg *gossipcodec.Message) []byte {
	msg.Cluster, msg.From, msg.Start, msg.Digest = m.cfg.Cluster, m.cfg.Name, m.self.Start, m.table.digest
	return gossipcodec.Append(make([]byte, 0, gossipcodec.MaxDatagram), msg)
}

func (m *Membership) enqueue(to netip.AddrPort, datagram []byte) {
	m.counts.Sent++
	m.counts.SentBytes += uint64(len(datagram))
	m.outgoing = append(m.outgoing, Datagram{To: to, Data: datagram})
}
