package downstream

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Limits of a downstream connection.
const (
	// MaxPipelined bounds what a client may send ahead of an answer; past it the connection is not
	// read.
	MaxPipelined = http1.MaxHead + http1.MaxHeld
	// IdleTimeout closes a connection on which nothing was asked for this long.
	IdleTimeout = 90 * time.Second
	// FirstRequestGrace is how soon a client that connects for a request usually sends it.
	FirstRequestGrace = 500 * time.Millisecond
	// FirstByteGrace is the least that a new connection has to bring its first byte, however short
	// connections run.
	FirstByteGrace = 50 * time.Millisecond
	// SingleUseIdleTimeout is how soon a client that goes on using a connection usually does, where it
	// has many.
	SingleUseIdleTimeout = 100 * time.Millisecond
	// HealthCheckGrace is how long a connection that only asked for health may wait for its first
	// request before it is like others.
	HealthCheckGrace = 2 * time.Second
	// StalledRequestGrace is how soon the next piece of a request usually comes, from a client that
	// writes slowly.
	StalledRequestGrace = 700 * time.Millisecond
	// ResponseWriteTimeout is how long an answer may take to be written out.
	ResponseWriteTimeout = 10 * time.Second
	// LingerTimeout is how long the end of a connection waits for the client's own; where the client is
	// still sending a body that is no longer wanted, MaxLinger at most.
	LingerTimeout = time.Second
	MaxLinger     = 5 * time.Second
)

// Conn is one downstream connection.
type Conn struct {
	ID            loop.Conn
	Request       balancer.RequestID // the request in work, with Busy
	Busy          bool               // a request is in work or its answer not yet written out
	Closing       bool               // ends after the answer now written
	Ended         bool               // our sending has ended; what still comes is dropped
	Muted         bool
	HasRequested  bool          // a whole request has come on it
	Requests      int           // how many requests came on it
	Since         time.Duration // of its accept or its last answer
	Accepted      time.Duration
	Timer         time.Duration  // when it is looked at again, or ended; 0 if no timer is set
	RequestTimed  bool           // the rest of a request is awaited for a limited time
	FinalRead     bool           // is looked at once more before it ends
	Upload        bool           // a body is being taken in pieces and has not ended
	DiscardBody   bool           // what still comes is of a body that nobody wants
	RequestBegan  time.Duration  // of the request that is coming
	RequestBytes  int            // bytes of it
	lastReceived  time.Duration  // last byte
	evictionQueue *evictionQueue // that it stands in
	previous      *Conn
	next          *Conn
	arrivals      arrivals
	reader        http1.Reader
	large         *Incoming // the request under way, whose body is too large to be held
}

// Feed takes what the client wrote.
func (c *Conn) Feed(now time.Duration, data []byte) {
	c.lastReceived = now
	c.arrivals.add(now, len(data))
	c.reader.Feed(data)
}

// Begin has the body of the request just asked for taken in pieces. length is -1 where it is not stated.
func (c *Conn) Begin() (length int64) {
	c.Upload = true
	return c.reader.Begin()
}

// Pieces returns what has come of the body, valid until the next call, and whether it has ended.
func (c *Conn) Pieces() (piece []byte, done bool, fault *http1.Fault) {
	_, piece, done, fault = c.reader.Pieces()
	return piece, done, fault
}

// IdleFor is how long nothing has come.
func (c *Conn) IdleFor(now time.Duration) time.Duration { return now - c.lastReceived }

// Pending reports whether a part of a request has come.
func (c *Conn) Pending() bool { return c.reader.Pending() }

// Overfull reports whether the client has sent more than it may ahead of an answer.
func (c *Conn) Overfull() bool { return c.reader.Buffered() > MaxPipelined }

// AwaitsContinue reports whether the client waits to be asked for the body.
func (c *Conn) AwaitsContinue() bool { return c.reader.AwaitsContinue() }
