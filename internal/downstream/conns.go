package downstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"thymebend/internal/buffermemory"
	"thymebend/internal/loop"
)

// Conns holds the downstream connections. The connections that may be evicted when connections run out are in queues,
// so that finding the connection to evict, and every change, takes constant time: accepting a connection must not cost
// a walk over thousands of others.
type Conns struct {
	ByConn     map[loop.Conn]*Conn
	Max        int // maximum number of connections
	ReuseLimit int // with more connections than this, connections that are not reused are closed, see SingleUse

	// The eviction queues. Each connection is in at most one. Requeue chooses it.
	writeClosed   evictionQueue // the gateway has ended its sending, after the last response
	unused        evictionQueue // nothing received yet; in order of acceptance
	partialFirst  evictionQueue // the first request is incomplete; in order of the last byte received
	usedOnce      evictionQueue // idle after one request
	usedAgain     evictionQueue // idle after several requests
	partialLater  evictionQueue // a later request is incomplete; in order of the last byte received
	healthChecked evictionQueue // idle after only health checks or malformed requests
}

// NewConns returns an empty set for at most limit connections.
func NewConns(limit int) *Conns {
	return &Conns{ByConn: make(map[loop.Conn]*Conn), Max: limit}
}

// InOrder returns the connections, oldest first. The order is fixed because the same events must always cause the same
// effects, and the order of a map is random.
func (s *Conns) InOrder() []*Conn {
	return slices.SortedFunc(maps.Values(s.ByConn), func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
}

// Add adds a connection that was accepted now.
func (s *Conns) Add(id loop.Conn, now time.Duration) *Conn {
	c := &Conn{ID: id, AcceptedAt: now, IdleSince: now, RequestStart: now, lastReceived: now,
		readLimit: loop.ReadSize, allowance: MaxPipelined}
	s.ByConn[id] = c
	s.Requeue(c)
	return c
}

// Remove removes a connection from the set and from its eviction queue.
func (s *Conns) Remove(c *Conn) {
	delete(s.ByConn, c.ID)
	c.unqueue()
}

// Requeue moves a connection to the end of the eviction queue that fits its state, or to none if it must not be
// evicted. Call it when a request or a part of one has been received, when a response has been completely written,
// and when the final read is requested.
func (s *Conns) Requeue(c *Conn) {
	c.unqueue()
	switch {
	case c.Busy, c.FinalRead:
	case c.WriteClosed:
		s.writeClosed.push(c)
	case c.Pending() && c.HasRequested:
		s.partialLater.push(c)
	case c.Pending():
		s.partialFirst.push(c)
	case c.Requests == 1:
		s.usedOnce.push(c)
	case c.Requests > 1:
		s.usedAgain.push(c)
	case c.HasRequested:
		s.healthChecked.push(c)
	default:
		s.unused.push(c)
	}
}

// Evictable returns the connection to evict when connections have run out, or nil if none may be evicted. It prevents
// clients that connect and send nothing, that send one request and stay connected, or that never complete a request
// from using up the connections. It returns a connection for the first case of this list that
// applies to one:
//
//  1. the last response is written and the gateway has ended its sending, FirstByteGrace ago
//  2. nothing received since the connection was accepted, FirstRequestGrace ago
//  3. only health checks or malformed requests received, and nothing for HealthCheckGrace
//  4. idle after one request
//  5. idle after several requests
//  6. the first request is incomplete, and nothing was received for StalledRequestGrace
//  7. a later request is incomplete, and nothing was received for StalledRequestGrace
//  8. only health checks or malformed requests received, less than HealthCheckGrace ago
//  9. nothing received since the connection was accepted, FirstByteGrace ago
//
// A client that is idle loses a connection but no request. Clients of cases 8 and 9 may be about to send their first
// request, which would be lost; these cases therefore come last. A connection is never evicted while parts of a request
// keep arriving on it.
func (s *Conns) Evictable(now time.Duration) *Conn {
	headSilentFor := func(queue *evictionQueue, grace time.Duration) bool {
		return queue.head != nil && now-queue.head.lastReceived >= grace
	}
	switch {
	case s.WriteClosed(now) != nil:
		return s.WriteClosed(now)
	case headSilentFor(&s.unused, FirstRequestGrace):
		return s.unused.head
	case headSilentFor(&s.healthChecked, HealthCheckGrace):
		return s.healthChecked.head
	case s.usedOnce.head != nil:
		return s.usedOnce.head
	case s.usedAgain.head != nil:
		return s.usedAgain.head
	case headSilentFor(&s.partialFirst, StalledRequestGrace):
		return s.partialFirst.head
	case headSilentFor(&s.partialLater, StalledRequestGrace):
		return s.partialLater.head
	case s.healthChecked.head != nil:
		return s.healthChecked.head
	case headSilentFor(&s.unused, FirstByteGrace):
		return s.unused.head
	}
	return nil
}

// StalledHolder returns a connection with an incomplete request that uses more memory than each may, and on which nothing
// was received for StalledRequestGrace, or nil. It is the one of which nothing was received for longest, with those that
// send their first request preceding the others.
func (s *Conns) StalledHolder(now time.Duration) *Conn {
	for _, queue := range [...]*evictionQueue{&s.partialFirst, &s.partialLater} {
		for c := queue.head; c != nil && now-c.lastReceived >= StalledRequestGrace; c = c.next {
			if c.Held() > buffermemory.MinAllowance {
				return c
			}
		}
	}
	return nil
}

// WriteClosed returns a connection on which the gateway has ended its sending after the last response, FirstByteGrace
// ago or earlier, so that the client has had time to read the response. It returns nil if there is none.
func (s *Conns) WriteClosed(now time.Duration) *Conn {
	if c := s.writeClosed.head; c != nil && now-c.IdleSince >= FirstByteGrace {
		return c
	}
	return nil
}

// SingleUse returns a connection that has been idle after its only request for SingleUseIdleTimeout, if there are more
// connections than ReuseLimit, or nil. Closing such connections helps clients that open a new connection for each
// request and keep the old ones open: such a client reaches its limit of connections, and cannot send its next request,
// long before the gateway runs out of connections.
func (s *Conns) SingleUse(now time.Duration) *Conn {
	if c := s.usedOnce.head; c != nil && s.OverReuseLimit() && now-c.IdleSince >= SingleUseIdleTimeout {
		return c
	}
	return nil
}

// OverReuseLimit reports whether the number of connections exceeds ReuseLimit.
func (s *Conns) OverReuseLimit() bool { return len(s.ByConn) > s.ReuseLimit }
