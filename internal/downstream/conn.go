package downstream

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/buffermemory"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Limits of a downstream connection.
const (
	// MaxPipelined is the maximum number of bytes that a client may send ahead of a response. Beyond it, the
	// gateway pauses reading.
	MaxPipelined = http1.MaxHead + http1.MaxBufferedBody
	// IdleTimeout is how long a connection may be idle between requests before the gateway closes it.
	IdleTimeout = 90 * time.Second
	// FirstRequestGrace is the time within which a client that connects for a request usually sends it. After that, a
	// connection that has sent nothing may be evicted.
	FirstRequestGrace = 500 * time.Millisecond
	// FirstByteGrace is the minimum time that a new connection has to send its first byte, even if connections have run
	// out. It is also the minimum time that a client has to read its last response.
	FirstByteGrace = 50 * time.Millisecond
	// SingleUseIdleTimeout is the time within which a client with many connections usually reuses one, if it reuses
	// connections at all.
	SingleUseIdleTimeout = 100 * time.Millisecond
	// HealthCheckGrace is how long a connection that has carried only health checks or malformed requests is kept for
	// its first request. After that, it is evicted before connections that are idle after a request.
	HealthCheckGrace = 2 * time.Second
	// StalledRequestGrace is the time within which a client that sends slowly usually sends the next part of a request.
	// After that, the connection may be evicted.
	StalledRequestGrace = 700 * time.Millisecond
	// LingerTimeout is how long the gateway waits for the client to close, after the gateway has ended its sending.
	LingerTimeout = time.Second
	// MaxLinger is the maximum of that wait for a client that is still sending a body that the gateway discards.
	MaxLinger = 5 * time.Second
)

// Conn is one downstream connection. The gateway sets its exported fields, and calls Conns.Requeue after changes that
// may affect eviction. All times are those of loop.Clock.
type Conn struct {
	ID loop.Conn

	// RequestID is the request in progress, while Busy. It is 0 if the gateway itself generates the response, and once
	// the response of the endpoint is being written.
	RequestID balancer.RequestID
	// Busy reports that a request is in progress or that its response is not yet completely written.
	Busy bool
	// Closing reports that the gateway ends the connection after the current response.
	Closing bool
	// WriteClosed reports that the gateway has ended its sending; data received after that is dropped.
	WriteClosed bool
	// FinalRead reports that the gateway has requested a last read, and closes the connection unless that read finds a
	// request.
	FinalRead bool
	// ReadingPaused reports that reading is paused.
	ReadingPaused bool
	// Upload reports that the body of the request in progress is streamed and has not ended.
	Upload bool
	// DiscardBody reports that the gateway discards received data, which is part of the body of an answered request.
	DiscardBody bool

	// HasRequested reports that a complete request, a health check or a malformed request has been received.
	HasRequested bool
	// Requests is the number of requests passed to the balancer.
	Requests int
	// RequestDeadlineSet reports that the deadline of the request being received is set.
	RequestDeadlineSet bool
	// RequestBytes is the number of bytes received of the request being received.
	RequestBytes int

	// AcceptedAt is when the connection was accepted.
	AcceptedAt time.Duration
	// IdleSince is when the connection became idle: when it was accepted or when its last response was completely
	// written.
	IdleSince time.Duration
	// RequestStart is when the read timeout of the request being received started: at its first byte, or, for the first
	// request, when the connection was accepted.
	RequestStart time.Duration
	// TimerAt is when the gateway next checks the connection's timeouts; 0 if no timer is set.
	TimerAt time.Duration
	// VerifiedAt is when something was last written to the client to see whether its machine answers with a reset, because
	// the end of its sending may be hidden behind unread bytes; 0 before.
	VerifiedAt time.Duration
	// StatusLineSent is how many bytes of the status line of the next response are already written; see StatusLineByte.
	StatusLineSent int
	// Postponed reports that the connection continues with its next request only at the end of the turn.
	Postponed bool
	// OwnAnswers counts the gateway's own answers on the connection in a turn of the loop.
	OwnAnswers OwnAnswers
	// WriteProgress records whether the client takes what was written to it.
	WriteProgress WriteProgress
	// lastReceived is when the last byte was received, or when reading resumed after a pause.
	lastReceived time.Duration

	// The eviction queue that holds the connection, nil if none, and its neighbours in that queue. See Conns.Requeue.
	evictionQueue *evictionQueue
	previous      *Conn
	next          *Conn

	// Unwritten is the size of what was written and may still wait for the kernel, in bytes.
	Unwritten int
	// Memory is the memory that the connection is charged for.
	Memory buffermemory.Account
	// readLimit is the largest number of bytes that the last read could return.
	readLimit int
	// allowance is the memory that the connection may use for received bytes, in bytes.
	allowance int

	arrivals  arrivals
	bodyClock bodyClock // of the body that is being streamed
	reader    http1.Reader
	large     *Incoming // the request being received whose body is too large to buffer
}

