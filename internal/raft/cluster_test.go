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

// disk stores a voter's persistent state, and returns an error if it is full.
type disk struct {
	MemoryStorage
	full bool
}

func (d *disk) persist(state PersistentState) error {
	if d.full {
		return errors.New("no space left")
	}
	return d.Save(state)
}

// voter is a process that runs a node. After the process has ended, node is nil.
type voter struct {
	id          uint64
	node        *Node
	disk        *disk
	pausedUntil time.Duration // the process does nothing until then
	lastTick    time.Duration
}

// delivery is the arrival of a message at a time, or a restart.
type delivery struct {
	dueAt   time.Duration
	deliver func()
}

// cluster simulates voters, clients that send them commands, and the network between them.
type cluster struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Duration
	voters        map[uint64]*voter
	initialVoters []uint64
	network       []delivery
	loss          float64
	blocked       func(from, to uint64) bool // whether messages are lost; clients have id 0
	clients       []*leaseClient
	violations    []string
	highestToken  uint64
	guard         *lease.Guard
	effects       int
	lastEffect    time.Duration // time of the last effect
	longestGap    time.Duration // longest time without an effect
	losesState    bool          // planted defect: voters restart without their state, under the same id
}

// leaseClient is a lease client that sends its commands to one voter after another.
type leaseClient struct {
	*lease.Client
	index       int
	nextVoter   uint64 // index of the voter that it sends the next command to
	pausedUntil time.Duration
}

const leaseName = "sweep"

// retainedEntries is the number of entries that remain in the log after a snapshot.
const retainedEntries = retainedIntervals * defaultSnapshotInterval

func newCluster(t testing.TB, seed uint64, n, clients int, duration time.Duration) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 9)), voters: make(map[uint64]*voter),
		guard: lease.NewGuard(100), blocked: func(uint64, uint64) bool { return false }}
	for id := uint64(1); id <= uint64(n); id++ {
		c.initialVoters = append(c.initialVoters, id)
	}
	for _, id := range c.initialVoters {
		c.voters[id] = &voter{id: id, disk: &disk{}}
		c.start(id)
	}
	for i := range clients {
		client := &leaseClient{Client: lease.NewClient(fmt.Sprint("g", i), 1), index: i}
		if err := client.SetRequests(0, []lease.Request{{Name: leaseName, Slots: 1, Duration: duration}}); err != nil {
			t.Fatal(err)
		}
		c.clients = append(c.clients, client)
	}
	return c
}

func (c *cluster) start(id uint64) {
	v := c.voters[id]
	cfg := Config{ID: id, Voters: c.initialVoters, Restored: v.disk.Load(), Seed: c.rng.Uint64()}
	if !slices.Contains(c.initialVoters, id) {
		cfg.Voters = nil
	}
	if c.losesState {
		cfg.Restored = nil
	}
	var err error
	if v.node, err = New(cfg, c.now); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) send(from, to uint64, do func()) {
	if c.blocked(from, to) || c.rng.Float64() < c.loss {
		return
	}
	c.network = append(c.network, delivery{
		c.now + time.Millisecond + time.Duration(c.rng.Int64N(int64(20*time.Millisecond))),
		do})
}

// processReady processes what a voter has ready, and sends its messages and answers.
func (c *cluster) processReady(v *voter) {
	if v.node == nil {
		return
	}
	out, err := v.node.ProcessReady(v.disk.persist)
	if err != nil && !errors.Is(err, ErrFailed) {
		c.t.Fatal(err)
	}
	for _, m := range out.Messages {
		c.send(v.id, m.To, func() {
			if to := c.voters[m.To]; to != nil && to.node != nil && c.now >= to.pausedUntil {
				if err := to.node.Step(c.now, v.id, m.Data); err != nil && !errors.Is(err, ErrFailed) &&
					!errors.Is(err, raft.ErrStepPeerNotFound) {
					c.t.Fatalf("at %v: %v", c.now, err)
				}
				c.processReady(to)
			}
		})
	}
	for _, answer := range out.Answers {
		for _, client := range c.clients {
			if fmt.Sprint("g", client.index) == answer.Client {
				c.send(v.id, 0, func() {
					if c.now >= client.pausedUntil {
						client.Receive(c.now, answer.Seq, answer.Answer)
					}
				})
			}
		}
	}
}

func (c *cluster) leader() *voter {
	for _, id := range slices.Sorted(maps.Keys(c.voters)) {
		if v := c.voters[id]; v.node != nil && c.now >= v.pausedUntil && v.node.Status().IsLeader &&
			v.node.Status().Quorum {
			return v
		}
	}
	return nil
}

