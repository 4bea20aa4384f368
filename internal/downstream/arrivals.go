package downstream

import (
	"time"
)

// The client timeout of a request starts when its client has sent the last byte of the request. The gateway may read
// bytes long after they were sent, because they followed another request or because reading was paused. This file
// therefore estimates when bytes were sent. Each estimate is the earliest possible time.

// markInterval is the minimum distance in time between two marks of a connection: bytes received less than this after
// a mark are added to that mark.
const markInterval = 5 * time.Millisecond

// maxMarks is the maximum number of marks of a connection. Beyond it, each two neighbouring marks are merged and keep
// the earlier time.
const maxMarks = 256

// maxUnread is an upper bound of the bytes that a client has written and that the gateway has not yet read.
const maxUnread = clientSendBuffer + 256<<10

// mark records that the bytes of a connection from the end of the previous mark up to offset were sent no earlier than
// at.
type mark struct {
	offset int64
	at     time.Duration
}

// arrivals records the earliest time at which each byte of a connection may have been sent.
type arrivals struct {
	bytesReceived int64 // bytes read from the connection since it was accepted
	marks         []mark
	backlog       backlog
}

// backlog records that bytes may be waiting in the kernel's receive buffer because reading was paused.
type backlog struct {
	active         bool
	since          time.Duration // the bytes read next were sent after this time
	nextSince      time.Duration // replaces since once maxUnread bytes have been read
	bytesSinceNext int           // bytes read since nextSince was set
	// lastShortRead is when a read last did not fill its buffer, after which most likely no byte is waiting; 0 if the
	// last read filled its buffer.
	lastShortRead time.Duration
}

// pause records that reading stops for now although bytes may be waiting in the receive buffer.
func (a *arrivals) pause(now time.Duration) {
	if !a.backlog.pending(now) {
		a.backlog = backlog{active: true, since: now, nextSince: now}
	}
	a.backlog.lastShortRead = 0 // the read that may follow within markInterval comes only after the pause
}

// markSize is the memory of a mark, in bytes.
const markSize = 16

// held returns the memory of the marks, in bytes.
func (a *arrivals) held() int { return markSize * cap(a.marks) }

// add records that n bytes were read now, of at most limit. A read that did not fill its buffer is taken to have emptied
// the kernel's buffer, unless another read follows within markInterval: a system call may return less than is available.
func (a *arrivals) add(now time.Duration, n, limit int) {
	at := now
	if !a.backlog.pending(now) {
		a.backlog = backlog{}
	}
	if a.backlog.active {
		at = a.backlog.since
		a.backlog.consume(now, n, limit)
	}
	a.bytesReceived += int64(n)
	if last := len(a.marks) - 1; last >= 0 && at-a.marks[last].at < markInterval {
		a.marks[last].offset = a.bytesReceived
		return
	}
	a.marks = append(a.marks, mark{a.bytesReceived, at})
	if len(a.marks) > maxMarks {
		a.mergeMarks()
	}
}

// mergeMarks merges each two neighbouring marks into one with the time of the earlier.
func (a *arrivals) mergeMarks() {
	kept := a.marks[:0]
	for i := 0; i+1 < len(a.marks); i += 2 {
		kept = append(kept, mark{a.marks[i+1].offset, a.marks[i].at})
	}
	if len(a.marks)%2 == 1 {
		kept = append(kept, a.marks[len(a.marks)-1])
	}
	a.marks = kept
}

// pending reports whether bytes that arrived while reading was paused may still be unread.
func (b *backlog) pending(now time.Duration) bool {
	return b.active && (b.lastShortRead == 0 || now-b.lastShortRead < markInterval)
}

// consume records that n of the unread bytes were read now, in a read of at most limit bytes.
func (b *backlog) consume(now time.Duration, n, limit int) {
	b.lastShortRead = 0
	if n < limit {
		b.lastShortRead = now
	}
	if b.bytesSinceNext += n; b.bytesSinceNext >= maxUnread {
		b.since, b.nextSince, b.bytesSinceNext = b.nextSince, now, 0
	}
}

// sentAt returns the earliest time at which the last byte before offset may have been sent, or 0 if nothing was
// received. It drops the marks that end before offset: offsets must not decrease from call to call.
func (a *arrivals) sentAt(offset int64) time.Duration {
	for len(a.marks) > 1 && a.marks[0].offset < offset {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return 0
	}
	return a.marks[0].at
}

// LastByteSent returns the earliest time at which the client may have sent the last byte decoded, which after Next is
// the last byte of the request returned.
func (c *Conn) LastByteSent() time.Duration {
	return c.arrivals.sentAt(c.arrivals.bytesReceived - int64(c.reader.Buffered()))
}

// RemainingTimeout returns the remaining time of the request's client timeout. The timeout does not start before the
// whole body has been received, unless the remainder of the body may already be waiting in the kernel's buffers because
// reading was paused: it then starts at the earliest time at which that remainder may have been sent.
func (c *Conn) RemainingTimeout(now, clientTimeout time.Duration) time.Duration {
	if !c.Upload {
		return c.LastByteSent() + clientTimeout - now
	}
	remaining := clientTimeout
	if deadline, begun := c.UploadDeadline(clientTimeout); begun {
		remaining = min(remaining, deadline-now)
	}
	if !c.reader.Complete() && c.arrivals.backlog.pending(now) {
		remaining = min(remaining, c.arrivals.backlog.since+clientTimeout-now)
	}
	return remaining
}

// PauseReading records that the gateway stops reading the connection until ResumeReading.
func (c *Conn) PauseReading(now time.Duration) {
	c.ReadingPaused = true
	c.arrivals.pause(now)
}

// ObserveWait records that the client's bytes may have waited while the connection was not yet accepted: the last of the
// unread bytes arrived at the given time.
func (c *Conn) ObserveWait(now, arrivedAt time.Duration, unread int) {
	if unread <= 0 || c.arrivals.bytesReceived > 0 {
		return
	}
	c.arrivals.backlog = backlog{active: true, since: min(arrivedAt, now), nextSince: now}
}
