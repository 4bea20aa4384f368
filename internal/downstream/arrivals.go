package downstream

import (
	"time"

	"thymebend/internal/loop"
)

// A request's time starts when its client has written its last byte. What is read late was written earlier: behind a request in
// work, or while the connection was not read.

// markEvery is how far apart two marks of a connection are at least: what comes in between counts as written with the first.
const markEvery = 5 * time.Millisecond

// mostMarks bounds the marks of a connection; past it neighbours become one, with the time of the earlier.
const mostMarks = 256

// mostUnread is how many bytes may have waited in the system's buffer while the connection was not read.
const mostUnread = 256 << 10

// mark notes that a connection's bytes up to an offset were written no earlier than a time.
type mark struct {
	offset int64
	at     time.Duration
}

// arrivals keeps when the bytes of a connection may have been written, at the earliest.
type arrivals struct {
	fed    int64 // bytes so far
	marks  []mark
	unread unread
}

// unread is a time in which bytes waited in the system's buffer, since reading last stopped with more to come.
type unread struct {
	active      bool
	since, next time.Duration // the bytes read now were written after since; next takes its place after mostUnread bytes
	bytes       int           // read since next
	short       time.Duration // of the last read that did not fill its buffer: most likely all was taken; 0 if none
}

// stop notes that the connection is read no further though more waits.
func (a *arrivals) stop(now time.Duration) {
	if !a.unread.lasts(now) {
		a.unread = unread{active: true, since: now, next: now}
	}
}

// add notes bytes that were read now. A read that did not fill its buffer has taken all that there was, unless another follows at
// once: system calls may bring less than there is.
func (a *arrivals) add(now time.Duration, n int) {
	at := now
	if !a.unread.lasts(now) {
		a.unread = unread{}
	}
	if a.unread.active {
		at = a.unread.since
		a.unread.take(now, n)
	}
	a.fed += int64(n)
	if last := len(a.marks) - 1; last >= 0 && at-a.marks[last].at < markEvery {
		a.marks[last].offset = a.fed
		return
	}
	a.marks = append(a.marks, mark{a.fed, at})
	if len(a.marks) > mostMarks {
		a.join()
	}
}

// join makes one mark of each two.
func (a *arrivals) join() {
	kept := a.marks[:0]
	for i := 0; i+1 < len(a.marks); i += 2 {
		kept = append(kept, mark{a.marks[i+1].offset, a.marks[i].at})
	}
	if len(a.marks)%2 == 1 {
		kept = append(kept, a.marks[len(a.marks)-1])
	}
	a.marks = kept
}

// lasts reports whether bytes may still be waiting that were there when reading stopped.
func (u *unread) lasts(now time.Duration) bool {
	return u.active && (u.short == 0 || now-u.short < markEvery)
}

// take notes bytes of those that waited.
func (u *unread) take(now time.Duration, n int) {
	u.short = 0
	if n < loop.ReadSize {
		u.short = now
	}
	if u.bytes += n; u.bytes >= mostUnread {
		u.since, u.next, u.bytes = u.next, now, 0
	}
}

// writtenAt is when the last byte before an offset was written, at the earliest. What lies before it is forgotten.
func (a *arrivals) writtenAt(offset int64) time.Duration {
	for len(a.marks) > 1 && a.marks[0].offset < offset {
		a.marks = a.marks[1:]
	}
	if len(a.marks) == 0 {
		return 0
	}
	return a.marks[0].at
}

// LastByteSent is when the last byte of what was taken from the connection so far was written, at the earliest.
func (l *Conn) LastByteSent() time.Duration {
	return l.arrivals.writtenAt(l.arrivals.fed - int64(l.reader.Buffered()))
}

// TimeLeft is what a client has left of its patience. While a body is coming its time has not begun, unless the rest may lie unread.
func (l *Conn) TimeLeft(now, patience time.Duration) time.Duration {
	switch {
	case l.Upload && l.reader.Complete():
		return l.arrivals.writtenAt(l.arrivals.fed) + patience - now
	case l.Upload && l.arrivals.unread.lasts(now):
		return l.arrivals.unread.since + patience - now
	case l.Upload:
		return patience
	}
	return l.LastByteSent() + patience - now
}

// PauseReading notes that the connection is read no further.
func (l *Conn) PauseReading(now time.Duration) {
	l.Muted = true
	l.arrivals.stop(now)
}
