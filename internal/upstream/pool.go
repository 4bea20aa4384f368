package upstream

import (
	"cmp"
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Pool holds all upstream connections.
type Pool struct {
	conns      map[loop.Conn]*Conn
	idle       map[balancer.EndpointID][]*Conn // in the order of their release
	max        int                             // the limit on the number of connections
	lastConnID loop.Conn                       // the highest number given to a connection
	quiet      quietTimes
	spares     map[balancer.EndpointID]int // spare connections
}

// NewPool returns an empty pool for at most limit connections.
func NewPool(limit int) *Pool {
	return &Pool{
		conns: make(map[loop.Conn]*Conn), idle: make(map[balancer.EndpointID][]*Conn), max: limit,
		quiet: newQuietTimes(), spares: make(map[balancer.EndpointID]int),
	}
}

// Resize changes the limit. It closes no connection: connections in excess of a lowered limit are closed when their
// response is complete, or when the caller evicts them.
func (p *Pool) Resize(limit int) { p.max = limit }

// Limit returns the limit on the number of connections.
func (p *Pool) Limit() int { return p.max }

// MaxOfLimitAndLen returns the larger of the limit and the number of connections.
func (p *Pool) MaxOfLimitAndLen() int { return max(p.max, len(p.conns)) }

// Len returns the number of connections.
func (p *Pool) Len() int { return len(p.conns) }

// Find returns the connection with the given number, or nil.
func (p *Pool) Find(c loop.Conn) *Conn { return p.conns[c] }

// NextID returns an unused number for a new connection.
func (p *Pool) NextID() loop.Conn {
	p.lastConnID++
	return p.lastConnID
}

// Full reports whether the number of connections has reached the limit.
func (p *Pool) Full() bool { return len(p.conns) >= p.max }

// OverLimit reports whether the number of connections exceeds the limit, which can be after the limit was lowered.
func (p *Pool) OverLimit() bool { return len(p.conns) > p.max }

// Acquire removes an idle connection to an endpoint from the idle connections, and returns it with the time from which a
// request may be written to it. That time is now for the most recently released connection whose quiet time is over:
// using the most recent one first lets connections that are not needed stay idle until they are closed. Without such a
// connection it is the end of the quiet time that ends first. Acquire returns nil if there is no idle connection, or if
// that time is more than maxQuietWait ahead.
func (p *Pool) Acquire(endpoint balancer.EndpointID, now time.Duration) (c *Conn, writableAt time.Duration) {
	quietTime := p.quiet.of(endpoint, now)
	for _, candidate := range slices.Backward(p.idle[endpoint]) {
		at := max(candidate.LastByte+quietTime, now)
		if c == nil || at < writableAt {
			c, writableAt = candidate, at
		}
		if writableAt == now {
			break
		}
	}
	if c == nil || writableAt-now > maxQuietWait {
		return nil, 0
	}
	p.removeIdle(c)
	return c, writableAt
}

// NeedsSpare records by how much the wait for the quiet time of a connection to an endpoint delays the requests that are
// queued, all together, and reports whether such delays are so frequent that a spare connection to the endpoint should be
// opened. Spare connections leave half of the limit to attempts that have no connection, and the gateways of a cluster
// share maxSpares to each endpoint.
func (p *Pool) NeedsSpare(endpoint balancer.EndpointID, delay time.Duration, gateways int) bool {
	return p.quiet.addDelay(endpoint, delay) && len(p.conns) < p.max/2 && p.spares[endpoint] < maxSpares/max(gateways, 1)
}

// OpenSpare adds a new connection to an endpoint, in phase Connecting, that is meant for later attempts.
func (p *Pool) OpenSpare(endpoint balancer.EndpointID) *Conn {
	c := p.Open(endpoint)
	c.spare = true
	p.spares[endpoint]++
	return c
}

// Forget removes what is known of the connections to an endpoint that has left or restarted.
func (p *Pool) Forget(endpoint balancer.EndpointID) { p.quiet.forget(endpoint) }

// Distrust extends the quiet time of all connections to an endpoint that has sent bytes that belong to no request, late
// after its last byte.
func (p *Pool) Distrust(endpoint balancer.EndpointID, late, now time.Duration) {
	p.quiet.raise(endpoint, late, now)
}

// Open adds a new connection to an endpoint, in phase Connecting.
func (p *Pool) Open(endpoint balancer.EndpointID) *Conn {
	delete(p.quiet.delays, endpoint)
	c := &Conn{ID: p.NextID(), Endpoint: endpoint, reader: http1.Reader{Response: true}}
	p.conns[c.ID] = c
	return c
}

// Release makes a connection idle, so that Acquire may return it.
func (p *Pool) Release(c *Conn) {
	c.Phase = Idle
	p.idle[c.Endpoint] = append(p.idle[c.Endpoint], c)
}

// Remove removes a connection from the pool.
func (p *Pool) Remove(c *Conn) {
	p.removeIdle(c)
	if p.conns[c.ID] == c && c.spare {
		if p.spares[c.Endpoint]--; p.spares[c.Endpoint] == 0 {
			delete(p.spares, c.Endpoint)
		}
	}
	delete(p.conns, c.ID)
}

// removeIdle removes a connection from the idle connections, if it is one of them.
func (p *Pool) removeIdle(c *Conn) {
	conns := p.idle[c.Endpoint]
	for i, other := range conns {
		if other == c {
			copy(conns[i:], conns[i+1:])
			conns[len(conns)-1] = nil
			p.idle[c.Endpoint] = conns[:len(conns)-1]
			break
		}
	}
	if len(p.idle[c.Endpoint]) == 0 {
		delete(p.idle, c.Endpoint)
	}
}

// IdleTo returns the idle connections to an endpoint, in the order of their release.
func (p *Pool) IdleTo(endpoint balancer.EndpointID) []*Conn {
	return append([]*Conn(nil), p.idle[endpoint]...)
}

// UnwrittenTo returns the connections to any of the endpoints whose attempts are not yet written, because the connection
// is not established or its quiet time is not over, oldest first. Its cost is proportional to the number of connections
// of the pool.
func (p *Pool) UnwrittenTo(endpoints map[balancer.EndpointID]bool) []*Conn {
	var found []*Conn
	for _, c := range p.conns {
		if (c.Phase == Connecting || c.Phase == Quiet) && endpoints[c.Endpoint] {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// OldestIdle returns the idle connection that was opened first, or nil if none is idle. It is the connection to close
// when a new one is needed and the limit is reached.
func (p *Pool) OldestIdle() *Conn {
	var oldest *Conn
	for _, conns := range p.idle {
		for _, c := range conns {
			if oldest == nil || c.ID < oldest.ID {
				oldest = c
			}
		}
	}
	return oldest
}

// Surplus returns the idle connections to close after the limit was lowered, oldest first: as many as the pool exceeds
// its limit by, or all idle ones if there are fewer.
func (p *Pool) Surplus() []*Conn {
	over := len(p.conns) - p.max
	if over <= 0 {
		return nil
	}
	var idle []*Conn
	for _, conns := range p.idle {
		idle = append(idle, conns...)
	}
	slices.SortFunc(idle, func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
	return idle[:min(over, len(idle))]
}
