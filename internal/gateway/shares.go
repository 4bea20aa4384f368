package gateway

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/admin"
	"thymebend/internal/assignment"
	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/loadreport"
	"thymebend/internal/membership"
	"thymebend/internal/tokenschedule"
)

// What the fleet's view means for this gateway, where the fleet file has a table [shares]: which hosts it uses and for how
// much, its turns at cold ones, and what it tells of itself. The module is told by events and goes on choosing.

// Times of what is looked at and believed.
const (
	newsWithin = time.Second     // a change of the view reaches the last gateway
	holdSets   = 3 * time.Second // and surely has reached it, also through losses
	lookAtMost = time.Second     // between two looks at a view in which only figures changed
	turnsAhead = time.Second     // for which the next turn is looked for
	shareLog   = time.Second
)

// portion is this gateway's portion of the fleet's hosts.
type portion struct {
	file   *gossipconfig.Assignment
	rule   tokenschedule.Rule
	rate   float64 // requests a second of a warm host, for turns
	mark   uint32  // of what turns rest on
	keeper *assignment.Tracker
	owners *tokenschedule.Owners
	holder *tokenschedule.Taker
	teller loadreport.Reporter

	version  uint64 // of the view at the last look
	settled  bool
	lookedAt time.Duration
	listed   bool // the list has changed since

	agreed time.Duration // since then most of the living have the same mark; 0 if they have not
	cold   []coldHost    // of which this gateway may own turns
	given  []balancer.AssignedEndpoint
	taken  uint64 // turns
	logged time.Duration
}

// coldHost is one that warms up. Nothing of it is this gateway's before next.
type coldHost struct {
	tokenschedule.Endpoint
	next time.Duration
}

// AssignmentTracker is what this gateway goes by now, or nil where the fleet divides nothing. The laboratory holds it against the others'.
func (g *Gateway) AssignmentTracker() *assignment.Tracker {
	if g.portion == nil {
		return nil
	}
	return g.portion.keeper
}

// EndpointKnowledge tells the laboratory whether this gateway uses a host, whether it has ejected it itself, and whether others have it doubt it.
func (g *Gateway) EndpointKnowledge(id balancer.EndpointID) (bad, doubted, uses bool) {
	if g.portion == nil {
		return false, false, false
	}
	for _, s := range g.portion.given {
		if s.ID == id && s.Share > 0 {
			doubted, uses = s.SuspectedByPeers, true
		}
	}
	return slices.Contains(g.module.LoadReport(g.now).Ejected, id), doubted, uses
}

// takePortion begins to go by the fleet, as a view is begun. Until that has settled parts follow from count and number, and cold
// hosts get nothing from here.
func (g *Gateway) takePortion() {
	f := g.cfg.Gossip
	if f.Assignment == nil {
		return
	}
	c := &g.cfg.Settings.Config
	p := &portion{file: f.Assignment, rate: f.Assignment.WarmRate,
		rule: tokenschedule.Rule{InitialFraction: c.SlowStartFraction, Duration: c.SlowStartDuration, OverloadMultiple: c.OverloadMultiple, Window: c.OverloadWindow, ClockSkew: f.Assignment.ClockSkew}}
	if p.rate == 0 {
		p.rate = g.module.MinCoreRate()
	}
	if !p.rule.Usable() {
		g.log.Warn().Dur("window", c.OverloadWindow).Dur("skew", f.Assignment.ClockSkew).Float64("cold_from", c.SlowStartFraction).Msg("shares: no turns can be given, cold hosts wait until they are warm")
	}
	var book []assignment.Gateway // of unknown zone, which is the same to all
	if !f.Flat {
		for _, name := range g.booked() {
			book = append(book, assignment.Gateway{Name: name, Zone: -1})
		}
	}
	p.keeper = assignment.NewTracker(assignment.Rule{Users: float64(p.file.Users), MaxUsers: p.file.MaxUsers, MinEndpoints: p.file.MinEndpoints, RemoteZoneOdds: p.file.RemoteZoneOdds}, f.Name, newsWithin, book)
	p.owners = tokenschedule.NewOwners(p.file.Users, holdSets)
	start := g.now
	if g.elder != nil {
		start += p.rule.ValidFor() // until it has heard that this process takes clients, it takes turns too
	}
	p.holder = tokenschedule.NewTaker(p.rule, f.Name, start)
	p.agreed, p.listed = g.now-holdSets, true // by the own file, until others are heard
	g.portion = p
	g.markPortion()
	g.module.AssignEndpoints(g.now, nil)
	g.told = true
}

// booked are the names of the book and the own one, sorted.
func (g *Gateway) booked() []string {
	names := []string{g.cfg.Gossip.Name}
	for _, peer := range g.cfg.Gossip.SeedPeers {
		names = append(names, peer.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// markPortion works out the mark of what turns rest on.
func (g *Gateway) markPortion() {
	p := g.portion
	h := xxh3.New()
	fmt.Fprintf(h, "%s %v %d", p.rule.Canonical(), p.rate, p.file.Users) // a hash never fails
	for _, name := range g.booked() {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(name))))
		_, _ = h.WriteString(name)
	}
	mark := uint32(h.Sum64())
	if p.mark != 0 && mark != p.mark {
		p.agreed = 0 // the others have another file, or will have this one in a moment
	}
	p.mark = mark
}

