package configdist

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

// Times and sizes of a control machine.
const (
	leaderHeardWithin = time.Second // or no staged version is offered
	quietAfterStall   = 500 * time.Millisecond
	offerAgainAfter   = 500 * time.Millisecond // where no acknowledgement came; doubled each time
	offerAgainMost    = 4 * time.Second
	silentAfter       = 5 * time.Second  // without a word of a gateway
	forgottenAfter    = 30 * time.Second // the same; then it is no subscriber any more
	reportsEvery      = 2 * time.Second  // to the leader, of all gateways
	reportTimes       = 3                // that each change is reported, a tick apart: one may get lost
	pageSize          = 32 << 10
	pushShare         = 4 // of a page: the part of it that is sent with the offer
	mostSubscribers   = 2048
	mostSnapshot      = 32 << 20
	mostResults       = 1000 // commands of this control machine that have no result yet
)

// ControllerConfig is what a control machine starts from.
type ControllerConfig struct {
	ID              uint64
	Voters          []uint64 // of the first start of all
	Standbys        []uint64 // they have the log, serve gateways and do not vote
	Kept            *raft.PersistentState
	Seed            uint64
	MostSubscribers int // 0: 2,048
	PageBytes       int // of changes in a page; 0: 32 KiB. A quarter of it is sent with the offer
	SnapshotEach    int // entries of the log between two snapshots; 0: 1,000
	Policy          Policy
}

// ToGateway is a message to the gateway at a link.
type ToGateway struct {
	Link    uint64
	Message codec.Message
}

// ToPeer is a message to another control machine.
type ToPeer struct {
	To      uint64
	Message codec.Message
}

// ControllerOutput is what is to be done now.
type ControllerOutput struct {
	Peers    []ToPeer
	Gateways []ToGateway
	Results  []Result // of commands that were proposed here
}

// subscriber is a gateway that has subscribed here.
type subscriber struct {
	gateway, zone string
	link          uint64
	session       uint64
	services      []string
	state         codec.State
	heard         time.Duration

	offered *Version
	attempt uint64
	again   time.Duration // when it is offered again; 0 where nothing is awaited
	pause   time.Duration // until then the next time
	untold  int           // reports to the leader that have to say it as it is
	touched bool          // by the version that c.subject is
}

// Controller is a control machine: a voter or standby of the replicated log that serves subscribed gateways, and moves rollouts on while it leads.
type Controller struct {
	cfg     ControllerConfig
	log     *raft.Replica
	machine *machine
	out     ControllerOutput

	now         time.Duration
	tickAt      time.Duration
	leaderHeard time.Duration
	quietUntil  time.Duration // it stood still: no staged version is offered
	subscribers map[string]*subscriber
	order       []string // names of the subscribers, sorted
	subject     subject
	leader      uint64 // that has had all reports
	reportsAt   time.Duration
	conductor   conductor
}

// NewController starts a control machine.
func NewController(cfg ControllerConfig, now time.Duration) (*Controller, error) {
	cfg.MostSubscribers = cmp.Or(cfg.MostSubscribers, mostSubscribers)
	cfg.PageBytes = cmp.Or(cfg.PageBytes, pageSize)
	m := &machine{store: NewStore(), waiting: make(map[uint64]bool)}
	log, err := raft.NewReplica(raft.Config{ID: cfg.ID, Voters: cfg.Voters, Learners: cfg.Standbys, Restored: cfg.Kept, Seed: cfg.Seed, MaxSnapshot: mostSnapshot,
		SnapshotEvery: cfg.SnapshotEach}, m, now)
	if err != nil {
		return nil, err
	}
	return &Controller{cfg: cfg, log: log, machine: m, now: now, tickAt: now + raft.TickInterval, quietUntil: now + quietAfterStall,
		subscribers: make(map[string]*subscriber), conductor: newConductor(cfg.Policy)}, nil
}

// Store is the state as far as this control machine has applied the log. It is not to be changed.
func (c *Controller) Store() *Store { return c.machine.store }

// Status tells how the replicated log stands.
func (c *Controller) Status() raft.Status { return c.log.Status() }

// Subscribers counts the gateways that have subscribed here.
func (c *Controller) Subscribers() int { return len(c.subscribers) }

// Propose puts a command into the log. Its result comes out of Take once most voters have it, or never: then it is proposed again, with the same ID,
// which must not be 0. What can be refused at once is.
func (c *Controller) Propose(now time.Duration, command Command) error {
	c.pass(now)
	if err := c.log.CheckLeader(now); err != nil {
		return err
	}
	if len(c.machine.waiting) >= mostResults {
		return raft.ErrBusy
	}
	if r := c.machine.store.probe(&command); r.Err != nil {
		return r.Err
	}
	return c.propose(command)
}

func (c *Controller) propose(command Command) error {
	data := command.AppendTo(nil)
	if _, err := ParseCommand(data); err != nil {
		return err
	}
	if err := c.log.Propose(c.now, data); err != nil {
		return err
	}
	if command.ID != 0 {
		c.machine.waiting[command.ID] = true
	}
	return nil
}

