package membership

import (
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// Guards against a weaker claim that moves anything. The order is: start, incarnation, state.
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
		{"gone by hearsay", gossipcodec.Claim{Start: 10, Incarnation: 3, State: gone}, suspect, 10, 3},
		{"later start", gossipcodec.Claim{Start: 11, Incarnation: 1, State: alive}, alive, 11, 1},
		{"leave", gossipcodec.Claim{Start: 11, Incarnation: 1, State: left}, left, 11, 1},
	} {
		step.claim.Name = "c"
		m.Receive(epoch, addr(2), datagram("b", 1, gossipcodec.Gossip, step.claim))
		got, _ := findInList(m, "c")
		if got.State != step.state || got.Start != step.start || got.Incarnation != step.incarnation {
			t.Errorf("%s: %+v", step.name, got)
		}
	}
}

// Guards against a start that no process can have: believed, no later claim could take it back.
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
		t.Errorf("b started at %d", got.Start)
	}
	if got, ok := findInList(m, "c"); ok {
		t.Errorf("c is known: %+v", got)
	}
	if self, _ := findInList(m, "a"); self.Start != 1000 || self.Incarnation > 10 {
		t.Errorf("itself: %+v", self)
	}
	if c := m.Counts(); c.Malformed < 8 {
		t.Errorf("%+v", c)
	}
}

// Guards against a living gateway that lets a claim of its own death stand.
func TestFalseClaimsAboutSelfAreRefuted(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 1, gossipcodec.Ping,
		gossipcodec.Claim{Name: "a", Start: 1000, Incarnation: 4, State: gossipcodec.Gone}))
	self, _ := findInList(m, "a")
	if self.Incarnation != 5 || self.State != gossipcodec.Alive || m.Counts().FalseAlarms != 1 {
		t.Errorf("%+v", self)
	}
	out := m.Take()
	ack, err := gossipcodec.Parse(out[len(out)-1].Data)
	if err != nil || ack.Kind != gossipcodec.Ack || len(ack.Claims) == 0 ||
		ack.Claims[0].Name != "a" || ack.Claims[0].Incarnation != 5 {
		t.Errorf("the answer: %v %+v", err, ack)
	}
	// The end of an earlier process is none of this one's business.
	m.Receive(epoch, addr(2), datagram("b", 1, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "a", Start: 999, Incarnation: 50, State: gossipcodec.Gone}))
	if self, _ := findInList(m, "a"); self.Incarnation != 5 || self.Start != 1000 {
		t.Errorf("%+v", self)
	}
}

// Guards against two living processes of one name that nobody notices: who hears both tells both.
func TestDuplicateNameIsReported(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 50, gossipcodec.Ping))
	m.Take()
	m.Receive(epoch, addr(2), datagram("b", 40, gossipcodec.Ping)) // the process that began earlier speaks too
	var notified []uint64
	for _, d := range m.Take() {
		if msg, err := gossipcodec.Parse(d.Data); err == nil && msg.Kind == gossipcodec.DuplicateName {
			notified = append(notified, msg.Seq)
		}
	}
	if len(notified) != 2 || notified[0] != 50 || notified[1] != 40 {
		t.Errorf("told %v, want each of the other", notified)
	}
	if got, _ := findInList(m, "b"); got.Start != 50 {
		t.Errorf("the later one keeps the name: %+v", got)
	}
	m.Receive(epoch, addr(2), datagram("b", 50, gossipcodec.DuplicateName))
	if st := m.Status(epoch); !st.DuplicateName || st.Settled {
		t.Errorf("told of a duplicate: %+v", st)
	}
	if st := m.Status(epoch + duplicateNameWindow); st.DuplicateName {
		t.Error("reported for ever")
	}
}

// Guards against an upgrade after which the next process is not the same member, with a stronger claim.
func TestIdentityIsHandedToTheSuccessor(t *testing.T) {
	m := newMembership(t, nil)
	start, incarnation := m.Identity()
	successor := newMembership(t, func(c *Config) { c.Start, c.Incarnation = start, incarnation })
	before, _ := findInList(m, "a")
	if after, _ := findInList(successor, "a"); after.Start != before.Start || after.Incarnation <= before.Incarnation {
		t.Errorf("%+v after %+v", after, before)
	}
}

// Guards against a suspicion that leaves no trace of who raised it once it was refuted.
func TestRefutedSuspicionKeepsItsOrigin(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	m.Receive(epoch, addr(3), datagram("c", 900, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "b", Start: 900, State: gossipcodec.Suspect, SuspectedBy: "c"}))
	got, _ := findInList(m, "b")
	if got.State != gossipcodec.Suspect || got.SuspectedBy != "c" || got.Previous != gossipcodec.Alive {
		t.Errorf("suspected: %+v", got)
	}
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "b", Start: 900, Incarnation: 1}))
	got, _ = findInList(m, "b")
	if got.State != gossipcodec.Alive || got.SuspectedBy != "c" || got.Previous != gossipcodec.Suspect {
		t.Errorf("refuted: %+v", got)
	}
}

// Guards against a load report that keeps memberships from settling: a new payload alone is no change of state.
func TestPayloadChangeDoesNotResetStability(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(2), datagram("b", 900, gossipcodec.Ping))
	later := epoch + time.Second
	m.Receive(later, addr(2), datagram("b", 900, gossipcodec.Gossip,
		gossipcodec.Claim{Name: "b", Start: 900, Incarnation: 1, Payload: []byte{1}}))
	if got, _ := m.Find("b"); got.Incarnation != 1 || string(got.Payload) != "\x01" {
		t.Fatalf("%+v", got)
	}
	if st := m.Status(later); st.StableFor != time.Second {
		t.Errorf("%+v", st)
	}
}
