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
	// MaxConns bounds the admin connections. Their descriptors are reserved: clients cannot use them up.
	MaxConns = 10
	// RequestTimeout is how long a request may take to be received, and its answer to be written out.
	RequestTimeout = time.Second
	// LingerTimeout is how long we wait, after our sending has ended, for the operator's side to close.
	LingerTimeout = 200 * time.Millisecond
)

// Conn is one admin connection. It carries one request.
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

// Feed takes received bytes and returns the request, and for a faulty one its answer.
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
	request := requestPaths[path]
	switch {
	case request == NoRequest:
		return BadRequest, textResponse(404, "no such path: /ops/readiness, /ops/stats and /ops/fleet are there")
	case m.Method != "GET":
		allow := []http1.Field{{Name: "Allow", Value: "GET"}}
		return BadRequest, http1.AppendResponse(nil, 405, allow, []byte("GET only\n"), false)
	}
	return request, nil
}

// Conns holds the admin connections, the oldest first.
type Conns struct {
	conns []*Conn
}

// Find returns the connection of a number, or nil.
func (s *Conns) Find(id loop.Conn) *Conn {
	for _, c := range s.conns {
		if c.ID == id {
			return c
		}
	}
	return nil
}

// Len returns the number of connections.
func (s *Conns) Len() int { return len(s.conns) }

// Add adds a new connection. Where there are too many, it returns the one to evict: the oldest that is not yet
// answered, so that silent connections never keep out a request, else the oldest.
func (s *Conns) Add(id loop.Conn) (evicted *Conn) {
	if len(s.conns) >= MaxConns {
		index := max(0, slices.IndexFunc(s.conns, func(c *Conn) bool { return !c.Answered }))
		evicted = s.conns[index]
	}
	s.conns = append(s.conns, &Conn{ID: id})
	return evicted
}

// Remove forgets a connection.
func (s *Conns) Remove(c *Conn) {
	s.conns = slices.DeleteFunc(s.conns, func(other *Conn) bool { return other == c })
}
