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
	lastID loop.Conn
}

// NewPool returns a pool of at most so many connections.
func NewPool(most int) *Pool {
	return &Pool{conns: make(map[loop.Conn]*Conn), idle: make(map[balancer.EndpointID][]*Conn), max: most}
}

// Resize changes how many connections there may be. Those that are too many go as they end, or is
// evicted.
func (p *Pool) Resize(most int) { p.max = most }

// Budget is how many connections there may be.
func (p *Pool) Budget() int { return p.max }

// Max is how many connections there may be, or are.
func (p *Pool) Max() int { return max(p.max, len(p.conns)) }

// Len is how many connections there are.
func (p *Pool) Len() int { return len(p.conns) }

// Find returns the connection of a connection, or nil.
func (p *Pool) Find(c loop.Conn) *Conn { return p.conns[c] }

// NextID names a new connection.
func (p *Pool) NextID() loop.Conn {
	p.lastID++
	return p.lastID
}

// Full reports whether the budget of descriptors is used up.
func (p *Pool) Full() bool { return len(p.conns) >= p.max }

// Over reports whether there are more connections than there may be, since that was lowered.
func (p *Pool) Over() bool { return len(p.conns) > p.max }

// Acquire returns the idle connection to an endpoint that was used last, or nil. The newest goes first,
// so that connections that are not needed grow old and are closed.
func (p *Pool) Acquire(host balancer.EndpointID) *Conn {
	links := p.idle[host]
	if len(links) == 0 {
		return nil
	}
	c := links[len(links)-1]
	p.removeIdle(c)
	return c
}

// Open adds a connection that connects.
func (p *Pool) Open(host balancer.EndpointID) *Conn {
	c := &Conn{ID: p.NextID(), Endpoint: host, reader: http1.Reader{Response: true}}
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
	links := p.idle[c.Endpoint]
	for i, other := range links {
		if other == c {
			copy(links[i:], links[i+1:])
			links[len(links)-1] = nil
			p.idle[c.Endpoint] = links[:len(links)-1]
			break
		}
	}
	if len(p.idle[c.Endpoint]) == 0 {
		delete(p.idle, c.Endpoint)
	}
}

// IdleTo returns the idle connections to an endpoint, oldest first.
func (p *Pool) IdleTo(host balancer.EndpointID) []*Conn { return append([]*Conn(nil), p.idle[host]...) }

// ConnectingTo returns the connections to any of some endpoints that are not up yet, oldest first. It
// walks all connections once.
func (p *Pool) ConnectingTo(hosts map[balancer.EndpointID]bool) []*Conn {
	var found []*Conn
	for _, c := range p.conns {
		if c.Phase == Connecting && hosts[c.Endpoint] {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Oldest returns the idle connection that was opened first, or nil: the one to close where the budget
// is short.
func (p *Pool) Oldest() *Conn {
	var oldest *Conn
	for _, links := range p.idle {
		for _, c := range links {
			if oldest == nil || c.ID < oldest.ID {
				oldest = c
			}
		}
	}
	return oldest
}

// Surplus returns the idle connections that are to be closed for the pool to keep to its budget, those
// opened first first.
func (p *Pool) Surplus() []*Conn {
	over := len(p.conns) - p.max
	if over <= 0 {
		return nil
	}
	var idle []*Conn
	for _, links := range p.idle {
		idle = append(idle, links...)
	}
	slices.SortFunc(idle, func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
	return idle[:min(over, len(idle))]
}
