package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// How long discovery may be silent. A connection that is not up after a second's resend of the kernel's has met nobody. A call waits in
// turn before its answer begins; from then on a line comes every 2 s. What discovery has to tell counts as told 6 s after
// it could be reached: a watch that falls silent, the call after it that is never answered, and the one after that must
// all fit in; docs/design/discovery-times.md has the sum. A call that is not answered within AnswerWithin may still wait in
// discovery's queue: it keeps its place there until AbandonAfter, and another is made beside it.
const (
	ConnectTimeout   = 1200 * time.Millisecond
	AnswerTimeout    = 3100 * time.Millisecond
	HeartbeatTimeout = 2400 * time.Millisecond
	AbandonTimeout   = 30 * time.Second
)

// listRate is the least at which a long object of the list comes, in bytes a second: so much more time it has.
const listRate = 64 << 10

// mostRetryAfter bounds what a refusal may ask for: a change counts as told 6 s after discovery could be reached, whatever it has asked
// for, and it may be back at once.
const mostRetryAfter = 5 * time.Second

// StatusError is an answer of discovery that is not the list.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // when it asks to be called again; 0 if it does not say
}

// Error implements error.
func (r *StatusError) Error() string { return fmt.Sprintf("discovery answered %d", r.Status) }

// mostPending bounds an unfinished line of the watch: thousands of hosts.
const mostPending = 4 << 20

// Watch is one call for the changes of the list.
type Watch struct {
	Conn    loop.Conn
	Addr    netip.AddrPort
	reader  http1.Reader
	pending []byte
	scanned int  // of these bytes
	depth   int  // of the object that they belong to; 0 between two
	quoted  bool // they are in one of its texts
	escaped bool
	blank   bool          // nothing has come on the line under way
	up      bool          // its connection has come up
	asked   uint64        // the version since which it has asked for changes
	started bool          // its first line has come
	since   time.Duration // of its last whole line, or of what came before its first: the request, the call
	partial int           // bytes that have come since then
}

// NewWatch prepares a watch of discovery at an address, on a connection that is opened now.
func NewWatch(conn loop.Conn, at netip.AddrPort, now time.Duration) *Watch {
	return &Watch{Conn: conn, Addr: at, since: now, blank: true, reader: http1.Reader{Response: true, Stream: true}}
}

// Request is the call for what changed since the list that the group has, once the watch's connection is up.
func (g *Endpoints) Request(w *Watch, now time.Duration) []byte {
	w.up, w.asked, w.since = true, g.seq, now
	return http1.AppendRequest(nil, "GET", "/v1/servers?stream=1&index="+strconv.FormatUint(g.seq, 10),
		[]http1.Field{{Name: "Host", Value: w.Addr.String()}}, nil)
}

// Feed takes what discovery wrote and returns the whole objects, each of one line or, where it is indented, of several. An
// empty line is a beat; within an object it tells that the object was torn. ended tells that the
// answer is over, which a watch's never is while all is well. Beside an error stand the lines that came whole before the fault.
func (w *Watch) Feed(now time.Duration, data []byte) (lines [][]byte, ended bool, err error) {
	w.partial += len(data)
	defer func() {
		if len(lines) > 0 {
			w.since, w.partial = now, len(w.pending)
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
	if err == nil && len(w.pending) > mostPending {
		err = fmt.Errorf("discovery wrote an object of %d bytes so far, %d at most", len(w.pending), mostPending)
	}
	w.started = w.started || len(lines) > 0
	return lines, done, err
}

// scan looks at the next byte and reports whether it ends a beat or an object.
func (w *Watch) scan(b byte) (end bool, err error) {
	switch {
	case b == '\n' && w.quoted:
		return false, errors.New("discovery wrote a text that does not end on its line")
	case b == '\n' && w.depth > 0 && w.blank:
		return false, errors.New("discovery wrote an object that does not end")
	case b == '\n':
		w.blank = true
		return w.depth == 0, nil
	case w.escaped:
		w.escaped = false
	case w.quoted && b == '\\':
		w.escaped = true
	case b == '"':
		w.quoted = !w.quoted
	case w.quoted:
	case b == '{' || b == '[':
		w.depth++
	case b == '}' || b == ']':
		w.depth = max(0, w.depth-1) // one too many is found out where the object is applied
	}
	w.blank = w.blank && (b == ' ' || b == '\t' || b == '\r')
	return false, nil
}

// retryAfter reads the field of that name in seconds. What is no such number, such as a date, says nothing.
func retryAfter(head *http1.Head) time.Duration {
	value, _ := head.Get("Retry-After")
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, mostRetryAfter.Seconds()) * float64(time.Second))
}

// Started reports whether discovery has begun to answer.
func (w *Watch) Started() bool { return w.started }

// Connected reports whether the connection has come up.
func (w *Watch) Connected() bool { return w.up }

// Deadline is the time at which the watch counts as silent. Part of a line puts it off by no more than so many bytes take: what
// discovery has to tell counts as told whether or not it has arrived.
func (w *Watch) Deadline() time.Duration {
	return w.since + w.patience() + time.Duration(w.partial)*time.Second/listRate
}

// patience is how long the next whole line may take.
func (w *Watch) patience() time.Duration {
	switch {
	case w.started:
		return HeartbeatTimeout
	case w.up:
		return AnswerTimeout
	default:
		return ConnectTimeout
	}
}
