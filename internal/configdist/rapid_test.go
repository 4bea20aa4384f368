package configdist

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

// pair is a control machine that votes alone and one gateway's agent, with what lies between them in no order, and
// the gateway's own idea of what is in force.
type pair struct {
	now       time.Duration
	c         *Controller
	disk      *raft.MemoryStorage
	a         *Agent
	life      uint64
	services  []string
	toAgent   []codec.Message
	toMachine []codec.Message
	install   *Install
	running   LastGood
	committed map[uint64]*Version
	nextID    uint64
}

func newPair(t *rapid.T) *pair {
	p := &pair{disk: &raft.MemoryStorage{}, committed: make(map[uint64]*Version)}
	p.services = rapid.SampledFrom([][]string{nil, {"a"}, {"a", "c"}}).Draw(t, "services")
	p.startAgent(t)
	p.startMachine(t)
	p.startAgent(t)
	return p
}

func (p *pair) startMachine(t *rapid.T) {
	var err error
	if p.c, err = NewController(ControllerConfig{ID: 1, Voters: []uint64{1}, Restored: p.disk.Load(), Seed: 1,
		PageBytes: 64, SnapshotEvery: 10}, p.now); err != nil {
		t.Fatal(err)
	}
	for range 25 { // until it leads
		p.now += raft.TickInterval
		p.c.Advance(p.now)
		p.take(t)
	}
}

func (p *pair) startAgent(t *rapid.T) {
	p.life++
	kept := p.running
	cfg := AgentConfig{Gateway: "g", Zone: "z", Services: p.services, Controllers: []ControlMachine{{ID: 1}},
		Session: p.life << 20, Seed: 1}
	if kept.Tree != nil {
		cfg.LastGood = &kept
	}
	var err error
	if p.a, err = NewAgent(cfg, p.now); err != nil {
		t.Fatal(err)
	}
	p.install = nil
}

// take does what both want done.
func (p *pair) take(t *rapid.T) {
	out, err := p.c.Take(p.disk.Save)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range out.Gateways {
		p.toAgent = append(p.toAgent, m.Message)
	}
	store := p.c.Store()
	for _, v := range store.versions {
		if was := p.committed[v.Ref.Number]; was != nil && was.Ref != v.Ref {
			t.Fatalf("version %v was %v", v.Ref, was.Ref)
		}
		p.committed[v.Ref.Number] = v
	}
	from := p.a.Take()
	for _, m := range from.Messages {
		p.toMachine = append(p.toMachine, m.Message)
	}
	if from.Install != nil {
		if p.install != nil {
			t.Fatal("a second configuration is handed over before the first is answered")
		}
		p.install = from.Install
	}
}

// pass lets time pass by ticks, with some of the messages underway.
func (p *pair) pass(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "ticks") {
		p.now += raft.TickInterval
		p.c.Advance(p.now)
		if p.a.NextWake() <= p.now {
			p.a.Advance(p.now)
		}
		p.take(t)
		p.deliver(t)
		p.take(t)
	}
}

// stall has both stand still.
func (p *pair) stall(t *rapid.T) {
	p.now += rapid.SampledFrom([]time.Duration{3 * time.Second, 40 * time.Second}).Draw(t, "stands still")
	p.c.Advance(p.now)
	p.a.Advance(p.now)
}

// run lets time pass with every message arriving at once.
func (p *pair) run(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "ticks") {
		p.now += raft.TickInterval
		p.c.Advance(p.now)
		if p.a.NextWake() <= p.now {
			p.a.Advance(p.now)
		}
		p.take(t)
		p.exchange(t)
		p.answer(t)
		p.take(t)
	}
}

// exchange has everything that is under way arrive, and what follows from it, in its order.
func (p *pair) exchange(t *rapid.T) {
	for len(p.toAgent)+len(p.toMachine) > 0 {
		for _, m := range p.toMachine {
			if err := p.c.Receive(p.now, 7, m); err != nil {
				t.Fatal(err)
			}
		}
		p.toMachine = nil
		p.take(t)
		for _, m := range p.toAgent {
			p.a.Receive(p.now, 1, m)
		}
		p.toAgent = nil
		p.take(t)
	}
}

// pick takes a message out of the post, or leaves a copy there, or loses it.
func pick(t *rapid.T, post *[]codec.Message) codec.Message {
	if len(*post) == 0 {
		return nil
	}
	at := rapid.IntRange(0, len(*post)-1).Draw(t, "message")
	m := (*post)[at]
	fate := rapid.SampledFrom([]string{"arrives", "arrives", "arrives", "arrives and comes again", "is lost"}).Draw(t,
		"it")
	if fate != "arrives and comes again" {
		*post = slices.Delete(*post, at, at+1)
	}
	if fate == "is lost" {
		return nil
	}
	return m
}

func (p *pair) deliver(t *rapid.T) {
	if m := pick(t, &p.toAgent); m != nil {
		p.a.Receive(p.now, 1, m)
	}
	if m := pick(t, &p.toMachine); m != nil {
		if err := p.c.Receive(p.now, 7, m); err != nil {
			t.Fatal(err)
		}
	}
}

