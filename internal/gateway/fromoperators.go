package gateway

import (
	"maps"
	"slices"

	"thymebend/internal/admin"
	"thymebend/internal/loop"
)

// tally is what the operators are told of one class.
type tally struct{ fulfilled, throttled, faulted int64 }

// acceptCalls is how many operators' calls are accepted at once.
const acceptCalls = 2

// mostTallies bounds the classes counted, with those that have left the settings.
const mostTallies = 256

// result is how a query ended for its client.
type result uint8

const (
	fulfilled result = iota
	throttled
	faulted
)

// settle counts the end of a query. Every final answer passes here, once.
func (g *Gateway) settle(class string, r result) {
	t := g.tally(class)
	switch r {
	case fulfilled:
		t.fulfilled++
	case throttled:
		t.throttled++
	default:
		t.faulted++
	}
}

func (g *Gateway) tally(class string) *tally {
	t := g.tallies[class]
	if t == nil {
		t = &tally{}
		g.tallies[class] = t
	}
	return t
}

// countClasses makes every class of the settings count from its first moment. Guards against memory that grows with
// reloads: with too many names, those that have left are forgotten.
func (g *Gateway) countClasses() {
	if len(g.tallies) > mostTallies {
		kept := make(map[string]*tally)
		for _, c := range g.cfg.Settings.Config.Classes {
			kept[c.Name] = g.tally(c.Name)
		}
		g.tallies = kept
	}
	for _, c := range g.cfg.Settings.Config.Classes {
		g.tally(c.Name)
	}
}

func (g *Gateway) figures() admin.Stats {
	f := admin.Stats{Fulfilled: make(map[string]int64), Throttled: make(map[string]int64), Faulted: make(map[string]int64),
		Forwarded: g.relayed, Open: len(g.open), Endpoints: g.group.Len(), ConfigsAccepted: g.accepted, ConfigsRejected: g.invalid,
		Ends: make(map[string]uint64), Rejections: make(map[string]uint64), Retries: g.retries,
		Violations: g.guard.Counts()}
	for end, count := range g.ends {
		if count > 0 {
			f.Ends[TerminationReason(end).String()] = count
		}
	}
	for reason, count := range g.refusals {
		if count > 0 {
			f.Rejections[refusalReason(reason).String()] = count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(g.tallies)) {
		t := g.tallies[name]
		f.Fulfilled[name], f.Throttled[name], f.Faulted[name] = t.fulfilled, t.throttled, t.faulted
	}
	if g.module != nil {
		f.Unavailable = g.module.UnavailableCount()
	}
	return f
}

func (g *Gateway) controlListener(e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		// Few at once: what is accepted holds descriptors before the oldest caller has given way.
		g.ask(loop.Effect{Op: loop.Accept, Conn: loop.Admin, Most: acceptCalls})
	case loop.AcceptFailed:
		g.log.Warn().Err(e.Err).Msg("accept of an operator")
		g.restListener(e.Conn)
	}
}

// restListener stops looking at a listening socket of few callers for a moment. Guards against spinning while a
// connection waits for which there is no descriptor.
func (g *Gateway) restListener(c loop.Conn) {
	g.ask(loop.Effect{Op: loop.Mute, Conn: c})
	g.setTimer(timerListener, uint64(c), g.now+acceptPause)
}

func (g *Gateway) operatorCame(c loop.Conn) {
	if out := g.ops.Add(c); out != nil {
		g.dropOperator(out)
	}
	g.setTimer(timerOperator, uint64(c), g.now+admin.RequestTimeout)
}

func (g *Gateway) operatorEvent(l *admin.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: l.ID})
	case loop.Data:
		if l.Answered {
			return // one call a connection
		}
		call, answer := l.Feed(e.Data)
		switch call {
		case admin.NoRequest:
			return
		case admin.ReadinessRequest:
			answer = admin.AppendReadiness(g.ready(), g.unready())
		case admin.StatsRequest:
			answer = g.figures().Encode()
		case admin.ClusterRequest:
			if answer = admin.NoCluster(); g.cfg.Gossip != nil {
				answer = g.fleetFigures().Encode()
			}
		}
		l.Answered = true
		g.setTimer(timerOperator, uint64(l.ID), g.now+admin.RequestTimeout)
		g.write(l.ID, answer)
	case loop.Flushed:
		// Only the sending ends: a close with bytes unread would reset the link and could take the answer away.
		if l.Answered && !l.Ended {
			l.Ended = true
			g.ask(loop.Effect{Op: loop.Shutdown, Conn: l.ID})
			g.setTimer(timerOperator, uint64(l.ID), g.now+admin.LingerTimeout)
		}
	case loop.EOF, loop.Broken:
		g.dropOperator(l)
	}
}

// ready reports whether this process takes clients.
func (g *Gateway) ready() bool { return g.listening && !g.stopping && !g.heirTakes }

func (g *Gateway) unready() string {
	switch {
	case g.stopping:
		return "stopping"
	case g.heirTakes:
		return "the next process takes clients"
	}
	return "starting"
}

func (g *Gateway) dropOperator(l *admin.Conn) {
	g.stopTimer(timerOperator, uint64(l.ID))
	g.ops.Remove(l)
	g.close(l.ID)
}
