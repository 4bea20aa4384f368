package discovery

import (
	"bytes"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// Timeouts of a watch. A change counts as notified 6 s after discovery had it and could be reached, so a watch
// that falls silent, the call after it that is never answered, and the one after that must all fit in.
const (
	// ConnectTimeout is how long the connection may take to come up: one resend of the kernel's is within it.
	ConnectTimeout = 1200 * time.Millisecond
	// AnswerTimeout is how long the first line may take after the request was written.
	AnswerTimeout = 3100 * time.Millisecond
	// HeartbeatTimeout is how long a watch that was answered may bring no line. Heartbeats come every 2 s.
	HeartbeatTimeout = 2400 * time.Millisecond
	// AbandonTimeout is how long an unanswered call keeps its place in discovery's queue, from AnswerTimeout on.
	AbandonTimeout = 30 * time.Second
)

// minUpdateRate is the least at which a long object of the list comes, in bytes a second: so much more
// time it has.
const minUpdateRate = 64 << 10

// maxRetryAfter bounds what a rejection may ask for: a change counts as notified 6 s after discovery
// could be reached, whatever it has asked for, and it may be back at once.
const maxRetryAfter = 5 * time.Second

// maxPending bounds an unfinished line of the watch: thousands of endpoints.
const maxPending = 4 << 20

// Watch is one call for the changes of the list.
type Watch struct {
	Conn         loop.Conn
	Addr         netip.AddrPort
	reader       http1.Reader
	pending      []byte
	scanned      int  // of these bytes
	depth        int  // of the object that they belong to; 0 between two
	inString     bool // they are in one of its texts
	escaped      bool
	blankLine    bool          // nothing has come on the line under way
	connected    bool          // its connection has come up
	sinceVersion uint64        // the version since which it has asked for changes
	started      bool          // its first line has come
	lastProgress time.Duration // of its last whole line, or of what came before its first: the request, the call
	partialBytes int           // bytes that have come since then
}

// NewWatch prepares a watch of discovery at an address, on a connection that is opened now.
func NewWatch(conn loop.Conn, at netip.AddrPort, now time.Duration) *Watch {
	reader := http1.Reader{Response: true, Stream: true}
	return &Watch{Conn: conn, Addr: at, lastProgress: now, blankLine: true, reader: reader}
}

// Request is the call for what changed since the list that the list has, once the watch's connection is
// up.
func (eps *Endpoints) Request(w *Watch, now time.Duration) []byte {
	w.connected, w.sinceVersion, w.lastProgress = true, eps.version, now
	return http1.AppendRequest(nil, "GET", "/v1/servers?stream=1&index="+strconv.FormatUint(eps.version, 10),
		[]http1.Field{{Name: "Host", Value: w.Addr.String()}}, nil)
}

// Feed takes what discovery wrote and returns the whole objects, each of one line or, where it is
// indented, of several. An empty line is a heartbeat; within an object it tells that the object was
// torn. ended tells that the answer is over, which a watch's never is while all is well. Beside an
// error stand the lines that came whole before the fault.
func (w *Watch) Feed(now time.Duration, data []byte) (lines [][]byte, ended bool, err error) {
	w.partialBytes += len(data)
	defer func() {
		if len(lines) > 0 {
			w.lastProgress, w.partialBytes = now, len(w.pending)
		}
	}()
	w.reader.Feed(data)
	head, piece, done, fault := w.reader.Pieces()
	if fault != nil {
		err = fault // what came before it is whole all the same
	}
	if head != nil && head.Status != 200 {
		return nil, false, &StatusError{Status: head.Status, RetryAfter: retryAfter(head)}
	}
	w.pending = append(w.pending, piece...)
	for w.scanned < len(w.pending) {
		end, torn := w.scan(w.pending[w.scanned])
		if torn != nil {
			err = torn
			break
		}
		w.scanned++
		if end {
			lines = append(lines, bytes.TrimSpace(w.pending[:w.scanned]))
			w.pending, w.scanned = w.pending[w.scanned:], 0
		}
	}
	if err == nil && len(w.pending) > maxPending {
		err = fmt.Errorf("discovery wrote an object of %d bytes so far, %d at most", len(w.pending), maxPending)
	}
	w.started = w.started || len(lines) > 0
	return lines, done, err
}

// Started reports whether discovery has begun to answer.
func (w *Watch) Started() bool { return w.started }

// Connected reports whether the connection has come up.
func (w *Watch) Connected() bool { return w.connected }

// Deadline is the time at which the watch counts as silent. Part of a line puts it off by no more than
// so many bytes take: what discovery has to tell counts as notified whether or not it has arrived.
func (w *Watch) Deadline() time.Duration {
	return w.lastProgress + w.timeout() + time.Duration(w.partialBytes)*time.Second/minUpdateRate
}

// timeout is how long the next whole line may take.
func (w *Watch) timeout() time.Duration {
	switch {
	case w.started:
		return HeartbeatTimeout
	case w.connected:
		return AnswerTimeout
	default:
		return ConnectTimeout
	}
}
