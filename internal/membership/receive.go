package membership

import (
	"net/netip"
	"time"

	"thymebend/internal/gossipcodec"
)

// duplicateNotifyInterval is the least time between two notices to a member about a second process of its name.
const duplicateNotifyInterval = time.Second

// Receive takes a datagram as it came from an address. What is foreign or malformed is counted and changes nothing.
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
	if peer.Start < msg.Start { // it speaks, and has not said more of itself
		m.acceptClaim(peer, &gossipcodec.Claim{Name: peer.Name, Start: msg.Start})
	}
	if peer.State >= gossipcodec.Gone && m.now-peer.lastReconnectProbe > reconnectInterval/2 {
		peer.lastReconnectProbe = m.now
		m.startProbe(peer, reconnectProbe, m.now+protocolPeriod, 0) // it hears what is said of it, and can refute it
	}
	m.answer(peer, from, msg)
	m.beginRepair(peer, msg)
	m.NextWake()
}

// decode reads a datagram, or returns nil where nothing more is to be done about it.
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

// sender finds who sent a datagram, or enters it; nil where it may not speak under that name from there.
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

// answerEarlierProcess answers a process that began before the one known under its name. Where that one is dead, the
// clock of its machine went back: by that claim it learns to take a later start. Where both live, each is notified of
// the other.
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

// answer does what a message asks for.
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

// answerPing sends an Ack, with the own claim where the Ping made one about this gateway.
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
