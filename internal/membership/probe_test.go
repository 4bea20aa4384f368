package membership

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// takeSent takes the datagrams that m has to send, and returns the messages of one kind with their destinations.
func takeSent(
	t *testing.T, m *Membership, kind gossipcodec.Kind,
) (to []netip.AddrPort, messages []*gossipcodec.Message) {
	t.Helper()
	for _, d := range m.Take() {
		msg, err := gossipcodec.Parse(d.Data)
		if err != nil {
			t.Fatal(err)
		}
		if msg.Kind == kind {
			to, messages = append(to, d.To), append(messages, msg)
		}
	}
	return to, messages
}

// advance advances a membership at each time that it asks for, up to a time.
func advance(m *Membership, until time.Duration) {
	for m.NextWake() <= until {
		m.Advance(max(m.NextWake(), m.now))
	}
}

func TestPostponeMovesProbeDeadlines(t *testing.T) {
	p := probes{pending: make(map[uint64]*probe), lastSeq: 7}
	verification := p.add(&probe{kind: verificationProbe, deadline: 5 * time.Second})
	p.periodicSeq = p.add(&probe{kind: periodicProbe, deadline: time.Second, retryAt: 2 * time.Second})
	if got := p.sortedSeqs(); len(got) != 2 || got[0] != verification || got[1] != p.periodicSeq {
		t.Errorf("in order: %v", got)
	}
	if got := p.nextDeadline(); got != 2*time.Second { // a periodic probe ends with its period
		t.Errorf("next deadline %v", got)
	}
	p.postpone(time.Second)
	if got := p.nextDeadline(); got != 3*time.Second {
		t.Errorf("next deadline after a stall %v", got)
	}
	p.dropPeriodic()
	if got := p.nextDeadline(); got != 6*time.Second || p.periodicSeq != 0 {
		t.Errorf("without the periodic one %v", got)
	}
}

// Guards against a member that no protocol period probes.
func TestEachMemberIsProbedInARound(t *testing.T) {
	const members = 8
	m := newMembership(t, func(c *Config) { c.Flat, c.SeedPeers = true, nil })
	for n := range byte(members) {
		m.Receive(epoch, addr(n+2), datagram(fmt.Sprint("m-", n), 1, gossipcodec.Gossip))
	}
	probed := make(map[string]bool)
	successors := 0
	for period := range 2 * members {
		m.schedule.period++
		target := m.nextTarget()
		probed[target.Name] = true
		if period%2 == 1 && target.Name == "m-0" { // the next by name after a
			successors++
		}
	}
	if len(probed) != members || successors != members {
		t.Errorf("%d of %d probed, %d of %d times the next by name", len(probed), members, successors, members)
	}
}

// Guards against a member that died and stays alive, or that is gone without a suspicion, helpers and a last probe.
func TestUnansweredMemberIsSuspectedVerifiedAndRemoved(t *testing.T) {
	m := newMembership(t, func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{"d", addr(4)}) })
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	m.Receive(epoch, addr(3), datagram("c", 900, gossipcodec.Ping))
	m.Take()
	var states []gossipcodec.State
	requests := 0
	for now := epoch; now < epoch+15*time.Second; now += 10 * time.Millisecond {
		m.Advance(now)
		for _, d := range m.Take() { // c answers, and b does not
			msg, err := gossipcodec.Parse(d.Data)
			if err != nil {
				t.Fatal(err)
			}
			if msg.Kind == gossipcodec.PingRequest && msg.Target == "b" {
				requests++
			}
			if d.To != addr(3) {
				continue
			}
			kind := gossipcodec.Ack
			switch msg.Kind {
			case gossipcodec.Ping:
			case gossipcodec.PingRequest:
				kind = gossipcodec.Nack
			default:
				continue
			}
			m.Receive(now, addr(3), gossipcodec.Append(nil,
				&gossipcodec.Message{Cluster: "f", From: "c", Start: 900, Kind: kind, Seq: msg.Seq}))
		}
		if got, _ := m.Find("b"); len(states) == 0 || states[len(states)-1] != got.State {
			states = append(states, got.State)
		}
	}
	want := []gossipcodec.State{gossipcodec.Alive, gossipcodec.Suspect, gossipcodec.Gone}
	if fmt.Sprint(states) != fmt.Sprint(want) || requests == 0 {
		t.Errorf("b was %v, %d indirect probes", states, requests)
	}
	if got, _ := m.Find("c"); got.State != gossipcodec.Alive {
		t.Errorf("c is %v", got.State)
	}
}

// Guards against a process that was stopped and takes the silence that it could not hear for the others' death.
func TestStalledProcessSuspectsNobody(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	advance(m, epoch+100*time.Millisecond)
	pending := m.probes.periodicSeq
	if pending == 0 {
		t.Fatal("nobody is probed")
	}
	resumedAt := m.NextWake() + 3*time.Second
	m.Advance(resumedAt)
	if got, _ := m.Find("b"); got.State != gossipcodec.Alive {
		t.Errorf("b is %v", got.State)
	}
	if m.awareness.score != 4 || m.probes.pending[pending] != nil {
		t.Errorf("local health %d, the probe of before counts: %v", m.awareness.score, m.probes.pending[pending] != nil)
	}
}

// Guards against an indirect probe that is not relayed, or whose result does not come back.
func TestIndirectProbesAreRelayed(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Gossip))
	m.Receive(epoch, addr(3), datagram("c", 900, gossipcodec.Gossip))
	m.Take()
	request := gossipcodec.Append(nil, &gossipcodec.Message{
		Cluster: "f", From: "b", Start: 900, Kind: gossipcodec.PingRequest, Seq: 77, Target: "c"})
	m.Receive(epoch, addr(2), request)
	to, pings := takeSent(t, m, gossipcodec.Ping)
	if len(pings) != 1 || to[0] != addr(3) {
		t.Fatalf("pings to %v", to)
	}
	m.Receive(epoch, addr(3), gossipcodec.Append(nil,
		&gossipcodec.Message{Cluster: "f", From: "c", Start: 900, Kind: gossipcodec.Ack, Seq: pings[0].Seq}))
	if to, acks := takeSent(t, m, gossipcodec.Ack); len(acks) != 1 || to[0] != addr(2) || acks[0].Seq != 77 {
		t.Errorf("acks to %v", to)
	}
	m.Receive(epoch, addr(2), request)
	m.Take()
	m.Advance(epoch + relayTimeout)
	if to, nacks := takeSent(t, m, gossipcodec.Nack); len(nacks) != 1 || to[0] != addr(2) || nacks[0].Seq != 77 {
		t.Errorf("nacks to %v", to)
	}
}
