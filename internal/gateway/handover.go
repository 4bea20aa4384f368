package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// heapShare of the memory limit is the collector's; the rest is for stacks, sockets and the program itself.
const heapShare = 0.6

// manyShare of the descriptors in client links are many: clients may hold a third for their requests.
const manyShare = 4

// spareLinks to hosts are left to an old process beyond one for each of its client links.
const spareLinks = 4

// meet asks for what a process of this gateway that serves already has to give.
func (g *Gateway) meet() {
	if g.cfg.HotRestartDir == "" {
		g.listen()
		return
	}
	g.elder = &hotrestart.Conn{ID: g.pool.NextID()}
	g.setTimer(timerElder, 0, g.now+hotrestart.AnswerTimeout)
	g.ask(loop.Effect{Op: loop.Dial, Conn: g.elder.ID, Path: g.cfg.HotRestartDir, Urgent: true})
}

// listen opens a listening socket of this process's own.
func (g *Gateway) listen() {
	g.ask(loop.Effect{Op: loop.Listen, Conn: loop.Listener, Addr: g.cfg.Listen})
}

// offer takes the place at which the next process of this gateway asks.
func (g *Gateway) offer() {
	if g.cfg.HotRestartDir != "" {
		g.ask(loop.Effect{Op: loop.Listen, Conn: loop.HotRestart, Path: g.cfg.HotRestartDir, Urgent: true})
	}
}

// takingClients notes that clients can connect.
func (g *Gateway) takingClients() {
	g.listening = true
	g.log.Info().Stringer("listen", g.cfg.Listen).Bool("handed_over", g.elder != nil).Msg("taking clients")
	if g.elder != nil {
		g.say(g.elder, hotrestart.Message{Kind: hotrestart.Taking}, nil)
	}
	g.joinFleet()
	g.offer()
}

// say sends a message, with sockets beside it.
func (g *Gateway) say(l *hotrestart.Conn, m hotrestart.Message, give []loop.Conn) {
	m.Passed = len(give)
	data, err := m.Encode()
	if err != nil {
		g.log.Error().Err(err).Msg("hand-over")
		if l == g.heir {
			g.loseHeir("a message cannot be worded")
		}
		return
	}
	op := loop.Write
	if len(give) > 0 {
		op = loop.Pass
	}
	g.ask(loop.Effect{Op: op, Conn: l.ID, Data: data, Give: give})
}

// ---- the newcomer's side --------------------------------------------------------------------------------

func (g *Gateway) elderEvent(e loop.Event) {
	if e.Kind == loop.Connected {
		g.say(g.elder, hotrestart.Message{Kind: hotrestart.Hello, Listen: g.cfg.Listen.String()}, nil)
		return
	}
	g.hear(&g.elder, e, g.elderSays, g.loseElder)
}

// hear takes the news of the link to the other process, until it is lost.
func (g *Gateway) hear(link **hotrestart.Conn, e loop.Event, says func(hotrestart.Message), lose func(why string)) {
	switch e.Kind {
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		(*link).Feed(e.Data, e.Passed)
		for *link != nil {
			m, whole, err := (*link).Next()
			if err != nil {
				lose(err.Error())
				return
			}
			if !whole {
				return
			}
			says(m)
		}
	case loop.EOF:
		lose("it has ended")
	case loop.Broken:
		lose(e.Err.Error())
	}
}

func (g *Gateway) elderSays(m hotrestart.Message) {
	switch m.Kind {
	case hotrestart.State:
		g.stopTimer(timerElder, 0)
		g.inherit(m)
		g.ask(loop.Effect{Op: loop.Adopt, Conn: m.Conns[0], As: loop.Listener})
	case hotrestart.PassConns:
		for i, c := range m.Conns {
			note := m.Idle[i]
			idle := time.Duration(note.IdleMS) * time.Millisecond
			l := g.links.Add(c, g.now-idle)
			l.HasRequested, l.Requests = note.HasRequested, note.Requests
			g.links.Place(l)
			left := downstream.IdleTimeout - idle
			if !l.HasRequested {
				left = downstream.RequestReadTimeout - idle
			}
			g.timeClient(l, g.now+max(left, 0))
			g.ask(loop.Effect{Op: loop.Unmute, Conn: c})
		}
		g.elderHolds = m.Descriptors
		g.resize()
		g.say(g.elder, hotrestart.Message{Kind: hotrestart.Acknowledge}, nil)
	default:
		g.loseElder("it says " + string(m.Kind) + ": " + m.Reason)
	}
}

