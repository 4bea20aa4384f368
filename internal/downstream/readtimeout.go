package downstream

import (
	"time"

	"thymebend/internal/buffermemory"
)

// How long the gateway waits for an incomplete request. A client that stops in the middle of a request and stays
// connected must receive an error or a close within ErrorDeadline. A slow client must be allowed to take 2 s for the
// head and to send the body at 64 kB a second. These times limit the resources that any client can hold, so they are
// not configurable: a client with a longer timeout for its response has no longer time to send its request.
const (
	// ErrorDeadline is the time within which a client that stops in the middle of a request must receive an error or a
	// close.
	ErrorDeadline = 3 * time.Second
	// RequestReadTimeout is the time that every client has to send a complete request. It starts when the connection is
	// accepted, and for later requests on the connection at their first byte. A new connection must also send its first
	// byte within this time.
	RequestReadTimeout = 2500 * time.Millisecond
	// MinBodyRate is the minimum rate, in bytes a second, at which a client must send a body for which it takes longer
	// than RequestReadTimeout.
	MinBodyRate = 32 << 10
	// BodyReadTimeout is the longest pause of a client within a body, once RequestReadTimeout has elapsed.
	BodyReadTimeout = 500 * time.Millisecond
	// StreamReadTimeout is the longest pause of a client within a body that is streamed to an endpoint. The time during
	// which the gateway pauses reading does not count.
	StreamReadTimeout = 2500 * time.Millisecond
)

// RequestDeadline returns the time by which the request being received must be complete, unless more of it arrives
// before, which may extend the deadline.
func (c *Conn) RequestDeadline() time.Duration {
	plain := c.RequestStart + RequestReadTimeout
	switch {
	case c.Upload:
		return max(plain, c.lastReceived+StreamReadTimeout)
	case c.reader.Head() == nil:
		return plain
	}
	rateDeadline := plain + time.Duration(c.RequestBytes)*time.Second/MinBodyRate
	return max(plain, min(rateDeadline, c.lastReceived+BodyReadTimeout))
}

// Incomplete reports whether the gateway is waiting for the client to send the remainder of a request. It is false
// while the gateway itself causes the delay, because reading is paused or because received data is not yet forwarded to
// an endpoint.
func (c *Conn) Incomplete() bool {
	if c.Upload {
		return !c.ReadingPaused && !c.reader.Complete()
	}
	return !c.Busy && !c.WriteClosed && c.Pending()
}

// HoldsIncomplete reports whether the connection uses more memory for an incomplete request than each may.
func (c *Conn) HoldsIncomplete() bool {
	return !c.Upload && c.Incomplete() && c.Held() > buffermemory.MinAllowance
}

// LastReceived returns when the last byte was received, or when reading resumed after a pause.
func (c *Conn) LastReceived() time.Duration { return c.lastReceived }

// ResumeReading records that the gateway reads the connection again. The pause does not count as a pause of the client,
// which could not send meanwhile.
func (c *Conn) ResumeReading(now time.Duration) {
	c.ReadingPaused = false
	c.lastReceived = now
}
