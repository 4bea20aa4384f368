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
	// MaxConns is the maximum number of admin connections. Their descriptors are reserved, so that clients cannot
	// exhaust them.
	MaxConns = 10
	// RequestTimeout is how long the receiving of a request and the writing of its response may take.
	RequestTimeout = time.Second
	// LingerTimeout is how long the gateway waits for the operator's side to close, after the gateway has ended its
	// sending.
	LingerTimeout = 200 * time.Millisecond
)

// Conn is one admin connection. It carries one request.
type Conn struct {
	ID          loop.Conn
	Answered    bool // the response has been passed to the loop for writing
	WriteClosed bool // the gateway has ended its sending
	reader      http1.Reader
}

// requestPaths maps the path of a request to its type.
var requestPaths = map[string]Request{
	"/ops/readiness": ReadinessRequest,
	"/ops/stats":     StatsRequest,
	"/ops/fleet":     ClusterRequest,
}

// Feed adds received bytes. It returns the type of the request, NoRequest if the request is not complete. For
// BadRequest it also returns the encoded response.
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

// Conns holds the admin connections.
type Conns struct {
	conns []*Conn // oldest first
}

// Find returns the connection with the given number, or nil.
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

// Add adds a new connection. If there are already MaxConns, it returns the connection to evict: the oldest one whose
// request is not answered, so that connections without a request cannot block others, or else the oldest. The caller
// must close the evicted connection and remove it.
func (s *Conns) Add(id loop.Conn) (evicted *Conn) {
	if len(s.conns) >= MaxConns {
		index := max(0, slices.IndexFunc(s.conns, func(c *Conn) bool { return !c.Answered }))
		evicted = s.conns[index]
	}
	s.conns = append(s.conns, &Conn{ID: id})
	return evicted
}

// Remove removes a connection.
func (s *Conns) Remove(c *Conn) {
	s.conns = slices.DeleteFunc(s.conns, func(other *Conn) bool { return other == c })
}
