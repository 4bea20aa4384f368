package configdist

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// subscriber is a gateway that has subscribed here.
type subscriber struct {
	gateway, zone string
	link          uint64   // where it is reached
	session       uint64   // the highest one
	services      []string // sorted; none is all
	state         codec.State
	lastSeen      time.Duration

	offered        *Version
	attempt        uint64        // of the rollout that the offer belongs to
	nextOffer      time.Duration // when it is offered again; 0 where no acknowledgement is awaited
	offerBackoff   time.Duration // from one offer to the next
	pendingReports int           // reports to the leader that still have to tell of it
	affected       bool          // by the versions of Controller.impact
}

// receiveSubscribe begins a gateway's session, in place of an earlier one.
func (c *Controller) receiveSubscribe(link uint64, m *codec.Subscribe) {
	s := c.subscribers[m.Gateway]
	switch {
	case s != nil && m.Session < s.session:
		return // of a process before
	case s == nil && len(c.subscribers) >= c.cfg.MaxSubscribers:
		c.send(link, &codec.Busy{Session: m.Session})
		return
	case s == nil:
		index, _ := slices.BinarySearch(c.names, m.Gateway)
		c.names = slices.Insert(c.names, index, m.Gateway)
	}
	services := slices.Compact(slices.Sorted(slices.Values(m.Services)))
	s = &subscriber{
		gateway: m.Gateway, zone: m.Zone, link: link, session: m.Session, services: services, state: m.State,
		lastSeen: c.now, pendingReports: reportRepeats,
	}
	c.subscribers[m.Gateway] = s
	s.affected = c.impact.affects(s)
	c.offer(s)
}

// session finds a gateway's session, or tells the gateway that there is none.
func (c *Controller) session(link uint64, gateway string, session uint64) *subscriber {
	s := c.subscribers[gateway]
	if s == nil || s.session != session {
		c.send(link, &codec.UnknownSession{Session: session})
		return nil
	}
	s.link, s.lastSeen = link, c.now
	return s
}

func (c *Controller) send(link uint64, m codec.Message) {
	c.output.Gateways = append(c.output.Gateways, ToGateway{link, m})
}

// acknowledge takes what a gateway tells of itself.
func (c *Controller) acknowledge(s *subscriber, state codec.State) {
	if s.state != state {
		s.state, s.pendingReports = state, reportRepeats
	}
}

// targetOf is the version that a gateway is to have, and the attempt of its rollout.
func (c *Controller) targetOf(s *subscriber) (v *Version, attempt uint64) {
	store := c.machine.store
	r := &store.rollout
	candidate := store.Candidate()
	if candidate == nil || !c.stageIsCurrent() {
		return store.released, 0
	}
	switch {
	case r.Stage == StageAll,
		r.Stage == StageZone && s.zone == r.Zone,
		r.Stage == StageZone && s.gateway == r.Canary,
		r.Stage == StageCanary && s.gateway == r.Canary:
		return candidate, r.Attempt
	}
	return store.released, 0
}

// stageIsCurrent reports whether the stage that is known here is current: the leader has been heard of lately.
func (c *Controller) stageIsCurrent() bool {
	if c.now < c.quietUntil {
		return false
	}
	status := c.log.Status()
	return status.IsLeader || status.Quorum && c.now-c.leaderLastSeen < leaderTimeout
}

// needsNoUpdate reports whether a gateway has nothing to do about a version: it has it, or a newer one, or has rejected it.
func needsNoUpdate(s *subscriber, v *Version, attempt uint64) bool {
	rejected := s.state.Verdict == codec.Rejected && s.state.Version == v.Ref.Number && s.state.Attempt >= attempt
	return rejected || s.state.InForce.Number >= v.Ref.Number
}

// offer tells a gateway which version it is to have, with the changes if they are few.
func (c *Controller) offer(s *subscriber) {
	v, attempt := c.targetOf(s)
	s.offered, s.attempt = v, attempt
	if needsNoUpdate(s, v, attempt) {
		s.nextOffer, s.offerBackoff = 0, 0
		c.send(s.link, &codec.Offer{Session: s.session, Target: v.Ref, Attempt: attempt})
		return
	}
	s.offerBackoff = minOfferBackoff
	s.nextOffer = c.now + s.offerBackoff
	page := c.page(s, v, s.state.InForce, content.Cursor{}, c.cfg.PageBytes/pushedPageShare)
	if page.Last {
		c.send(s.link, page)
		return
	}
	c.send(s.link, &codec.Offer{Session: s.session, Target: v.Ref, Attempt: attempt})
}

// page is a part of what a gateway needs for a version: from what it has, or from nothing. Where what it has is
// not kept, it begins a snapshot.
func (c *Controller) page(s *subscriber, v *Version, from content.Ref, after content.Cursor, limit int) *codec.Page {
	base := content.Empty()
	if from != (content.Ref{}) {
		if known := c.machine.store.Version(from.Number); known != nil && known.Ref == from {
			base = known.Tree
		} else {
			from, after = content.Ref{}, content.Cursor{}
		}
	}
	services := s.services
	if len(services) == 0 {
		services = union(base.Services(), v.Tree.Services())
	}
	p := &codec.Page{Session: s.session, From: from, Target: v.Ref, Attempt: s.attempt,
		Scope: v.Tree.ScopeHash(services), After: after}
	p.Changes, p.Next, p.Last = content.Page(base, v.Tree, services, after, limit)
	return p
}

// union merges two sorted lists.
func union(a, b []string) []string {
	if slices.Equal(a, b) {
		return b
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// sendPage answers a fetch. One of a version that the gateway is not to have any more is answered by an offer of the
// one that it is.
func (c *Controller) sendPage(s *subscriber, m *codec.Fetch) {
	v, _ := c.targetOf(s)
	if v.Ref.Number != m.Target {
		c.offer(s)
		return
	}
	if s.nextOffer != 0 {
		s.nextOffer = c.now + maxOfferBackoff
	}
	c.send(s.link, c.page(s, v, m.From, m.After, c.cfg.PageBytes))
}

// serve offers what has changed, and again what was not acknowledged; it forgets gateways that are silent for long.
func (c *Controller) serve() {
	removed := false
	for _, name := range c.names {
		s := c.subscribers[name]
		if c.now-s.lastSeen > forgetTimeout {
			delete(c.subscribers, name)
			removed = true
			continue
		}
		v, attempt := c.targetOf(s)
		switch {
		case needsNoUpdate(s, v, attempt):
			s.nextOffer = 0
		case v != s.offered || attempt != s.attempt:
			c.offer(s)
		case s.nextOffer != 0 && c.now >= s.nextOffer && c.now-s.lastSeen < silenceTimeout:
			s.offerBackoff = min(2*s.offerBackoff, maxOfferBackoff)
			s.nextOffer = c.now + s.offerBackoff
			c.send(s.link, &codec.Offer{Session: s.session, Target: v.Ref, Attempt: attempt})
		}
	}
	if removed {
		c.names = slices.Sorted(maps.Keys(c.subscribers))
	}
}
