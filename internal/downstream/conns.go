package downstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"thymebend/internal/loop"
)

// Conns are the downstream connections. Those that may is evicted where connections run short stand in
// queues, so that the one that does is found, and every change made, in constant time: a crowd of
// thousands must not cost a walk for each accept.
type Conns struct {
	ByConn     map[loop.Conn]*Conn
	Max        int
	ReuseLimit int // past it connections that are not used again are closed, see SingleUse

	fullyClosed   evictionQueue // our sending has ended, after the last answer
	unused        evictionQueue // nothing has come yet, by their accept
	partialFirst  evictionQueue // a first request is partly read, by its last byte
	usedOnce      evictionQueue // idle after one request
	usedAgain     evictionQueue // idle after several
	partialLater  evictionQueue // a later request is partly read
	healthChecked evictionQueue // idle after health checks alone: the first request is to come
}

// NewConns returns room for so many connections.
func NewConns(most int) *Conns {
	return &Conns{ByConn: make(map[loop.Conn]*Conn), Max: most}
}

// InOrder returns the connections, oldest first. Maps are walked in no order; the same events must have
// the same effects.
func (s *Conns) InOrder() []*Conn {
	return slices.SortedFunc(maps.Values(s.ByConn), func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
}

// Add takes a new downstream connection.
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

// Requeue has a connection stand where it belongs, behind those that stood there before. It is to be
// called when the connection has changed: a request came or a part of one, an answer was written, it is
// looked at once more.
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

// Evictable returns the connection that is evicted first where connections run short, or nil if none
// may. Guards against crowds that connect and ask nothing, ask once and stay, or never end a request.
// Those go before all that have their last answer and whose client has had time to take it, then those
// that have said nothing for FirstSoon, then those at rest, which costs their clients a new connection
// and no request, those that brought one request before those that brought more, then those whose
// request has stood still for StalledRequestGrace. Those that are young or have only asked for health
// go last, as their first request is to come and would be lost with them. A request that goes on coming
// is never cut.
func (s *Conns) Evictable(now time.Duration) *Conn {
	quiet := func(q *evictionQueue, since time.Duration) bool {
		return q.head != nil && now-q.head.lastReceived >= since
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

// FullyClosed returns a connection that has its last answer and whose client has had time to take it,
// or nil.
func (s *Conns) FullyClosed(now time.Duration) *Conn {
	if c := s.fullyClosed.head; c != nil && now-c.Since >= FirstByteGrace {
		return c
	}
	return nil
}

// SingleUse returns a connection that brought one request and has rested since, where there are many
// connections, or nil. Guards against clients that open a connection for each request and keep all:
// where they may hold so many and no more, they have none left for their next request long before
// connections run short here.
func (s *Conns) SingleUse(now time.Duration) *Conn {
	if c := s.usedOnce.head; c != nil && s.OverReuseLimit() && now-c.Since >= SingleUseIdleTimeout {
		return c
	}
	return nil
}

// OverReuseLimit reports whether there are many connections.
func (s *Conns) OverReuseLimit() bool { return len(s.ByConn) > s.ReuseLimit }
