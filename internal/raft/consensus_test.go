package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"thymebend/internal/lease"
)

// disk keeps what a voter gives it, until it is full.
type disk struct {
	MemoryStorage
	full bool
}

func (d *disk) keep(k PersistentState) error {
	if d.full {
		return errors.New("no space left")
	}
	return d.Save(k)
}

// voter is a process that runs a node, or has ended.
type voter struct {
	id      uint64
	node    *Node
	disk    *disk
	stopped time.Duration // it stands still until then
	ticked  time.Duration
}

type letter struct {
	at time.Duration
	do func()
}

// cluster is voters, clients that ask them, and what lies between.
type cluster struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	voters  map[uint64]*voter
	first   []uint64
	post    []letter
	loss    float64
	cut     func(from, to uint64) bool // clients are 0
	clients []*asker
	wrong   []string
	highest uint64
	guard   *lease.Guard
	effects int
	last    time.Duration // of an effect
	gap     time.Duration // longest time without
	volatil bool          // voters forget all when they end, and come back under the same id: a planted defect
}

type asker struct {
	*lease.Client
	n       int
	at      uint64 // voter that it asks next
	stopped time.Duration
}

const duty = "sweep"

func newCluster(t testing.TB, seed uint64, n, clients int, duration time.Duration) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 9)), voters: make(map[uint64]*voter), guard: lease.NewGuard(100), cut: func(uint64, uint64) bool { return false }}
	for id := uint64(1); id <= uint64(n); id++ {
		c.first = append(c.first, id)
	}
	for _, id := range c.first {
		c.voters[id] = &voter{id: id, disk: &disk{}}
		c.start(id)
	}
	for i := range clients {
		a := &asker{Client: lease.NewClient(fmt.Sprint("g", i), 1), n: i}
		if err := a.SetRequests(0, []lease.Request{{Name: duty, Slots: 1, Duration: duration}}); err != nil {
			t.Fatal(err)
		}
		c.clients = append(c.clients, a)
	}
	return c
}

func (c *cluster) start(id uint64) {
	v := c.voters[id]
	cfg := Config{ID: id, Voters: c.first, Restored: v.disk.Load(), Seed: c.rng.Uint64()}
	if !slices.Contains(c.first, id) {
		cfg.Voters = nil
	}
	if c.volatil {
		cfg.Restored = nil
	}
	var err error
	if v.node, err = New(cfg, c.now); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) send(from, to uint64, do func()) {
	if c.cut(from, to) || c.rng.Float64() < c.loss {
		return
	}
	c.post = append(c.post, letter{c.now + time.Millisecond + time.Duration(c.rng.Int64N(int64(20*time.Millisecond))), do})
}

// take does what a voter has ready.
func (c *cluster) take(v *voter) {
	if v.node == nil {
		return
	}
	out, err := v.node.Take(v.disk.keep)
	if err != nil && !errors.Is(err, ErrFailed) {
		c.t.Fatal(err)
	}
	for _, m := range out.Messages {
		c.send(v.id, m.To, func() {
			if to := c.voters[m.To]; to != nil && to.node != nil && c.now >= to.stopped {
				if err := to.node.Step(c.now, v.id, m.Data); err != nil && !errors.Is(err, ErrFailed) && !errors.Is(err, raft.ErrStepPeerNotFound) {
					c.t.Fatalf("at %v: %v", c.now, err)
				}
				c.take(to)
			}
		})
	}
	for _, a := range out.Answers {
		for _, k := range c.clients {
			if fmt.Sprint("g", k.n) == a.Client {
				c.send(v.id, 0, func() {
					if c.now >= k.stopped {
						k.Receive(c.now, a.Seq, a.Answer)
					}
				})
			}
		}
	}
}

func (c *cluster) leader() *voter {
	for _, id := range slices.Sorted(keys(c.voters)) {
		if v := c.voters[id]; v.node != nil && c.now >= v.stopped && v.node.Status().IsLeader && v.node.Status().Quorum {
			return v
		}
	}
	return nil
}

// run lets time pass. each is called every 10 ms.
func (c *cluster) run(length time.Duration, each func()) {
	for end := c.now + length; c.now < end; c.now += 10 * time.Millisecond {
		if each != nil {
			each()
		}
		kept := c.post[:0]
		var due []letter
		for _, l := range c.post {
			if l.at <= c.now {
				due = append(due, l)
			} else {
				kept = append(kept, l)
			}
		}
		c.post = kept
		for _, l := range due {
			l.do()
		}
		for _, id := range slices.Sorted(keys(c.voters)) {
			v := c.voters[id]
			if v.node == nil || c.now < v.stopped {
				continue
			}
			if c.now-v.ticked >= TickEvery {
				v.ticked = c.now
				v.node.Tick(c.now)
			}
			c.take(v)
		}
		for _, k := range c.clients {
			if c.now >= k.stopped {
				c.act(k)
			}
		}
	}
}

// act has a client ask some voter, and do its duty if it may.
func (c *cluster) act(k *asker) {
	if cmd, ok := k.NextCommand(c.now); ok {
		ids := slices.Sorted(keys(c.voters))
		for range ids { // one after another until somebody leads; each try may be lost
			k.at++
			to := c.voters[ids[int(k.at)%len(ids)]]
			if to.node == nil || c.now < to.stopped || c.cut(0, to.id) || !to.node.Status().IsLeader {
				continue
			}
			c.send(0, to.id, func() {
				if to.node != nil && c.now >= to.stopped {
					_ = to.node.Propose(c.now, cmd)
					c.take(to)
				}
			})
			break
		}
	}
	fence, ok := k.Token(c.now, duty)
	if !ok {
		return
	}
	if !c.guard.Admit(duty, fence) || fence < c.highest {
		c.wrong = append(c.wrong, fmt.Sprintf("at %v: g%d acts with number %d after %d", c.now, k.n, fence, c.highest))
	}
	c.highest = max(c.highest, fence)
	c.effects++
	c.gap = max(c.gap, c.now-c.last)
	c.last = c.now
	for _, o := range c.clients {
		if _, both := o.Token(c.now, duty); both && o != k {
			c.wrong = append(c.wrong, fmt.Sprintf("at %v: g%d and g%d hold it", c.now, k.n, o.n))
		}
	}
}

