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

// pair is a control machine that is the only voter and the agent of one gateway, with the messages in transit between
// them, which may be reordered, and the configuration that the gateway has in force.
type pair struct {
	now          time.Duration
	controller   *Controller
	disk         *raft.MemoryStorage
	agent        *Agent
	incarnation  uint64
	services     []string
	toAgent      []codec.Message
	toController []codec.Message
	install      *Install
	running      LastGood
	committed    map[uint64]*Version
	nextID       uint64
}

func newPair(t *rapid.T) *pair {
	p := &pair{disk: &raft.MemoryStorage{}, committed: make(map[uint64]*Version)}
	p.services = rapid.SampledFrom([][]string{nil, {"a"}, {"a", "c"}}).Draw(t, "services")
	p.startAgent(t)
	p.startController(t)
	p.startAgent(t)
	return p
}

func (p *pair) startController(t *rapid.T) {
	var err error
	if p.controller, err = NewController(ControllerConfig{ID: 1, Voters: []uint64{1}, Restored: p.disk.Load(), Seed: 1,
		PageBytes: 64, SnapshotEvery: 10}, p.now); err != nil {
		t.Fatal(err)
	}
	for range 25 { // until the control machine leads
		p.now += raft.TickInterval
		p.controller.Advance(p.now)
		p.takeOutputs(t)
	}
}

func (p *pair) startAgent(t *rapid.T) {
	p.incarnation++
	lastGood := p.running
	cfg := AgentConfig{Gateway: "g", Zone: "z", Services: p.services, Controllers: []ControlMachine{{ID: 1}},
		Session: p.incarnation << 20, Seed: 1}
	if lastGood.Tree != nil {
		cfg.LastGood = &lastGood
	}
	var err error
	if p.agent, err = NewAgent(cfg, p.now); err != nil {
		t.Fatal(err)
	}
	p.install = nil
}

// takeOutputs queues the messages of the control machine and the agent. It checks that no stored version changes and
// that no second installation is requested before the outcome of the first is reported.
func (p *pair) takeOutputs(t *rapid.T) {
	out, err := p.controller.Take(p.disk.Save)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range out.Gateways {
		p.toAgent = append(p.toAgent, m.Message)
	}
	store := p.controller.Store()
	for _, v := range store.versions {
		if known := p.committed[v.Ref.Number]; known != nil && known.Ref != v.Ref {
			t.Fatalf("version %v replaces %v of the same number", v.Ref, known.Ref)
		}
		p.committed[v.Ref.Number] = v
	}
	agentOutput := p.agent.Take()
	for _, m := range agentOutput.Messages {
		p.toController = append(p.toController, m.Message)
	}
	if agentOutput.Install != nil {
		if p.install != nil {
			t.Fatal("a second installation is requested before the outcome of the first is reported")
		}
		p.install = agentOutput.Install
	}
}

// tick advances time by some ticks and delivers some of the messages in transit.
func (p *pair) tick(t *rapid.T) {
	for range rapid.SampledFrom([]int{1, 5, 20}).Draw(t, "ticks") {
		p.now += raft.TickInterval
		p.controller.Advance(p.now)
		if p.agent.NextWake() <= p.now {
			p.agent.Advance(p.now)
		}
		p.takeOutputs(t)
		p.deliver(t)
		p.takeOutputs(t)
	}
}

// stall advances time by 3 or 40 s during which neither side is called.
func (p *pair) stall(t *rapid.T) {
	p.now += rapid.SampledFrom([]time.Duration{3 * time.Second, 40 * time.Second}).Draw(t, "stall")
	p.controller.Advance(p.now)
	p.agent.Advance(p.now)
}

// runInOrder advances time by some ticks; every message is delivered at once and in order.
func (p *pair) runInOrder(t *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(t, "ticks") {
		p.now += raft.TickInterval
		p.controller.Advance(p.now)
		if p.agent.NextWake() <= p.now {
			p.agent.Advance(p.now)
		}
		p.takeOutputs(t)
		p.exchange(t)
		p.answerInstall(t)
		p.takeOutputs(t)
	}
}

// exchange delivers all messages in transit, and those sent in answer, in order.
func (p *pair) exchange(t *rapid.T) {
	for len(p.toAgent)+len(p.toController) > 0 {
		for _, m := range p.toController {
			if err := p.controller.Receive(p.now, 7, m); err != nil {
				t.Fatal(err)
			}
		}
		p.toController = nil
		p.takeOutputs(t)
		for _, m := range p.toAgent {
			p.agent.Receive(p.now, 1, m)
		}
		p.toAgent = nil
		p.takeOutputs(t)
	}
}

// drawMessage draws a message in transit and what happens to it: it is delivered, delivered with a copy left in
// transit, or lost. drawMessage returns nil if there is no message to deliver.
func drawMessage(t *rapid.T, queue *[]codec.Message) codec.Message {
	if len(*queue) == 0 {
		return nil
	}
	index := rapid.IntRange(0, len(*queue)-1).Draw(t, "message")
	m := (*queue)[index]
	outcome := rapid.SampledFrom([]string{"delivered", "delivered", "delivered", "duplicated", "lost"}).Draw(t,
		"outcome")
	if outcome != "duplicated" {
		*queue = slices.Delete(*queue, index, index+1)
	}
	if outcome == "lost" {
		return nil
	}
	return m
}

