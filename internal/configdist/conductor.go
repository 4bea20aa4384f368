package configdist

import (
	"cmp"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist/codec"
)

// Policy is how a leader moves rollouts on. The zero Policy has the values of DefaultPolicy.
type Policy struct {
	Settle       time.Duration // at most, until all control machines have told whom a change touches
	Soak         time.Duration // at each stage, once nine in ten of its gateways have it in force
	OnePatience  time.Duration // until another gateway is tried where one does not answer; longer with each that was tried
	ZonePatience time.Duration // until half of a zone is enough, in place of nine in ten
	StopShare    float64       // of the gateways that answered and are touched: more failures stop a rollout
}

// DefaultPolicy is for a change in force everywhere within 8 s.
func DefaultPolicy() Policy {
	return Policy{Settle: 300 * time.Millisecond, Soak: 500 * time.Millisecond, OnePatience: 800 * time.Millisecond, ZonePatience: time.Second,
		StopShare: 0.1}
}

// Limits of a stage that gets no further.
const (
	zoneAtMost       = 10 * time.Second // then a zone of which less than half has answered stops the rollout
	allAtMost        = 10 * time.Second // then the rollout is over, with those that lag
	proposeAgain     = time.Second
	peersUnknown     = 1500 * time.Millisecond // after it began to lead, a leader goes on without those that have not reported
	nineInTen        = 0.9
	halfOfThem       = 0.5
	reasonNoAnswer   = "less than half of the zone has answered"
	reasonOfOne      = "gateway %s: %s"
	reasonOfFailures = "%d of %d gateways failed, the first is %s: %s"
)

// stageKey tells one stage from the next.
type stageKey struct {
	version, attempt uint64
	stage            Stage
	canary, zone     string
	idle             bool
}

// conductor is what a leader knows beside the log: what others have reported, and since when a stage has lasted.
type conductor struct {
	policy     Policy
	peers      map[uint64]*peer
	untold     int // reports of a follower that have to say what they are about
	key        stageKey
	since      time.Duration
	goodSince  time.Duration // 0 while the stage is not done
	proposedAt time.Duration
	leads      bool
	leadSince  time.Duration
	tried      map[string]bool // gateways that were the one gateway of this rollout
}

func newConductor(p Policy) conductor {
	if p == (Policy{}) {
		p = DefaultPolicy()
	}
	return conductor{policy: p, peers: make(map[uint64]*peer), tried: make(map[string]bool), key: stageKey{idle: true}}
}

// hear takes another control machine's reports.
func (d *conductor) hear(now time.Duration, from uint64, m *codec.PeerReports) {
	p := d.peers[from]
	if p == nil || m.Whole {
		p = &peer{gateways: make(map[string]codec.GatewayReport)}
		d.peers[from] = p
	}
	p.head, p.heard = m.Head, now
	for _, r := range m.Gateways {
		p.gateways[r.Gateway] = r
	}
}

// conduct moves the rollout on, where this control machine leads.
func (c *Controller) conduct() {
	d := &c.conductor
	if c.log.CheckLeader(c.now) != nil || c.now < c.quietUntil {
		d.key, d.leads = stageKey{idle: true}, false
		return
	}
	if !d.leads {
		d.leads, d.leadSince = true, c.now
	}
	store := c.machine.store
	r := store.rollout
	key := stageKey{version: r.Version, attempt: r.Attempt, stage: r.Stage, canary: r.Canary, zone: r.Zone,
		idle: r.Version == 0 && store.Head() == store.released}
	if key != d.key {
		if key.version != d.key.version {
			clear(d.tried)
		}
		d.key, d.since, d.goodSince, d.proposedAt = key, c.now, 0, 0
	}
	if key.idle || r.Stage == Stopped || d.proposedAt != 0 && c.now-d.proposedAt < proposeAgain {
		return
	}
	if command, ok := c.decide(r); ok && c.propose(command) == nil {
		d.proposedAt = c.now
	}
}