// Admit has a standby take the place of a voter that is lost for good.
func (c *Controller) Admit(now time.Duration, standby, lost uint64) error {
	c.pass(now)
	return c.log.AddLearner(now, standby, lost)
}

// pass lets time pass, and notes that the control machine stood still: what it believes of its leader may be old.
func (c *Controller) pass(now time.Duration) {
	if now-c.now > leaderHeardWithin {
		c.quietUntil = now + quietAfterStall
	}
	c.now = max(c.now, now)
}

// Next is when Advance is to be called.
func (c *Controller) Next() time.Duration { return c.tickAt }

// Advance is to be called at Next.
func (c *Controller) Advance(now time.Duration) {
	c.pass(now)
	if c.now < c.tickAt {
		return
	}
	c.tickAt = c.now + raft.TickInterval
	c.log.Tick(c.now)
	c.serve()
	c.report()
	c.conduct()
}

// HearPeer takes a message of another control machine. One that cannot be used is an error and changes nothing.
func (c *Controller) HearPeer(now time.Duration, from uint64, m codec.Message) error {
	c.pass(now)
	switch m := m.(type) {
	case *codec.PeerLog:
		if err := c.log.Step(now, from, m.Data); err != nil {
			return err
		}
		if c.log.Status().Leader == from {
			c.leaderHeard = c.now
		}
	case *codec.PeerReports:
		c.conductor.hear(c.now, from, m)
	default:
		return errors.New("rollout: a gateway's message from a control machine")
	}
	return nil
}

// Hear takes a message of a gateway.
func (c *Controller) Hear(now time.Duration, link uint64, m codec.Message) error {
	c.pass(now)
	switch m := m.(type) {
	case *codec.Subscribe:
		c.hearSubscribe(link, m)
	case *codec.Report:
		if s := c.heardOf(link, m.Gateway, m.Session); s != nil {
			c.acknowledge(s, m.State)
			c.answer(s)
		}
	case *codec.Fetch:
		if s := c.heardOf(link, m.Gateway, m.Session); s != nil {
			c.sendPage(s, m)
		}
	default:
		return errors.New("rollout: a control machine's message from a gateway")
	}
	return nil
}

func (c *Controller) hearSubscribe(link uint64, m *codec.Subscribe) {
	s := c.subscribers[m.Gateway]
	switch {
	case s != nil && m.Session < s.session:
		return // of a process before
	case s == nil && len(c.subscribers) >= c.cfg.MostSubscribers:
		c.tell(link, &codec.Busy{Session: m.Session})
		return
	case s == nil:
		at, _ := slices.BinarySearch(c.order, m.Gateway)
		c.order = slices.Insert(c.order, at, m.Gateway)
	}
	services := slices.Compact(slices.Sorted(slices.Values(m.Services)))
	s = &subscriber{gateway: m.Gateway, zone: m.Zone, link: link, session: m.Session, services: services, state: m.State, heard: c.now,
		untold: reportTimes}
	c.subscribers[m.Gateway] = s
	s.touched = c.subject.touches(s)
	c.answer(s)
}

// heardOf finds a gateway's session, or tells the gateway that there is none.
func (c *Controller) heardOf(link uint64, gateway string, session uint64) *subscriber {
	s := c.subscribers[gateway]
	if s == nil || s.session != session {
		c.tell(link, &codec.Unknown{Session: session})
		return nil
	}
	s.link, s.heard = link, c.now
	return s
}

func (c *Controller) tell(link uint64, m codec.Message) {
	c.out.Gateways = append(c.out.Gateways, ToGateway{link, m})
}

func (c *Controller) acknowledge(s *subscriber, state codec.State) {
	if s.state != state {
		s.state, s.untold = state, reportTimes
	}
}

// target is the version that a gateway is to have, and the attempt of its rollout.
func (c *Controller) target(s *subscriber) (v *Version, attempt uint64) {
	store := c.machine.store
	r := &store.rollout
	candidate := store.Candidate()
	if candidate == nil || !c.fresh() {
		return store.released, 0
	}
	if r.Stage == AllGateways || r.Stage == OneZone && s.zone == r.Zone || (r.Stage == OneZone || r.Stage == OneGateway) && s.gateway == r.Canary {
		return candidate, r.Attempt
	}
	return store.released, 0
}

// fresh reports whether the stage that is known here is current: the leader has been heard of lately.
func (c *Controller) fresh() bool {
	if c.now < c.quietUntil {
		return false
	}
	status := c.log.Status()
	return status.IsLeader || status.Quorum && c.now-c.leaderHeard < leaderHeardWithin
}

// settled reports whether a gateway has nothing to do about a version: it has it, or a newer one, or has refused it.
func settled(s *subscriber, v *Version, attempt uint64) bool {
	return s.state.InForce.Number >= v.Ref.Number || s.state.Verdict == codec.Refused && s.state.Version == v.Ref.Number && s.state.Attempt >= attempt
}

