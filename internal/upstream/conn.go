package upstream

import (
	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Phase is how far an upstream connection is.
type Phase uint8

// A connection connects, is idle, writes a request, and awaits its answer. A large answer is relayed.
const (
	Connecting Phase = iota
	Idle
	Writing
	Awaiting
	Relaying // its answer is passed on as it arrives
)

// Conn is one upstream connection. It carries one attempt at a time.
type Conn struct {
	ID       loop.Conn
	Endpoint balancer.EndpointID
	Phase    Phase
	reader   http1.Reader
}

// Feed takes received bytes and returns the endpoint's answer once it is complete, else nil.
func (c *Conn) Feed(data []byte) (*Response, error) {
	c.reader.Feed(data)
	m, fault := c.reader.Next()
	if fault != nil {
		return nil, fault
	}
	if m == nil {
		return nil, nil
	}
	return newResponse(m), nil
}

// End returns the answer that the end of the endpoint's sending completes, or nil.
func (c *Conn) End() *Response {
	if m := c.reader.End(); m != nil {
		return newResponse(m)
	}
	return nil
}

// Large returns the head of an answer that is too large to buffer, or nil.
func (c *Conn) Large() *Response {
	if head := c.reader.Large(); head != nil {
		return newResponse(&http1.Message{Head: head})
	}
	return nil
}

// Begin switches the answer under way to streaming: from now on Take feeds it and Pieces returns its chunks.
// length is that of the body, -1 where it is not stated.
func (c *Conn) Begin() (length int64) { return c.reader.Begin() }

// Take takes received bytes of a streamed answer.
func (c *Conn) Take(data []byte) { c.reader.Feed(data) }

// Pieces returns the next chunk of a streamed answer, all that has arrived since the last call, valid until the
// next call, and whether the answer has ended.
func (c *Conn) Pieces() (piece []byte, done bool, err error) {
	_, piece, done, fault := c.reader.Pieces()
	if fault != nil {
		return nil, false, fault
	}
	return piece, done, nil
}

// Complete reports whether all of the answer under way has been received, though Pieces may not have returned
// all of it.
func (c *Conn) Complete() bool { return c.reader.Complete() }

// EndsByClose reports whether the end of the endpoint's sending is the regular end of the answer.
func (c *Conn) EndsByClose() bool { return c.reader.EndsByClose() }

// Clean reports whether no byte was received past the answer just ended.
func (c *Conn) Clean() bool { return !c.reader.Pending() }

// Reusable reports whether the connection may carry another request after this answer. Bytes past an
// answer belong to nobody; they must not be taken for the next one.
func (c *Conn) Reusable(response *Response) bool { return response.KeepAlive && !c.reader.Pending() }
