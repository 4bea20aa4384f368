package configdist

import (
	"cmp"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist/codec"
)

// Policy sets the times and limits by which a leader advances rollouts. The zero Policy means DefaultPolicy.
type Policy struct {
	// ImpactTimeout is how long a stage waits at most for all control machines to report which gateways a change
	// affects.
	ImpactTimeout time.Duration
	// Soak is how long a stage continues after 90% of its gateways have the version in force.
	Soak time.Duration
	// CanaryTimeout is how long a canary may leave the offer unanswered before another one is chosen. It is
	// multiplied by the number of canaries chosen.
	CanaryTimeout time.Duration
	// ZoneTimeout is the time after which the zone stage ends if half of its gateways have the version in force.
	// Before that, 90% must have had it in force for Soak.
	ZoneTimeout time.Duration
	// MaxFailedShare is the maximum share of failures among the affected gateways that have answered. A higher share
	// stops the rollout. It does not apply to the canary stage, which any failure stops.
	MaxFailedShare float64
}

// DefaultPolicy returns the policy that brings a change in force at all gateways within 8 s.
func DefaultPolicy() Policy {
	return Policy{
		ImpactTimeout:  300 * time.Millisecond,
		Soak:           500 * time.Millisecond,
		CanaryTimeout:  800 * time.Millisecond,
		ZoneTimeout:    time.Second,
		MaxFailedShare: 0.1,
	}
}

// Timeouts of a stage, a proposal and the reports to a new leader.
const (
	zoneStageTimeout = 10 * time.Second // then the rollout stops if less than half of the zone has answered
	allStageTimeout  = 10 * time.Second // then the rollout is complete, even if some gateways lag
	// proposeInterval is how long the leader waits for a proposal to take effect before it proposes again.
	proposeInterval = time.Second
	// peerReportTimeout is how long a new leader waits for control machines that have not reported.
	peerReportTimeout = 1500 * time.Millisecond
)

// Shares of a stage's gateways that must have the version in force.
const (
	soakShare        = 0.9 // for the soak time to run
	zoneTimeoutShare = 0.5 // after Policy.ZoneTimeout
)

// Reasons for a stop, which are stored in the log.
const (
	reasonNoAnswer      = "less than half of the zone has answered"
	reasonCanaryFailed  = "gateway %s: %s"
	reasonTooManyFailed = "%d of %d gateways failed, the first is %s: %s"
)

// stageKey identifies a stage of one rollout.
type stageKey struct {
	version, attempt uint64
	stage            Stage
	canary, zone     string
	idle             bool // there is nothing to roll out, or this control machine does not lead
}

// coordinator is the leader's state outside the log: the reports of other control machines and the timing of the
// current stage.
type coordinator struct {
	policy               Policy
	peers                map[uint64]*peer
	pendingImpactReports int      // number of reports to the leader that must still be sent after impact changed
	key                  stageKey // of the current stage
	stageSince           time.Duration
	soakingSince         time.Duration // when enough gateways had the version in force; 0 while too few have
	proposedAt           time.Duration // time of the last proposal in this stage; 0 if there was none
	leading              bool
	leadingSince         time.Duration
	canaries             map[string]bool // gateways already chosen as a canary of this rollout
}

func newCoordinator(p Policy) coordinator {
	if p == (Policy{}) {
		p = DefaultPolicy()
	}
	return coordinator{
		policy: p, peers: make(map[uint64]*peer), canaries: make(map[string]bool), key: stageKey{idle: true},
	}
}

// receive stores another control machine's reports; a full report replaces all earlier ones of that machine.
func (co *coordinator) receive(now time.Duration, from uint64, m *codec.GatewayReports) {
	p := co.peers[from]
	if p == nil || m.Full {
		p = &peer{gateways: make(map[string]codec.GatewayReport)}
		co.peers[from] = p
	}
	p.newestVersion, p.lastSeen = m.NewestVersion, now
	for _, r := range m.Gateways {
		p.gateways[r.Gateway] = r
	}
}

// coordinate advances the rollout if this control machine is the leader.
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

// enterStage restarts the stage's timing if the stage has changed.
func (co *coordinator) enterStage(now time.Duration, key stageKey) {
	if key == co.key {
		return
	}
	if key.version != co.key.version {
		clear(co.canaries)
	}
	co.key, co.stageSince, co.soakingSince, co.proposedAt = key, now, 0, 0
}

// decide returns the command that follows from the stage and the gateways' reports, if there is one.
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
		return Command{Kind: Stop, Version: r.Version, Reason: reason[:min(len(reason), codec.MaxReasonBytes)]}, true
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

// soaked reports whether soakShare of a stage's gateways have had the version in force for the policy's soak time.
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

// allPeersReported reports whether each control machine has reported to this leader. After peerReportTimeout the
// leader considers those that have not reported dead.
func (c *Controller) allPeersReported() bool {
	status := c.log.Status()
	return len(c.coordinator.peers)+1 >= len(status.Voters)+len(status.Learners) ||
		c.now-c.coordinator.leadingSince >= peerReportTimeout
}

// allReportedImpact reports whether each control machine that is not silent has reported which gateways the version
// affects.
func (c *Controller) allReportedImpact() bool {
	for _, p := range c.coordinator.peers {
		if c.now-p.lastSeen < silenceTimeout && p.newestVersion != c.impact.to {
			return false
		}
	}
	return true
}

// startRollout returns the command that starts a rollout with a canary. The canary is an affected gateway that was
// not a canary of this rollout before; once all were, any of them may be chosen again. If no gateway can be the
// canary, the rollout starts with all gateways.
func (c *Controller) startRollout(gateways []gatewayStatus, r Rollout) Command {
	version := cmp.Or(r.Version, c.machine.store.Head().Ref.Number)
	for range 2 {
		if canary := c.coordinator.pickCanary(gateways, version); canary != "" {
			c.coordinator.canaries[canary] = true
			return Command{Kind: MoveStage, Version: version, Stage: StageCanary, Canary: canary}
		}
		clear(c.coordinator.canaries) // all affected gateways were canaries: allow them again
	}
	return Command{Kind: MoveStage, Version: version, Stage: StageAll}
}

// pickCanary returns the gateway with the highest rendezvous score for a version among those that are affected, not
// silent, not failing and not yet a canary, or an empty name if there is none.
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
