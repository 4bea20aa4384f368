package membership

import (
	"net/netip"
	"time"

	"thymebend/internal/gossipcodec"
)

// duplicateNotifyInterval is the minimum time between two notifications of a member about a second process with its
// name.
const duplicateNotifyInterval = time.Second

// Receive handles a datagram that arrived from an address. A datagram that is malformed, or of another cluster or an
// unknown sender, is counted and has no other effect. The answers are returned by [Membership.Take].
func (m *Membership) Receive(now time.Duration, from netip.AddrPort, data []byte) {
	m.advanceClock(now)
	m.counts.Received++
	m.counts.ReceivedBytes += uint64(len(data))
	msg := m.decode(data)
	if msg == nil {
		return
	}
	peer := m.sender(from, msg)
	if peer == nil {
		return
	}
	if msg.Start < peer.Start {
		m.answerEarlierProcess(peer, from, msg)
		return
	}
	peer.lastReceived = m.now
	for i := range msg.Claims {
		m.applyClaim(&msg.Claims[i], msg.From)
	}
	if peer.Start < msg.Start { // it is alive, and its datagram has no claim about itself
		m.acceptClaim(peer, &gossipcodec.Claim{Name: peer.Name, Start: msg.Start})
	}
	if peer.State >= gossipcodec.Gone && m.now-peer.lastReconnectProbe > reconnectInterval/2 {
		peer.lastReconnectProbe = m.now
		m.startProbe(peer, reconnectProbe, m.now+protocolPeriod, 0) // the Ping carries the claim for it to refute
	}
	m.answer(peer, from, msg)
	m.beginRepair(peer, msg)
	m.NextWake()
}

// decode parses a datagram. It returns nil if the datagram needs no further handling.
func (m *Membership) decode(data []byte) *gossipcodec.Message {
	msg, err := gossipcodec.Parse(data)
	switch {
	case err != nil:
		m.counts.Malformed++
		return nil
	case msg.Cluster != m.cfg.Cluster:
		m.counts.OtherCluster++
		return nil
	case msg.Start > m.latestPlausibleStart():
		m.counts.Malformed++
		return nil
	case m.leaving:
		return nil
	case msg.From == m.cfg.Name:
		if msg.Start != m.self.Start {
			m.duplicateSeen = m.now
		}
		return nil
	}
	return msg
}

// sender returns the member that sent a datagram, which it adds if unknown. It returns nil if that name may not send
// from this address, or if the table is full.
func (m *Membership) sender(from netip.AddrPort, msg *gossipcodec.Message) *member {
	addr, seeded := m.seeds[msg.From]
	if !m.cfg.Flat && (!seeded || addr != from) {
		m.counts.UnknownSender++
		return nil
	}
	peer := m.table.byName[msg.From]
	if peer == nil {
		if peer = m.addMember(&gossipcodec.Claim{Name: msg.From}); peer == nil {
			return nil
		}
	}
	if !seeded && msg.Start >= peer.Start {
		peer.Addr = from
	}
	return peer
}

// answerEarlierProcess answers a process that started before the known process with the same name. If the known one
// is gone, the clock of the sender's machine was set back: the answer contains the claim about the known process, and
// the sender then chooses a later start. If both are alive, each is notified of the other.
func (m *Membership) answerEarlierProcess(peer *member, from netip.AddrPort, msg *gossipcodec.Message) {
	if m.now-peer.duplicateNotifiedAt <= duplicateNotifyInterval {
		return
	}
	peer.duplicateNotifiedAt = m.now
	if peer.State >= gossipcodec.Gone {
		c := peer.claim("")
		m.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Gossip}, &c)
		return
	}
	m.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.DuplicateName, Seq: peer.Start}, nil)
	m.send(peer, &gossipcodec.Message{Kind: gossipcodec.DuplicateName, Seq: msg.Start}, nil)
}

// answer handles a message according to its kind.
func (m *Membership) answer(peer *member, from netip.AddrPort, msg *gossipcodec.Message) {
	switch msg.Kind {
	case gossipcodec.Ping:
		m.answerPing(from, msg)
	case gossipcodec.Ack:
		m.acknowledge(msg)
	case gossipcodec.Nack:
		if p := m.probes.pending[msg.Seq]; p != nil {
			p.nacks++
		}
	case gossipcodec.PingRequest:
		m.relayProbe(from, msg)
	case gossipcodec.DuplicateName:
		if msg.Seq != m.self.Start {
			m.duplicateSeen = m.now
		}
	case gossipcodec.Digest:
		m.answerDigest(peer, msg)
	}
}

// answerPing sends an Ack. If the Ping has a claim about this gateway, the Ack carries this gateway's claim about
// itself.
func (m *Membership) answerPing(from netip.AddrPort, msg *gossipcodec.Message) {
	var about *gossipcodec.Claim
	for i := range msg.Claims {
		if msg.Claims[i].Name == m.cfg.Name {
			self := m.self.claim("")
			about = &self
			break
		}
	}
	m.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Ack, Seq: msg.Seq}, about)
}
