package downstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"thymebend/internal/loop"
)

// Conns holds the downstream connections. Those that may be evicted where connections run short are in queues,
// so that the one to evict is found, and every change made, in constant time: an accept must not cost a walk
// over thousands of connections.
type Conns struct {
	ByConn     map[loop.Conn]*Conn
	Max        int // how many connections there may be
	ReuseLimit int // with more connections than this, those that are not reused are closed, see SingleUse

	fullyClosed   evictionQueue // our sending has ended, after the last answer
	unused        evictionQueue // nothing received yet, by the time of the accept
	partialFirst  evictionQueue // a first request is incomplete, by its last byte
	usedOnce      evictionQueue // idle after one request
	usedAgain     evictionQueue // idle after several
	partialLater  evictionQueue // a later request is incomplete, by its last byte
	healthChecked evictionQueue // idle after health checks or refused requests only
}

// NewConns returns an empty set of at most so many connections.
func NewConns(limit int) *Conns {
	return &Conns{ByConn: make(map[loop.Conn]*Conn), Max: limit}
}

// InOrder returns the connections, oldest first. Map order is random; the same events must have the same effects.
func (s *Conns) InOrder() []*Conn {
	return slices.SortedFunc(maps.Values(s.ByConn), func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
}

// Add adds a new downstream connection.
func (s *Conns) Add(id loop.Conn, now time.Duration) *Conn {
	c := &Conn{ID: id, Accepted: now, Since: now, RequestBegan: now, lastReceived: now}
	s.ByConn[id] = c
	s.Requeue(c)
	return c
}

// Remove forgets a connection.
func (s *Conns) Remove(c *Conn) {
	delete(s.ByConn, c.ID)
	c.unqueue()
}

// Requeue puts a connection at the end of the eviction queue that it belongs to, or in none. It is to be called
// when the connection has changed: a request or a part of one was received, an answer was written out, or the
// final read begins.
func (s *Conns) Requeue(c *Conn) {
	c.unqueue()
	switch {
	case c.Busy, c.FinalRead:
	case c.Ended:
		s.fullyClosed.push(c)
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

// Evictable returns the connection to evict where connections run short, or nil if none may be evicted. Guards
// against clients that connect and send nothing, send one request and stay, or never complete a request.
// The first of these that there is:
//
//  1. answered and ended by us, FirstByteGrace ago
//  2. silent since its accept for FirstRequestGrace
//  3. only health checks or refused requests so far, and silent for HealthCheckGrace
//  4. idle after one request
//  5. idle after several requests
//  6. its first request incomplete, and silent for StalledRequestGrace
//  7. a later request incomplete, and silent for StalledRequestGrace
//  8. as 3, but silent for less than HealthCheckGrace
//  9. silent since its accept for FirstByteGrace
//
// Idle clients lose a connection and no request. Those of 8 and 9 are about to send their first request, which
// would be lost. A request of which data keeps arriving is never cut.
func (s *Conns) Evictable(now time.Duration) *Conn {
	quiet := func(queue *evictionQueue, grace time.Duration) bool {
		return queue.head != nil && now-queue.head.lastReceived >= grace
	}
	switch {
	case s.FullyClosed(now) != nil:
		return s.FullyClosed(now)
	case quiet(&s.unused, FirstRequestGrace):
		return s.unused.head
	case quiet(&s.healthChecked, HealthCheckGrace):
		return s.healthChecked.head
	case s.usedOnce.head != nil:
		return s.usedOnce.head
	case s.usedAgain.head != nil:
		return s.usedAgain.head
	case quiet(&s.partialFirst, StalledRequestGrace):
		return s.partialFirst.head
	case quiet(&s.partialLater, StalledRequestGrace):
		return s.partialLater.head
	case s.healthChecked.head != nil:
		return s.healthChecked.head
	case quiet(&s.unused, FirstByteGrace):
		return s.unused.head
	}
	return nil
}

// FullyClosed returns a connection whose last answer is written out and whose client has had time to read it,
// or nil.
func (s *Conns) FullyClosed(now time.Duration) *Conn {
	if c := s.fullyClosed.head; c != nil && now-c.Since >= FirstByteGrace {
		return c
	}
	return nil
}

// SingleUse returns a connection that is idle after one request, where there are many connections, or nil. Guards
// against clients that open a connection for each request and keep them all: where a client's own limit is
// reached, it cannot send its next request, long before connections run short here.
func (s *Conns) SingleUse(now time.Duration) *Conn {
	if c := s.usedOnce.head; c != nil && s.OverReuseLimit() && now-c.Since >= SingleUseIdleTimeout {
		return c
	}
	return nil
}

// OverReuseLimit reports whether there are more connections than ReuseLimit.
func (s *Conns) OverReuseLimit() bool { return len(s.ByConn) > s.ReuseLimit }
