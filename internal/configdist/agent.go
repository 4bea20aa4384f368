package configdist

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// Times of an agent.
const (
	reportEvery   = 2 * time.Second        // a sign of life
	answerWithin  = 400 * time.Millisecond // of a control machine, before the same is sent again
	mostTries     = 4                      // before the next control machine is tried
	backoffLeast  = 250 * time.Millisecond // after all control machines were tried in vain
	backoffMost   = 2 * time.Second
	returnAfter   = time.Minute     // to the first control machine of the agent's order
	stalledAfter  = 4 * time.Second // between two calls: what has waited meanwhile is dropped
	mostPending   = 32 << 20        // bytes of changes that are collected
	mostNamed     = 96 << 10        // bytes of the names of services; a gateway that serves more takes all
	reasonMissing = "no reason given"
)

// ControlMachine is one that an agent may subscribe to.
type ControlMachine struct {
	ID     uint64
	Region string
}

// Kept is the last good configuration, as a gateway keeps it over its restarts.
type Kept struct {
	Ref      content.Ref
	Services []string
	Tree     *content.Tree
}

// AgentConfig is what an agent starts from.
type AgentConfig struct {
	Gateway, Zone, Region string
	Services              []string // that the gateway serves; none for all
	Controllers           []ControlMachine
	Kept                  *Kept  // of the process before, or nil
	Session               uint64 // above that of any process before, as Unix time in ms is
	Seed                  uint64
}

// ToController is a message to a control machine.
type ToController struct {
	To      uint64
	Message codec.Message
}

// Install is a configuration to be put in force, whole or not at all. Agent.Installed takes how it went.
type Install struct {
	Ref  content.Ref
	Tree *content.Tree
}

// AgentOutput is what is to be done now.
type AgentOutput struct {
	Messages []ToController
	Install  *Install
}

// AgentCounts are what has happened to an agent.
type AgentCounts struct {
	Installed, Refused  uint64
	Sessions            uint64 // begun
	Wholes              uint64 // collected as a whole, not as a delta
	Stale               uint64 // messages of another session or control machine, dropped
	Fenced              uint64 // versions that were older than the one in force, or of an older term
	Forked              uint64 // versions of the number in force with other content
	Mismatched          uint64 // contents whose hash was not their version's
	Stalls, Unreachable uint64
}

// Agent is a gateway's part.
type Agent struct {
	cfg    AgentConfig
	rng    *rand.Rand
	order  []uint64
	at     int // in order
	out    AgentOutput
	counts AgentCounts

	now        time.Duration
	session    uint64
	subscribed bool
	awaiting   bool // an answer to what was sent last
	tries      int
	silent     int // control machines tried in vain
	backoff    time.Duration
	sendAt     time.Duration // the next report, or the same again
	returnAt   time.Duration

	inForce    content.Ref
	tree       *content.Tree
	services   []string // of the tree
	incomplete bool     // they are not those that are served now
	attempt    uint64
	verdict    codec.State // Verdict, Version, Attempt, Reason alone
	wantWhole  bool
	pending    *pending
	installing *installing
}

// pending is a configuration that is being collected.
type pending struct {
	from, target content.Ref
	attempt      uint64
	scope        content.Hash
	after        content.Cursor
	changes      []content.Change
	bytes        int
}

// installing is a configuration that the gateway has been handed.
type installing struct {
	ref      content.Ref
	attempt  uint64
	tree     *content.Tree
	services []string
}

// NewAgent starts an agent. It subscribes at once.
func NewAgent(cfg AgentConfig, now time.Duration) (*Agent, error) {
	if len(cfg.Controllers) == 0 || cfg.Gateway == "" || len(cfg.Gateway) > content.MaxName || len(cfg.Zone) > content.MaxName {
		return nil, fmt.Errorf("rollout: gateway %q of zone %q with %d control machines", cfg.Gateway, cfg.Zone, len(cfg.Controllers))
	}
	var err error
	if cfg.Services, err = serviceList(cfg.Services); err != nil {
		return nil, err
	}
	a := &Agent{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, xxh3.HashString(cfg.Gateway))), order: controllerOrder(cfg), now: now, session: cfg.Session,
		tree: content.Empty(), backoff: backoffLeast}
	if cfg.Kept != nil {
		a.inForce, a.tree, a.services = cfg.Kept.Ref, cfg.Kept.Tree, cfg.Kept.Services
		a.incomplete = !slices.Equal(cfg.Kept.Services, cfg.Services)
	}
	a.begin(0)
	return a, nil
}

