package gateway

import (
	"maps"
	"slices"

	"thymebend/internal/admin"
	"thymebend/internal/loop"
)

// adminAcceptBatch is the maximum number of connections accepted for one readiness event of the listener.
const adminAcceptBatch = 2

// adminEndpoint answers the operators' requests under /ops.
type adminEndpoint struct {
	*core
	attempts   *attemptTable
	cluster    *cluster
	discovery  *discoveryWatch
	downstream *downstreamConns
	listener   *listener
	relays     *relayTable
	requests   *requestTable
	restart    *hotRestart
	shutdown   *shutdown

	conns admin.Conns
}

// statsReport returns the content of /ops/stats.
func (a *adminEndpoint) statsReport() admin.Stats {
	out := admin.Stats{
		Fulfilled:       make(map[string]int64),
		Throttled:       make(map[string]int64),
		Faulted:         make(map[string]int64),
		Forwarded:       a.stats.forwarded,
		OpenRequests:    len(a.requests.openIDs),
		Endpoints:       a.discovery.endpoints.Len(),
		ConfigsAccepted: a.stats.configsAccepted,
		ConfigsRejected: a.stats.configsRejected,
		Ends:            make(map[string]uint64),
		Rejections:      make(map[string]uint64),
		Retries:         a.stats.retries,
		Upstream: admin.Upstream{
			Opened:           a.stats.upstream.opened,
			Reused:           a.stats.upstream.reused,
			Waited:           a.stats.upstream.waited,
			UnsolicitedMaxMS: a.stats.upstream.latest.Milliseconds(),
		},
		Memory: admin.Memory{LimitBytes: a.buffers.Limit(), UsedBytes: a.buffers.Used(), PeakBytes: a.buffers.Peak()},
		Connections: admin.Connections{
			Downstream: len(a.downstream.conns.ByConn),
			Upstream:   a.attempts.pool.Len(),
			Relays:     a.relays.open,
		},
		Violations: a.invariants.Counts(),
	}
	for end, count := range a.stats.ends {
		if count > 0 {
			out.Ends[TerminationReason(end).String()] = count
		}
	}
	for reason, count := range a.stats.rejections {
		if count > 0 {
			out.Rejections[rejectionReason(reason).String()] = count
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.stats.classes)) {
		counts := a.stats.classes[name]
		out.Fulfilled[name], out.Throttled[name], out.Faulted[name] = counts.served, counts.rejected, counts.failed
	}
	if a.balancer != nil {
		out.Unavailable = a.balancer.UnavailableCount()
	}
	return out
}

func (a *adminEndpoint) listenerEvent(e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		// Few are accepted at once, because accepted connections use descriptors before the oldest ones are
		// closed to make room for them.
		a.emit(loop.Effect{Op: loop.Accept, Conn: loop.Admin, MaxAccepts: adminAcceptBatch})
	case loop.AcceptFailed:
		a.log.Warn().Err(e.Err).Msg("accept on the admin endpoint")
		a.pauseListener(e.Conn)
	}
}

// accepted registers a new connection. If there are then too many, the oldest is closed.
func (a *adminEndpoint) accepted(c loop.Conn) {
	if evicted := a.conns.Add(c); evicted != nil {
		a.drop(evicted)
	}
	a.setTimer(timerAdmin, uint64(c), a.now+admin.RequestTimeout)
}

func (a *adminEndpoint) handleEvent(conn *admin.Conn, e loop.Event) {
	switch e.Kind {
	case loop.Readable:
		a.emit(loop.Effect{Op: loop.Read, Conn: conn.ID})
	case loop.Data:
		if conn.Answered {
			return // a connection carries only one request
		}
		kind, answer := conn.Feed(e.Data)
		switch kind {
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
		// Only the sending side is closed: closing with unread bytes would reset the connection, and the client
		// could lose the answer.
		if conn.Answered && !conn.WriteClosed {
			conn.WriteClosed = true
			a.emit(loop.Effect{Op: loop.Shutdown, Conn: conn.ID})
			a.setTimer(timerAdmin, uint64(conn.ID), a.now+admin.LingerTimeout)
		}
	case loop.EOF, loop.Broken:
		a.drop(conn)
	}
}

// ready reports whether new clients should connect to this process. It is false from SIGTERM on, although
// connections are still accepted for acceptAfterSIGTERM.
func (a *adminEndpoint) ready() bool {
	return a.listener.phase != notListening && !a.shutdown.stopping() && !a.restart.handedOver()
}

// unreadyReason returns the text of /ops/readiness while this process is not ready.
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

// timerDue closes a connection whose client has not sent its request, or has not closed its side, in time.
func (a *adminEndpoint) timerDue(c loop.Conn) {
	if conn := a.conns.Find(c); conn != nil {
		a.drop(conn)
	}
}