// inherit takes what the elder knows. Its list gives way to what discovery has told this process meanwhile.
func (g *Gateway) inherit(m hotrestart.Message) {
	if len(m.List) > 0 && (g.watch == nil || !g.watch.Started()) {
		g.inheritList(m.List)
	}
	if m.Balancer != nil {
		g.module.Restore(g.now, *m.Balancer)
	}
	g.told = true
	g.fleet.start, g.fleet.again = m.FleetStart, m.FleetIncarnation
	g.elderHolds = m.Descriptors
	g.resize()
}

// inheritList takes the elder's list unless it is older than this process's own: the call under way asks for what changed
// since that, and what changed before it would never be told.
func (g *Gateway) inheritList(list []byte) {
	if older, err := g.group.Older(list); err == nil && older {
		return
	}
	news, err := g.group.Apply(list)
	if err != nil {
		g.log.Error().Err(err).Msg("the elder's list is not usable")
		return
	}
	g.hostsLeft(news.Changed)
	g.tellList(balancer.CachedSnapshot, news.Entries)
}

// loseElder ends what is between this process and its elder: the elder has gone, or cannot hand over.
func (g *Gateway) loseElder(why string) {
	g.log.Info().Str("why", why).Bool("taking_clients", g.listening).Msg("no elder process")
	g.stopTimer(timerElder, 0)
	for _, c := range g.elder.Unclaimed() {
		g.close(c)
	}
	g.close(g.elder.ID)
	g.elder, g.elderHolds = nil, 0
	g.resize()
	if !g.listening && !g.stopping {
		g.listen()
	}
}

// ---- the elder's side -----------------------------------------------------------------------------------

func (g *Gateway) handoverListener(e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Accept, Conn: loop.HotRestart, Most: 1})
	case loop.AcceptFailed:
		g.log.Warn().Err(e.Err).Msg("accept of the next process")
		g.restListener(e.Conn)
	case loop.Broken:
		g.log.Warn().Err(e.Err).Msg("the next process cannot be handed anything")
	}
}

// newcomerCame hears one newcomer at a time. A second one is told so by the end of its link, and listens alone.
func (g *Gateway) newcomerCame(c loop.Conn) {
	if g.heir != nil {
		g.close(c)
		return
	}
	g.heir = &hotrestart.Conn{ID: c}
	g.setTimer(timerHeir, 0, g.now+hotrestart.TakeoverTimeout)
}

func (g *Gateway) heirSays(m hotrestart.Message) {
	switch m.Kind {
	case hotrestart.Hello:
		if m.Listen != g.cfg.Listen.String() || !g.listening || g.closed || g.heirTakes {
			g.say(g.heir, hotrestart.Message{Kind: hotrestart.Decline, Reason: "no listening socket for " + m.Listen}, nil)
			return
		}
		learned := g.module.State(g.now)
		g.heirGiven = true
		g.resize()
		state := hotrestart.Message{Kind: hotrestart.State, List: g.group.Encode(), Balancer: &learned, Descriptors: g.holds()}
		if g.fleet.view != nil {
			state.FleetStart, state.FleetIncarnation = g.fleet.view.Identity()
		}
		g.say(g.heir, state,
			[]loop.Conn{loop.Listener})
	case hotrestart.Taking:
		if !g.heirGiven || g.heirTakes {
			g.loseHeir("it takes what it was not given")
			return
		}
		g.stopTimer(timerHeir, 0)
		g.log.Info().Msg("the next process takes clients")
		g.heirTakes, g.restless = true, true
		g.quitFleet(false)
		g.close(loop.HotRestart)
		g.ask(loop.Effect{Op: loop.Mute, Conn: loop.Listener})
		g.module.YieldSlowStart(g.now, true)
		g.resize()
		if g.stopping {
			g.closeListener()
		}
	case hotrestart.Acknowledge:
		g.stopTimer(timerHeir, 0)
		g.passing, g.restless = nil, true
	default:
		g.loseHeir("it says " + string(m.Kind))
	}
}

