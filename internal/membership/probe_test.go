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

// advance calls Advance at each time that NextWake returns, up to until.
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
		t.Errorf("sequence numbers %v, want %d and %d", got, verification, p.periodicSeq)
	}
	if got := p.nextDeadline(); got != 2*time.Second { // deadlines of periodic probes are ignored
		t.Errorf("next deadline is %v, want 2 s", got)
	}
	p.postpone(time.Second)
	if got := p.nextDeadline(); got != 3*time.Second {
		t.Errorf("next deadline after a stall of 1 s is %v, want 3 s", got)
	}
	p.dropPeriodic()
	if got := p.nextDeadline(); got != 6*time.Second || p.periodicSeq != 0 {
		t.Errorf("next deadline without the periodic probe is %v, periodicSeq %d; want 6 s and 0", got, p.periodicSeq)
	}
}

// Verifies that the shuffled rounds probe each member, and that every second protocol period probes the successor by
// name.
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
		if period%2 == 1 && target.Name == "m-0" { // the successor of a by name
			successors++
		}
	}
	if len(probed) != members || successors != members {
		t.Errorf("probed %d of %d members, and the successor in %d of %d odd periods", len(probed), members, successors,
			members)
	}
}

// Verifies that a member which does not answer is first suspect and probed indirectly, and only then gone, while a
// member which answers stays alive.
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
		t.Errorf("states of b %v, %d indirect probes; want %v and at least one", states, requests, want)
	}
	if got, _ := m.Find("c"); got.State != gossipcodec.Alive {
		t.Errorf("c is %v, want alive", got.State)
	}
}

// Verifies that a process which was stopped does not suspect the members whose answers it could not receive.
func TestStalledProcessSuspectsNobody(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	advance(m, epoch+100*time.Millisecond)
	pending := m.probes.periodicSeq
	if pending == 0 {
		t.Fatal("no member is probed")
	}
	resumedAt := m.NextWake() + 3*time.Second
	m.Advance(resumedAt)
	if got, _ := m.Find("b"); got.State != gossipcodec.Alive {
		t.Errorf("b is %v, want alive", got.State)
	}
	if m.awareness.score != 4 || m.probes.pending[pending] != nil {
		t.Errorf("local health %d, probe from before the stall still pending: %v; want 4 and false",
			m.awareness.score, m.probes.pending[pending] != nil)
	}
}

// Verifies that a PingRequest causes a Ping to its target, and that the requester receives an Ack for an answer and a
// Nack without one.
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
		t.Fatalf("pings to %v, want one to c", to)
	}
	m.Receive(epoch, addr(3), gossipcodec.Append(nil,
		&gossipcodec.Message{Cluster: "f", From: "c", Start: 900, Kind: gossipcodec.Ack, Seq: pings[0].Seq}))
	if to, acks := takeSent(t, m, gossipcodec.Ack); len(acks) != 1 || to[0] != addr(2) || acks[0].Seq != 77 {
		t.Errorf("acks to %v, want one to b with Seq 77", to)
	}
	m.Receive(epoch, addr(2), request)
	m.Take()
	m.Advance(epoch + relayTimeout)
	if to, nacks := takeSent(t, m, gossipcodec.Nack); len(nacks) != 1 || to[0] != addr(2) || nacks[0].Seq != 77 {
		t.Errorf("nacks to %v, want one to b with Seq 77", to)
	}
}
