package upstream

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Phase is how far a server link is.
type Phase uint8

// A link connects, stands idle, writes a request, and awaits its answer. Where that is large it relays it.
const (
	Connecting Phase = iota
	Idle
	Writing
	Awaiting
	Relaying // its answer is passed on as it comes
)

// Conn is one server link. It carries one attempt at a time.
type Conn struct {
	ID       loop.Conn
	Endpoint balancer.EndpointID
	Phase    Phase
	reader   http1.Reader
}

// Feed takes what a host wrote and returns its answer once it is whole.
func (l *Conn) Feed(data []byte) (*Response, error) {
	l.reader.Feed(data)
	m, fault := l.reader.Next()
	if fault != nil {
		return nil, fault
	}
	if m == nil {
		return nil, nil
	}
	return read(m), nil
}

// End returns the answer that the end of the host's sending completes, or nil.
func (l *Conn) End() *Response {
	if m := l.reader.End(); m != nil {
		return read(m)
	}
	return nil
}

// Large returns the head of an answer that is too large to be held, or nil.
func (l *Conn) Large() *Response {
	if head := l.reader.Large(); head != nil {
		return read(&http1.Message{Head: head})
	}
	return nil
}

// Begin has the answer under way handed out in pieces. length is -1 where it is not stated.
func (l *Conn) Begin() (length int64) { return l.reader.Begin() }

// Take takes what a host wrote of an answer that is handed out in pieces.
func (l *Conn) Take(data []byte) { l.reader.Feed(data) }

// Pieces returns what has come of the answer, valid until the next call, and whether it has ended.
func (l *Conn) Pieces() (piece []byte, done bool, err error) {
	_, piece, done, fault := l.reader.Pieces()
	if fault != nil {
		return nil, false, fault
	}
	return piece, done, nil
}

// Complete reports whether all of the answer under way has come, though not all of it may have been handed out.
func (l *Conn) Complete() bool { return l.reader.Complete() }

// EndsByClose reports whether the end of the host's sending is the regular end of the answer.
func (l *Conn) EndsByClose() bool { return l.reader.EndsByClose() }

// Clean reports whether no byte lies past the answer just ended.
func (l *Conn) Clean() bool { return !l.reader.Pending() }

// Reusable reports whether the link may carry another request after this answer. Bytes past an answer belong
// to nobody; they must not be taken for the next one.
func (l *Conn) Reusable(a *Response) bool { return a.KeepAlive && !l.reader.Pending() }

// Pool holds the server links.
type Pool struct {
	links map[loop.Conn]*Conn
	idle  map[balancer.EndpointID][]*Conn // newest last
	most  int
	next  loop.Conn
}

// NewPool returns a pool of at most so many links.
func NewPool(most int) *Pool {
	return &Pool{links: make(map[loop.Conn]*Conn), idle: make(map[balancer.EndpointID][]*Conn), most: most}
}

// Resize changes how many links there may be. Those that are too many go as they end, or give way.
func (p *Pool) Resize(most int) { p.most = most }

// Budget is how many links there may be.
func (p *Pool) Budget() int { return p.most }

// Max is how many links there may be, or are.
func (p *Pool) Max() int { return max(p.most, len(p.links)) }

// Len is how many links there are.
func (p *Pool) Len() int { return len(p.links) }

// Find returns the link of a connection, or nil.
func (p *Pool) Find(c loop.Conn) *Conn { return p.links[c] }

// NextID names a new connection.
func (p *Pool) NextID() loop.Conn {
	p.next++
	return p.next
}

// Full reports whether the budget of descriptors is used up.
func (p *Pool) Full() bool { return len(p.links) >= p.most }

// Over reports whether there are more links than there may be, since that was lowered.
func (p *Pool) Over() bool { return len(p.links) > p.most }

// Acquire returns the idle link to a host that was used last, or nil. The newest goes first, so that links that
// are not needed grow old and are closed.
func (p *Pool) Acquire(host balancer.EndpointID) *Conn {
	links := p.idle[host]
	if len(links) == 0 {
		return nil
	}
	l := links[len(links)-1]
	p.leaveIdle(l)
	return l
}

// Open adds a link that connects.
func (p *Pool) Open(host balancer.EndpointID) *Conn {
	l := &Conn{ID: p.NextID(), Endpoint: host, reader: http1.Reader{Response: true}}
	p.links[l.ID] = l
	return l
}

// Release makes a link idle.
func (p *Pool) Release(l *Conn) {
	l.Phase = Idle
	p.idle[l.Endpoint] = append(p.idle[l.Endpoint], l)
}

// Remove forgets a link.
func (p *Pool) Remove(l *Conn) {
	p.leaveIdle(l)
	delete(p.links, l.ID)
}

func (p *Pool) leaveIdle(l *Conn) {
	links := p.idle[l.Endpoint]
	for i, other := range links {
		if other == l {
			copy(links[i:], links[i+1:])
			links[len(links)-1] = nil
			p.idle[l.Endpoint] = links[:len(links)-1]
			break
		}
	}
	if len(p.idle[l.Endpoint]) == 0 {
		delete(p.idle, l.Endpoint)
	}
}

// IdleTo returns the idle links to a host, oldest first.
func (p *Pool) IdleTo(host balancer.EndpointID) []*Conn { return append([]*Conn(nil), p.idle[host]...) }

// ConnectingTo returns the links to any of some hosts that are not up yet, oldest first. It walks all links once.
func (p *Pool) ConnectingTo(hosts map[balancer.EndpointID]bool) []*Conn {
	var found []*Conn
	for _, l := range p.links {
		if l.Phase == Connecting && hosts[l.Endpoint] {
			found = append(found, l)
		}
	}
	slices.SortFunc(found, func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

// Oldest returns the idle link that was opened first, or nil: the one to close where the budget is short.
func (p *Pool) Oldest() *Conn {
	var oldest *Conn
	for _, links := range p.idle {
		for _, l := range links {
			if oldest == nil || l.ID < oldest.ID {
				oldest = l
			}
		}
	}
	return oldest
}

// Surplus returns the idle links that are to be closed for the pool to keep to its budget, those opened first first.
func (p *Pool) Surplus() []*Conn {
	over := len(p.links) - p.most
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

// AppendRequest words a client's request for a host: unchanged but for the fields of the connection and the
// time that is left.
func AppendRequest(dst []byte, m *http1.Message, left time.Duration) []byte {
	return http1.AppendRequest(dst, m.Method, m.Target, passed(m, left), m.Body)
}

// AppendHead words the head of a client's request whose body follows in pieces.
func AppendHead(dst []byte, m *http1.Message, length int64, left time.Duration) []byte {
	return http1.AppendRequestHead(dst, m.Method, m.Target, passed(m, left), length)
}

func passed(m *http1.Message, left time.Duration) []http1.Field {
	fields := make([]http1.Field, 0, len(m.Fields)+2)
	if _, hosts := m.Get("Host"); hosts == 0 {
		fields = append(fields, http1.Field{Name: "Host"}) // HTTP/1.0 goes without, HTTP/1.1 must not
	}
	for _, f := range m.Fields {
		if !m.Hop(f.Name) && !strings.EqualFold(f.Name, fieldDeadline) {
			fields = append(fields, f)
		}
	}
	return append(fields, http1.Field{Name: fieldDeadline, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "m"})
}
