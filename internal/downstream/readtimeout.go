package downstream

import "time"

// How long an incomplete request is waited for. A client that stops in the middle of one and stays connected is
// owed an error or a close within ErrorDeadline; one that is merely slow may take 2 s for the head and send its
// body at 64 kB a second. These times bound the resources of any client, so no setting changes them: a client that
// waits longer for its answer may not take longer to send its request.
const (
	// ErrorDeadline is how soon a client that stops in the middle of a request is owed an error or a close.
	ErrorDeadline = 3 * time.Second
	// RequestReadTimeout is the time that every client has to send a complete request: from the accept, or from the
	// first byte of a later request on its connection. A new connection also has it to send its first byte.
	RequestReadTimeout = 2500 * time.Millisecond
	// MinBodyRate is the lowest rate at which a client may send a body, in bytes a second, where that takes longer
	// than RequestReadTimeout.
	MinBodyRate = 32 << 10
	// BodyReadTimeout is how long a client may pause within a body after RequestReadTimeout.
	BodyReadTimeout = 500 * time.Millisecond
	// StreamReadTimeout is how long a client may pause within a body that is streamed to an endpoint, while the
	// connection is read.
	StreamReadTimeout = 2500 * time.Millisecond
)

// RequestDeadline returns the time by which the request being received must be complete, or more of it must have
// arrived.
func (c *Conn) RequestDeadline() time.Duration {
	plain := c.RequestBegan + RequestReadTimeout
	switch {
	case c.Upload:
		return max(plain, c.lastReceived+StreamReadTimeout)
	case !c.reader.HeadRead():
		return plain
	}
	rateDeadline := plain + time.Duration(c.RequestBytes)*time.Second/MinBodyRate
	return max(plain, min(rateDeadline, c.lastReceived+BodyReadTimeout))
}

// Incomplete reports whether the gateway waits for the client: part of its request has been received and the rest
// not. Data received but not yet forwarded to an endpoint is not waited for.
func (c *Conn) Incomplete() bool {
	if c.Upload {
		return !c.Muted && !c.reader.Complete()
	}
	return !c.Busy && !c.Ended && c.Pending()
}

// LastReceived returns when the last byte was received, or when reading resumed after a pause.
func (c *Conn) LastReceived() time.Duration { return c.lastReceived }

// ResumeReading records that the connection is read again. The pause does not count as silence of the client, which
// could not send meanwhile.
func (c *Conn) ResumeReading(now time.Duration) {
	c.Muted = false
	c.lastReceived = now
}
