package gateway

import (
	"errors"
	"time"

	"thymebend/internal/backoff"
	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/loop"
)

// moveAgain is how soon discovery's new address is asked again after a call that failed, while the old watch
// stands: what discovery has to tell counts as told 4 s after a reload, and the old address is about to close.
const moveAgain = 200 * time.Millisecond

// toldAfterEnd is how long after the end of a watch a change counts as told, unless a call since then has failed: a call that
// waits in discovery's queue does not put it off. From then on nothing new is sent until that call's fate is known.
const toldAfterEnd = 2 * time.Second

// mostHold bounds that wait: a discovery that is mute for longer is out of order, and its last list is the best there is.
const mostHold = 2 * time.Second

// openWatch calls discovery where the configuration now has it.
func (g *Gateway) openWatch() *discovery.Watch {
	w := discovery.NewWatch(g.pool.NextID(), g.cfg.Discovery, g.now)
	g.ask(loop.Effect{Op: loop.Dial, Conn: w.Conn, Addr: w.Addr, Urgent: true})
	g.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	return w
}

func (g *Gateway) watchOn(c loop.Conn) *discovery.Watch {
	for _, w := range [...]*discovery.Watch{g.watch, g.moving, g.queued} {
		if w != nil && w.Conn == c {
			return w
		}
	}
	return nil
}

// reload takes the configuration's new text: where discovery is and the settings; the rest is fixed at the start. A
// faulty file changes nothing: the program is worth more running as before.
func (g *Gateway) reload(raw []byte, err error) {
	fresh := g.cfg
	if err == nil {
		fresh, err = g.cfg.Reload(raw)
	}
	var places []int
	if err == nil {
		places, err = g.module.Reload(g.now, fresh.Settings.Config)
	}
	if err != nil {
		g.invalid++
		g.log.Error().Err(err).Msg("reload: configuration refused, all stays as it was")
		return
	}
	g.accepted++
	g.told = true
	g.retune(fresh.Settings, places)
	g.log.Info().Stringer("discovery", fresh.Discovery).Int("classes", len(places)).Msg("reload")
	if g.cfg.Discovery == fresh.Discovery && (!g.pushed() || g.watch != nil) {
		return
	}
	g.cfg.Discovery = fresh.Discovery
	g.movePacer.Succeeded()
	g.callNotBefore = 0 // another address asked for that
	if g.queued != nil {
		g.dropWatch(g.queued, ReasonWatchReplaced, nil)
	}
	g.move()
}

// move asks discovery's address at once. A watch that has answered stands until the new one has: a gap in it
// would be a gap in what drains.
func (g *Gateway) move() {
	g.stopTimer(timerMove, 0)
	if g.moving != nil {
		g.dropWatch(g.moving, ReasonWatchReplaced, nil)
	}
	if g.watch != nil && !g.watch.Started() {
		g.dropWatch(g.watch, ReasonWatchReplaced, nil)
	}
	if w := g.openWatch(); g.watch == nil {
		g.watch = w
	} else {
		g.moving = w
	}
}

func (g *Gateway) watchEvent(w *discovery.Watch, e loop.Event) {
	switch e.Kind {
	case loop.Connected:
		g.write(e.Conn, g.group.Request(w, g.now))
		g.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		g.watchData(w, e.Data)
	case loop.EOF, loop.Broken:
		g.watchEnds(w, ReasonWatchBroken, e.Err)
	}
}

// watchData applies whole lines. The first line answers the call even if it is a mere beat. Lines that came whole beside a fault
// count as told: those before it are applied, and of those after it the departures.
func (g *Gateway) watchData(w *discovery.Watch, data []byte) {
	first := !w.Started()
	lines, ended, fault := w.Feed(g.now, data)
	broken := false
	for _, line := range lines {
		if broken {
			g.takeDepartures(g.group.Removals(line))
			continue
		}
		if g.tooOld(w, line) {
			return
		}
		if len(line) == 0 && !first {
			continue
		}
		if err := g.applyLine(w, line, first); err != nil {
			fault, broken = err, true
			continue
		}
		first = false
	}
	switch {
	case fault != nil:
		g.watchEnds(w, ReasonMalformedUpdate, fault)
	case ended:
		g.watchEnds(w, ReasonWatchBroken, nil)
	case w != g.queued: // one that keeps its place has the time set by callUnanswered
		g.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	}
}

// applyLine takes one line of a watch. Of a faulty object it takes who leaves.
func (g *Gateway) applyLine(w *discovery.Watch, line []byte, first bool) error {
	var news discovery.Update
	switch {
	case len(line) == 0 || g.olderSince != 0:
	case w != g.watch && g.group.Outdated(w, line):
		news = g.group.Removals(line) // what the standing watch has told since must not be taken back
	default:
		var err error
		if news, err = g.group.Apply(line); err != nil {
			g.takeDepartures(news)
			return err
		}
	}
	if first {
		g.watchAnswered(w)
	}
	kind := balancer.Delta
	if news.Snapshot {
		kind = balancer.Snapshot
	}
	g.hostsLeft(news.Changed)
	if g.portion != nil {
		g.portion.listed = true
	}
	g.told = true
	g.tellList(kind, news.Entries)
	return nil
}