// passLinks gives the heir the client links that rest, at the end of a round: what was read of a link has been told
// by then, and what was not read goes along.
func (g *Gateway) passLinks() {
	if !g.heirTakes || !g.restless || len(g.passing) > 0 {
		return
	}
	g.restless = false
	var notes []hotrestart.IdleConn
	for _, l := range g.links.InOrder() {
		if l.Busy || l.Ended || l.Muted || l.FinalRead || l.Pending() {
			continue
		}
		if len(notes) == hotrestart.Batch {
			g.restless = true
			break
		}
		notes = append(notes, hotrestart.IdleConn{HasRequested: l.HasRequested, Requests: l.Requests, IdleMS: (g.now - l.Since).Milliseconds()})
		g.passing = append(g.passing, l.ID)
		g.untimeClient(l)
		g.links.Remove(l)
	}
	g.resize()
	if holds := g.holds(); len(notes) > 0 || holds != g.toldHolds {
		g.toldHolds = holds
		g.setTimer(timerHeir, 0, g.now+hotrestart.TakeoverTimeout)
		g.say(g.heir, hotrestart.Message{Kind: hotrestart.PassConns, Idle: notes, Descriptors: holds}, g.passing)
	}
}

// loseHeir goes on alone: the newcomer has gone, or does not answer.
func (g *Gateway) loseHeir(why string) {
	g.log.Warn().Str("why", why).Bool("took_clients", g.heirTakes).Msg("no next process")
	g.stopTimer(timerHeir, 0)
	for _, c := range g.passing {
		g.close(c) // those that were not passed after all
	}
	g.close(g.heir.ID)
	took := g.heirTakes
	g.heir, g.passing, g.heirGiven, g.heirTakes, g.restless, g.toldHolds = nil, nil, false, false, false, 0
	g.resize()
	if !took {
		return
	}
	g.module.YieldSlowStart(g.now, false)
	g.told = true
	g.joinFleet()
	if g.stopping {
		g.closeListener()
		return
	}
	if !g.paused {
		g.ask(loop.Effect{Op: loop.Unmute, Conn: loop.Listener})
	}
	g.offer()
}

// ---- what both share ------------------------------------------------------------------------------------

// alone reports whether this is the only process of its gateway. While there are two, no link at rest is closed that
// could stay: what is gained would be lost to clients who come back in the middle of the upgrade.
func (g *Gateway) alone() bool { return g.heir == nil && g.elder == nil }

// holds is how many descriptors of the limit this process and the one before it need: those in use, and those that it may still
// take without the other process hearing of it.
func (g *Gateway) holds() int {
	return ownSockets + max(len(g.links.ByConn), g.links.Max) + g.pool.Max() + g.elderHolds
}

// resize divides the limits between the two processes of an upgrade: until the new one takes clients each has half, then
// the old one may not grow.
func (g *Gateway) resize() {
	if g.heirTakes {
		g.shrink()
	} else {
		g.share()
	}
	if !g.alone() {
		g.closeSurplus()
	}
	heap := g.cfg.Limits.MemoryMB * heapShare * (1 << 20)
	if !g.alone() {
		heap /= 2
	}
	if int64(heap) != g.heap {
		g.heap = int64(heap)
		g.ask(loop.Effect{Op: loop.Heap, Bytes: g.heap})
	}
}

// share divides what the other process leaves between clients and hosts. Client links that were handed over count
// though they are more than the clients' part: the hosts' part is less by them.
func (g *Gateway) share() {
	sockets := g.cfg.Limits.Sockets - g.elderHolds
	if g.heir != nil {
		sockets /= 2
	}
	sockets = max(sockets-ownSockets, 2*spareLinks)
	inbound := int(float64(sockets) * clientShare)
	g.links.Max, g.links.ReuseLimit = inbound, g.cfg.Limits.Sockets/manyShare
	outbound := sockets - inbound
	if g.elder != nil {
		outbound = max(spareLinks, sockets-max(inbound, len(g.links.ByConn)))
	}
	g.pool.Resize(outbound)
}

// shrink leaves this process what its client links need. Each has at most one request, which needs one link to a host;
// all else is the new process's, which has clients that wait.
func (g *Gateway) shrink() {
	held := len(g.links.ByConn)
	g.links.Max = held
	g.pool.Resize(min(g.pool.Budget(), held+spareLinks))
}

// closeSurplus closes the idle links to hosts beyond the budget: their descriptors are the other process's.
func (g *Gateway) closeSurplus() {
	for _, l := range g.pool.Surplus() {
		g.dropLink(l, ReasonIdleTimeout)
	}
}
