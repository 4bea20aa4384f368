package configdist

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// subject is what reports say of a gateway whether it is touched: the difference between the released version and the one that is rolled out, or is to
// be next.
type subject struct {
	from, to uint64
	services map[string]bool
}

func (t *subject) touches(s *subscriber) bool {
	if len(s.services) == 0 {
		return len(t.services) > 0
	}
	return slices.ContainsFunc(s.services, func(name string) bool { return t.services[name] })
}

// changeSubject works out which gateways are touched, where the store has changed.
func (c *Controller) changeSubject() {
	store := c.machine.store
	to := store.Candidate()
	if to == nil {
		to = store.Head()
	}
	if c.subject.services != nil && c.subject.from == store.released.Ref.Number && c.subject.to == to.Ref.Number {
		return
	}
	c.conductor.untold = reportTimes
	c.subject = subject{from: store.released.Ref.Number, to: to.Ref.Number, services: make(map[string]bool)}
	for _, name := range content.Touched(store.released.Tree, to.Tree) {
		c.subject.services[name] = true
	}
	for _, s := range c.subscribers {
		if touched := c.subject.touches(s); touched != s.touched {
			s.touched, s.untold = touched, reportTimes
		}
	}
}

// report sends the leader what has changed of this control machine's gateways, and everything now and then.
func (c *Controller) report() {
	status := c.log.Status()
	if status.IsLeader || status.Leader == 0 {
		c.leader = 0
		return
	}
	whole := c.leader != status.Leader || c.now >= c.reportsAt
	m := &codec.PeerReports{Head: c.subject.to, Whole: whole}
	for _, name := range c.order {
		if s := c.subscribers[name]; whole || s.untold > 0 {
			s.untold = max(0, s.untold-1)
			m.Gateways = append(m.Gateways, c.reportOf(s))
		}
	}
	if !whole && len(m.Gateways) == 0 && c.conductor.untold == 0 {
		return
	}
	c.conductor.untold = max(0, c.conductor.untold-1)
	if whole {
		c.leader, c.reportsAt = status.Leader, c.now+reportsEvery
	}
	c.out.Peers = append(c.out.Peers, ToPeer{status.Leader, m})
}

func (c *Controller) reportOf(s *subscriber) codec.GatewayReport {
	r := codec.GatewayReport{Gateway: s.gateway, Zone: s.zone, Session: s.session, State: s.state, Touched: s.touched, Silent: c.now-s.heard > silentAfter}
	if s.offered != nil {
		r.Target = s.offered.Ref.Number
	}
	return r
}

// peer is what another control machine has reported.
type peer struct {
	head     uint64
	heard    time.Duration
	gateways map[string]codec.GatewayReport
}

// placed is a gateway's report with the control machine where it is subscribed.
type placed struct {
	codec.GatewayReport
	Controller uint64
}

// gateways lists what is known of every gateway, by name. Where two control machines report one, the later session counts.
func (c *Controller) gateways() []placed {
	all := make(map[string]placed)
	add := func(controller uint64, r codec.GatewayReport) {
		if other, ok := all[r.Gateway]; !ok || r.Session > other.Session {
			all[r.Gateway] = placed{r, controller}
		}
	}
	for _, s := range c.subscribers {
		add(c.cfg.ID, c.reportOf(s))
	}
	for id, p := range c.conductor.peers {
		for _, r := range p.gateways {
			r.Silent = r.Silent || c.now-p.heard > silentAfter
			add(id, r)
		}
	}
	list := make([]placed, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[name])
	}
	return list
}

// Reason is why a gateway lags.
type Reason string

// The reasons.
const (
	NotHeard   Reason = "not heard of"
	HasRefused Reason = "refused"
	HasFailed  Reason = "failed"
	NotItsTurn Reason = "not its stage"
	NotTaken   Reason = "offered, not in force yet"
	NotOffered Reason = "not offered yet"
)

// Lagging is a gateway that has not the newest version in force, or fails with it.
type Lagging struct {
	Gateway, Zone string
	Controller    uint64
	InForce       content.Ref
	Newest        uint64
	Why           Reason
	Detail        string
}

// String words it as a line for operators.
func (l Lagging) String() string {
	return fmt.Sprintf("%s zone=%s control=%d in_force=%d newest=%d why=%q detail=%q", l.Gateway, l.Zone, l.Controller, l.InForce.Number, l.Newest, l.Why, l.Detail)
}

// Lag lists who lags and why, by name. Only the leader knows of all gateways; another control machine knows of its own.
func (c *Controller) Lag(now time.Duration) (lagging []Lagging) {
	c.pass(now)
	store := c.machine.store
	newest := store.Head().Ref.Number
	for _, g := range c.gateways() {
		s := &g.State
		if s.InForce.Number >= newest && s.Verdict != codec.Failed {
			continue
		}
		l := Lagging{Gateway: g.Gateway, Zone: g.Zone, Controller: g.Controller, InForce: s.InForce, Newest: newest, Detail: s.Reason}
		switch {
		case g.Silent:
			l.Why = NotHeard
		case s.Verdict == codec.Failed:
			l.Why = HasFailed
		case s.Verdict == codec.Refused:
			l.Why = HasRefused
		case g.Target > s.InForce.Number:
			l.Why, l.Detail = NotTaken, fmt.Sprintf("version %d", g.Target)
		case store.released.Ref.Number > s.InForce.Number:
			l.Why = NotOffered
		default:
			l.Why, l.Detail = NotItsTurn, store.rollout.Stage.String()
		}
		lagging = append(lagging, l)
	}
	return lagging
}