// tellList tells the module news of the list, with starts on this process's clock.
func (g *Gateway) tellList(kind balancer.EndpointUpdate, entries []balancer.Endpoint) {
	g.starts.Adjust(g.now, kind, entries)
	g.module.UpdateEndpoints(g.now, kind, entries)
}

// watchAnswered makes the call that is answered first the watch in force. A call to a new address goes on beside the old
// address's watch.
func (g *Gateway) watchAnswered(w *discovery.Watch) {
	if g.watch != nil && g.watch != w {
		g.dropWatch(g.watch, ReasonWatchReplaced, nil)
	}
	if g.moving != nil && g.moving != w && g.moving.Addr == w.Addr {
		g.dropWatch(g.moving, ReasonWatchReplaced, nil)
	}
	if g.queued != nil && g.queued != w {
		g.dropWatch(g.queued, ReasonWatchReplaced, nil)
	}
	if w == g.moving {
		g.moving = nil
	}
	g.watch, g.queued = w, nil
	g.movePacer.Succeeded()
	g.heard()
}

// callUnanswered deals with a call that was not answered in time. It may still wait in discovery's queue, and a call that is
// given up there costs discovery its turn for nothing: it keeps its place, and another goes out beside it, in case it is
// lost. It reports whether the call was kept; there is one such place.
func (g *Gateway) callUnanswered(w *discovery.Watch) bool {
	if g.pushed() || w.Started() || !w.Connected() || g.queued != nil {
		return false
	}
	g.log.Info().Stringer("discovery", w.Addr).Msg("no answer yet, the call keeps its place and another is made")
	g.queued = w
	g.setTimer(timerWatch, uint64(w.Conn), g.now+discovery.AbandonTimeout)
	switch {
	case w == g.moving:
		g.moving = nil
		g.moveLater(backoff.Overloaded)
	case w == g.watch:
		g.watch, g.lost = nil, true
	}
	return true
}

// unheard notes that the watch has ended.
func (g *Gateway) unheard() {
	if g.pushed() {
		return
	}
	g.unheardSince = g.now
	g.setTimer(timerHold, 0, g.now+toldAfterEnd)
}

// holdDue begins the wait for the call's fate, or ends it.
func (g *Gateway) holdDue() {
	if g.now >= g.unheardSince+toldAfterEnd+mostHold {
		g.heard()
		return
	}
	g.log.Info().Dur("unheard", g.now-g.unheardSince).Msg("new attempts wait for discovery's answer")
	g.module.PauseAttempts(true)
	g.setTimer(timerHold, 0, g.now+mostHold)
}

// heard notes that a call since the watch's end was answered, failed or took too long.
func (g *Gateway) heard() {
	if g.unheardSince == 0 {
		return
	}
	g.unheardSince = 0
	g.stopTimer(timerHold, 0)
	g.module.PauseAttempts(false)
	g.told = true
}

// moveLater sets the time of the next call to the new address.
func (g *Gateway) moveLater(failure backoff.Failure) {
	after := moveAgain
	if !g.pushed() {
		after = max(moveAgain, g.movePacer.Failed(failure, g.cfg.Settings.Config.Gateways, 0, g.draws.Float64(), g.draws.Float64()))
	}
	g.setTimer(timerMove, 0, max(g.now+after, g.callNotBefore))
}

// watchEnds ends a watch. Where no other is left, the module is told and asks again when it sees fit.
func (g *Gateway) watchEnds(w *discovery.Watch, end TerminationReason, err error) {
	var refusal *discovery.StatusError
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		g.callNotBefore = g.now + refusal.RetryAfter
	}
	failure := backoff.Overloaded
	if !w.Connected() {
		failure = backoff.Unreachable
	}
	if !w.Started() {
		g.heard()
	}
	if w == g.queued {
		g.dropWatch(w, end, err)
		return // the module was told when the call was not answered in time
	}
	moving := w == g.moving
	g.dropWatch(w, end, err)
	switch {
	case g.watch == nil && g.moving != nil:
		g.watch, g.moving = g.moving, nil // the old address has closed before the new one answered
	case g.watch == nil && g.pushed():
		g.setTimer(timerMove, 0, g.now+moveAgain)
	case g.watch == nil:
		g.lost, g.unmet = true, failure == backoff.Unreachable
		if w.Started() && end != ReasonWatchSilent {
			g.unheard()
		}
	case moving && g.watch.Addr == g.cfg.Discovery && g.pushed():
		g.setTimer(timerWatch, uint64(g.watch.Conn), g.now+moveAgain) // the watch is silent: the agent is asked beside it again
	case moving && g.watch.Addr == g.cfg.Discovery:
		// The watch stands, with the time that it has.
	case moving:
		g.moveLater(failure)
	}
}

func (g *Gateway) dropWatch(w *discovery.Watch, end TerminationReason, err error) {
	g.log.Info().Stringer("end", end).Stringer("discovery", w.Addr).AnErr("cause", err).Msg("watch")
	g.stopTimer(timerWatch, uint64(w.Conn))
	g.close(w.Conn)
	switch w {
	case g.watch:
		g.watch = nil
	case g.moving:
		g.moving = nil
	case g.queued:
		g.queued = nil
	}
}
