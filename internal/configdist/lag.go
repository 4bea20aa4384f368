package configdist

import (
	"fmt"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// Reason says why a gateway lags.
type Reason string

// The reasons why a gateway lags, as operators read them.
const (
	ReasonSilent       Reason = "not heard of"
	ReasonRejected     Reason = "refused"
	ReasonFailed       Reason = "failed"
	ReasonOtherStage   Reason = "not its stage"
	ReasonNotInstalled Reason = "offered, not in force yet"
	ReasonNotOffered   Reason = "not offered yet"
)

// Lagging describes a gateway that does not have the newest version in force, or fails with it.
type Lagging struct {
	Gateway, Zone string
	Controller    uint64 // ID of the control machine where the gateway is subscribed
	InForce       content.Ref
	Newest        uint64 // version
	Reason        Reason
	Detail        string
}

// String formats the entry as a line for operators.
func (l Lagging) String() string {
	return fmt.Sprintf("%s zone=%s control=%d in_force=%d newest=%d why=%q detail=%q", l.Gateway, l.Zone,
		l.Controller, l.InForce.Number, l.Newest, l.Reason, l.Detail)
}

// LaggingGateways lists the lagging gateways in the order of their names, with the reason for each. Only the leader
// knows all gateways; another control machine lists only those subscribed to it.
func (c *Controller) LaggingGateways(now time.Duration) (lagging []Lagging) {
	c.advanceClock(now)
	store := c.machine.store
	newest := store.Head().Ref.Number
	for _, g := range c.gateways() {
		s := &g.State
		if s.InForce.Number >= newest && s.Verdict != codec.Failed {
			continue
		}
		l := Lagging{Gateway: g.Gateway, Zone: g.Zone, Controller: g.Controller, InForce: s.InForce, Newest: newest,
			Detail: s.Reason}
		switch {
		case g.Silent:
			l.Reason = ReasonSilent
		case s.Verdict == codec.Failed:
			l.Reason = ReasonFailed
		case s.Verdict == codec.Rejected:
			l.Reason = ReasonRejected
		case g.Target > s.InForce.Number:
			l.Reason, l.Detail = ReasonNotInstalled, fmt.Sprintf("version %d", g.Target)
		case store.released.Ref.Number > s.InForce.Number:
			l.Reason = ReasonNotOffered
		default:
			l.Reason, l.Detail = ReasonOtherStage, store.rollout.Stage.String()
		}
		lagging = append(lagging, l)
	}
	return lagging
}
