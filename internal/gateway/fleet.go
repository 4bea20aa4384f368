package gateway

import (
	"time"

	"thymebend/internal/admin"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/loop"
	"thymebend/internal/membership"
)

// The fleet's view, where a fleet file asks for it: the reducer of internal/membership on a datagram socket. Without the file
// there is no socket, no timer and no view.

// fleetAgain is how soon a socket that failed is opened again; fleetLog bounds the lines about the view.
const (
	fleetAgain = time.Second
	fleetLog   = time.Second
)

// fleet is this process's part in the fleet.
type fleet struct {
	view     *membership.Membership // nil while another process of this gateway speaks
	up       bool                   // the socket is open
	joined   int                    // how often a view was begun
	start    uint64                 // identity that was handed over, or this process's own
	again    uint64                 // incarnation to begin with
	loggedAt time.Duration
	logged   uint64 // version of the view in the last line
}

// Membership is this process's view of its fleet, or nil while it has none. The laboratory holds it against the truth.
func (g *Gateway) Membership() *membership.Membership { return g.fleet.view }

// joinFleet begins to speak, once this process takes clients: at an upgrade under the elder's identity.
func (g *Gateway) joinFleet() {
	if g.cfg.Gossip == nil || g.fleet.view != nil || g.stopping {
		return
	}
	f := g.cfg.Gossip
	if g.fleet.start == 0 {
		g.fleet.start = uint64(g.now.Milliseconds())
	}
	g.takePortion()
	payload := g.firstWords()
	view, err := membership.New(membership.Config{Cluster: f.Cluster, Name: f.Name, Start: g.fleet.start, Incarnation: g.fleet.again, SeedPeers: f.SeedPeers,
		Flat: f.Flat, Payload: payload, Seed: g.cfg.Seed}, g.now)
	if err != nil {
		g.log.Error().Err(err).Msg("fleet: not joined")
		g.portion = nil
		return
	}
	g.fleet.view = view
	g.fleet.joined++
	g.openFleet()
}

func (g *Gateway) openFleet() {
	g.ask(loop.Effect{Op: loop.Bind, Conn: loop.Gossip, Addr: g.cfg.Gossip.Listen, Urgent: true})
}

// quitFleet falls silent, for the next process speaks under this one's identity, or after telling that this gateway leaves.
func (g *Gateway) quitFleet(leave bool) {
	v := g.fleet.view
	if v == nil {
		return
	}
	if leave {
		v.Leave(g.now)
		g.postFleet()
	}
	g.fleet.start, g.fleet.again = v.Identity()
	g.fleet.view, g.fleet.up = nil, false
	g.portion = nil // its hosts stay in use, its turns at cold ones are others' or nobody's from now on
	g.stopTimer(timerFleet, 0)
	g.close(loop.Gossip)
}

func (g *Gateway) fleetEvent(e loop.Event) {
	switch {
	case g.fleet.view == nil:
	case e.Kind == loop.Listening:
		g.fleet.up = true
		g.log.Info().Str("fleet", g.cfg.Gossip.Cluster).Stringer("listen", g.cfg.Gossip.Listen).Msg("fleet: joining")
		g.fleetDue()
	case e.Kind == loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: loop.Gossip})
	case e.Kind == loop.Data:
		g.fleet.view.Receive(g.now, e.From, e.Data)
		g.postFleet()
	case e.Kind == loop.Broken:
		g.fleet.up = false
		g.log.Error().Err(e.Err).Msg("fleet: no socket")
		g.setTimer(timerFleet, 0, g.now+fleetAgain)
	}
}

// fleetDue is the view's time, or that to open its socket again.
func (g *Gateway) fleetDue() {
	switch {
	case g.fleet.view == nil:
	case !g.fleet.up:
		g.openFleet()
	default:
		g.fleet.view.Advance(g.now)
		g.postFleet()
	}
}

// postFleet sends what the view wants sent, and has it looked at when it wants.
func (g *Gateway) postFleet() {
	v := g.fleet.view
	for _, d := range v.Take() {
		g.ask(loop.Effect{Op: loop.SendTo, Conn: loop.Gossip, Addr: d.To, Data: d.Data})
	}
	g.setTimer(timerFleet, 0, v.NextWake())
	if g.now-g.fleet.loggedAt < fleetLog {
		return
	}
	if st := v.Status(g.now); st.Version != g.fleet.logged {
		g.fleet.loggedAt, g.fleet.logged = g.now, st.Version
		g.log.Info().Int("alive", st.Alive).Int("known", st.Known).Bool("majority", st.Majority).Bool("twin", st.DuplicateName).
			Int("health", st.LocalHealth).Msg("fleet: the view has changed")
	}
}

// reloadFleet takes a new book. A faulty file changes nothing; what else the file says holds from the next start.
func (g *Gateway) reloadFleet(raw []byte, err error) {
	var f *gossipconfig.Config
	if err == nil {
		f, err = gossipconfig.Parse(g.cfg.GossipPath, raw, g.cfg.Name)
	}
	if err == nil && g.fleet.view != nil {
		err = g.fleet.view.SetSeedPeers(g.now, f.SeedPeers)
	}
	if err != nil {
		g.log.Error().Err(err).Msg("reload: fleet file refused, the book stays as it was")
		return
	}
	g.cfg.Gossip.SeedPeers = f.SeedPeers
	if g.portion != nil {
		g.markPortion()
	}
	g.log.Info().Int("peers", len(f.SeedPeers)).Msg("reload: fleet")
}

// fleetFigures are what operators read of the fleet.
func (g *Gateway) fleetFigures() admin.Cluster {
	out := admin.Cluster{Cluster: g.cfg.Gossip.Cluster, Name: g.cfg.Gossip.Name, Joined: g.fleet.joined, Members: []admin.Member{}}
	v := g.fleet.view
	if v == nil {
		return out
	}
	out.Assignment = g.portionFigures()
	st, c := v.Status(g.now), v.Counts()
	out.Active, out.Settled, out.Majority, out.DuplicateName = g.fleet.up, st.Settled, st.Majority, st.DuplicateName
	out.Alive, out.Known, out.Answering, out.Health, out.QuietMS = st.Alive, st.Known, st.Answering, st.LocalHealth, st.Isolated.Milliseconds()
	out.Sent, out.SentBytes, out.Received, out.ReceivedBytes = c.Sent, c.SentBytes, c.Received, c.ReceivedBytes
	out.Refused = map[string]uint64{"foreign": c.OtherCluster, "spoilt": c.Malformed, "strange": c.UnknownSender, "over_rate": c.Deferred, "over_size": c.Full}
	for _, m := range v.Members() {
		fm := admin.Member{Name: m.Name, State: m.State.String(), Start: m.Start, Incarnation: m.Incarnation,
			SinceMS: (g.now - m.Since).Milliseconds(), Previous: m.Previous.String(), SuspectedBy: m.SuspectedBy,
			RTTMS: float64(m.RTT.Microseconds()) / 1000}
		if m.Addr.IsValid() {
			fm.Addr = m.Addr.String()
		}
		out.Members = append(out.Members, fm)
	}
	return out
}
