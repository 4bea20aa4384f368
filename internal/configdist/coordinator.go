package configdist

import (
	"cmp"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist/codec"
)

// Policy is how a leader moves rollouts on. The zero Policy has the values of DefaultPolicy.
type Policy struct {
	// ImpactTimeout is waited for at most until all control machines have told whom a change affects.
	ImpactTimeout time.Duration
	// Soak is how long each stage lasts once most of its gateways have the version in force.
	Soak time.Duration
	// CanaryTimeout is how long a canary may not answer before another is tried; longer with each that was tried.
	CanaryTimeout time.Duration
	// ZoneTimeout is when half of a zone's gateways are enough, in place of most.
	ZoneTimeout time.Duration
	// MaxFailedShare of the affected gateways that answered may fail; more stop the rollout.
	MaxFailedShare float64
}

// DefaultPolicy is for a change in force everywhere within 8 s.
func DefaultPolicy() Policy {
	return Policy{
		ImpactTimeout:  300 * time.Millisecond,
		Soak:           500 * time.Millisecond,
		CanaryTimeout:  800 * time.Millisecond,
		ZoneTimeout:    time.Second,
		MaxFailedShare: 0.1,
	}
}

// Limits of a stage that gets no further.
const (
	zoneStageTimeout = 10 * time.Second // then a zone of which less than half has answered stops the rollout
	allStageTimeout  = 10 * time.Second // then the rollout is over, with those that lag
	// proposeInterval is how long a proposal may come to nothing before the leader makes another.
	proposeInterval = time.Second
	// peerReportTimeout is how long a new leader waits for those control machines that have not reported.
	peerReportTimeout = 1500 * time.Millisecond
)

// Shares of a stage's gateways that have the version in force.
const (
	soakShare        = 0.9
	zoneTimeoutShare = 0.5
)

// Reasons of a stop, which the log keeps.
const (
	reasonNoAnswer      = "less than half of the zone has answered"
	reasonCanaryFailed  = "gateway %s: %s"
	reasonTooManyFailed = "%d of %d gateways failed, the first is %s: %s"
)

// stageKey tells one stage from the next.
type stageKey struct {
	version, attempt uint64
	stage            Stage
	canary, zone     string
	idle             bool // nothing is to be rolled out
}

// coordinator is what a leader knows beside the log: what others have reported, and since when a stage has lasted.
type coordinator struct {
	policy               Policy
	peers                map[uint64]*peer
	pendingImpactReports int // reports of a follower that still have to tell its impact's version
	key                  stageKey
	stageSince           time.Duration
	soakingSince         time.Duration // 0 while too few gateways have the version in force
	proposedAt           time.Duration // 0 while nothing is proposed for the stage
	leading              bool
	leadingSince         time.Duration
	canaries             map[string]bool // gateways that were the canary of this rollout
}

func newCoordinator(p Policy) coordinator {
	if p == (Policy{}) {
		p = DefaultPolicy()
	}
	return coordinator{
		policy: p, peers: make(map[uint64]*peer), canaries: make(map[string]bool), key: stageKey{idle: true},
	}
}

// receive takes another control machine's reports.
func (co *coordinator) receive(now time.Duration, from uint64, m *codec.GatewayReports) {
	p := co.peers[from]
	if p == nil || m.Full {
		p = &peer{gateways: make(map[string]codec.GatewayReport)}
		co.peers[from] = p
	}
	p.newestVersion, p.lastSeen = m.Head, now
	for _, r := range m.Gateways {
		p.gateways[r.Gateway] = r
	}
}

// coordinate moves the rollout on, where this control machine leads.
func (c *Controller) coordinate() {
	co := &c.coordinator
	if c.log.CheckLeader(c.now) != nil || c.now < c.quietUntil {
		co.key, co.leading = stageKey{idle: true}, false
		return
	}
	if !co.leading {
		co.leading, co.leadingSince = true, c.now
	}
	store := c.machine.store
	r := store.rollout
	co.enterStage(c.now, stageKey{
		version: r.Version, attempt: r.Attempt, stage: r.Stage, canary: r.Canary, zone: r.Zone,
		idle: r.Version == 0 && store.Head() == store.released,
	})
	if co.key.idle || r.Stage == StageStopped || co.proposedAt != 0 && c.now-co.proposedAt < proposeInterval {
		return
	}
	if command, ok := c.decide(r); ok && c.propose(command) == nil {
		co.proposedAt = c.now
	}
}