// serviceList sorts the names of services, each once, and refuses more than a subscription can hold.
func serviceList(names []string) ([]string, error) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	bytes := 0
	for _, name := range names {
		bytes += len(name) + 1
	}
	if bytes > mostNamed {
		return nil, fmt.Errorf("rollout: services: %d names of %d bytes, %d bytes at most; name none to take all", len(names), bytes, mostNamed)
	}
	return names, nil
}

// controllerOrder is the order in which an agent tries control machines: its own region's first, each by rendezvous, so that agents
// spread evenly and few move when one is lost.
func controllerOrder(cfg AgentConfig) []uint64 {
	score := func(c ControlMachine) uint64 { return xxh3.HashStringSeed(cfg.Gateway, c.ID) }
	list := slices.SortedFunc(slices.Values(cfg.Controllers), func(a, b ControlMachine) int {
		aHere, bHere := a.Region == cfg.Region, b.Region == cfg.Region
		switch {
		case aHere && !bHere:
			return -1
		case bHere && !aHere:
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	order := make([]uint64, 0, len(list))
	for _, c := range list {
		order = append(order, c.ID)
	}
	return order
}

// begin begins a session with a control machine, after a pause.
func (a *Agent) begin(pause time.Duration) {
	a.session++
	a.counts.Sessions++
	a.subscribed, a.awaiting, a.tries, a.pending = false, false, 0, nil
	a.sendAt = a.now + pause
	a.returnAt = a.now + a.jitter(returnAfter)
	if pause == 0 {
		a.send()
	}
}

// jitter stretches a time by up to a tenth.
func (a *Agent) jitter(d time.Duration) time.Duration {
	return d + time.Duration(a.rng.Int64N(int64(d)/10+1))
}

// next goes on to the next control machine; after all of them were tried in vain there is a pause that grows.
func (a *Agent) next() {
	a.at = (a.at + 1) % len(a.order)
	if a.silent++; a.silent < len(a.order) {
		a.begin(0)
		return
	}
	a.silent = 0
	a.counts.Unreachable++
	pause := a.backoff/2 + time.Duration(a.rng.Int64N(int64(a.backoff)))
	a.backoff = min(2*a.backoff, backoffMost)
	a.begin(pause)
}

// pass lets time pass. An agent that has stood still begins a new session: what has waited for it meanwhile may be of a stopped rollout.
func (a *Agent) pass(now time.Duration) {
	stalled := now-a.now > stalledAfter
	a.now = max(a.now, now)
	if stalled {
		a.counts.Stalls++
		a.begin(0)
	}
}

// Advance is to be called at Next.
func (a *Agent) Advance(now time.Duration) {
	a.pass(now)
	switch {
	case a.subscribed && a.at != 0 && a.now >= a.returnAt:
		a.at = 0
		a.begin(0)
	case a.now < a.sendAt:
	case a.awaiting && a.tries >= mostTries:
		a.next()
	default:
		a.send()
	}
}

// Next is when Advance is to be called.
func (a *Agent) Next() time.Duration {
	if a.subscribed && a.at != 0 {
		return min(a.sendAt, a.returnAt)
	}
	return a.sendAt
}

// send sends what is due: a subscription, the next page's fetch, or a report.
func (a *Agent) send() {
	switch {
	case !a.subscribed:
		a.post(&codec.Subscribe{Gateway: a.cfg.Gateway, Zone: a.cfg.Zone, Session: a.session, Services: a.cfg.Services, State: a.state()})
	case a.pending != nil:
		a.post(&codec.Fetch{Gateway: a.cfg.Gateway, Session: a.session, From: a.pending.from, Target: a.pending.target.Number, After: a.pending.after})
	default:
		a.post(&codec.Report{Gateway: a.cfg.Gateway, Session: a.session, State: a.state()})
	}
	a.awaiting = true
	a.tries++
	a.sendAt = a.now + a.jitter(answerWithin)
}

func (a *Agent) post(m codec.Message) {
	a.out.Messages = append(a.out.Messages, ToController{a.order[a.at], m})
}

// state is the agent's acknowledgement.
func (a *Agent) state() codec.State {
	s := a.verdict
	if s.InForce = a.inForce; a.incomplete {
		s.InForce = content.Ref{}
	}
	return s
}

// Lost is told that the link to a control machine ended, or could not be made.
func (a *Agent) Lost(now time.Duration, controller uint64) {
	a.pass(now)
	if controller == a.order[a.at] && (a.subscribed || a.awaiting) {
		a.next()
	}
}

// Hear takes a message of a control machine.
func (a *Agent) Hear(now time.Duration, from uint64, m codec.Message) {
	a.pass(now)
	if from != a.order[a.at] || sessionOf(m) != a.session {
		a.counts.Stale++
		return
	}
	switch m.(type) {
	case *codec.Unknown:
		a.begin(0)
		return
	case *codec.Busy:
		a.next()
		return
	}
	solicited := a.awaiting
	a.subscribed, a.awaiting, a.tries, a.silent, a.backoff = true, false, 0, 0, backoffLeast
	a.sendAt = a.now + a.jitter(reportEvery)
	switch m := m.(type) {
	case *codec.Offer:
		a.hearOffer(m, solicited)
	case *codec.Page:
		a.hearPage(m, solicited)
	}
}

func sessionOf(m codec.Message) uint64 {
	switch m := m.(type) {
	case *codec.Offer:
		return m.Session
	case *codec.Page:
		return m.Session
	case *codec.Unknown:
		return m.Session
	case *codec.Busy:
		return m.Session
	}
	return 0
}

func (a *Agent) hearOffer(m *codec.Offer, solicited bool) {
	switch {
	case a.pending != nil && m.Target == a.pending.target:
		a.send() // the page may be lost
	case a.acceptable(m.Target, m.Attempt):
		a.collect(m.Target, m.Attempt)
		a.send()
	case !solicited && a.installing == nil:
		a.send() // the control machine does not know how things stand
	}
}

// collect begins to collect a version, as a delta where that is possible.
func (a *Agent) collect(target content.Ref, attempt uint64) {
	a.pending = &pending{target: target, attempt: attempt}
	if !a.wantWhole && !a.incomplete {
		a.pending.from = a.inForce
	}
}

// acceptable is the fence: only a newer version of no older term is taken, and none that was refused in the same attempt.
func (a *Agent) acceptable(ref content.Ref, attempt uint64) bool {
	switch {
	case a.installing != nil || ref.Number == 0:
		return false // version 0 is nothing at all
	case ref == a.inForce:
		return a.incomplete
	case ref.Number == a.inForce.Number:
		a.counts.Forked++
		return false
	case ref.Number < a.inForce.Number || ref.Term < a.inForce.Term:
		a.counts.Fenced++
		return false
	}
	return a.verdict.Verdict != codec.Refused || a.verdict.Version != ref.Number || a.verdict.Attempt < attempt
}

func (a *Agent) hearPage(m *codec.Page, solicited bool) {
	p := a.pending
	if p == nil || p.target != m.Target || p.attempt != m.Attempt {
		if !a.acceptable(m.Target, m.Attempt) {
			if !solicited && a.installing == nil {
				a.send()
			}
			return
		}
		a.collect(m.Target, m.Attempt)
		p = a.pending
	}
	if m.From == (content.Ref{}) && p.from != m.From && m.After == (content.Cursor{}) {
		*p = pending{target: p.target, attempt: p.attempt} // the whole, for the delta is no longer to be had
	}
	if p.from != m.From || p.after != m.After {
		a.send()
		return
	}
	p.scope = m.Scope
	p.changes = append(p.changes, m.Changes...)
	for i := range m.Changes {
		p.bytes += len(m.Changes[i].Entry.Body) + len(m.Changes[i].Entry.Name)
	}
	p.after = m.Next
	switch {
	case p.bytes > mostPending:
		a.pending = nil
		a.refuse(p.target, p.attempt, fmt.Sprintf("more than %d bytes", mostPending))
	case m.Last:
		a.complete()
	default:
		a.send()
	}
}

// complete builds what was collected aside, and hands it to the gateway if it is what its version says.
func (a *Agent) complete() {
	p := a.pending
	a.pending = nil
	base := content.Empty()
	whole := p.from == content.Ref{}
	if !whole {
		base = a.tree
	}
	tree, err := base.Patch(p.changes)
	if err != nil || tree.Hash() != p.scope {
		a.counts.Mismatched++
		if whole {
			a.next() // another control machine may have it right
			return
		}
		a.wantWhole = true
		a.collect(p.target, p.attempt)
		a.send()
		return
	}
	if a.wantWhole = false; whole {
		a.counts.Wholes++
	}
	a.installing = &installing{p.target, p.attempt, tree, a.cfg.Services}
	a.out.Install = &Install{Ref: p.target, Tree: tree}
}

// Installed takes how an Install went: it is in force, or the last good one still is.
func (a *Agent) Installed(now time.Duration, ref content.Ref, err error) {
	a.pass(now)
	next := a.installing
	if next == nil || next.ref != ref {
		return
	}
	a.installing = nil
	if err != nil {
		a.refuse(ref, next.attempt, err.Error())
		return
	}
	a.counts.Installed++
	a.inForce, a.tree, a.services, a.attempt, a.verdict = ref, next.tree, next.services, next.attempt, codec.State{}
	a.incomplete = !slices.Equal(a.services, a.cfg.Services)
	a.report()
}

func (a *Agent) refuse(ref content.Ref, attempt uint64, reason string) {
	a.counts.Refused++
	a.judge(codec.Refused, ref.Number, attempt, reason)
}

// Fail is told that the gateway fails with what is in force, for a reason.
func (a *Agent) Fail(now time.Duration, reason string) {
	a.pass(now)
	a.judge(codec.Failed, a.inForce.Number, a.attempt, reason)
}

// Recover is told that the gateway does not fail any more.
func (a *Agent) Recover(now time.Duration) {
	a.pass(now)
	if a.verdict.Verdict == codec.Failed {
		a.verdict = codec.State{}
		a.report()
	}
}

func (a *Agent) judge(v codec.Verdict, number, attempt uint64, reason string) {
	reason = cmp.Or(reason, reasonMissing)
	a.verdict = codec.State{Verdict: v, Version: number, Attempt: attempt, Reason: reason[:min(len(reason), codec.MaxReason)]}
	a.report()
}

// report tells the control machine how things stand now.
func (a *Agent) report() {
	if a.subscribed && a.pending == nil {
		a.tries = 0
		a.send()
	}
}

// SetServices has the agent take other services. The ones in force stay until the new ones are there.
func (a *Agent) SetServices(now time.Duration, services []string) error {
	a.pass(now)
	services, err := serviceList(services)
	if err != nil || slices.Equal(services, a.cfg.Services) {
		return err
	}
	a.cfg.Services, a.incomplete = services, !slices.Equal(a.services, services)
	a.begin(0)
	return nil
}

// Take returns what is to be done now.
func (a *Agent) Take() AgentOutput {
	out := a.out
	a.out = AgentOutput{}
	return out
}

// InForce is the configuration that is in force, to be kept for the next process.
func (a *Agent) InForce() Kept {
	return Kept{Ref: a.inForce, Services: a.services, Tree: a.tree}
}

// Controller is the control machine that the agent speaks to, and whether that one has answered.
func (a *Agent) Controller() (id uint64, subscribed bool) { return a.order[a.at], a.subscribed }

// Counts tells what has happened.
func (a *Agent) Counts() AgentCounts { return a.counts }
