package downstream

import "time"

// How long the gateway waits for a client to take what was written to it. The kernel reports a connection as writable
// again only once about a third of its send buffer is free, which for a client that reads at 64 kB a second can take
// 20 s. The time without progress is therefore measured at the kernel's send queue.
const (
	// ResponseWriteTimeout is how long a client may take nothing of what was written to it.
	ResponseWriteTimeout = 10 * time.Second
	// WriteCheckInterval is the time between two looks at the send queue of a connection that is being written to.
	WriteCheckInterval = ResponseWriteTimeout / 4
)

// WriteProgress records whether a peer takes what was written to it.
type WriteProgress struct {
	since       time.Duration // when the peer last took something, or when the write began
	undelivered int           // size of the send queue when it was last looked at, in bytes
	observed    bool          // undelivered is known
}

// Begin records that a write begins now.
func (p *WriteProgress) Begin(now time.Duration) { *p = WriteProgress{since: now} }

// Observe records that the send queue now has the given size in bytes. A negative size is unknown and shows no progress.
func (p *WriteProgress) Observe(now time.Duration, undelivered int) {
	if undelivered < 0 {
		return
	}
	if p.observed && undelivered < p.undelivered {
		p.since = now
	}
	p.undelivered, p.observed = undelivered, true
}

// Stalled reports whether the peer has taken nothing for the given time.
func (p *WriteProgress) Stalled(now, limit time.Duration) bool { return now-p.since >= limit }
