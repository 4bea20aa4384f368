package downstream

import (
	"time"

	"thymebend/internal/loop"
)

// A request's client timeout runs from the time when its client sent its last byte. Bytes that are read late were
// sent earlier: behind a request in work, or while the connection was not read. All times of sending here are the
// earliest possible ones.

// markInterval is the least distance between two marks of a connection: bytes received in between count as sent
// with the first.
const markInterval = 5 * time.Millisecond

// maxMarks bounds the marks of a connection; past it, neighbours are merged, with the time of the earlier.
const maxMarks = 256

// maxUnread is how many bytes may wait in the kernel's receive buffer while the connection is not read.
const maxUnread = 256 << 10

// mark records that a connection's bytes up to an offset were sent no earlier than a time.
type mark struct {
	offset int64
	at     time.Duration
}

// arrivals records when the bytes of a connection were sent, at the earliest.
type arrivals struct {
	bytesReceived int64 // bytes read so far
	marks    []mark
	backlog  backlog
}

// backlog records that bytes wait in the kernel's receive buffer, since reading was last paused with more to read.
type backlog struct {
	active        bool
	since         time.Duration // the bytes read now were sent after it
	nextSince     time.Duration // replaces since after maxUnread bytes
	bytesSinceNext         int           // bytes read since nextSince
	lastShortRead time.Duration // when a read last did not fill its buffer: most likely nothing is left; 0 if none did
}

// pause records that the connection is not read for now though more may wait.
func (a *arrivals) pause(now time.Duration) {
	if !a.backlog.pending(now) {
		a.backlog = backlog{active: true, since: now, nextSince: now}
	}
}

// add records bytes that were read now. A read that did not fill its buffer has emptied the kernel's, unless
// another follows at once: system calls may return less than there is.
func (a *arrivals) add(now time.Duration, n int) {
	at := now
	if !a.backlog.pending(now) {
		a.backlog = backlog{}
	}
	if a.backlog.active {
		at = a.backlog.since
		a.backlog.consume(now, n)
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

// mergeMarks merges each two neighbouring marks.
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

// pending reports whether bytes that arrived while reading was paused may still wait.
func (b *backlog) pending(now time.Duration) bool {
	return b.active && (b.lastShortRead == 0 || now-b.lastShortRead < markInterval)
}

// consume records that n of the waiting bytes were read.
func (b *backlog) consume(now time.Duration, n int) {
	b.lastShortRead = 0
	if n < loop.ReadSize {
		b.lastShortRead = now
	}
	if b.bytesSinceNext += n; b.bytesSinceNext >= maxUnread {
		b.since, b.nextSince, b.bytesSinceNext = b.nextSince, now, 0
	}
}

// sentAt returns when the last byte before an offset was sent, at the earliest. Earlier marks are dropped.
func (a *arrivals) sentAt(offset int64) time.Duration {
	for len(a.marks) > 1 && a.marks[0].offset < offset {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return 0
	}
	return a.marks[0].at
}

// LastByteSent returns when the last byte that the reader has consumed was sent, at the earliest.
func (c *Conn) LastByteSent() time.Duration {
	return c.arrivals.sentAt(c.arrivals.bytesReceived - int64(c.reader.Buffered()))
}

// TimeLeft returns what is left of a request's client timeout. While a body is being received the timeout has not
// begun, unless the rest may already wait in the kernel's buffer.
func (c *Conn) TimeLeft(now, clientTimeout time.Duration) time.Duration {
	switch {
	case c.Upload && c.reader.Complete():
		return c.arrivals.sentAt(c.arrivals.bytesReceived) + clientTimeout - now
	case c.Upload && c.arrivals.backlog.pending(now):
		return c.arrivals.backlog.since + clientTimeout - now
	case c.Upload:
		return clientTimeout
	}
	return c.LastByteSent() + clientTimeout - now
}

// PauseReading records that the connection is not read for now.
func (c *Conn) PauseReading(now time.Duration) {
	c.Muted = true
	c.arrivals.pause(now)
}
