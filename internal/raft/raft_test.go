package raft

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"thymebend/internal/lease"
)

// Voters that are cut off, stand still, die and come back with what they kept; clients that stand still; a third of
// all messages lost: never two holders, numbers that only grow, and the duty goes on.
func TestOneHoldsThroughTroubles(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, seed, 3+2*int(seed%2), 4, 2*time.Second)
			c.loss = 0.3 * float64(seed%3) / 2
			c.run(60*time.Second, c.trouble(true))
			if len(c.wrong) > 0 {
				t.Fatalf("%s and %d more", c.wrong[0], len(c.wrong)-1)
			}
			c.loss, c.cut = 0, func(uint64, uint64) bool { return false }
			for _, id := range c.first {
				if c.voters[id].stopped = 0; c.voters[id].node == nil {
					c.start(id)
				}
			}
			before := c.effects
			c.run(10*time.Second, nil)
			if len(c.wrong) > 0 || c.effects-before < 300 {
				t.Errorf("%d effects in the last 10 s without troubles, %v", c.effects-before, c.wrong)
			}
		})
	}
}

// A voter without a disk that votes again under its old id breaks the promise or the log; that is why it must not.
func TestAForgottenVoteBreaksThePromise(t *testing.T) {
	broken := func(seed uint64) (how string) {
		defer func() {
			if r := recover(); r != nil {
				how = fmt.Sprint(r) // raft finds that what was committed is gone
			}
		}()
		c := newCluster(t, seed, 3, 4, 2*time.Second)
		c.volatil = true
		c.run(60*time.Second, c.trouble(true))
		if len(c.wrong) > 0 {
			return c.wrong[0]
		}
		return ""
	}
	lost, twice := 0, 0
	for seed := range uint64(30) {
		how := broken(seed)
		switch {
		case how == "":
		case strings.Contains(how, "is out of range"):
			lost++
		default:
			if twice++; twice == 1 {
				t.Logf("seed %d: %s", seed, how)
			}
		}
	}
	t.Logf("of 30 seeds %d lose what was committed, %d break the promise", lost, twice)
	if lost+twice == 0 {
		t.Error("not caught in 30 seeds")
	}
}

// The holder dies: another acts within lease, election and a second; and the same where the leader dies with it.
func TestADutyIsHandedOn(t *testing.T) {
	const lease = 2 * time.Second
	var gaps, both []time.Duration
	for seed := range uint64(100) {
		c := newCluster(t, seed, 3, 4, lease)
		c.run(8*time.Second, nil)
		for _, k := range c.clients {
			if _, ok := k.Token(c.now, duty); ok {
				k.stopped = time.Hour
			}
		}
		leaderToo := seed%2 == 1
		if l := c.leader(); l == nil {
			t.Fatalf("seed %d: nobody leads after 8 s", seed)
		} else if leaderToo {
			l.node = nil
		}
		c.gap = 0
		c.run(10*time.Second, nil)
		if len(c.wrong) > 0 {
			t.Fatalf("seed %d: %s", seed, c.wrong[0])
		}
		most := lease + time.Second
		if leaderToo {
			most += 2*electionTicks*TickInterval + time.Second
			both = append(both, c.gap)
		} else {
			gaps = append(gaps, c.gap)
		}
		if c.gap > most || c.gap == 0 {
			t.Errorf("seed %d: nobody acted for %v, wanted %v at most", seed, c.gap, most)
		}
	}
	slices.Sort(gaps)
	slices.Sort(both)
	t.Logf("handed on after %v in the median, %v at worst; with the leader dead too %v, %v", gaps[len(gaps)/2],
		gaps[len(gaps)-1], both[len(both)/2], both[len(both)-1])
}

