package downstream

import (
	"time"

	"thymebend/internal/loop"
)

// A request's time starts when its client has written its last byte. What is read late was written
// earlier: behind a request in work, or while the connection was not read.

// markInterval is how far apart two marks of a connection are at least: what comes in between counts as
// written with the first.
const markInterval = 5 * time.Millisecond

// maxMarks bounds the marks of a connection; past it neighbours become one, with the time of the earlier.
const maxMarks = 256

// maxUnread is how many bytes may have waited in the system's buffer while the connection was not read.
const maxUnread = 256 << 10

// mark notes that a connection's bytes up to an offset were written no earlier than a time.
type mark struct {
	offset int64
	at     time.Duration
}

// arrivals keeps when the bytes of a connection may have been written, at the earliest.
type arrivals struct {
	bytesFed int64 // bytes so far
	marks    []mark
	backlog  backlog
}

// backlog is a time in which bytes waited in the system's buffer, since reading last stopped with more
// to come.
type backlog struct {
	active        bool
	since         time.Duration // the bytes read now were written after it
	nextSince     time.Duration // takes its place after maxUnread bytes
	bytes         int           // read since nextSince
	lastShortRead time.Duration // when a read last did not fill its buffer: most likely all was taken; 0 if none did
}

// pause notes that the connection is read no further though more waits.
func (a *arrivals) pause(now time.Duration) {
	if !a.backlog.pending(now) {
		a.backlog = backlog{active: true, since: now, nextSince: now}
	}
}

// add notes bytes that were read now. A read that did not fill its buffer has taken all that there was,
// unless another follows at once: system calls may bring less than there is.
func (a *arrivals) add(now time.Duration, n int) {
	at := now
	if !a.backlog.pending(now) {
		a.backlog = backlog{}
	}
	if a.backlog.active {
		at = a.backlog.since
		a.backlog.consume(now, n)
	}
	a.bytesFed += int64(n)
	if last := len(a.marks) - 1; last >= 0 && at-a.marks[last].at < markInterval {
		a.marks[last].offset = a.bytesFed
		return
	}
	a.marks = append(a.marks, mark{a.bytesFed, at})
	if len(a.marks) > maxMarks {
		a.mergeMarks()
	}
}

// mergeMarks makes one mark of each two.
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

// pending reports whether bytes may still be waiting that were there when reading stopped.
func (u *backlog) pending(now time.Duration) bool {
	return u.active && (u.lastShortRead == 0 || now-u.lastShortRead < markInterval)
}

// consume notes bytes of those that waited.
func (u *backlog) consume(now time.Duration, n int) {
	u.lastShortRead = 0
	if n < loop.ReadSize {
		u.lastShortRead = now
	}
	if u.bytes += n; u.bytes >= maxUnread {
		u.since, u.nextSince, u.bytes = u.nextSince, now, 0
	}
}

// sentAt is when the last byte before an offset was written, at the earliest. What lies before it is
// forgotten.
func (a *arrivals) sentAt(offset int64) time.Duration {
	for len(a.marks) > 1 && a.marks[0].offset < offset {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return 0
	}
	return a.marks[0].at
}

// LastByteSent is when the last byte of what was taken from the connection so far was written, at the
// earliest.
func (c *Conn) LastByteSent() time.Duration {
	return c.arrivals.sentAt(c.arrivals.bytesFed - int64(c.reader.Buffered()))
}

// TimeLeft is what a client has left of its client timeout. While a body is coming its time has not
// begun, unless the rest may lie unread.
func (c *Conn) TimeLeft(now, clientTimeout time.Duration) time.Duration {
	switch {
	case c.Upload && c.reader.Complete():
		return c.arrivals.sentAt(c.arrivals.bytesFed) + clientTimeout - now
	case c.Upload && c.arrivals.backlog.pending(now):
		return c.arrivals.backlog.since + clientTimeout - now
	case c.Upload:
		return clientTimeout
	}
	return c.LastByteSent() + clientTimeout - now
}

// PauseReading notes that the connection is read no further.
func (c *Conn) PauseReading(now time.Duration) {
	c.Muted = true
	c.arrivals.pause(now)
}
