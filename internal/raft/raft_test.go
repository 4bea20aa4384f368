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

// Guards against two simultaneous holders, decreasing fencing tokens, and a task that does not continue after the
// faults. Voters are partitioned, paused and restarted with their persistent state, clients are paused, and up to 30%
// of the messages are lost.
func TestSingleHolderUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, seed, 3+2*int(seed%2), 4, 2*time.Second)
			c.loss = 0.3 * float64(seed%3) / 2
			c.run(60*time.Second, c.injectFaults(true))
			if len(c.violations) > 0 {
				t.Fatalf("%s; %d more violations", c.violations[0], len(c.violations)-1)
			}
			c.loss, c.blocked = 0, func(uint64, uint64) bool { return false }
			for _, id := range c.initialVoters {
				if c.voters[id].pausedUntil = 0; c.voters[id].node == nil {
					c.start(id)
				}
			}
			before := c.effects
			c.run(10*time.Second, nil)
			if len(c.violations) > 0 || c.effects-before < 300 {
				t.Errorf("%d effects in 10 s without faults, wanted at least 300; violations: %v",
					c.effects-before, c.violations)
			}
		})
	}
}

// Verifies why a voter that has lost its state must not vote again under its old id: committed entries are lost, or a
// safety property of the leases is violated.
func TestReusedIDWithoutStateViolatesSafety(t *testing.T) {
	violationOf := func(seed uint64) (violation string) {
		defer func() {
			if r := recover(); r != nil {
				violation = fmt.Sprint(r) // raft panics when it detects that a committed entry is missing
			}
		}()
		c := newCluster(t, seed, 3, 4, 2*time.Second)
		c.losesState = true
		c.run(60*time.Second, c.injectFaults(true))
		if len(c.violations) > 0 {
			return c.violations[0]
		}
		return ""
	}
	lostEntries, unsafe := 0, 0
	for seed := range uint64(30) {
		violation := violationOf(seed)
		switch {
		case violation == "":
		case strings.Contains(violation, "is out of range"):
			lostEntries++
		default:
			if unsafe++; unsafe == 1 {
				t.Logf("seed %d: %s", seed, violation)
			}
		}
	}
	t.Logf("of 30 seeds, %d lose committed entries and %d violate lease safety", lostEntries, unsafe)
	if lostEntries+unsafe == 0 {
		t.Error("reused ids caused no violation in 30 seeds")
	}
}

// Verifies that after the holder of a lease stops, another client performs effects within the lease duration plus
// 1 s. If the leader dies too, the limit is longer by the longest election plus 1 s.
func TestLeaseIsTakenOverWithinBound(t *testing.T) {
	const leaseDuration = 2 * time.Second
	var holderGaps, bothGaps []time.Duration
	for seed := range uint64(100) {
		c := newCluster(t, seed, 3, 4, leaseDuration)
		c.run(8*time.Second, nil)
		for _, client := range c.clients {
			if _, ok := client.Token(c.now, leaseName); ok {
				client.pausedUntil = time.Hour
			}
		}
		leaderDies := seed%2 == 1
		if l := c.leader(); l == nil {
			t.Fatalf("seed %d: no leader after 8 s", seed)
		} else if leaderDies {
			l.node = nil
		}
		c.longestGap = 0
		c.run(10*time.Second, nil)
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, c.violations[0])
		}
		maxGap := leaseDuration + time.Second
		if leaderDies {
			maxGap += 2*electionTicks*TickInterval + time.Second
			bothGaps = append(bothGaps, c.longestGap)
		} else {
			holderGaps = append(holderGaps, c.longestGap)
		}
		if c.longestGap > maxGap || c.longestGap == 0 {
			t.Errorf("seed %d: no effect for %v, wanted more than 0 and at most %v", seed, c.longestGap, maxGap)
		}
	}
	slices.Sort(holderGaps)
	slices.Sort(bothGaps)
	t.Logf("time without effects: median %v, maximum %v; if the leader dies too: median %v, maximum %v",
		holderGaps[len(holderGaps)/2], holderGaps[len(holderGaps)-1],
		bothGaps[len(bothGaps)/2], bothGaps[len(bothGaps)-1])
}

