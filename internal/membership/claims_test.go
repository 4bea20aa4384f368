package membership

import (
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// Verifies that a claim changes a member only if it supersedes the known state, by start, then incarnation, then
// state.
func TestClaimPrecedence(t *testing.T) {
	const alive, suspect, gone, left = gossipcodec.Alive, gossipcodec.Suspect, gossipcodec.Gone, gossipcodec.Left
	m := newMembership(t, nil)
	for _, step := range []struct {
		name        string
		claim       gossipcodec.Claim
		state       gossipcodec.State
		start       uint64
		incarnation uint64
	}{
		{"first claim", gossipcodec.Claim{Start: 10, Incarnation: 2, State: alive}, alive, 10, 2},
		{"lower incarnation", gossipcodec.Claim{Start: 10, Incarnation: 1, State: left}, alive, 10, 2},
		{"earlier start", gossipcodec.Claim{Start: 9, Incarnation: 9, State: gone}, alive, 10, 2},
		{"stronger state", gossipcodec.Claim{Start: 10, Incarnation: 2, State: suspect, SuspectedBy: "b"},
			suspect, 10, 2},
		{"weaker state", gossipcodec.Claim{Start: 10, Incarnation: 2, State: alive}, suspect, 10, 2},
		{"refutation", gossipcodec.Claim{Start: 10, Incarnation: 3, State: alive}, alive, 10, 3},
		{"gone according to another member", gossipcodec.Claim{Start: 10, Incarnation: 3, State: gone}, suspect, 10, 3},
		{"later start", gossipcodec.Claim{Start: 11, Incarnation: 1, State: alive}, alive, 11, 1},
		{"leave", gossipcodec.Claim{Start: 11, Incarnation: 1, State: left}, left, 11, 1},
	} {
		step.claim.Name = "c"
		m.Receive(epoch, addr(2), datagram("b", 1, gossipcodec.Gossip, step.claim))
		got, _ := findInList(m, "c")
		if got.State != step.state || got.Start != step.start || got.Incarnation != step.incarnation {
			t.Errorf("%s: %+v, want state %v, start %d, incarnation %d", step.name, got, step.state, step.start,
				step.incarnation)
		}
	}
}

// Verifies that implausible starts and the highest incarnation are rejected: no later claim could supersede them.
func TestImplausibleStartTimesAreRejected(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	tooLate := uint64(epoch.Milliseconds()) + 1<<30
	for _, start := range []uint64{tooLate, gossipcodec.MaxStart, gossipcodec.MaxStart + 1, 1 << 63} {
		m.Receive(epoch, addr(2), datagram("b", start, gossipcodec.Ping))
		m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Gossip,
			gossipcodec.Claim{Name: "c", Start: start},
			gossipcodec.Claim{Name: "a", Start: start, State: gossipcodec.Gone}))
	}
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Gossip, gossipcodec.Claim{
		Name: "a", Start: 1000, Incarnation: gossipcodec.MaxIncarnation, State: gossipcodec.Gone}))
	if got, _ := findInList(m, "b"); got.Start != 900 {
		t.Errorf("b has start %d, want 900", got.Start)
	}
	if got, ok := findInList(m, "c"); ok {
		t.Errorf("c was added by an implausible claim: %+v", got)
	}
	if self, _ := findInList(m, "a"); self.Start != 1000 || self.Incarnation > 10 {
		t.Errorf("own member %+v, want start 1000 and incarnation at most 10", self)
	}
	if c := m.Counts(); c.Malformed < 8 {
		t.Errorf("counts %+v, want Malformed of at least 8", c)
	}
}

