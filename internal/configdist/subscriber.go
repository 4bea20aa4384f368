package configdist

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// subscriber is the state of a gateway that is subscribed to this control machine.
type subscriber struct {
	gateway, zone string
	link          uint64   // to the gateway
	session       uint64   // highest session number of the gateway
	services      []string // sorted; empty means all
	state         codec.State
	lastSeen      time.Duration

	offered        *Version
	attempt        uint64        // rollout attempt that the offer belongs to
	nextOffer      time.Duration // when the offer is repeated; 0 if no acknowledgement is expected
	offerBackoff   time.Duration // interval between two offers
	pendingReports int           // number of reports to the leader that must still include this gateway
	affected       bool          // by the change described by Controller.impact
}

// receiveSubscribe starts a gateway's session, which replaces an earlier one. If the control machine is full, it
// answers that it is busy.
func (c *Controller) receiveSubscribe(link uint64, m *codec.Subscribe) {
	s := c.subscribers[m.Gateway]
	switch {
	case s != nil && m.Session < s.session:
		return // of an earlier process or session
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

// session returns the subscriber with a gateway's session. If there is none, it sends UnknownSession and returns nil.
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

// acknowledge stores the state that a gateway reports.
func (c *Controller) acknowledge(s *subscriber, state codec.State) {
	if s.state != state {
		s.state, s.pendingReports = state, reportRepeats
	}
}

// targetOf returns the version that a gateway should have in force, and the attempt of that version's rollout; the
// attempt is 0 for the released version.
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

// stageIsCurrent reports whether the rollout's stage in the local store is current: this control machine leads, or
// is in contact with a quorum and has received a message from the leader within leaderTimeout. It is not current for
// quietAfterStall after a start or stall.
func (c *Controller) stageIsCurrent() bool {
	if c.now < c.quietUntil {
		return false
	}
	status := c.log.Status()
	return status.IsLeader || status.Quorum && c.now-c.leaderLastSeen < leaderTimeout
}

// needsNoUpdate reports whether a gateway already has a version or a newer one in force, or has rejected the version
// in this attempt or a later one.
func needsNoUpdate(s *subscriber, v *Version, attempt uint64) bool {
	rejected := s.state.Verdict == codec.Rejected && s.state.Version == v.Ref.Number && s.state.Attempt >= attempt
	return rejected || s.state.InForce.Number >= v.Ref.Number
}

// offer announces to a gateway the version that it should have in force. If the changes fit into a quarter of a page,
// it sends them at once in place of the announcement.
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

// page returns a page of the changes that a gateway needs for a version, either from the version that it has or from
// the empty configuration. If the version that it has is no longer stored here, the page is the first of a snapshot.
func (c *Controller) page(s *subscriber, v *Version, from content.Ref, after content.Cursor, limit int) *codec.Page {
	base := content.EmptyTree()
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

// union merges two sorted lists without duplicates.
func union(a, b []string) []string {
	if slices.Equal(a, b) {
		return b
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// sendPage answers a fetch. If the gateway should no longer have the requested version, the answer is an offer of the
// version that it should have.
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

// serve sends offers whose version has changed, repeats offers that were not acknowledged, and removes gateways that
// have been silent for forgetTimeout.
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
