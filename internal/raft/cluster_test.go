package raft

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.etcd.io/raft/v3"

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

// keepEntries is how many entries stay in the log after a snapshot.
const keepEntries = retainedIntervals * defaultSnapshotInterval

func newCluster(t testing.TB, seed uint64, n, clients int, duration time.Duration) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 9)), voters: make(map[uint64]*voter),
		guard: lease.NewGuard(100), cut: func(uint64, uint64) bool { return false }}
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
	c.post = append(c.post, letter{c.now + time.Millisecond + time.Duration(c.rng.Int64N(int64(20*time.Millisecond))),
		do})
}

// take does what a voter has ready.
func (c *cluster) take(v *voter) {
	if v.node == nil {
		return
	}
	out, err := v.node.ProcessReady(v.disk.keep)
	if err != nil && !errors.Is(err, ErrFailed) {
		c.t.Fatal(err)
	}
	for _, m := range out.Messages {
		c.send(v.id, m.To, func() {
			if to := c.voters[m.To]; to != nil && to.node != nil && c.now >= to.stopped {
				if err := to.node.Step(c.now, v.id, m.Data); err != nil && !errors.Is(err, ErrFailed) &&
					!errors.Is(err, raft.ErrStepPeerNotFound) {
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
	for _, id := range slices.Sorted(maps.Keys(c.voters)) {
		if v := c.voters[id]; v.node != nil && c.now >= v.stopped && v.node.Status().IsLeader &&
			v.node.Status().Quorum {
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
		for _, id := range slices.Sorted(maps.Keys(c.voters)) {
			v := c.voters[id]
			if v.node == nil || c.now < v.stopped {
				continue
			}
			if c.now-v.ticked >= TickInterval {
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
		ids := slices.Sorted(maps.Keys(c.voters))
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