// Verifies that a gateway refutes the claim that it is gone with a higher incarnation, also in its Ack, and ignores a
// claim about an earlier process.
func TestFalseClaimsAboutSelfAreRefuted(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 1, gossipcodec.Ping,
		gossipcodec.Claim{Name: "a", Start: 1000, Incarnation: 4, State: gossipcodec.Gone}))
	self, _ := findInList(m, "a")
	if self.Incarnation != 5 || self.State != gossipcodec.Alive || m.Counts().FalseAlarms != 1 {
		t.Errorf("own member %+v, %d false alarms; want alive with incarnation 5 and one false alarm", self,
			m.Counts().FalseAlarms)
	}
	out := m.Take()
	ack, err := gossipcodec.Parse(out[len(out)-1].Data)
	if err != nil || ack.Kind != gossipcodec.Ack || len(ack.Claims) == 0 ||
		ack.Claims[0].Name != "a" || ack.Claims[0].Incarnation != 5 {
		t.Errorf("answer %+v, error %v; want an Ack with a claim about a, incarnation 5", ack, err)
	}
	// A claim about an earlier process of this name does not concern this process.
	m.Receive(epoch, addr(2), datagram("b", 1, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "a", Start: 999, Incarnation: 50, State: gossipcodec.Gone}))
	if self, _ := findInList(m, "a"); self.Incarnation != 5 || self.Start != 1000 {
		t.Errorf("after a claim about an earlier process: %+v", self)
	}
}

// Verifies that a gateway which receives datagrams of two living processes with one name notifies each of the other,
// and that a notified gateway reports the duplicate for duplicateNameWindow.
func TestDuplicateNameIsReported(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 50, gossipcodec.Ping))
	m.Take()
	m.Receive(epoch, addr(2), datagram("b", 40, gossipcodec.Ping)) // the process that started earlier also sends
	var notified []uint64
	for _, d := range m.Take() {
		if msg, err := gossipcodec.Parse(d.Data); err == nil && msg.Kind == gossipcodec.DuplicateName {
			notified = append(notified, msg.Seq)
		}
	}
	if len(notified) != 2 || notified[0] != 50 || notified[1] != 40 {
		t.Errorf("DuplicateName messages with starts %v, want 50 and 40", notified)
	}
	if got, _ := findInList(m, "b"); got.Start != 50 {
		t.Errorf("b is %+v, want the later start 50", got)
	}
	m.Receive(epoch, addr(2), datagram("b", 50, gossipcodec.DuplicateName))
	if st := m.Status(epoch); !st.DuplicateName || st.Converged {
		t.Errorf("after a DuplicateName: %+v, want a duplicate name and not converged", st)
	}
	if st := m.Status(epoch + duplicateNameWindow); st.DuplicateName {
		t.Error("the duplicate name is still reported after duplicateNameWindow")
	}
}

// Verifies that after a hot restart the successor has the same start and a higher incarnation.
func TestIdentityIsHandedToTheSuccessor(t *testing.T) {
	m := newMembership(t, nil)
	start, incarnation := m.Identity()
	successor := newMembership(t, func(c *Config) { c.Start, c.Incarnation = start, incarnation })
	before, _ := findInList(m, "a")
	if after, _ := findInList(successor, "a"); after.Start != before.Start || after.Incarnation <= before.Incarnation {
		t.Errorf("successor %+v, predecessor %+v", after, before)
	}
}

// Verifies that a member still shows who raised its last suspicion after the suspicion was refuted.
func TestRefutedSuspicionKeepsItsOrigin(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	m.Receive(epoch, addr(3), datagram("c", 900, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "b", Start: 900, State: gossipcodec.Suspect, SuspectedBy: "c"}))
	got, _ := findInList(m, "b")
	if got.State != gossipcodec.Suspect || got.SuspectedBy != "c" || got.PreviousState != gossipcodec.Alive {
		t.Errorf("while suspect: %+v", got)
	}
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "b", Start: 900, Incarnation: 1}))
	got, _ = findInList(m, "b")
	if got.State != gossipcodec.Alive || got.SuspectedBy != "c" || got.PreviousState != gossipcodec.Suspect {
		t.Errorf("after the refutation: %+v", got)
	}
}

// Verifies that a new payload alone does not count as a change of state; otherwise load reports would keep
// memberships from converging.
func TestPayloadChangeDoesNotResetStability(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	later := epoch + time.Second
	m.Receive(later, addr(2), datagram("b", 900, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "b", Start: 900, Incarnation: 1, Payload: []byte{1}}))
	if got, _ := m.Find("b"); got.Incarnation != 1 || string(got.Payload) != "\x01" {
		t.Fatalf("b is %+v, want incarnation 1 and the new payload", got)
	}
	if st := m.Status(later); st.StableFor != time.Second {
		t.Errorf("status %+v, want stable for 1 s", st)
	}
}
