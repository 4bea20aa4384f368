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

// Timeouts of a watch. The gateway counts as notified of a change 6 s after discovery had the change and was
// reachable. Three steps must therefore fit into 6 s: to detect that a watch is silent, to wait in vain for an
// answer to the next watch, and to get an answer to the one after that.
const (
	// ConnectTimeout limits how long the connection may take to be established. It allows for one retransmission
	// by the kernel.
	ConnectTimeout = 1200 * time.Millisecond
	// AnswerTimeout limits the time from writing the request to receiving the first line.
	AnswerTimeout = 3100 * time.Millisecond
	// HeartbeatTimeout limits the time between two lines of an answered watch. Discovery sends a heartbeat every 2 s.
	HeartbeatTimeout = 2400 * time.Millisecond
	// AbandonTimeout is how long, after AnswerTimeout has passed, an unanswered watch stays open to keep its position
	// in discovery's queue.
	AbandonTimeout = 30 * time.Second
)

// minUpdateRate is the lowest rate, in bytes per second, at which a long object may arrive: each received byte
// extends the deadline of the watch by the time that the byte takes at this rate.
const minUpdateRate = 64 << 10

// maxRetryAfter limits the Retry-After of a rejected watch: the gateway counts as notified of a change 6 s after
// discovery was reachable, whatever Retry-After it requested, and discovery may recover at once.
const maxRetryAfter = 5 * time.Second

// maxPending limits the received bytes of an incomplete object: enough for thousands of endpoints.
const maxPending = 4 << 20

// Watch is one streaming request to discovery for the changes of the list, together with its answer.
type Watch struct {
	Conn         loop.Conn
	Addr         netip.AddrPort
	reader       http1.Reader
	scratch      []byte        // memory for decoded bytes, used by Feed
	pending      []byte        // received bytes of the incomplete object
	scanned      int           // bytes of pending that scan has processed
	depth        int           // brackets open after the scanned bytes; 0 between two objects
	inString     bool          // the scanned bytes end within a string
	escaped      bool          // the scanned bytes end with a backslash within a string
	blankLine    bool          // the scanned part of the current line is blank
	connected    bool          // the connection is established
	sinceVersion uint64        // the version from which the watch requests changes
	started      bool          // the first line has been received
	lastProgress time.Duration // time of the last complete line; before the first line, of the request or of NewWatch
	partialBytes int           // bytes received since lastProgress
}

// NewWatch returns a watch of discovery at addr, on a connection that is being opened.
func NewWatch(conn loop.Conn, addr netip.AddrPort, now time.Duration) *Watch {
	reader := http1.Reader{Response: true, Stream: true}
	return &Watch{Conn: conn, Addr: addr, lastProgress: now, blankLine: true, reader: reader}
}

// Request returns the HTTP request for the changes since the version in force, and marks the watch as connected. It
// is called once the watch's connection is established.
func (eps *Endpoints) Request(w *Watch, now time.Duration) []byte {
	w.connected, w.sinceVersion, w.lastProgress = true, eps.version, now
	return http1.AppendRequest(nil, "GET", "/v1/servers?stream=1&index="+strconv.FormatUint(eps.version, 10),
		[]http1.Field{{Name: "Host", Value: w.Addr.String()}}, nil)
}

// Feed processes received bytes and returns the objects that they complete. An object takes one line or, if it is
// indented, several. An empty element of lines is a heartbeat; a heartbeat within an object shows that the object was
// cut off. ended reports that the answer has ended, which never happens while discovery works. With an error, lines
// holds the objects completed before the fault.
func (w *Watch) Feed(now time.Duration, data []byte) (lines [][]byte, ended bool, err error) {
	w.partialBytes += len(data)
	defer func() {
		if len(lines) > 0 {
			w.lastProgress, w.partialBytes = now, len(w.pending)
		}
	}()
	w.reader.Feed(data)
	head, piece, done, fault := w.reader.ReadStream(w.scratch)
	w.scratch = piece
	if fault != nil {
		err = fault // the lines received before the fault are still processed
	}
	if head != nil && head.Status != 200 {
		return nil, false, &StatusError{Status: head.Status, RetryAfter: retryAfter(head)}
	}
	w.pending = append(w.pending, piece...)
	for w.scanned < len(w.pending) {
		end, scanErr := w.scan(w.pending[w.scanned])
		if scanErr != nil {
			err = scanErr
			break
		}
		w.scanned++
		if end {
			lines = append(lines, bytes.TrimSpace(w.pending[:w.scanned]))
			w.pending, w.scanned = w.pending[w.scanned:], 0
		}
	}
	if err == nil && len(w.pending) > maxPending {
		err = fmt.Errorf("discovery sent %d bytes of an object without its end, limit %d", len(w.pending), maxPending)
	}
	w.started = w.started || len(lines) > 0
	return lines, done, err
}

// Started reports whether discovery has begun to answer: the first line has been received.
func (w *Watch) Started() bool { return w.started }

// Connected reports whether the watch's connection is established.
func (w *Watch) Connected() bool { return w.connected }

// Deadline returns the time at which the watch counts as silent. The bytes of an incomplete line extend it only by the
// time that they take at minUpdateRate, because the gateway counts as notified of a change even if the change has not
// arrived completely.
func (w *Watch) Deadline() time.Duration {
	return w.lastProgress + w.timeout() + time.Duration(w.partialBytes)*time.Second/minUpdateRate
}

// timeout returns how long the next complete line may take.
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
