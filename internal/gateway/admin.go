package gateway

import (
	"maps"
	"slices"

	"thymebend/internal/admin"
	"thymebend/internal/loop"
)

// adminAcceptBatch is how many connections are accepted at once.
const adminAcceptBatch = 2

// adminEndpoint answers the requests under /ops.
type adminEndpoint struct {
	*core
	cluster   *cluster
	discovery *discoveryWatch
	listener  *listener
	requests  *requestTable
	restart   *hotRestart
	shutdown  *shutdown

	conns admin.Conns
}

// statsReport is the answer to /ops/stats.
func (a *adminEndpoint) statsReport() admin.Stats {
	f := admin.Stats{
		Fulfilled:       make(map[string]int64),
		Throttled:       make(map[string]int64),
		Faulted:         make(map[string]int64),
		Forwarded:       a.stats.forwarded,
		Open:            len(a.requests.openIDs),
		Endpoints:       a.discovery.endpoints.Len(),
		ConfigsAccepted: a.stats.configsAccepted,
		ConfigsRejected: a.stats.configsRejected,
		Ends:            make(map[string]uint64),
		Rejections:      make(map[string]uint64),
		Retries:         a.stats.retries,
		Violations:      a.invariants.Counts(),
	}
	for end, count := range a.stats.ends {
		if count > 0 {
			f.Ends[TerminationReason(end).String()] = count
		}
	}
	for reason, count := range a.stats.rejections {
		if count > 0 {
			f.Rejections[rejectionReason(reason).String()] = count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.stats.classes)) {
		t := a.stats.classes[name]
		f.Fulfilled[name], f.Throttled[name], f.Faulted[name] = t.served, t.rejected, t.failed
	}
	if a.balancer != nil {
		f.Unavailable = a.balancer.UnavailableCount()
	}
	return f
}

func (a *adminEndpoint) listenerEvent(e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		// Few at once: what is accepted holds descriptors before the oldest caller has given way.
		a.emit(loop.Effect{Op: loop.Accept, Conn: loop.Admin, Most: adminAcceptBatch})
	case loop.AcceptFailed:
		a.log.Warn().Err(e.Err).Msg("accept on the admin endpoint")
		a.pauseListener(e.Conn)
	}
}

// accepted takes a new connection. Where there are too many the oldest gives way.
func (a *adminEndpoint) accepted(c loop.Conn) {
	if out := a.conns.Add(c); out != nil {
		a.drop(out)
	}
	a.setTimer(timerAdmin, uint64(c), a.now+admin.RequestTimeout)
}

func (a *adminEndpoint) handleEvent(conn *admin.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		a.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
	case loop.Data:
		if conn.Answered {
			return // one request a connection
		}
		asked, answer := conn.Feed(e.Data)
		switch asked {
		case admin.NoRequest:
			return
		case admin.ReadinessRequest:
			answer = admin.ReadinessResponse(a.ready(), a.unreadyReason())
		case admin.StatsRequest:
			answer = a.statsReport().Encode()
		case admin.ClusterRequest:
			if answer = admin.NoClusterResponse(); a.cfg.Gossip != nil {
				answer = a.cluster.report().Encode()
			}
		}
		conn.Answered = true
		a.setTimer(timerAdmin, uint64(conn.ID), a.now+admin.RequestTimeout)
		a.write(conn.ID, answer)
	case loop.Flushed:
		// Only sending ends: closing with bytes unread would reset the connection and could lose the answer.
		if conn.Answered && !conn.Ended {
			conn.Ended = true
			a.emit(loop.Effect{Op: loop.Shutdown, Conn: conn.ID})
			a.setTimer(timerAdmin, uint64(conn.ID), a.now+admin.LingerTimeout)
		}
	case loop.EOF, loop.Broken:
		a.drop(conn)
	}
}

// ready reports whether this process takes clients.
func (a *adminEndpoint) ready() bool {
	return a.listener.phase != notListening && !a.shutdown.stopping() && !a.restart.handedOver()
}

// unreadyReason is the text of /ops/readiness while this process takes no clients.
func (a *adminEndpoint) unreadyReason() string {
	switch {
	case a.shutdown.stopping():
		return "stopping"
	case a.restart.handedOver():
		return "the next process takes clients"
	}
	return "starting"
}

func (a *adminEndpoint) drop(conn *admin.Conn) {
	a.stopTimer(timerAdmin, uint64(conn.ID))
	a.conns.Remove(conn)
	a.closeConn(conn.ID)
}

// timerDue drops a connection whose client has not sent its request, or not closed, in time.
func (a *adminEndpoint) timerDue(c loop.Conn) {
	if conn := a.conns.Find(c); conn != nil {
		a.drop(conn)
	}
}