// run advances the simulation by a duration, in steps of 10 ms. It calls everyStep, if not nil, at the start of each
// step.
func (c *cluster) run(length time.Duration, everyStep func()) {
	for end := c.now + length; c.now < end; c.now += 10 * time.Millisecond {
		if everyStep != nil {
			everyStep()
		}
		later := c.network[:0]
		var due []delivery
		for _, d := range c.network {
			if d.dueAt <= c.now {
				due = append(due, d)
			} else {
				later = append(later, d)
			}
		}
		c.network = later
		for _, d := range due {
			d.deliver()
		}
		for _, id := range slices.Sorted(maps.Keys(c.voters)) {
			v := c.voters[id]
			if v.node == nil || c.now < v.pausedUntil {
				continue
			}
			if c.now-v.lastTick >= TickInterval {
				v.lastTick = c.now
				v.node.Tick(c.now)
			}
			c.processReady(v)
		}
		for _, client := range c.clients {
			if c.now >= client.pausedUntil {
				c.step(client)
			}
		}
	}
}

// step lets a client send its next command and perform an effect of its task if it holds the lease.
func (c *cluster) step(client *leaseClient) {
	if cmd, ok := client.NextCommand(c.now); ok {
		ids := slices.Sorted(maps.Keys(c.voters))
		for range ids { // tries the voters until one is the leader; the message to that voter may be lost
			client.nextVoter++
			to := c.voters[ids[int(client.nextVoter)%len(ids)]]
			if to.node == nil || c.now < to.pausedUntil || c.blocked(0, to.id) || !to.node.Status().IsLeader {
				continue
			}
			c.send(0, to.id, func() {
				if to.node != nil && c.now >= to.pausedUntil {
					_ = to.node.Propose(c.now, cmd)
					c.processReady(to)
				}
			})
			break
		}
	}
	token, ok := client.Token(c.now, leaseName)
	if !ok {
		return
	}
	if !c.guard.Admit(leaseName, token) || token < c.highestToken {
		c.violations = append(c.violations, fmt.Sprintf("at %v: g%d performs an effect with token %d after token %d",
			c.now, client.index, token, c.highestToken))
	}
	c.highestToken = max(c.highestToken, token)
	c.effects++
	c.longestGap = max(c.longestGap, c.now-c.lastEffect)
	c.lastEffect = c.now
	for _, other := range c.clients {
		if _, held := other.Token(c.now, leaseName); held && other != client {
			c.violations = append(c.violations, fmt.Sprintf("at %v: g%d and g%d both hold the lease",
				c.now, client.index, other.index))
		}
	}
}

// injectFaults returns a function that injects random faults: partitions, paused voters and clients and, if
// withRestarts, restarted voters.
func (c *cluster) injectFaults(withRestarts bool) func() {
	healAt := time.Duration(0)
	return func() {
		switch {
		case c.rng.IntN(300) == 0: // partition: one voter isolated, one voter's sent messages lost, or two parts
			member, kind := c.rng.Uint64N(uint64(len(c.initialVoters)))+1, c.rng.IntN(3)
			c.blocked = func(from, to uint64) bool {
				switch kind {
				case 0:
					return from == member || to == member
				case 1:
					return from == member
				}
				return from != 0 && to != 0 && (from <= member) != (to <= member)
			}
			healAt = c.now + time.Duration(c.rng.Int64N(int64(4*time.Second)))
		case c.now >= healAt && healAt > 0:
			c.blocked, healAt = func(uint64, uint64) bool { return false }, 0
		case c.rng.IntN(400) == 0:
			v := c.voters[c.initialVoters[c.rng.IntN(len(c.initialVoters))]]
			v.pausedUntil = c.now + time.Duration(c.rng.Int64N(int64(3*time.Second)))
		case c.rng.IntN(400) == 0 && withRestarts:
			v := c.voters[c.initialVoters[c.rng.IntN(len(c.initialVoters))]]
			v.node = nil
			id := v.id
			c.network = append(c.network, delivery{c.now + time.Duration(c.rng.Int64N(int64(3*time.Second))), func() {
				if c.voters[id].node == nil {
					c.start(id)
				}
			}})
		case c.rng.IntN(300) == 0:
			client := c.clients[c.rng.IntN(len(c.clients))]
			client.pausedUntil = c.now + time.Duration(c.rng.Int64N(int64(4*time.Second)))
		}
	}
}
