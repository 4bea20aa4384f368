package downstream

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Limits of a downstream connection.
const (
	// MaxPipelined bounds the bytes that a client may send ahead of an answer; past it the connection is not
	// read.
	MaxPipelined = http1.MaxHead + http1.MaxHeld
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout = 90 * time.Second
	// FirstRequestGrace is how soon a client that connects for a request usually sends it.
	FirstRequestGrace = 500 * time.Millisecond
	// FirstByteGrace is the least time that a new connection has to send its first byte, however few
	// connections are left. A client also has it to read its last answer.
	FirstByteGrace = 50 * time.Millisecond
	// SingleUseIdleTimeout is how soon a client that reuses its connections usually does so, where it has many.
	SingleUseIdleTimeout = 100 * time.Millisecond
	// HealthCheckGrace is how long a connection with health checks only is kept for its first request. After that
	// it is evicted before those idle after a request.
	HealthCheckGrace = 2 * time.Second
	// StalledRequestGrace is how soon the next part of a request usually arrives from a client that writes slowly.
	StalledRequestGrace = 700 * time.Millisecond
	// ResponseWriteTimeout is how long an answer may take to be written out.
	ResponseWriteTimeout = 10 * time.Second
	// LingerTimeout is how long we wait, after our sending has ended, for the client to close.
	LingerTimeout = time.Second
	// MaxLinger bounds that wait for a client that is still sending a body that is discarded.
	MaxLinger = 5 * time.Second
)

// Conn is one downstream connection. The gateway sets its exported fields; after a change of them it calls
// Conns.Place. Times are those of loop.Clock.
type Conn struct {
	ID loop.Conn

	// Request is the request in work, while Busy; 0 for an answer of the gateway's own, and once the
	// endpoint's answer is being written out.
	Request balancer.RequestID
	// Busy reports that a request is in work or its answer is not yet written out.
	Busy bool
	// Closing reports that the connection ends after the current answer.
	Closing bool
	// Ended reports that our sending has ended; data received after that is dropped.
	Ended bool
	// FinalRead reports that the connection is closed unless the read now requested finds a request.
	FinalRead bool
	// Muted reports that the connection is not read for now.
	Muted bool
	// Upload reports that the body of the request in work is streamed and has not ended.
	Upload bool
	// DiscardBody reports that the data now received is part of a body that is discarded.
	DiscardBody bool

	// HasRequested reports that a complete request, a health check or a malformed request has been received.
	HasRequested bool
	// Requests counts the requests passed to the balancer.
	Requests int
	// RequestTimed reports that the deadline of the request being received is set.
	RequestTimed bool
	// RequestBytes counts the bytes received of the request being received.
	RequestBytes int

	// Accepted is when the connection was accepted.
	Accepted time.Duration
	// Since is when it became idle: the time of its accept or of the end of its last answer.
	Since time.Duration
	// RequestBegan is when the time of the request being received began: at its first byte, for the first
	// request at the accept.
	RequestBegan time.Duration
	// Timer is when the connection is looked at again, or ended; 0 if no timer is set.
	Timer time.Duration
	// lastReceived is when the last byte was received, or when reading resumed after a pause.
	lastReceived time.Duration

	// The eviction queue that it is in, nil if none, and its neighbours there. See Conns.Place.
	evictionQueue *evictionQueue
	previous      *Conn
	next          *Conn

	arrivals arrivals
	reader   http1.Reader
	large    *Incoming // the request being received whose body is too large to buffer
}

// Feed takes bytes received from the client now.
func (c *Conn) Feed(now time.Duration, data []byte) {
	c.lastReceived = now
	c.arrivals.add(now, len(data))
	c.reader.Feed(data)
}

// Begin switches the body of the request that Next returned to streaming: from now on Pieces returns its chunks.
// length is that of the body, -1 where it is not stated.
func (c *Conn) Begin() (length int64) {
	c.Upload = true
	return c.reader.Begin()
}

// Pieces returns the next chunk of a streamed body, all that has arrived since the last call, valid until the next
// call, and whether the body has ended.
func (c *Conn) Pieces() (piece []byte, done bool, fault *http1.Fault) {
	_, piece, done, fault = c.reader.Pieces()
	return piece, done, fault
}

// IdleFor returns how long nothing has been received.
func (c *Conn) IdleFor(now time.Duration) time.Duration { return now - c.lastReceived }

// Pending reports whether part of a request has been received.
func (c *Conn) Pending() bool { return c.reader.Pending() }

// Overfull reports whether the client has sent more than MaxPipelined bytes ahead of an answer.
func (c *Conn) Overfull() bool { return c.reader.Buffered() > MaxPipelined }

// AwaitsContinue reports, once for each request, whether the client waits for 100 Continue before it sends the
// body.
func (c *Conn) AwaitsContinue() bool { return c.reader.AwaitsContinue() }
