package admin

import (
	"slices"
	"strings"
	"time"

	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Limits of an admin connection.
const (
	// MaxConns is how many calls are heard at once. Each has a descriptor that clients cannot take.
	MaxConns = 10
	// RequestTimeout is how long a call may take to come whole, and its answer to be taken.
	RequestTimeout = time.Second
	// LingerTimeout is how long the end of a connection waits for the caller's own.
	LingerTimeout = 200 * time.Millisecond
)

// Conn is one admin connection. It carries one call.
type Conn struct {
	ID       loop.Conn
	Answered bool
	Ended    bool // our sending has ended
	reader   http1.Reader
}

// requestPaths are the paths of the requests.
var requestPaths = map[string]Request{
	"/ops/readiness": ReadinessRequest,
	"/ops/stats":     StatsRequest,
	"/ops/fleet":     ClusterRequest,
}

// Feed takes what has come and returns the call, and for a faulty one its answer.
func (c *Conn) Feed(data []byte) (Request, []byte) {
	c.reader.Feed(data)
	m, fault := c.reader.Next()
	switch {
	case fault != nil:
		return BadRequest, textResponse(fault.Status, fault.Text)
	case m == nil:
		return NoRequest, nil
	}
	path, _, _ := strings.Cut(m.Target, "?")
	call := requestPaths[path]
	switch {
	case call == NoRequest:
		return BadRequest, textResponse(404, "no such path: /ops/readiness, /ops/stats and /ops/fleet are there")
	case m.Method != "GET":
		allow := []http1.Field{{Name: "Allow", Value: "GET"}}
		return BadRequest, http1.AppendResponse(nil, 405, allow, []byte("GET only\n"), false)
	}
	return call, nil
}

// Conns are the admin connections, the oldest first.
type Conns struct {
	conns []*Conn
}

// Find returns the connection of a connection, or nil.
func (s *Conns) Find(id loop.Conn) *Conn {
	for _, c := range s.conns {
		if c.ID == id {
			return c
		}
	}
	return nil
}

// Len is how many there are.
func (s *Conns) Len() int { return len(s.conns) }

// Add takes a new connection. Where that makes too many, the one that is evicted is returned: the
// oldest that has asked nothing, so that those who say nothing never keep out one who asks, else the
// oldest.
func (s *Conns) Add(id loop.Conn) (evicted *Conn) {
	if len(s.conns) >= MaxConns {
		at := max(0, slices.IndexFunc(s.conns, func(c *Conn) bool { return !c.Answered }))
		evicted = s.conns[at]
	}
	s.conns = append(s.conns, &Conn{ID: id})
	return evicted
}

// Remove forgets a connection.
func (s *Conns) Remove(c *Conn) {
	s.conns = slices.DeleteFunc(s.conns, func(m *Conn) bool { return m == c })
}
