package gateway

import (
	"thymebend"
	"thymebend/internal/hostgroup"
	"thymebend/internal/loop"
)

func (g *Gateway) openWatch() {
	w := hostgroup.NewWatch(g.pool.NextConn())
	g.watch = w
	g.ask(loop.Effect{Op: loop.Dial, Conn: w.Conn, Addr: g.cfg.Discovery, Urgent: true})
	g.setTimer(timerWatch, 0, g.now+w.Patience())
}

func (g *Gateway) watchEvent(e loop.Event) {
	switch e.Kind {
	case loop.Connected:
		g.write(e.Conn, g.group.Request(g.cfg.Discovery))
	case loop.Readable:
		g.ask(loop.Effect{Op: loop.Read, Conn: e.Conn})
	case loop.Data:
		g.watchData(e.Data)
	case loop.EOF, loop.Broken:
		g.watchEnds(EndListLost, e.Err)
	}
}

// watchData applies whole lines. The first line answers the call even if it is a mere beat.
func (g *Gateway) watchData(data []byte) {
	first := !g.watch.Started()
	lines, ended, err := g.watch.Feed(data)
	if err != nil {
		g.watchEnds(EndListGarbled, err)
		return
	}
	for _, line := range lines {
		if len(line) == 0 && !first {
			continue
		}
		first = false
		var news hostgroup.News
		if len(line) > 0 {
			if news, err = g.group.Apply(line); err != nil {
				g.watchEnds(EndListGarbled, err)
				return
			}
		}
		kind := thymebend.ListDelta
		if news.Whole {
			kind = thymebend.ListFull
		}
		g.hostsLeft(news.Changed)
		g.told = true
		g.module.List(g.now, kind, news.Entries)
	}
	if ended {
		g.watchEnds(EndListLost, nil)
		return
	}
	if g.watch != nil {
		g.setTimer(timerWatch, 0, g.now+g.watch.Patience())
	}
}

// watchEnds ends the watch and has the module told, which asks again when it sees fit.
func (g *Gateway) watchEnds(end End, err error) {
	if g.watch == nil {
		return
	}
	g.dropWatch(end, err)
	g.lost = true
}

func (g *Gateway) dropWatch(end End, err error) {
	if g.watch == nil {
		return
	}
	g.log.Info().Stringer("end", end).AnErr("cause", err).Msg("watch")
	g.stopTimer(timerWatch, 0)
	g.close(g.watch.Conn)
	g.watch = nil
}
