package downstream

import "time"

// How long a request that has not come whole is waited for. A client that stops in the middle of one and stays is owed an
// error or a close within OwedWithin; one that is merely slow may take 2 s for the head and send its body at 64 kB a second.
// These times bound what any client may hold, so they follow from no setting: a client that waits longer for its answer may
// not take longer to ask.
const (
	// OwedWithin is how soon a client that stops in the middle of a request is owed an error or a close.
	OwedWithin = 3 * time.Second
	// WholeWithin is what every request has to come whole, and a new connection to bring its first byte: from the accept, or
	// from the first byte of a later request on its connection.
	WholeWithin = 2500 * time.Millisecond
	// LeastRate is the least that a client sends of a body, in bytes a second, where that takes longer than WholeWithin.
	LeastRate = 32 << 10
	// BodyPause is how long the body of a request may stand still past WholeWithin.
	BodyPause = 500 * time.Millisecond
	// StreamPause is how long a body that is streamed to a host may stand still while it is read.
	StreamPause = 2500 * time.Millisecond
)

// Until is the time by which the request that is coming must be whole, or go on, for what has come of it so far.
func (l *Link) Until() time.Duration {
	plain := l.Began + WholeWithin
	switch {
	case l.Upload:
		return max(plain, l.heard+StreamPause)
	case !l.reader.HeadRead():
		return plain
	}
	byRate := plain + time.Duration(l.Came)*time.Second/LeastRate
	return max(plain, min(byRate, l.heard+BodyPause))
}

// Incomplete reports whether the client is waited for: a part of its request has come, and the rest has not been sent here.
// What has come but is not yet passed on to a host is not the client's to send.
func (l *Link) Incomplete() bool {
	if l.Upload {
		return !l.Muted && !l.reader.Complete()
	}
	return !l.Busy && !l.Ended && l.Pending()
}

// Heard is when the last byte came.
func (l *Link) Heard() time.Duration { return l.heard }

// Resume notes that the connection is read again: what the client could not send meanwhile is not its silence.
func (l *Link) Resume(now time.Duration) {
	l.Muted = false
	l.heard = now
}