// decide finds what follows from the stage and from what gateways have told.
func (c *Controller) decide(r Rollout) (Command, bool) {
	d := &c.conductor
	lasted := c.now - d.since
	if !c.allKnown() || lasted < d.policy.Settle && !c.allReported() {
		return Command{}, false
	}
	gateways := c.gateways()
	if r.Stage == Waiting {
		return c.beginStage(gateways, r), true
	}
	t := tally(gateways, r)
	if reason, stop := t.failure(r.Stage, d.policy.StopShare); stop {
		return Command{Kind: Stop, Version: r.Version, Reason: reason[:min(len(reason), codec.MaxReason)]}, true
	}
	soaked := d.soaked(c.now, &t)
	switch r.Stage {
	case OneGateway:
		if soaked && t.live > 0 {
			return Command{Kind: MoveStage, Version: r.Version, Stage: OneZone, Canary: r.Canary, Zone: t.zone}, true
		}
		if t.acked == 0 && lasted >= d.policy.OnePatience*time.Duration(max(1, len(d.tried))) {
			return c.beginStage(gateways, r), true
		}
	case OneZone:
		if soaked || lasted >= d.policy.ZonePatience && t.enough(halfOfThem) {
			return Command{Kind: MoveStage, Version: r.Version, Stage: AllGateways}, true
		}
		if lasted >= zoneAtMost {
			return Command{Kind: Stop, Version: r.Version, Reason: reasonNoAnswer}, true
		}
	case AllGateways:
		if soaked || lasted >= allAtMost {
			return Command{Kind: MoveStage, Version: r.Version, Stage: released}, true
		}
	}
	return Command{}, false
}

// soaked tells whether nine in ten of a stage's gateways have had the version in force for long enough.
func (d *conductor) soaked(now time.Duration, t *count) bool {
	if !t.enough(nineInTen) {
		d.goodSince = 0
		return false
	}
	if d.goodSince == 0 {
		d.goodSince = now
	}
	return now-d.goodSince >= d.policy.Soak
}

// allKnown tells whether each control machine has reported to this leader; one that has not for long is taken for dead.
func (c *Controller) allKnown() bool {
	status := c.log.Status()
	return len(c.conductor.peers)+1 >= len(status.Voters)+len(status.Learners) || c.now-c.conductor.leadSince >= peersUnknown
}

// allReported tells whether each control machine that is heard of has told whom the version touches.
func (c *Controller) allReported() bool {
	for _, p := range c.conductor.peers {
		if c.now-p.heard < silentAfter && p.head != c.subject.to {
			return false
		}
	}
	return true
}

// beginStage begins a rollout with one gateway that it touches, another than before; where it touches none, with all.
func (c *Controller) beginStage(gateways []placed, r Rollout) Command {
	version := cmp.Or(r.Version, c.machine.store.Head().Ref.Number)
	for range 2 {
		best, score := "", uint64(0)
		for i := range gateways {
			g := &gateways[i]
			if !g.Touched || g.Silent || g.State.Verdict == codec.Failed || c.conductor.tried[g.Gateway] {
				continue
			}
			if s := xxh3.HashStringSeed(g.Gateway, version); best == "" || s > score {
				best, score = g.Gateway, s
			}
		}
		if best != "" {
			c.conductor.tried[best] = true
			return Command{Kind: MoveStage, Version: version, Stage: OneGateway, Canary: best}
		}
		clear(c.conductor.tried) // all were tried: once more
	}
	return Command{Kind: MoveStage, Version: version, Stage: AllGateways}
}

// count is how the gateways of a stage stand.
type count struct {
	live   int // that are heard of
	acked  int // that have the version in force
	failed int // that refused it or fail with it
	first  *placed
	zone   string // of the one gateway
}

// enough tells whether a share of the gateways that are heard of have the version in force.
func (t *count) enough(share float64) bool { return float64(t.acked) >= share*float64(t.live) }

// tally counts the gateways that a stage is about: those that the change touches.
func tally(gateways []placed, r Rollout) (t count) {
	for i := range gateways {
		g := &gateways[i]
		if g.Gateway == r.Canary {
			t.zone = g.Zone
		}
		switch {
		case r.Stage == OneGateway && g.Gateway != r.Canary, r.Stage == OneZone && g.Zone != r.Zone && g.Gateway != r.Canary, !g.Touched:
			continue
		}
		s := &g.State
		refused := s.Verdict == codec.Refused && s.Version == r.Version && s.Attempt == r.Attempt
		failed := s.Verdict == codec.Failed && s.Version == r.Version
		switch {
		case refused || failed:
			if t.failed++; t.first == nil {
				t.first = g
			}
		case g.Silent:
			continue
		case s.InForce.Number >= r.Version:
			t.acked++
		}
		t.live++
	}
	return t
}

// failure is the rule by which a rollout stops: with the one gateway that failed, or with more than a share of those that answered.
func (t *count) failure(stage Stage, share float64) (reason string, stop bool) {
	if t.failed == 0 {
		return "", false
	}
	answered := t.failed + t.acked
	if stage != OneGateway && float64(t.failed) <= share*float64(answered) {
		return "", false
	}
	if stage == OneGateway {
		return fmt.Sprintf(reasonOfOne, t.first.Gateway, t.first.State.Reason), true
	}
	return fmt.Sprintf(reasonOfFailures, t.failed, answered, t.first.Gateway, t.first.State.Reason), true
}
