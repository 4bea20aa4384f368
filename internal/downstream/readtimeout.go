package downstream

import "time"

// How long a request that has not come whole is waited for. A client that stops in the middle of one
// and stays is owed an error or a close within ErrorDeadline; one that is merely slow may take 2 s for
// the head and send its body at 64 kB a second. These times bound what any client may hold, so they
// follow from no setting: a client that waits longer for its answer may not take longer to ask.
const (
	// ErrorDeadline is how soon a client that stops in the middle of a request is owed an error or a close.
	ErrorDeadline = 3 * time.Second
	// RequestReadTimeout is what every request has to come whole, and a new connection to bring its
	// first byte: from the accept, or from the first byte of a later request on its connection.
	RequestReadTimeout = 2500 * time.Millisecond
	// MinBodyRate is the least that a client sends of a body, in bytes a second, where that takes
	// longer than RequestReadTimeout.
	MinBodyRate = 32 << 10
	// BodyReadTimeout is how long the body of a request may stand still past RequestReadTimeout.
	BodyReadTimeout = 500 * time.Millisecond
	// StreamReadTimeout is how long a body that is streamed to an endpoint may stand still while it is
	// read.
	StreamReadTimeout = 2500 * time.Millisecond
)

// RequestDeadline is the time by which the request that is coming must be whole, or go on, for what has
// come of it so far.
func (c *Conn) RequestDeadline() time.Duration {
	plain := c.RequestBegan + RequestReadTimeout
	switch {
	case c.Upload:
		return max(plain, c.lastReceived+StreamReadTimeout)
	case !c.reader.HeadRead():
		return plain
	}
	byRate := plain + time.Duration(c.RequestBytes)*time.Second/MinBodyRate
	return max(plain, min(byRate, c.lastReceived+BodyReadTimeout))
}

// Incomplete reports whether the client is waited for: a part of its request has come, and the rest has
// not been sent here. What has come but is not yet passed on to an endpoint is not the client's to
// send.
func (c *Conn) Incomplete() bool {
	if c.Upload {
		return !c.Muted && !c.reader.Complete()
	}
	return !c.Busy && !c.Ended && c.Pending()
}

// LastReceived is when the last byte came.
func (c *Conn) LastReceived() time.Duration { return c.lastReceived }

// ResumeReading notes that the connection is read again: what the client could not send meanwhile is
// not its silence.
func (c *Conn) ResumeReading(now time.Duration) {
	c.Muted = false
	c.lastReceived = now
}
