package balancer

import (
	"cmp"
	"slices"
	"time"

	"thymebend/internal/backoff"
	"thymebend/internal/subset"
)

// This file follows the server list, chooses the servers that this gateway uses, and asks for the list again.

// UpdateEndpoints tells news of the server list. A delta has changes only; a full or cached list drops what
// it omits.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind EndpointUpdate, entries []Endpoint) {
	b.now = now
	if kind == WatchFailed || kind == WatchUnreachable {
		b.watchFailed(kind)
		return
	}
	if kind != CachedSnapshot {
		b.asking, b.watching = false, true
		b.calls.Succeeded()
	}
	if kind != Delta {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	known := len(b.servers)
	for _, e := range entries {
		b.listed(e)
	}
	b.place(b.servers[known:])
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		gone := s.State == EndpointRemoved || !s.listed
		if gone {
			s.State = EndpointRemoved
			if b.byID[s.ID] == s {
				delete(b.byID, s.ID)
			}
		}
		return gone
	})
	b.stale = true
}

// place gives newly listed servers their places. A successor takes the place of one that drains or is gone,
// so that the members of every gateway are replaced one for one.
func (b *Balancer) place(fresh []*server) {
	slices.SortFunc(fresh, func(x, y *server) int {
		return cmp.Compare(x.ID, y.ID) // zones and cells mixed, so that one lost is no gateway's whole part
	})
	var from [2]int // before it all places are taken, of the others' zones and of the own
	for _, s := range fresh {
		own := index(s.Zone == b.cfg.Zone)
		places, at := [2]*[]*server{&b.far, &b.own}[own], from[own]
		for ; at < len(*places) && (*places)[at].State == EndpointReady && (*places)[at].listed; at++ {
		}
		if from[own] = at; at < len(*places) {
			(*places)[at] = s
		} else {
			*places = append(*places, s)
		}
	}
}

// choose picks the servers that this gateway uses. Exception: where gateways are many, each uses a few
// servers only. Servers accept fewer connections than there are gateways, and answers from few servers tell
// more of each. Ejected servers are replaced by the next ones.
func (b *Balancer) choose() {
	b.stale = false
	old := b.members
	b.members, b.weights = make([]*server, 0, len(old)), [2]float64{}
	zones := subset.Count(b.cfg.Zone, b.zones)
	subset.Rule{Local: ownSharers, Remote: farSharers, Min: leastMembers}.Subsets(b.cfg.Gateways, zones)
	for _, s := range b.servers {
		s.was, s.member, s.even, s.reached, s.weight = s.even, false, false, false, 0
		s.sharers = subset.Users(b.cfg.Gateways, s.Zone, zones)
	}
	if len(b.given) > 0 {
		b.joinGiven()
	} else {
		usable := b.join(b.own, zones[0].Local, 0)
		b.join(b.far, max(zones[0].Remote, leastMembers-usable), b.reach.Endpoints())
	}
	for _, s := range b.servers {
		if s.u == 0 {
			s.u = s.startLimit()
		}
		if s.even && !s.was { // first turns come spread over an interval, and none is saved up from before
			s.coldTokens, s.coldAt = min(s.coldTokens, -b.rng.Float64()), b.now
		}
	}
	for _, s := range old {
		if !s.member && s.inflight == 0 {
			b.out.CloseIdle(s.ID)
		}
	}
}

// joinGiven adds the servers that the fleet gives this gateway, and its spares as join does.
func (b *Balancer) joinGiven() {
	places, part := make([]*server, 0, len(b.given)), 0.0
	for _, g := range b.given {
		s := b.byID[g.ID]
		if s == nil {
			continue
		}
		if s.doubted && !g.SuspectedByPeers {
			s.trialAt = b.now // others have found it good again
		}
		s.doubted, s.weight, s.crowd, places = g.SuspectedByPeers, g.Weight, 1, append(places, s)
		if g.Share > 0 {
			s.sharers = max(1, 1/g.Share)
			part += float64(index(s.State == EndpointReady))
		}
	}
	b.take(places, 0, part, b.reach.Endpoints())
	for _, s := range b.members {
		b.weights[1] += s.weight
		b.weights[0] += s.weight * float64(index(s.Zone == b.cfg.Zone))
	}
}

// join adds servers to the members, beginning at a place that follows from this gateway's number: its even
// part, one more for each of these that is ejected, and those that it reaches. One that would be reached
// while it is ejected is left out until its trial is due. It returns how many are not ejected.
func (b *Balancer) join(places []*server, part, reach float64) (usable float64) {
	standing := make([]bool, len(places))
	for i, s := range places {
		standing[i] = s.State == EndpointReady
	}
	for i, crowd := range subset.RelativeLoad(standing, part) {
		places[i].crowd = crowd
	}
	return b.take(places, subset.Start(b.cfg.Rank, len(places)), subset.RoundByRank(b.cfg.Rank, part), reach)
}

// take adds servers from a place on, see join.
func (b *Balancer) take(places []*server, start int, part, reach float64) (usable float64) {
	ready := 0.0
	for i := 0; i < len(places) && usable < part+reach; i++ {
		s := places[(start+i)%len(places)]
		if s.State != EndpointReady || usable >= part && s.ejected && b.now < s.trialAt {
			continue
		}
		ready++
		s.member, s.even, s.reached = true, ready <= part, usable >= part
		b.members = append(b.members, s)
		usable += float64(index(!s.ejected))
	}
	return usable
}

// listed applies one entry. A server that started again is a new one: nothing learnt holds for it.
func (b *Balancer) listed(e Endpoint) {
	s := b.byID[e.ID]
	if s != nil && s.StartedAt == e.StartedAt {
		s.Endpoint, s.listed = e, true
		return
	}
	if s != nil {
		s.State = EndpointRemoved
	}
	if e.State == EndpointRemoved {
		return
	}
	s = &server{Endpoint: e, listed: true, coldAt: b.now, kinds: make([]kind, len(b.classes))}
	b.byID[e.ID] = s
	b.servers = append(b.servers, s)
}

// watch asks for the list's changes.
func (b *Balancer) watch() {
	b.asking, b.askedAt = true, b.now
	b.out.WatchEndpoints()
}

// PauseAttempts stops new attempts, or lets them go on.
func (b *Balancer) PauseAttempts(on bool) { b.held = on }

// watchFailed asks again, never in step with other gateways, and the later the more often calls fail.
func (b *Balancer) watchFailed(kind EndpointUpdate) {
	failure := backoff.Overloaded
	if kind == WatchUnreachable {
		failure = backoff.Unreachable
	} else if b.watching {
		failure = backoff.Ended
	}
	b.asking, b.watching = false, false
	if b.cfg.PollDiscovery {
		spread, jitter := b.rng.Float64(), b.rng.Float64()
		b.out.SetTimer(b.calls.Failed(failure, b.cfg.Gateways, b.now-b.askedAt, spread, jitter), tokenWatch)
	}
}

// checkWatch asks again if a call was never answered.
func (b *Balancer) checkWatch() {
	if b.cfg.PollDiscovery && b.asking && b.now-b.askedAt > b.cfg.PollInterval/2 {
		b.watch()
	}
}