// A voter that has forgotten all comes back under a new id, learns, and takes its old one's place; then another may
// go.
func TestAForgetfulVoterComesBackAsALearner(t *testing.T) {
	c := newCluster(t, 1, 3, 3, 2*time.Second)
	c.run(5*time.Second, nil)
	lost := uint64(1)
	if c.leader().id == lost {
		lost = 2
	}
	c.voters[lost].node = nil
	delete(c.voters, lost)
	c.voters[7] = &voter{id: 7, disk: &disk{}}
	c.start(7)
	if err := c.leader().node.AddLearner(c.now, 7, lost); err != nil {
		t.Fatal(err)
	}
	for _, faulty := range [][2]uint64{{7, 99}, {0, lost}, {c.leader().id, lost}} {
		if err := c.leader().node.AddLearner(c.now, faulty[0], faulty[1]); err == nil {
			t.Errorf("%v was admitted", faulty)
		}
	}
	c.run(5*time.Second, nil)
	st := c.leader().node.Status()
	if !slices.Contains(st.Voters, 7) || slices.Contains(st.Voters, lost) || len(st.Voters) != 3 ||
		len(st.Learners) != 0 {
		t.Fatalf("%+v", st)
	}
	// The new one's vote is needed from now on.
	c.leader().node = nil
	before := c.effects
	c.run(12*time.Second, nil)
	if len(c.wrong) > 0 || c.effects-before < 300 {
		t.Errorf("%d effects after another was lost, %v", c.effects-before, c.wrong)
	}
}

// Without a majority leases lapse and nobody acquires; a voter that cannot keep what it says takes no more part.
func TestWithoutQuorumNothingIsGranted(t *testing.T) {
	c := newCluster(t, 2, 3, 3, 2*time.Second)
	c.run(5*time.Second, nil)
	leader := c.leader()
	for _, id := range c.first {
		if id != leader.id {
			c.voters[id].disk.full = true
		}
	}
	c.run(6*time.Second, nil)
	was := c.effects
	c.run(10*time.Second, nil)
	if c.effects != was || len(c.wrong) > 0 {
		t.Errorf("%d effects without a majority, %v", c.effects-was, c.wrong)
	}
	if c.leader() != nil {
		t.Error("somebody leads")
	}
	failed := 0
	for _, v := range c.voters {
		if v.node.Status().Failed {
			failed++
			if err := v.node.Propose(c.now, lease.Command{}); !errors.Is(err, ErrFailed) {
				t.Error(err)
			}
		}
	}
	if failed == 0 {
		t.Error("full disks, and nobody has failed")
	}
}

// The log stays bounded through many commands, and one that was away long is brought up by a snapshot.
func TestTheLogStaysBounded(t *testing.T) {
	c := newCluster(t, 3, 3, 8, 200*time.Millisecond)
	c.run(3*time.Second, nil)
	away := c.voters[1]
	if c.leader() == away {
		away = c.voters[2]
	}
	away.node = nil
	c.run(500*time.Second, nil)
	c.start(away.id)
	c.run(5*time.Second, nil)
	leader := c.leader()
	if got, want := away.node.Status().Applied,
		leader.node.Status().Applied; want < keepEntries+2*defaultSnapshotInterval || got < want-50 {
		t.Errorf("one that was away has applied %d of %d", got, want)
	}
	first, _ := leader.node.storage.FirstIndex()
	last, _ := leader.node.storage.LastIndex()
	if last-first > keepEntries+2*defaultSnapshotInterval || len(leader.disk.entries) > 2*defaultSnapshotInterval {
		t.Errorf("%d entries in the log, %d kept", last-first, len(leader.disk.entries))
	}
	if len(c.wrong) > 0 {
		t.Error(c.wrong[0])
	}
}