// firstWords are what a view is begun with: the zone, and the mark of the file.
func (g *Gateway) firstWords() []byte {
	s := loadreport.Report{Zone: g.cfg.Settings.Config.Zone, Demand: -1}
	if g.portion == nil {
		return loadreport.Append(nil, s)
	}
	s.Known, s.ConfigHash = true, g.portion.mark
	payload, _ := g.portion.teller.Next(g.now, s, 1)
	return payload
}

// sayPortion spreads what this gateway has to tell of itself, if that has changed.
func (g *Gateway) sayPortion() {
	told, st := g.module.LoadReport(g.now), g.fleet.view.Status(g.now)
	s := loadreport.Report{Zone: g.cfg.Settings.Config.Zone, Known: true, Demand: told.Demand, Rejected: told.Rejected, FreeCapacity: told.FreeCapacity,
		LocalHealth: st.LocalHealth, ConfigHash: g.portion.mark}
	if !told.Known {
		s.Demand = -1
	}
	var bad []uint64
	for _, id := range told.Ejected {
		bad = append(bad, uint64(id))
	}
	s.Ejected = loadreport.EndpointHashes(bad)
	payload, due := g.portion.teller.Next(g.now, s, st.Alive)
	if !due {
		return
	}
	if err := g.fleet.view.SetPayload(g.now, payload); err != nil {
		g.log.Error().Err(err).Msg("shares: nothing told")
		return
	}
	g.setTimer(timerFleet, 0, g.fleet.view.NextWake())
}

// lookAround follows the view and the list, with every sample of the module.
func (g *Gateway) lookAround() {
	p, v := g.portion, g.fleet.view
	if p == nil || v == nil {
		return
	}
	g.sayPortion()
	st := v.Status(g.now)
	due, timed := p.keeper.Due()
	warm := slices.ContainsFunc(p.cold, func(c coldHost) bool { return g.now >= c.StartedAt+p.rule.Duration })
	news := (st.Version != p.version || p.agreed == 0) && g.now-p.lookedAt >= lookAtMost
	if !news && !p.listed && !warm && st.Settled == p.settled && !(timed && g.now >= due) {
		return
	}
	if news {
		p.lookedAt = g.now
	}
	p.version, p.settled, p.listed = st.Version, st.Settled, false
	all := v.Members()
	words, doubted := g.words(all)
	g.agree(all, words)
	demands := loadreport.Demands(words)
	g.owners(all)

	var alive []assignment.Gateway
	for i, m := range all {
		if m.State == gossipcodec.Alive {
			alive = append(alive, assignment.Gateway{Name: m.Name, Demand: demands[i], Zone: words[i].Zone})
		}
	}
	var hosts []assignment.Endpoint
	p.cold = p.cold[:0]
	for _, h := range g.group.All() {
		switch {
		case h.State != balancer.EndpointReady:
		case g.cold(h):
			c := coldHost{Endpoint: tokenschedule.Endpoint{ID: uint64(h.ID), StartedAt: h.StartedAt, Capacity: p.rate}}
			if d := p.owners.Divisions(g.now, c.ID); len(d) > 0 && tokenschedule.Share(d[len(d)-1], g.cfg.Gossip.Name) > 0 {
				p.cold = append(p.cold, c)
			}
		default:
			hosts = append(hosts, assignment.Endpoint{ID: uint64(h.ID), Capacity: h.Capacity, Zone: h.Zone})
		}
	}
	isCold := func(id uint64) bool { // also one that is another's now, or drains: it may be this gateway's again in a moment
		h := g.group.Find(balancer.EndpointID(id))
		return h != nil && g.cold(h)
	}
	p.holder.Forget(isCold)
	p.owners.Forget(isCold)
	if _, err := p.keeper.Observe(g.now, assignment.Observation{Alive: alive, Settled: st.Settled, Endpoints: hosts}); err != nil {
		g.logPortion(err)
		return
	}
	g.givePortion(doubted)
}

func (g *Gateway) logPortion(err error) {
	if g.now-g.portion.logged >= shareLog {
		g.portion.logged = g.now
		g.log.Error().Err(err).Msg("shares: the division stays as it was")
	}
}

// cold reports whether a host still warms up.
func (g *Gateway) cold(h *discovery.Endpoint) bool {
	return h.StartedAt > 0 && g.now-h.StartedAt < g.portion.rule.Duration
}