// Verifies that a voter without its state can rejoin under a new id as a learner, replaces its old id as a voter, and
// that the cluster then survives the loss of another voter.
func TestVoterWithoutStateRejoinsAsLearner(t *testing.T) {
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
	for _, invalid := range [][2]uint64{{7, 99}, {0, lost}, {c.leader().id, lost}} {
		if err := c.leader().node.AddLearner(c.now, invalid[0], invalid[1]); err == nil {
			t.Errorf("AddLearner accepted the invalid change %v (learner, replaced voter)", invalid)
		}
	}
	c.run(5*time.Second, nil)
	status := c.leader().node.Status()
	if !slices.Contains(status.Voters, 7) || slices.Contains(status.Voters, lost) || len(status.Voters) != 3 ||
		len(status.Learners) != 0 {
		t.Fatalf("voters not replaced: %+v", status)
	}
	// From now on the new voter's vote is needed for a majority.
	c.leader().node = nil
	before := c.effects
	c.run(12*time.Second, nil)
	if len(c.violations) > 0 || c.effects-before < 300 {
		t.Errorf("%d effects in 12 s after the loss of another voter, wanted at least 300; violations: %v",
			c.effects-before, c.violations)
	}
}

// Verifies that without a majority leases expire and none is granted, and that a voter whose disk is full stops.
func TestNoGrantWithoutQuorum(t *testing.T) {
	c := newCluster(t, 2, 3, 3, 2*time.Second)
	c.run(5*time.Second, nil)
	leader := c.leader()
	for _, id := range c.initialVoters {
		if id != leader.id {
			c.voters[id].disk.full = true
		}
	}
	c.run(6*time.Second, nil)
	before := c.effects
	c.run(10*time.Second, nil)
	if c.effects != before || len(c.violations) > 0 {
		t.Errorf("%d effects without a majority, wanted 0; violations: %v", c.effects-before, c.violations)
	}
	if c.leader() != nil {
		t.Error("there is a leader without a majority")
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
		t.Error("no voter has failed although disks are full")
	}
}

// Verifies that the log stays bounded over many commands, and that a voter that was down for 500 s catches up by a
// snapshot.
func TestLogStaysBounded(t *testing.T) {
	c := newCluster(t, 3, 3, 8, 200*time.Millisecond)
	c.run(3*time.Second, nil)
	lagging := c.voters[1]
	if c.leader() == lagging {
		lagging = c.voters[2]
	}
	lagging.node = nil
	c.run(500*time.Second, nil)
	c.start(lagging.id)
	c.run(5*time.Second, nil)
	leader := c.leader()
	if got, want := lagging.node.Status().Applied,
		leader.node.Status().Applied; want < retainedEntries+2*defaultSnapshotInterval || got < want-50 {
		t.Errorf("the restarted voter has applied %d entries, the leader %d", got, want)
	}
	first, _ := leader.node.storage.FirstIndex()
	last, _ := leader.node.storage.LastIndex()
	if last-first > retainedEntries+2*defaultSnapshotInterval || len(leader.disk.entries) > 2*defaultSnapshotInterval {
		t.Errorf("%d entries in the log, %d on the disk", last-first, len(leader.disk.entries))
	}
	if len(c.violations) > 0 {
		t.Error(c.violations[0])
	}
}