// What is no message, or another's, changes nothing.
func TestStrangeMessagesAreRefused(t *testing.T) {
	c := newCluster(t, 4, 3, 1, 2*time.Second)
	c.run(3*time.Second, nil)
	n := c.voters[1].node
	before := n.Status()
	word := func(m raftpb.Message) []byte {
		raw, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for name, data := range map[string][]byte{
		"noise":        []byte("\x08\xff\xff\xff"),
		"too large":    make([]byte, 2*maxMessageBytes+1),
		"to another":   word(raftpb.Message{Type: raftpb.MsgHeartbeat, From: 2, To: 3, Term: 99}),
		"from another": word(raftpb.Message{Type: raftpb.MsgHeartbeat, From: 3, To: 1, Term: 99}),
		"a local one":  word(raftpb.Message{Type: raftpb.MsgHup, From: 2, To: 1}),
		"a proposal":   word(raftpb.Message{Type: raftpb.MsgProp, From: 2, To: 1}),
		"no snapshot":  word(raftpb.Message{Type: raftpb.MsgSnap, From: 2, To: 1, Term: 99}),
		"a spoilt one": word(raftpb.Message{Type: raftpb.MsgSnap, From: 2, To: 1, Term: 99,
			Snapshot: &raftpb.Snapshot{Data: []byte("x"), Metadata: raftpb.SnapshotMetadata{Index: 1e6, Term: 99}}}),
		"an empty answer": nil,
	} {
		if err := n.Step(c.now, 2, data); err == nil {
			t.Errorf("%s: heard", name)
		}
	}
	if after := n.Status(); after.Term != before.Term || after.Applied != before.Applied ||
		after.Leader != before.Leader {
		t.Errorf("%+v, was %+v", after, before)
	}
	for want, cfg := range map[string]Config{"id 0": {}, "odd": {ID: 1, Voters: []uint64{1, 2}},
		"each once": {ID: 1, Voters: []uint64{1, 2, 2}}, "among them": {ID: 4, Voters: []uint64{1, 2, 3}}} {
		if _, err := New(cfg, 0); err == nil {
			t.Errorf("%s: started", want)
		}
	}
}

// A voter whose votes come late leads with a quorum like any other: what it waited as a candidate is no silence of a
// leader.
func TestALateElectionIsAQuorum(t *testing.T) {
	nodes := make(map[uint64]*Node)
	for id := uint64(1); id <= 3; id++ {
		n, err := New(Config{ID: id, Voters: []uint64{1, 2, 3}, Seed: 3}, 0)
		if err != nil {
			t.Fatal(err)
		}
		nodes[id] = n
	}
	keep := func(PersistentState) error { return nil }
	now := time.Duration(0)
	tick := func() []Message {
		now += TickInterval
		nodes[1].Tick(now)
		out, err := nodes[1].ProcessReady(keep)
		if err != nil {
			t.Fatal(err)
		}
		return out.Messages
	}
	var post []Message
	for len(post) == 0 {
		post = tick()
	}
	for nodes[1].ticksSinceLeaderMessage < electionTicks+1 { // before it campaigns again
		if tick(); nodes[1].ticksSinceLeaderMessage == 0 {
			t.Fatal("this seed's patience is too short")
		}
	}
	from := make(map[string]uint64)
	for _, m := range post {
		from[string(m.Data)] = 1
	}
	for ; len(post) > 0; post = post[1:] {
		to := nodes[post[0].To]
		if err := to.Step(now, from[string(post[0].Data)], post[0].Data); err != nil {
			t.Fatal(err)
		}
		out, err := to.ProcessReady(keep)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range out.Messages {
			from[string(m.Data)] = to.Status().ID
		}
		post = append(post, out.Messages...)
	}
	if s := nodes[1].Status(); !s.IsLeader || !s.Quorum {
		t.Errorf("%+v", s)
	}
}

// Callers can tell the causes apart.
func TestFaultsCanBeMatched(t *testing.T) {
	if _, err := New(Config{ID: 1, Voters: []uint64{1, 2}}, 0); !errors.Is(err, ErrConfig) {
		t.Error(err)
	}
	c := newCluster(t, 4, 3, 1, 2*time.Second)
	c.run(3*time.Second, nil)
	if err := c.voters[1].node.Step(c.now, 2, []byte("\x08\xff\xff\xff")); !errors.Is(err, ErrMessage) {
		t.Error(err)
	}
	if err := c.leader().node.AddLearner(c.now, 7, 99); !errors.Is(err, ErrMembers) {
		t.Error(err)
	}
}
