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
// that falls silent, the next one if it is never answered, and the one after that must all fit into that time.
const (
	// ConnectTimeout is how long the connection may take to be established: it allows for one retransmission of
	// the kernel's.
	ConnectTimeout = 1200 * time.Millisecond
	// AnswerTimeout is how long the first line may take after the request was written.
	AnswerTimeout = 3100 * time.Millisecond
	// HeartbeatTimeout is how long a watch that was answered may receive no line. Heartbeats come every 2 s.
	HeartbeatTimeout = 2400 * time.Millisecond
	// AbandonTimeout is how long an unanswered watch keeps its place in discovery's queue, from AnswerTimeout on.
	AbandonTimeout = 30 * time.Second
)

// minUpdateRate is the lowest rate, in bytes a second, at which a long object of the list may arrive: the deadline
// of the watch moves with the bytes received at this rate.
const minUpdateRate = 64 << 10

// maxRetryAfter bounds the Retry-After of a rejection: a change counts as notified 6 s after discovery could be
// reached, whatever it has asked for, and discovery may recover at once.
const maxRetryAfter = 5 * time.Second

// maxPending bounds an unfinished object of the watch, in bytes: enough for thousands of endpoints.
const maxPending = 4 << 20

// Watch is one request to discovery for the changes of the list, with the answer that streams them.
type Watch struct {
	Conn         loop.Conn
	Addr         netip.AddrPort
	reader       http1.Reader
	pending      []byte        // received bytes of an object that is not complete
	scanned      int           // bytes of pending that scan has processed
	depth        int           // brackets open after them; 0 between two objects
	inString     bool          // they end within a string
	escaped      bool          // they end with a backslash in a string
	blankLine    bool          // the current line is blank so far
	connected    bool          // its connection is established
	sinceVersion uint64        // the version since which it asks for changes
	started      bool          // its first line has been received
	lastProgress time.Duration // time of its last whole line; before the first, of its request or its start
	partialBytes int           // bytes received since then
}

// NewWatch prepares a watch of discovery at an address, on a connection that is being opened.
func NewWatch(conn loop.Conn, at netip.AddrPort, now time.Duration) *Watch {
	reader := http1.Reader{Response: true, Stream: true}
	return &Watch{Conn: conn, Addr: at, lastProgress: now, blankLine: true, reader: reader}
}

// Request returns the watch's request for the changes since the version in force, once its connection is
// established.
func (eps *Endpoints) Request(w *Watch, now time.Duration) []byte {
	w.connected, w.sinceVersion, w.lastProgress = true, eps.version, now
	return http1.AppendRequest(nil, "GET", "/v1/servers?stream=1&index="+strconv.FormatUint(eps.version, 10),
		[]http1.Field{{Name: "Host", Value: w.Addr.String()}}, nil)
}

// Feed takes received bytes and returns the complete objects, each of one line or, where it is indented, of
// several. An empty line is a heartbeat; within an object it shows that the object was cut off. ended reports that
// the answer is over, which never happens while discovery works. Beside an error, lines holds those complete before
// the fault.
func (w *Watch) Feed(now time.Duration, data []byte) (lines [][]byte, ended bool, err error) {
	w.partialBytes += len(data)
	defer func() {
		if len(lines) > 0 {
			w.lastProgress, w.partialBytes = now, len(w.pending)
		}
	}()
	w.reader.Feed(data)
	head, piece, done, fault := w.reader.ReadStream()
	if fault != nil {
		err = fault // the lines before the fault are complete all the same
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

// Connected reports whether the connection is established.
func (w *Watch) Connected() bool { return w.connected }

// Deadline returns the time at which the watch counts as silent. Part of a line extends it only by the time that
// its bytes take at minUpdateRate: a change counts as notified whether or not it has arrived.
func (w *Watch) Deadline() time.Duration {
	return w.lastProgress + w.timeout() + time.Duration(w.partialBytes)*time.Second/minUpdateRate
}

// timeout returns how long the next whole line may take.
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
