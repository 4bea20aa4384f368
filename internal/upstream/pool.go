package upstream

import (
	"cmp"
	"slices"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Pool holds the upstream connections.
type Pool struct {
	conns  map[loop.Conn]*Conn
	idle   map[balancer.EndpointID][]*Conn // newest last
	max    int
	lastConnID loop.Conn
}

// NewPool returns a pool of at most so many connections.
func NewPool(limit int) *Pool {
	return &Pool{conns: make(map[loop.Conn]*Conn), idle: make(map[balancer.EndpointID][]*Conn), max: limit}
}

// Resize changes the limit. Connections above the limit are closed when they finish or are evicted.
func (p *Pool) Resize(limit int) { p.max = limit }

// Budget returns the limit.
func (p *Pool) Budget() int { return p.max }

// Max returns the limit, or the number of connections where there are more.
func (p *Pool) Max() int { return max(p.max, len(p.conns)) }

// Len returns the number of connections.
func (p *Pool) Len() int { return len(p.conns) }

// Find returns the connection of a number, or nil.
func (p *Pool) Find(c loop.Conn) *Conn { return p.conns[c] }

// NextID returns the number of a new connection.
func (p *Pool) NextID() loop.Conn {
	p.lastConnID++
	return p.lastConnID
}

// Full reports whether the limit is reached.
func (p *Pool) Full() bool { return len(p.conns) >= p.max }

// Over reports whether there are more connections than the limit, after it was lowered.
func (p *Pool) Over() bool { return len(p.conns) > p.max }

// Acquire returns the idle connection to an endpoint that was released last, or nil. The newest is used
// first, so that connections that are not needed grow old and are closed.
func (p *Pool) Acquire(endpoint balancer.EndpointID) *Conn {
	conns := p.idle[endpoint]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.removeIdle(c)
	return c
}

// Open adds a connection that is being established.
func (p *Pool) Open(endpoint balancer.EndpointID) *Conn {
	c := &Conn{ID: p.NextID(), Endpoint: endpoint, reader: http1.Reader{Response: true}}
	p.conns[c.ID] = c
	return c
}

// Release makes a connection idle.
func (p *Pool) Release(c *Conn) {
	c.Phase = Idle
	p.idle[c.Endpoint] = append(p.idle[c.Endpoint], c)
}

// Remove forgets a connection.
func (p *Pool) Remove(c *Conn) {
	p.removeIdle(c)
	delete(p.conns, c.ID)
}

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

// IdleTo returns the idle connections to an endpoint, oldest first.
func (p *Pool) IdleTo(endpoint balancer.EndpointID) []*Conn {
	return append([]*Conn(nil), p.idle[endpoint]...)
}

// ConnectingTo returns the connections to any of some endpoints that are not yet established, oldest first.
// It visits all connections once.
func (p *Pool) ConnectingTo(endpoints map[balancer.EndpointID]bool) []*Conn {
	var found []*Conn
	for _, c := range p.conns {
		if c.Phase == Connecting && endpoints[c.Endpoint] {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Oldest returns the idle connection that was opened first, or nil: the one to close where the limit
// is reached.
func (p *Pool) Oldest() *Conn {
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

// Surplus returns the idle connections that are to be closed for the pool to keep to its limit, oldest first.
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