// answer tells a gateway which version it is to have, with the changes if they are few.
func (c *Controller) answer(s *subscriber) {
	v, attempt := c.target(s)
	s.offered, s.attempt = v, attempt
	if settled(s, v, attempt) {
		s.again, s.pause = 0, 0
		c.tell(s.link, &codec.Offer{Session: s.session, Target: v.Ref, Attempt: attempt})
		return
	}
	s.pause = offerAgainAfter
	s.again = c.now + s.pause
	page := c.page(s, v, s.state.InForce, content.Cursor{}, c.cfg.PageBytes/pushShare)
	if page.Last {
		c.tell(s.link, page)
		return
	}
	c.tell(s.link, &codec.Offer{Session: s.session, Target: v.Ref, Attempt: attempt})
}

// page words a part of what a gateway needs for a version: from what it has, or from nothing. Where what it has is not kept, it begins with the whole.
func (c *Controller) page(s *subscriber, v *Version, from content.Ref, after content.Cursor, limit int) *codec.Page {
	base := content.Empty()
	if from != (content.Ref{}) {
		if old := c.machine.store.Version(from.Number); old != nil && old.Ref == from {
			base = old.Tree
		} else {
			from, after = content.Ref{}, content.Cursor{}
		}
	}
	services := s.services
	if len(services) == 0 {
		services = union(base.Services(), v.Tree.Services())
	}
	p := &codec.Page{Session: s.session, From: from, Target: v.Ref, Attempt: s.attempt, Scope: v.Tree.ScopeHash(services), After: after}
	p.Changes, p.Next, p.Last = content.Page(base, v.Tree, services, after, limit)
	return p
}

func union(a, b []string) []string {
	if slices.Equal(a, b) {
		return b
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// sendPage answers a fetch. One of a version that the gateway is not to have any more is answered by an offer of the one that it is.
func (c *Controller) sendPage(s *subscriber, m *codec.Fetch) {
	v, _ := c.target(s)
	if v.Ref.Number != m.Target {
		c.answer(s)
		return
	}
	if s.again != 0 {
		s.again = c.now + offerAgainMost
	}
	c.tell(s.link, c.page(s, v, m.From, m.After, c.cfg.PageBytes))
}

// serve offers what has changed, and again what was not acknowledged; it forgets gateways that are silent for long.
func (c *Controller) serve() {
	gone := false
	for _, name := range c.order {
		s := c.subscribers[name]
		if c.now-s.heard > forgottenAfter {
			delete(c.subscribers, name)
			gone = true
			continue
		}
		v, attempt := c.target(s)
		switch {
		case settled(s, v, attempt):
			s.again = 0
		case v != s.offered || attempt != s.attempt:
			c.answer(s)
		case s.again != 0 && c.now >= s.again && c.now-s.heard < silentAfter:
			s.pause = min(2*s.pause, offerAgainMost)
			s.again = c.now + s.pause
			c.tell(s.link, &codec.Offer{Session: s.session, Target: v.Ref, Attempt: attempt})
		}
	}
	if gone {
		c.order = slices.Sorted(maps.Keys(c.subscribers))
	}
}

// Take does all that is ready. What has to be kept is given to keep before anything that rests on it comes out.
func (c *Controller) Take(keep func(raft.PersistentState) error) (ControllerOutput, error) {
	messages, err := c.log.Ready(keep)
	for _, m := range messages {
		c.out.Peers = append(c.out.Peers, ToPeer{m.To, &codec.PeerLog{Data: m.Data}})
	}
	if c.machine.changed {
		c.machine.changed = false
		c.changeSubject()
		c.serve()
		c.report()
		c.conduct()
	}
	out := c.out
	out.Results = c.machine.results
	c.out, c.machine.results = ControllerOutput{}, nil
	return out, err
}

// machine is the log's state.
type machine struct {
	store   *Store
	waiting map[uint64]bool
	results []Result
	changed bool
}

// Apply implements raft.StateMachine. An entry that is no command changes nothing, at each replica alike.
func (m *machine) Apply(e raft.Entry) error {
	command, err := ParseCommand(e.Data)
	if err != nil {
		return nil
	}
	result := m.store.Apply(&command, e.Term)
	m.changed = m.changed || result.Err == nil
	if command.ID != 0 && m.waiting[command.ID] {
		delete(m.waiting, command.ID)
		m.results = append(m.results, result)
	}
	return nil
}

// Snapshot implements raft.StateMachine.
func (m *machine) Snapshot() ([]byte, error) { return m.store.Snapshot(), nil }

// Restore implements raft.StateMachine.
func (m *machine) Restore(data []byte) error {
	store, err := RestoreStore(data)
	if err == nil {
		m.store, m.changed = store, true
	}
	return err
}

// Validate implements raft.StateMachine.
func (m *machine) Validate(data []byte) error {
	_, err := RestoreStore(data)
	return err
}

// LeadershipChanged implements raft.StateMachine.
func (m *machine) LeadershipChanged(_ time.Duration, leads bool) {
	if !leads {
		clear(m.waiting)
	}
}