// Verifies that invalid messages, and messages from or to another member, are rejected without effect, and that
// invalid configurations are rejected.
func TestInvalidMessagesAndConfigsAreRejected(t *testing.T) {
	c := newCluster(t, 4, 3, 1, 2*time.Second)
	c.run(3*time.Second, nil)
	node := c.voters[1].node
	before := node.Status()
	encode := func(m raftpb.Message) []byte {
		raw, err := m.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	for name, data := range map[string][]byte{
		"malformed":     []byte("\x08\xff\xff\xff"),
		"too large":     make([]byte, 2*maxMessageBytes+1),
		"to another":    encode(raftpb.Message{Type: raftpb.MsgHeartbeat, From: 2, To: 3, Term: 99}),
		"from another":  encode(raftpb.Message{Type: raftpb.MsgHeartbeat, From: 3, To: 1, Term: 99}),
		"local message": encode(raftpb.Message{Type: raftpb.MsgHup, From: 2, To: 1}),
		"proposal":      encode(raftpb.Message{Type: raftpb.MsgProp, From: 2, To: 1}),
		"no snapshot":   encode(raftpb.Message{Type: raftpb.MsgSnap, From: 2, To: 1, Term: 99}),
		"invalid snapshot": encode(raftpb.Message{Type: raftpb.MsgSnap, From: 2, To: 1, Term: 99,
			Snapshot: &raftpb.Snapshot{Data: []byte("x"), Metadata: raftpb.SnapshotMetadata{Index: 1e6, Term: 99}}}),
		"empty message": nil,
	} {
		if err := node.Step(c.now, 2, data); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if after := node.Status(); after.Term != before.Term || after.Applied != before.Applied ||
		after.Leader != before.Leader {
		t.Errorf("invalid messages changed the status from %+v to %+v", before, after)
	}
	for name, cfg := range map[string]Config{"id 0": {}, "even number of voters": {ID: 1, Voters: []uint64{1, 2}},
		"voter listed twice": {ID: 1, Voters: []uint64{1, 2, 2}}, "not a member": {ID: 4, Voters: []uint64{1, 2, 3}}} {
		if _, err := New(cfg, 0); err == nil {
			t.Errorf("%s: configuration accepted", name)
		}
	}
}

// Guards against a new leader that reports no quorum because its votes arrived late: the ticks that it waited as a
// candidate do not count as silence of a leader.
func TestLateElectionReportsQuorum(t *testing.T) {
	nodes := make(map[uint64]*Node)
	for id := uint64(1); id <= 3; id++ {
		n, err := New(Config{ID: id, Voters: []uint64{1, 2, 3}, Seed: 3}, 0)
		if err != nil {
			t.Fatal(err)
		}
		nodes[id] = n
	}
	discard := func(PersistentState) error { return nil }
	now := time.Duration(0)
	tick := func() []Message {
		now += TickInterval
		nodes[1].Tick(now)
		out, err := nodes[1].ProcessReady(discard)
		if err != nil {
			t.Fatal(err)
		}
		return out.Messages
	}
	var pending []Message
	for len(pending) == 0 {
		pending = tick()
	}
	for nodes[1].ticksSinceLeaderMessage < electionTicks+1 { // until just before it starts another election
		if tick(); nodes[1].ticksSinceLeaderMessage == 0 {
			t.Fatal("the election timeout of this seed is too short: voter 1 started another election")
		}
	}
	senderOf := make(map[string]uint64)
	for _, m := range pending {
		senderOf[string(m.Data)] = 1
	}
	for ; len(pending) > 0; pending = pending[1:] {
		to := nodes[pending[0].To]
		if err := to.Step(now, senderOf[string(pending[0].Data)], pending[0].Data); err != nil {
			t.Fatal(err)
		}
		out, err := to.ProcessReady(discard)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range out.Messages {
			senderOf[string(m.Data)] = to.Status().ID
		}
		pending = append(pending, out.Messages...)
	}
	if s := nodes[1].Status(); !s.IsLeader || !s.Quorum {
		t.Errorf("not a leader with a quorum: %+v", s)
	}
}

// Verifies that errors.Is matches errors with their exported kinds.
func TestErrorsMatchTheirKinds(t *testing.T) {
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