func (p *pair) answer(t *rapid.T) {
	if p.install == nil {
		return
	}
	next := *p.install
	p.install = nil
	if rapid.IntRange(0, 3).Draw(t, "refuses") == 0 {
		p.a.Installed(p.now, next.Ref, errors.New("refused"))
		return
	}
	if next.Ref.Number < p.running.Ref.Number || next.Ref.Term < p.running.Ref.Term ||
		next.Ref.Number == p.running.Ref.Number && next.Ref != p.running.Ref {
		t.Fatalf("version %v in force after %v", next.Ref, p.running.Ref)
	}
	v := p.committed[next.Ref.Number]
	if v == nil || v.Ref != next.Ref {
		t.Fatalf("version %v was never committed", next.Ref)
	}
	p.a.Installed(p.now, next.Ref, nil)
	p.running = p.a.InForce()
	services := p.running.Services
	if len(services) == 0 {
		services = v.Tree.Services()
	}
	if p.running.Ref != next.Ref || p.running.Tree.Hash() != v.Tree.ScopeHash(services) {
		t.Fatalf("version %v of %v is not whole", next.Ref, services)
	}
}

func (p *pair) propose(t *rapid.T) {
	p.nextID++
	head := p.c.Store().Head().Ref.Number
	kinds := []CommandKind{Propose, Propose, Propose, Propose, Stop, Revert}
	if p.c.Store().Rollout().Stage == StageStopped {
		kinds = []CommandKind{Resume, Revert}
	}
	c := Command{ID: p.nextID, Kind: rapid.SampledFrom(kinds).Draw(t, "command"), Base: head}
	switch c.Kind {
	case Propose:
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
			c.Changes = append(c.Changes, service(name, "kept"))
			e := content.Entry{Kind: content.Kind(rapid.IntRange(1, 3).Draw(t, "kind")), Service: name, Name: name,
				Body: rapid.StringMatching("[a-z]{0,30}").Draw(t, "body")}
			if e.Kind != content.Service {
				e.Name = rapid.SampledFrom([]string{"x", "y"}).Draw(t, "name")
			}
			c.Changes = append(c.Changes, content.Change{Remove: rapid.IntRange(0, 3).Draw(t, "removes") == 0,
				Entry: e})
		}
	case Revert:
		c.Version = rapid.Uint64Range(0, head).Draw(t, "back to")
	default:
		c.Version = p.c.Store().Rollout().Version
	}
	_ = p.c.Propose(p.now, c) // what cannot be is refused; the store's tests say what
}

func (p *pair) restart(t *rapid.T) {
	if rapid.Bool().Draw(t, "the agent") {
		p.startAgent(t)
	} else {
		p.startMachine(t)
	}
}

func (p *pair) serveOthers(t *rapid.T) {
	p.services = rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "c"}}).Draw(t, "services")
	if err := p.a.SetServices(p.now, p.services); err != nil {
		t.Fatal(err)
	}
}

// fail has the gateway fail, or recover.
func (p *pair) fail(t *rapid.T) {
	if rapid.Bool().Draw(t, "recovers") {
		p.a.Recover(p.now)
	} else {
		p.a.Fail(p.now, "fails")
	}
}

// settle lets everything arrive, and then the agent must have what it is to have.
func (p *pair) settle(t *rapid.T) {
	p.a.Recover(p.now)
	p.toAgent, p.toMachine = nil, nil
	for range 600 {
		p.now += 50 * time.Millisecond
		p.c.Advance(p.now)
		if p.a.NextWake() <= p.now {
			p.a.Advance(p.now)
		}
		p.take(t)
		p.exchange(t)
		if next := p.install; next != nil {
			p.install = nil
			p.a.Installed(p.now, next.Ref, nil)
			p.running = p.a.InForce()
		}
	}
	store := p.c.Store()
	if s := store.Rollout(); s.Stage == StageStopped {
		return
	}
	if store.Released() != store.Head() {
		t.Fatalf("version %v is released, not %v: %+v", store.Released().Ref, store.Head().Ref, store.Rollout())
	}
	refused := p.a.lastVerdict.Verdict == codec.Rejected && p.a.lastVerdict.Version == store.Head().Ref.Number
	if p.running.Ref != store.Head().Ref && !refused && store.Head().Ref.Number > 0 {
		t.Fatalf("version %v is in force, not %v", p.running.Ref, store.Head().Ref)
	}
}

// Store, control machine and agent with messages that are lost, repeated and overtaken, restarts, stalls, refusals
// and failures: what is in force is committed, whole and never older than before; and when all is well again it is
// the newest.
func TestStoreAndAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t)
		t.Repeat(map[string]func(*rapid.T){"": p.take, "pass": p.pass, "deliver": p.deliver, "run": p.run,
			"run more": p.run, "answer": p.answer, "propose": p.propose, "propose more": p.propose,
			"stall": p.stall, "restart": p.restart, "serve others": p.serveOthers, "fail": p.fail})
		p.settle(t)
		if n := p.a.Counts().Mismatched; n > 0 {
			t.Fatalf("%d contents were not their versions'", n)
		}
	})
}