// enterStage notes since when the rollout is at a stage.
func (co *coordinator) enterStage(now time.Duration, key stageKey) {
	if key == co.key {
		return
	}
	if key.version != co.key.version {
		clear(co.canaries)
	}
	co.key, co.stageSince, co.soakingSince, co.proposedAt = key, now, 0, 0
}

// decide finds what follows from the stage and from what gateways have told.
func (c *Controller) decide(r Rollout) (Command, bool) {
	co := &c.coordinator
	elapsed := c.now - co.stageSince
	if !c.allPeersReported() || elapsed < co.policy.ImpactTimeout && !c.allReportedImpact() {
		return Command{}, false
	}
	gateways := c.gateways()
	if r.Stage == StageWaiting {
		return c.startRollout(gateways, r), true
	}
	t := tally(gateways, r)
	if reason, stop := t.failure(r.Stage, co.policy.MaxFailedShare); stop {
		return Command{Kind: Stop, Version: r.Version, Reason: reason[:min(len(reason), codec.MaxReason)]}, true
	}
	soaked := co.soaked(c.now, &t)
	switch r.Stage {
	case StageCanary:
		if soaked && t.live > 0 {
			return Command{Kind: MoveStage, Version: r.Version, Stage: StageZone, Canary: r.Canary, Zone: t.zone}, true
		}
		if t.acked == 0 && elapsed >= co.policy.CanaryTimeout*time.Duration(max(1, len(co.canaries))) {
			return c.startRollout(gateways, r), true
		}
	case StageZone:
		if soaked || elapsed >= co.policy.ZoneTimeout && t.reached(zoneTimeoutShare) {
			return Command{Kind: MoveStage, Version: r.Version, Stage: StageAll}, true
		}
		if elapsed >= zoneStageTimeout {
			return Command{Kind: Stop, Version: r.Version, Reason: reasonNoAnswer}, true
		}
	case StageAll:
		if soaked || elapsed >= allStageTimeout {
			return Command{Kind: MoveStage, Version: r.Version, Stage: stageReleased}, true
		}
	}
	return Command{}, false
}

// soaked reports whether most of a stage's gateways have had the version in force for long enough.
func (co *coordinator) soaked(now time.Duration, t *stageTally) bool {
	if !t.reached(soakShare) {
		co.soakingSince = 0
		return false
	}
	if co.soakingSince == 0 {
		co.soakingSince = now
	}
	return now-co.soakingSince >= co.policy.Soak
}

// allPeersReported reports whether each control machine has reported to this leader; one that has not for long is taken for
// dead.
func (c *Controller) allPeersReported() bool {
	status := c.log.Status()
	return len(c.coordinator.peers)+1 >= len(status.Voters)+len(status.Learners) ||
		c.now-c.coordinator.leadingSince >= peerReportTimeout
}

// allReportedImpact reports whether each control machine that is heard of has told whom the version affects.
func (c *Controller) allReportedImpact() bool {
	for _, p := range c.coordinator.peers {
		if c.now-p.lastSeen < silenceTimeout && p.newestVersion != c.impact.to {
			return false
		}
	}
	return true
}

// startRollout begins a rollout with a canary that it affects, another than before; where it affects no gateway, with
// all.
func (c *Controller) startRollout(gateways []gatewayStatus, r Rollout) Command {
	version := cmp.Or(r.Version, c.machine.store.Head().Ref.Number)
	for range 2 {
		if canary := c.coordinator.pickCanary(gateways, version); canary != "" {
			c.coordinator.canaries[canary] = true
			return Command{Kind: MoveStage, Version: version, Stage: StageCanary, Canary: canary}
		}
		clear(c.coordinator.canaries) // all were tried: once more
	}
	return Command{Kind: MoveStage, Version: version, Stage: StageAll}
}

// pickCanary is the gateway that ranks first for a version, by rendezvous, of those that can be its canary; empty if
// there is none.
func (co *coordinator) pickCanary(gateways []gatewayStatus, version uint64) string {
	best, bestScore := "", uint64(0)
	for i := range gateways {
		g := &gateways[i]
		if !g.Affected || g.Silent || g.State.Verdict == codec.Failed || co.canaries[g.Gateway] {
			continue
		}
		if s := xxh3.HashStringSeed(g.Gateway, version); best == "" || s > bestScore {
			best, bestScore = g.Gateway, s
		}
	}
	return best
}
