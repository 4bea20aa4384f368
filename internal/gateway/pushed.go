package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
)

// Where lists are pushed, discovery's address is that of an agent on this machine, which has what it was sent and
// answers at no cost. The module asks for nothing there, so the gateway itself watches the agent, from its start on.
// What the agent has counts as told, whether this gateway has heard it or not.

// olderFor is how long the agent may have an older list than this gateway before its numbers are taken to have begun
// anew: several times what a change takes to come. An agent that was restarted has old news until it is sent the rest.
const olderFor = 30 * time.Second

// pushed reports whether lists come unasked.
func (g *Gateway) pushed() bool { return !g.cfg.Settings.Config.PollDiscovery }

// watchSilent deals with a watch that has missed its beat. An agent's silence is no news: it has heard nothing itself,
// the list stays in force and the watch stays open. Lest it is the watch that is dead, the agent is asked once more
// beside it; what answers first goes on.
func (g *Gateway) watchSilent(w *discovery.Watch) {
	if g.callUnanswered(w) {
		return
	}
	if !g.pushed() || w != g.watch || !w.Started() {
		g.watchEnds(w, ReasonWatchSilent, nil)
		return
	}
	if g.moving == nil {
		g.moving = g.openWatch()
	}
}

// tooOld looks at a line of the agent for one that is older than what this gateway has: such a line would bring back
// hosts that are known to drain or to be gone, so only those leave by it that have not started anew since. It reports whether the numbers are taken to have
// begun anew instead: then the watch has ended, and the whole list is asked for.
func (g *Gateway) tooOld(w *discovery.Watch, line []byte) bool {
	if !g.pushed() {
		g.olderSince = 0
		return false
	}
	if len(line) > 0 {
		older, err := g.group.Older(line)
		if err != nil || !older {
			g.olderSince = 0 // a faulty line is found out where it is applied
			return false
		}
		if g.olderSince == 0 {
			g.log.Warn().Stringer("discovery", w.Addr).Msg("the agent has an older list, passed over")
			g.olderSince = g.now
		}
		g.takeDepartures(g.group.Removals(line))
	}
	if g.olderSince == 0 || g.now-g.olderSince < olderFor {
		return false
	}
	g.log.Warn().Stringer("discovery", w.Addr).Dur("for", g.now-g.olderSince).Msg("the agent's numbers began anew")
	g.olderSince = 0
	g.group.Renumber()
	g.watchEnds(w, ReasonWatchReplaced, nil)
	return true
}

// takeDepartures has hosts leave of which a line says so that is not taken otherwise: what the agent has counts as told.
func (g *Gateway) takeDepartures(news discovery.Update) {
	if len(news.Entries) > 0 {
		g.hostsLeft(news.Changed)
		g.told = true
		g.tellList(balancer.Delta, news.Entries)
	}
}