// words reads what each member tells, and which hosts several others found bad. What cannot be read counts as nothing told.
func (g *Gateway) words(all []membership.Member) (words []loadreport.PeerReport, doubted map[uint32]bool) {
	var others []loadreport.PeerReport
	for _, m := range all {
		w := loadreport.PeerReport{}
		if s, err := loadreport.Parse(m.Payload); err == nil {
			w.Report = s
		}
		if m.State != gossipcodec.Alive {
			w.Silent = max(1, g.now-m.Since)
		}
		words = append(words, w)
		if m.Name != g.cfg.Gossip.Name {
			others = append(others, w)
		}
	}
	return words, loadreport.SuspectedByPeers(others)
}

// agree notes since when more than half of the living have this gateway's mark.
func (g *Gateway) agree(all []membership.Member, words []loadreport.PeerReport) {
	living, same := 0, 0
	for i, m := range all {
		if m.State > gossipcodec.Suspect || !words[i].Known && m.Name != g.cfg.Gossip.Name && len(m.Payload) == 0 {
			continue // nothing was heard of it but its name
		}
		living++
		if words[i].Known && words[i].ConfigHash == g.portion.mark || m.Name == g.cfg.Gossip.Name {
			same++
		}
	}
	switch {
	case 2*same <= living:
		g.portion.agreed = 0
	case g.portion.agreed == 0:
		g.portion.agreed = g.now
	}
}

// owners tells who may own turns: the book, or in a flat fleet all that are known and have not left.
func (g *Gateway) owners(all []membership.Member) {
	names := g.booked()
	if g.cfg.Gossip.Flat {
		for _, m := range all {
			if m.State != gossipcodec.Left {
				names = append(names, m.Name)
			}
		}
	}
	g.portion.owners.Know(g.now, names)
}

// givePortion tells the module which hosts are this gateway's, if that has changed.
func (g *Gateway) givePortion(doubted map[uint32]bool) {
	p := g.portion
	var given []balancer.AssignedEndpoint
	add := func(id uint64, weight, part float64) {
		given = append(given, balancer.AssignedEndpoint{ID: balancer.EndpointID(id), Weight: weight, Share: part, SuspectedByPeers: doubted[loadreport.EndpointHash(id)]})
	}
	if uses := p.keeper.Assigned(); len(p.keeper.Gateways()) > 0 {
		mean := 1.0
		if len(uses) > 0 {
			mean = 1 / float64(len(uses))
		}
		for _, u := range uses {
			add(u.Endpoint, u.Weight, u.Share)
		}
		for _, c := range p.cold {
			d := p.owners.Divisions(g.now, c.ID)
			add(c.ID, mean, tokenschedule.Share(d[len(d)-1], g.cfg.Gossip.Name))
		}
		for _, id := range p.keeper.Spares(g.cfg.Settings.Config.Zone) {
			add(id, mean, 0)
		}
	}
	if !slices.Equal(given, p.given) {
		p.given = given
		g.module.AssignEndpoints(g.now, given)
		g.told = true
	}
}

// takeTurns gives the module the turns that have begun, before it dispatches. It dispatches every few milliseconds while
// it holds a request, so no timer is needed, and nothing is looked at while nobody asks. After news of the list it waits for the next
// look: a host that has started again has other turns.
func (g *Gateway) takeTurns() {
	p := g.portion
	if p == nil || g.fleet.view == nil || p.listed || p.agreed == 0 || g.now-p.agreed < holdSets || !p.rule.Usable() ||
		g.cfg.Gossip.Flat && p.keeper.Stage() == assignment.Waiting {
		return
	}
	for i := range p.cold {
		c := &p.cold[i]
		if g.now < c.next || g.now >= c.StartedAt+p.rule.Duration {
			continue
		}
		divisions := p.owners.Divisions(g.now, c.ID)
		for {
			until, ok := p.holder.Take(g.now, c.Endpoint, divisions...)
			if !ok {
				break
			}
			p.taken++
			g.module.GrantSlowStartToken(g.now, balancer.EndpointID(c.ID), until)
		}
		if c.next, _ = p.holder.Next(g.now, c.Endpoint, turnsAhead, divisions...); c.next == 0 {
			c.next = g.now + turnsAhead
		}
	}
}

// portionFigures are what operators read of this gateway's portion, and why it is that.
func (g *Gateway) portionFigures() *admin.Assignment {
	p := g.portion
	if p == nil {
		return nil
	}
	out := &admin.Assignment{Stage: p.keeper.Stage().String(), Gateways: len(p.keeper.Gateways()), RelativeLoad: p.keeper.RelativeLoad(), Tokens: p.taken,
		TokensActive: p.agreed > 0 && g.now-p.agreed >= holdSets, Demand: g.module.LoadReport(g.now).Demand, Hosts: []admin.AssignedEndpoint{}}
	for _, s := range p.given {
		if s.Share == 0 {
			out.Spares++
			continue
		}
		h := admin.AssignedEndpoint{Weight: s.Weight, Share: s.Share, SuspectedByPeers: s.SuspectedByPeers}
		if host := g.group.Find(s.ID); host != nil {
			h.Name, h.SlowStart = host.Name, g.cold(host)
		}
		out.Hosts = append(out.Hosts, h)
	}
	return out
}
