package gateway

import (
	"time"

	"thymebend"
	"thymebend/internal/hostgroup"
	"thymebend/internal/loop"
)

// moveAgain is how soon discovery's new address is asked again after a call that failed, while the old watch
// stands: what discovery has to tell counts as told 4 s after a reload, and the old address is about to close.
const moveAgain = 200 * time.Millisecond

// openWatch calls discovery where the configuration now has it.
func (g *Gateway) openWatch() *hostgroup.Watch {
	w := hostgroup.NewWatch(g.pool.NextConn(), g.cfg.Discovery)
	g.ask(loop.Effect{Op: loop.Dial, Conn: w.Conn, Addr: w.Addr, Urgent: true})
	g.setTimer(timerWatch, uint64(w.Conn), g.now+w.Patience())
	return w
}

func (g *Gateway) watchOn(c loop.Conn) *hostgroup.Watch {
	for _, w := range [...]*hostgroup.Watch{g.watch, g.moving} {
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
	g.move()
}

// move asks discovery's address at once. A watch that has answered stands until the new one has: a gap in it
// would be a gap in what drains.
func (g *Gateway) move() {
	g.stopTimer(timerMove, 0)
	if g.moving != nil {
		g.dropWatch(g.moving, EndListReplace, nil)
	}
	if g.watch != nil && !g.watch.Started() {
		g.dropWatch(g.watch, EndListReplace, nil)
	}
	if w := g.openWatch(); g.watch == nil {
		g.watch = w
	} else {
		g.moving = w
	}
}

func (g *Gateway) watchEvent(w *hostgroup.Watch, e loop.Event) {
	switch e.Kind {
	case loop.Connected:
		g.write(e.Conn, g.group.Request(w))
		g.setTimer(timerWatch, uint64(w.Conn), g.now+w.Patience())
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		g.watchData(w, e.Data)
	case loop.EOF, loop.Broken:
		g.watchEnds(w, EndListLost, e.Err)
	}
}

// watchData applies whole lines. The first line answers the call even if it is a mere beat.
func (g *Gateway) watchData(w *hostgroup.Watch, data []byte) {
	first := !w.Started()
	lines, ended, err := w.Feed(data)
	if err != nil {
		g.watchEnds(w, EndListGarbled, err)
		return
	}
	for _, line := range lines {
		if g.tooOld(w, line) {
			return
		}
		if len(line) == 0 && !first {
			continue
		}
		var news hostgroup.News
		if len(line) > 0 && g.olderSince == 0 {
			if news, err = g.group.Apply(line); err != nil {
				g.watchEnds(w, EndListGarbled, err)
				return
			}
		}
		if first = false; w == g.moving {
			if g.watch != nil {
				g.dropWatch(g.watch, EndListReplace, nil)
			}
			g.watch, g.moving = w, nil
		}
		kind := thymebend.ListDelta
		if news.Whole {
			kind = thymebend.ListFull
		}
		g.hostsLeft(news.Changed)
		if g.portion != nil {
			g.portion.listed = true
		}
		g.told = true
		g.module.List(g.now, kind, news.Entries)
	}
	if ended {
		g.watchEnds(w, EndListLost, nil)
		return
	}
	g.setTimer(timerWatch, uint64(w.Conn), g.now+w.Patience())
}

// watchEnds ends a watch. Where no other is left, the module is told and asks again when it sees fit.
func (g *Gateway) watchEnds(w *hostgroup.Watch, end End, err error) {
	moving := w == g.moving
	g.dropWatch(w, end, err)
	switch {
	case g.watch == nil && g.moving != nil:
		g.watch, g.moving = g.moving, nil // the old address has closed before the new one answered
	case g.watch == nil && g.pushed():
		g.setTimer(timerMove, 0, g.now+moveAgain)
	case g.watch == nil:
		g.lost = true
	case moving && g.watch.Addr == g.cfg.Discovery && g.pushed():
		g.setTimer(timerWatch, uint64(g.watch.Conn), g.now+moveAgain) // the watch is silent: the agent is asked beside it again
	case moving && g.watch.Addr == g.cfg.Discovery:
		g.setTimer(timerWatch, uint64(g.watch.Conn), g.now+g.watch.Patience())
	case moving:
		g.setTimer(timerMove, 0, g.now+moveAgain)
	}
}

func (g *Gateway) dropWatch(w *hostgroup.Watch, end End, err error) {
	g.log.Info().Stringer("end", end).Stringer("discovery", w.Addr).AnErr("cause", err).Msg("watch")
	g.stopTimer(timerWatch, uint64(w.Conn))
	g.close(w.Conn)
	if w == g.watch {
		g.watch = nil
	} else {
		g.moving = nil
	}
}