// deliver delivers at most one message in each direction.
func (p *pair) deliver(t *rapid.T) {
	if m := drawMessage(t, &p.toAgent); m != nil {
		p.agent.Receive(p.now, 1, m)
	}
	if m := drawMessage(t, &p.toController); m != nil {
		if err := p.controller.Receive(p.now, 7, m); err != nil {
			t.Fatal(err)
		}
	}
}

// answerInstall accepts or rejects the requested installation, and checks that an accepted version is not older than
// the one in force, committed and complete.
func (p *pair) answerInstall(t *rapid.T) {
	if p.install == nil {
		return
	}
	next := *p.install
	p.install = nil
	if rapid.IntRange(0, 3).Draw(t, "refuses") == 0 {
		p.agent.Installed(p.now, next.Ref, errors.New("refused"))
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
	p.agent.Installed(p.now, next.Ref, nil)
	p.running = p.agent.InForce()
	services := p.running.Services
	if len(services) == 0 {
		services = v.Tree.Services()
	}
	if p.running.Ref != next.Ref || p.running.Tree.Hash() != v.Tree.ScopeHash(services) {
		t.Fatalf("version %v in force has wrong content for services %v", next.Ref, services)
	}
}

// propose draws a command and proposes it.
func (p *pair) propose(t *rapid.T) {
	p.nextID++
	head := p.controller.Store().Head().Ref.Number
	kinds := []CommandKind{Propose, Propose, Propose, Propose, Stop, Revert}
	if p.controller.Store().Rollout().Stage == StageStopped {
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
		c.Version = p.controller.Store().Rollout().Version
	}
	_ = p.controller.Propose(p.now, c) // an error is allowed; store_test.go tests which commands are rejected
}

// restart starts the agent or the control machine again from its stored state.
func (p *pair) restart(t *rapid.T) {
	if rapid.Bool().Draw(t, "the agent") {
		p.startAgent(t)
	} else {
		p.startController(t)
	}
}

// changeServices makes the gateway serve other services.
func (p *pair) changeServices(t *rapid.T) {
	p.services = rapid.SampledFrom([][]string{nil, {"a"}, {"b"}, {"a", "c"}}).Draw(t, "services")
	if err := p.agent.SetServices(p.now, p.services); err != nil {
		t.Fatal(err)
	}
}

// fail makes the gateway fail or recover.
func (p *pair) fail(t *rapid.T) {
	if rapid.Bool().Draw(t, "recovers") {
		p.agent.Recover(p.now)
	} else {
		p.agent.Fail(p.now, "fails")
	}
}

// checkConverged ends all faults and verifies that after 30 s the newest version is released and in force, unless the
// gateway rejected it or the rollout is stopped.
func (p *pair) checkConverged(t *rapid.T) {
	p.agent.Recover(p.now)
	p.toAgent, p.toController = nil, nil
	for range 600 {
		p.now += 50 * time.Millisecond
		p.controller.Advance(p.now)
		if p.agent.NextWake() <= p.now {
			p.agent.Advance(p.now)
		}
		p.takeOutputs(t)
		p.exchange(t)
		if next := p.install; next != nil {
			p.install = nil
			p.agent.Installed(p.now, next.Ref, nil)
			p.running = p.agent.InForce()
		}
	}
	store := p.controller.Store()
	if s := store.Rollout(); s.Stage == StageStopped {
		return
	}
	if store.Released() != store.Head() {
		t.Fatalf("version %v is released, want %v: %+v", store.Released().Ref, store.Head().Ref, store.Rollout())
	}
	rejected := p.agent.lastVerdict.Verdict == codec.Rejected && p.agent.lastVerdict.Version == store.Head().Ref.Number
	if p.running.Ref != store.Head().Ref && !rejected && store.Head().Ref.Number > 0 {
		t.Fatalf("version %v is in force, want %v", p.running.Ref, store.Head().Ref)
	}
}

// Runs a control machine and an agent with lost, duplicated and reordered messages, restarts, stalls, rejections and
// failures. The version in force must always be committed, complete and not older than before. Once the faults end,
// the newest version must come into force.
func TestControllerAndAgentConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(t)
		t.Repeat(map[string]func(*rapid.T){"": p.takeOutputs, "pass": p.tick, "deliver": p.deliver, "run": p.runInOrder,
			"run more": p.runInOrder, "answer": p.answerInstall, "propose": p.propose, "propose more": p.propose,
			"stall": p.stall, "restart": p.restart, "serve others": p.changeServices, "fail": p.fail})
		p.checkConverged(t)
		if n := p.agent.Counts().Mismatched; n > 0 {
			t.Fatalf("the content of %d transfers did not have the hash of the version", n)
		}
	})
}
