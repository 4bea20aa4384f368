package downstream

import (
	"strconv"
	"strings"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// healthPath is where the front asks whether this gateway is ready.
const healthPath = "/healthz"

// Limits of a client link.
const (
	// MostPipelined bounds what a client may send ahead of an answer; past it the link is not read.
	MostPipelined = http1.MaxHead + http1.MaxHeld
	// IdleTimeout closes a link on which nothing was asked for this long.
	IdleTimeout = 90 * time.Second
	// FirstSoon is how soon a client that connects for a request usually sends it.
	FirstSoon = 500 * time.Millisecond
	// SpeaksWithin is the least that a new link has to bring its first byte, however short links run.
	SpeaksWithin = 50 * time.Millisecond
	// SingleUseIdleTimeout is how soon a client that goes on using a link usually does, where it has many.
	SingleUseIdleTimeout = 100 * time.Millisecond
	// RestsFor is how long a link that only asked for health may wait for its first query before it is like others.
	RestsFor = 2 * time.Second
	// GoesOnWithin is how soon the next piece of a request usually comes, from a client that writes slowly.
	GoesOnWithin = 700 * time.Millisecond
	// ResponseWriteTimeout is how long an answer may take to be written out.
	ResponseWriteTimeout = 10 * time.Second
	// LingerTimeout is how long the end of a link waits for the client's own; where the client is still sending a body
	// that is no longer wanted, LingerMost at most.
	LingerTimeout = time.Second
	MaxLinger     = 5 * time.Second
)

// Conn is one client link.
type Conn struct {
	ID           loop.Conn
	Request      balancer.RequestID // the query in work, with Busy
	Busy         bool               // a query is in work or its answer not yet written out
	Closing      bool               // ends after the answer now written
	Ended        bool               // our sending has ended; what still comes is dropped
	Muted        bool
	HasRequested bool          // a whole request has come on it
	Requests     int           // how many queries came on it
	Since        time.Duration // of its accept or its last answer
	Accepted     time.Duration
	Timer        time.Duration // when it is looked at again, or ended; 0 if no timer is set
	RequestTimed bool          // the rest of a request is awaited for a limited time
	FinalRead    bool          // is looked at once more before it ends
	Upload       bool          // a body is being taken in pieces and has not ended
	DiscardBody  bool          // what still comes is of a body that nobody wants
	RequestBegan time.Duration // of the request that is coming
	RequestBytes int           // bytes of it
	heard        time.Duration // last byte
	queue        *queue        // that it stands in
	before       *Conn
	after        *Conn
	arrivals     arrivals
	reader       http1.Reader
	large        *Incoming // the request under way, whose body is too large to be held
}

// Feed takes what the client wrote.
func (l *Conn) Feed(now time.Duration, data []byte) {
	l.heard = now
	l.arrivals.add(now, len(data))
	l.reader.Feed(data)
}

// Incoming is what a client asks: a query, a look at the gateway's health, or what cannot be made out.
type Incoming struct {
	Request Request
	Health  bool
	Fault   *http1.Fault
	Closes  bool // the link ends after the answer
	Large   bool // its body is to be taken in pieces
}

// Next returns what the client asks next, once it is whole.
func (l *Conn) Next(classes Classes) (asked Incoming, whole bool) {
	m, fault := l.reader.Next()
	switch {
	case fault != nil:
		return Incoming{Fault: fault, Closes: true}, true // where the next request begins is not known
	case m == nil:
		return l.nextLarge(classes)
	}
	return ask(m, classes), true
}

// nextLarge returns a request whose body is too large to be held, once as much of it has come as is held, and at once
// what is wrong with it.
func (l *Conn) nextLarge(classes Classes) (Incoming, bool) {
	head := l.reader.Large()
	if head == nil {
		return Incoming{}, false
	}
	if l.large == nil {
		asked := ask(&http1.Message{Head: head}, classes)
		if asked.Health && asked.Fault == nil || asked.Fault == nil && asked.Request.Class.Method == "GET" {
			asked.Fault = bad("a GET has no body")
		}
		asked.Large, l.large = true, &asked
		if asked.Fault != nil {
			asked.Closes = true // its body is not read
			return asked, true
		}
	}
	if !l.reader.Full() {
		return Incoming{}, false
	}
	asked := *l.large
	l.large = nil
	return asked, true
}

// Begin has the body of the request just asked for taken in pieces. length is -1 where it is not stated.
func (l *Conn) Begin() (length int64) {
	l.Upload = true
	return l.reader.Begin()
}

// Pieces returns what has come of the body, valid until the next call, and whether it has ended.
func (l *Conn) Pieces() (piece []byte, done bool, fault *http1.Fault) {
	_, piece, done, fault = l.reader.Pieces()
	return piece, done, fault
}

func ask(m *http1.Message, classes Classes) (asked Incoming) {
	asked.Closes = !m.KeepAlive
	if path, _, _ := strings.Cut(m.Target, "?"); path == healthPath {
		if asked.Health = true; m.Method != "GET" {
			asked.Fault = bad("health is asked for with GET")
		}
		return asked
	}
	asked.Request, asked.Fault = read(m, classes)
	return asked
}

// IdleFor is how long nothing has come.
func (l *Conn) IdleFor(now time.Duration) time.Duration { return now - l.heard }

// Pending reports whether a part of a request has come.
func (l *Conn) Pending() bool { return l.reader.Pending() }

// Overfull reports whether the client has sent more than it may ahead of an answer.
func (l *Conn) Overfull() bool { return l.reader.Buffered() > MostPipelined }

// AwaitsContinue reports whether the client waits to be asked for the body.
func (l *Conn) AwaitsContinue() bool { return l.reader.AwaitsContinue() }

// AppendContinue asks for the body.
func AppendContinue() []byte { return []byte("HTTP/1.1 100 Continue\r\n\r\n") }

// AppendServed words a host's answer for the client.
func AppendServed(fields []http1.Field, body []byte, keepAlive bool) []byte {
	return http1.AppendResponse(nil, 200, fields, body, keepAlive)
}

// AppendRejected words a refusal: trying again is harmless, after the time stated.
func AppendRejected(after time.Duration, keepAlive bool) []byte {
	var fields []http1.Field
	if after > 0 {
		seconds := strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
		fields = []http1.Field{{Name: "Retry-After", Value: seconds}}
	}
	return http1.AppendResponse(nil, 503, fields, []byte("refused, trying again is harmless\n"), keepAlive)
}

// AppendFailed words a failure that promises nothing. It must be neither 429 nor 503: the request may have run.
func AppendFailed(keepAlive bool) []byte {
	return http1.AppendResponse(nil, 502, nil, []byte("failed, the request may have run\n"), keepAlive)
}

// AppendBadRequest words what is wrong with a request.
func AppendBadRequest(f *http1.Fault, keepAlive bool) []byte {
	return http1.AppendResponse(nil, f.Status, nil, []byte(f.Text+"\n"), keepAlive)
}

// AppendConflict words that a request bears the id of one that is still open.
func AppendConflict(keepAlive bool) []byte {
	return AppendBadRequest(bad(fieldID+" is that of an open request"), keepAlive)
}

// AppendRequestTimeout words that a request did not come whole in time.
func AppendRequestTimeout() []byte {
	return AppendBadRequest(&http1.Fault{Status: 408, Text: "the request did not come whole"}, false)
}

// AppendHealth words the answer to a look at this gateway's health.
func AppendHealth(ready, keepAlive bool) []byte {
	if ready {
		return http1.AppendResponse(nil, 200, nil, []byte("ready\n"), keepAlive)
	}
	return http1.AppendResponse(nil, 503, nil, []byte("not ready\n"), keepAlive)
}
