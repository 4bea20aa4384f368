package upstream

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/buffermemory"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Phase is the state of an upstream connection.
type Phase uint8

// The phases of an upstream connection, in the order in which it passes through them. After Awaiting or Relaying it
// becomes idle again if it can be reused.
const (
	Connecting Phase = iota
	Idle
	Quiet    // an attempt waits for the end of the connection's quiet time; nothing of it is written
	Writing  // a request is being written
	Awaiting // the request is written and its response is not complete
	Relaying // a large response is forwarded to the client while it arrives
)

// Conn is a connection to an endpoint. It carries one attempt at a time.
type Conn struct {
	ID       loop.Conn
	Endpoint balancer.EndpointID
	Phase    Phase
	Requests int           // requests that were written on this connection, including the current one
	LastByte time.Duration // when the last byte of the endpoint arrived; 0 before the first
	// Unwritten is the size of what was written and may still wait for the kernel, in bytes.
	Unwritten int
	// Memory is the memory that the connection is charged for.
	Memory buffermemory.Account
	spare  bool // opened for later attempts
	reader http1.Reader
}

// Feed adds received bytes and returns the endpoint's response if it is complete, or nil.
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

// EndOfInput records that the endpoint has ended its sending. It returns the response that this completes, or nil.
func (c *Conn) EndOfInput() *Response {
	if m := c.reader.EndOfInput(); m != nil {
		return newResponse(m)
	}
	return nil
}

// Large returns the head of the response being received if its body is too large to buffer, or nil.
func (c *Conn) Large() *Response {
	if head := c.reader.Large(); head != nil {
		return newResponse(&http1.Message{Head: head})
	}
	return nil
}

// Partial returns the head of the response being received if the head is complete and the body is not, or nil.
func (c *Conn) Partial() *Response {
	if head := c.reader.Head(); head != nil {
		return newResponse(&http1.Message{Head: head})
	}
	return nil
}

// Decoded returns the number of bytes of the incomplete response's body that have been received.
func (c *Conn) Decoded() int { return c.reader.Decoded() }

// LengthUnknown reports whether the head of a response has been received that does not state the length of its body.
func (c *Conn) LengthUnknown() bool { return c.reader.LengthUnknown() }

// Held returns the memory that the connection uses for received and unwritten bytes, in bytes.
func (c *Conn) Held() int { return c.reader.Held() + c.Unwritten }

// BeginStream switches the response being received to streaming: from now on, the caller reads the body as it arrives.
// length is the length of the body in bytes, or -1 if the endpoint does not state it.
func (c *Conn) BeginStream() (length int64) { return c.reader.BeginStream() }

// FeedStream adds received bytes of a streamed response.
func (c *Conn) FeedStream(data []byte) { c.reader.Feed(data) }

// ReadStream returns the data of a streamed body that has arrived since the last call, and whether the response has
// ended. The data is appended to scratch[:0].
func (c *Conn) ReadStream(scratch []byte) (piece []byte, done bool, err error) {
	_, piece, done, fault := c.reader.ReadStream(scratch)
	if fault != nil {
		return nil, false, fault
	}
	return piece, done, nil
}

// Complete reports whether the whole response has been received, even if the caller has not yet read all of it.
func (c *Conn) Complete() bool { return c.reader.Complete() }

// EndsByClose reports whether the response ends regularly when the endpoint ends its sending, because its length is not
// stated.
func (c *Conn) EndsByClose() bool { return c.reader.EndsByClose() }

// NoExtraBytes reports whether no byte has been received beyond the response that has just ended.
func (c *Conn) NoExtraBytes() bool { return !c.reader.Pending() }

// Reusable reports whether the connection may carry another request after this response. It may not if bytes have been
// received beyond the response: they belong to no request and must not be taken for the next response.
func (c *Conn) Reusable(response *Response) bool { return response.KeepAlive && !c.reader.Pending() }