// Feed adds bytes received from the client now. They are copied.
func (c *Conn) Feed(now time.Duration, data []byte) {
	c.lastReceived = now
	c.arrivals.add(now, len(data), c.readLimit)
	c.reader.Feed(data)
	if c.Upload {
		c.bodyClock.read(now, len(data), len(data) < c.readLimit, &c.reader)
	}
}

// BeginStream switches to streaming the body of the large request that Next has returned: from now on, the caller reads
// its data as it arrives. length is the length of the body in bytes, or -1 if the client does not state it.
func (c *Conn) BeginStream() (length int64) {
	c.Upload = true
	c.bodyClock.begin(c.LastByteSent())
	return c.reader.BeginStream()
}

// ReadStream returns the data of a streamed body that has arrived since the last call, and whether the body has ended.
// The data is appended to scratch[:0].
func (c *Conn) ReadStream(scratch []byte) (piece []byte, done bool, fault *http1.Fault) {
	_, piece, done, fault = c.reader.ReadStream(scratch)
	return piece, done, fault
}

// IdleFor returns the time since the last byte was received, or since reading resumed after a pause.
func (c *Conn) IdleFor(now time.Duration) time.Duration { return now - c.lastReceived }

// Pending reports whether part of a request has been received.
func (c *Conn) Pending() bool { return c.reader.Pending() }

// PipelineFull reports whether the client has sent more bytes ahead of a response than the connection may hold.
func (c *Conn) PipelineFull() bool { return c.reader.Buffered() > min(MaxPipelined, c.allowance) }

// SentFarAhead reports whether the client has sent more than the gateway reads ahead of a response: the end of its sending
// may be behind unread bytes, and is not visible.
func (c *Conn) SentFarAhead() bool { return c.ReadingPaused && c.Pending() }

// SetAllowance sets the memory that the connection may use for received bytes, in bytes, until the next call.
func (c *Conn) SetAllowance(bytes int) { c.allowance = bytes }

// BeginRead returns the number of bytes that the next read of the connection may return.
func (c *Conn) BeginRead() int {
	c.readLimit = loop.ReadSize
	switch {
	case c.DiscardBody, c.WriteClosed: // the bytes are not kept
	case c.FinalRead: // many connections may be read in one Step
		c.readLimit = buffermemory.MinAllowance
	default:
		c.readLimit = min(c.allowance, loop.ReadSize)
	}
	return c.readLimit
}

// Held returns the memory that the connection uses for received and unwritten bytes, in bytes.
func (c *Conn) Held() int { return c.reader.Held() + c.arrivals.held() + c.Unwritten }

// DiscardReceived gives up what was received of an incomplete request that is answered now. The rest of it is discarded
// as it arrives.
func (c *Conn) DiscardReceived() {
	c.reader.Discard()
	c.large, c.DiscardBody, c.Closing = nil, true, true
}

// AwaitsContinue reports whether the client waits for 100 Continue before it sends the body. It returns true at most
// once for each request.
func (c *Conn) AwaitsContinue() bool { return c.reader.AwaitsContinue() }
