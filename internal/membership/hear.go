package membership

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/gossipcodec"
)

// Receive takes a datagram as it came from an address. What is foreign or spoilt is counted and changes nothing.
func (v *Membership) Receive(now time.Duration, from netip.AddrPort, data []byte) {
	v.at(now)
	v.counts.Received++
	v.counts.ReceivedBytes += uint64(len(data))
	msg, err := gossipcodec.Parse(data)
	switch {
	case err != nil:
		v.counts.Malformed++
		return
	case msg.Cluster != v.cfg.Cluster:
		v.counts.OtherCluster++
		return
	case msg.Start > v.latest():
		v.counts.Malformed++
		return
	case v.leaving:
		return
	case msg.From == v.cfg.Name:
		if msg.Start != v.self.Start {
			v.twin = v.now
		}
		return
	}
	m := v.known(from, msg)
	if m == nil {
		return
	}
	if msg.Start < m.Start {
		// A process from before the one that is known under this name, and it speaks.
		if v.now-m.twinAt > twinFor/10 {
			m.twinAt = v.now
			if m.State >= gossipcodec.Gone { // its machine's clock went back: told what is said of its name, it takes a later start
				c := m.claim("")
				v.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Gossip}, &c)
				return
			}
			v.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.DuplicateName, Seq: m.Start}, nil)
			v.send(m, &gossipcodec.Message{Kind: gossipcodec.DuplicateName, Seq: msg.Start}, nil)
		}
		return
	}
	m.lastHeard = v.now
	for i := range msg.Claims {
		v.apply(&msg.Claims[i], msg.From)
	}
	if m.Start < msg.Start { // it speaks, and has not said more of itself
		v.set(m, &gossipcodec.Claim{Name: m.Name, Start: msg.Start})
	}
	if m.State >= gossipcodec.Gone && v.now-m.called > callEvery/2 {
		m.called = v.now
		v.question(m, askCall, v.now+period, 0) // it hears what is said of it, and can refute it
	}
	v.answer(m, from, msg)
	v.repair(m, msg)
	v.NextWake()
}

// mostAhead is how far the clock of another machine may be ahead of this one. What claims to have begun later than that is
// spoilt: believed, it could not be refuted, as no process begins later.
const mostAhead = 24 * time.Hour

// latest is the latest start that is believed, in ms of Unix time.
func (v *Membership) latest() uint64 { return uint64((v.now + mostAhead).Milliseconds()) }

// known finds who sent a datagram, or enters it. Addresses are the book's, but in a flat network.
func (v *Membership) known(from netip.AddrPort, msg *gossipcodec.Message) *member {
	at, booked := v.book[msg.From]
	if !v.cfg.Flat && (!booked || at != from) {
		v.counts.UnknownSender++
		return nil
	}
	m := v.members[msg.From]
	if m == nil {
		if m = v.enter(&gossipcodec.Claim{Name: msg.From}); m == nil {
			return nil
		}
	}
	if !booked && msg.Start >= m.Start {
		m.Addr = from
	}
	return m
}

func (v *Membership) answer(m *member, from netip.AddrPort, msg *gossipcodec.Message) {
	switch msg.Kind {
	case gossipcodec.Ping:
		self := v.self.claim("")
		var about *gossipcodec.Claim
		for i := range msg.Claims {
			if msg.Claims[i].Name == v.cfg.Name {
				about = &self // it was wrong about us
			}
		}
		v.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Ack, Seq: msg.Seq}, about)
	case gossipcodec.Ack:
		q := v.questions[msg.Seq]
		if q == nil {
			return
		}
		if q.kind == askRelay {
			delete(v.questions, msg.Seq)
			v.sendTo(q.back, &gossipcodec.Message{Kind: gossipcodec.Ack, Seq: q.backSeq}, nil)
			return
		}
		v.answeredBy(q, msg.From == q.target)
		if q.kind != askRound {
			delete(v.questions, msg.Seq)
		}
	case gossipcodec.Nack:
		if q := v.questions[msg.Seq]; q != nil {
			q.nacks++
		}
	case gossipcodec.PingRequest:
		t := v.members[msg.Target]
		if t == nil || !t.Addr.IsValid() {
			v.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Nack, Seq: msg.Seq}, nil)
			return
		}
		seq := v.question(t, askRelay, v.now+relayFor, 0)
		v.questions[seq].back, v.questions[seq].backSeq = from, msg.Seq
	case gossipcodec.DuplicateName:
		if msg.Seq != v.self.Start {
			v.twin = v.now
		}
	case gossipcodec.Digest:
		v.pages(m, msg)
	}
}

// repair compares views where they differ though no news is on its way.
func (v *Membership) repair(m *member, msg *gossipcodec.Message) {
	if msg.View == v.digest || msg.Kind == gossipcodec.Digest || v.news.len() > 0 || v.now < v.nextFix || v.cfg.Without&PartRepair != 0 {
		return
	}
	v.nextFix = v.now + repairEvery
	v.send(m, &gossipcodec.Message{Kind: gossipcodec.Digest, Sums: v.sums[:]}, nil)
}

// pages sends what lies in the buckets that differ, and the own sums where they were not asked for.
func (v *Membership) pages(m *member, msg *gossipcodec.Message) {
	if v.cfg.Without&PartRepair != 0 {
		return
	}
	var list []gossipcodec.Claim
	differs := func(name string) bool { b := bucket(name); return msg.Sums[b] != v.sums[b] }
	if differs(v.cfg.Name) {
		list = append(list, v.self.claim(""))
	}
	for _, o := range v.order {
		if differs(o.Name) && (o.State != gossipcodec.Left || o.Start > 0) {
			c := o.claim("")
			if v.cfg.Flat {
				c.Addr = o.Addr
			}
			list = append(list, c)
		}
	}
	v.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] }) // what does not go now is others' to go next
	for page := 0; len(list) > 0 && page < mostPages && v.allowed(gossipcodec.Gossip); page++ {
		b := v.word(&gossipcodec.Message{Kind: gossipcodec.Gossip})
		for len(list) > 0 {
			out, ok := gossipcodec.AppendClaim(b, &list[0])
			if !ok {
				break
			}
			b, list = out, list[1:]
		}
		v.post(m.Addr, b)
	}
	if !msg.Reply {
		v.send(m, &gossipcodec.Message{Kind: gossipcodec.Digest, Sums: v.sums[:], Reply: true}, nil)
	}
}

func bucket(name string) int { return int(xxh3.HashString(name) >> 59) } // the top 5 bits: 32 buckets

// weigh brings the digest up to date with one member. It is the sum over those alive, as claims order them, so that one change
// costs the same in a view of any size. Suspicion passes by itself and the gone are forgotten at different times, so neither
// counts.
func (v *Membership) weigh(m *member) {
	h := uint64(0)
	if m.State <= gossipcodec.Suspect {
		h = xxh3.HashString(m.Name) ^ xxh3.HashSeed(m.Payload, m.Start*31+m.Incarnation)
		h *= 0x9e3779b97f4a7c15
	}
	v.digest += h - m.weight
	v.sums[bucket(m.Name)] += uint32(h>>32) - uint32(m.weight>>32)
	m.weight = h
}