// trouble is what befalls a cluster at random.
func (c *cluster) trouble(withDisk bool) func() {
	healed := time.Duration(0)
	return func() {
		switch {
		case c.rng.IntN(300) == 0: // a cut: one voter, one way, or two parts
			at, how := c.rng.Uint64N(uint64(len(c.first)))+1, c.rng.IntN(3)
			c.cut = func(from, to uint64) bool {
				switch how {
				case 0:
					return from == at || to == at
				case 1:
					return from == at
				}
				return from != 0 && to != 0 && (from <= at) != (to <= at)
			}
			healed = c.now + time.Duration(c.rng.Int64N(int64(4*time.Second)))
		case c.now >= healed && healed > 0:
			c.cut, healed = func(uint64, uint64) bool { return false }, 0
		case c.rng.IntN(400) == 0:
			v := c.voters[c.first[c.rng.IntN(len(c.first))]]
			v.stopped = c.now + time.Duration(c.rng.Int64N(int64(3*time.Second)))
		case c.rng.IntN(400) == 0 && withDisk:
			v := c.voters[c.first[c.rng.IntN(len(c.first))]]
			v.node = nil
			id := v.id
			c.post = append(c.post, letter{c.now + time.Duration(c.rng.Int64N(int64(3*time.Second))), func() {
				if c.voters[id].node == nil {
					c.start(id)
				}
			}})
		case c.rng.IntN(300) == 0:
			k := c.clients[c.rng.IntN(len(c.clients))]
			k.stopped = c.now + time.Duration(c.rng.Int64N(int64(4*time.Second)))
		}
	}
}

// Voters that are cut off, stand still, die and come back with what they kept; clients that stand still; a third of all messages lost: never
// two holders, numbers that only grow, and the duty goes on.
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
			most += 2*electionTicks*TickEvery + time.Second
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
	t.Logf("handed on after %v in the median, %v at worst; with the leader dead too %v, %v", gaps[len(gaps)/2], gaps[len(gaps)-1], both[len(both)/2], both[len(both)-1])
}

// A voter that has forgotten all comes back under a new id, learns, and takes its old one's place; then another may go.
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
	if !slices.Contains(st.Voters, 7) || slices.Contains(st.Voters, lost) || len(st.Voters) != 3 || len(st.Learners) != 0 {
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
	if got, want := away.node.Status().Applied, leader.node.Status().Applied; want < keepEntries+2*snapshotEvery || got < want-50 {
		t.Errorf("one that was away has applied %d of %d", got, want)
	}
	first, _ := leader.node.store.FirstIndex()
	last, _ := leader.node.store.LastIndex()
	if last-first > keepEntries+2*snapshotEvery || len(leader.disk.entries) > 2*snapshotEvery {
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
		"noise":           []byte("\x08\xff\xff\xff"),
		"too large":       make([]byte, 2*mostMessage+1),
		"to another":      word(raftpb.Message{Type: raftpb.MsgHeartbeat, From: 2, To: 3, Term: 99}),
		"from another":    word(raftpb.Message{Type: raftpb.MsgHeartbeat, From: 3, To: 1, Term: 99}),
		"a local one":     word(raftpb.Message{Type: raftpb.MsgHup, From: 2, To: 1}),
		"a proposal":      word(raftpb.Message{Type: raftpb.MsgProp, From: 2, To: 1}),
		"no snapshot":     word(raftpb.Message{Type: raftpb.MsgSnap, From: 2, To: 1, Term: 99}),
		"a spoilt one":    word(raftpb.Message{Type: raftpb.MsgSnap, From: 2, To: 1, Term: 99, Snapshot: &raftpb.Snapshot{Data: []byte("x"), Metadata: raftpb.SnapshotMetadata{Index: 1e6, Term: 99}}}),
		"an empty answer": nil,
	} {
		if err := n.Step(c.now, 2, data); err == nil {
			t.Errorf("%s: heard", name)
		}
	}
	if after := n.Status(); after.Term != before.Term || after.Applied != before.Applied || after.Leader != before.Leader {
		t.Errorf("%+v, was %+v", after, before)
	}
	for want, cfg := range map[string]Config{"id 0": {}, "odd": {ID: 1, Voters: []uint64{1, 2}}, "each once": {ID: 1, Voters: []uint64{1, 2, 2}}, "among them": {ID: 4, Voters: []uint64{1, 2, 3}}} {
		if _, err := New(cfg, 0); err == nil {
			t.Errorf("%s: started", want)
		}
	}
}

// A voter whose votes come late leads with a quorum like any other: what it waited as a candidate is no silence of a leader.
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
		now += TickEvery
		nodes[1].Tick(now)
		out, err := nodes[1].Take(keep)
		if err != nil {
			t.Fatal(err)
		}
		return out.Messages
	}
	var post []Message
	for len(post) == 0 {
		post = tick()
	}
	for nodes[1].silent < electionTicks+1 { // before it campaigns again
		if tick(); nodes[1].silent == 0 {
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
		out, err := to.Take(keep)
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
