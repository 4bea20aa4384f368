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
	// IdleAfter closes a link on which nothing was asked for this long.
	IdleAfter = 90 * time.Second
	// FirstSoon is how soon a client that connects for a request usually sends it.
	FirstSoon = 500 * time.Millisecond
	// SpeaksWithin is the least that a new link has to bring its first byte, however short links run.
	SpeaksWithin = 50 * time.Millisecond
	// OnceFor is how soon a client that goes on using a link usually does, where it has many.
	OnceFor = 100 * time.Millisecond
	// RestsFor is how long a link that only asked for health may wait for its first query before it is like others.
	RestsFor = 2 * time.Second
	// GoesOnWithin is how soon the next piece of a request usually comes, from a client that writes slowly.
	GoesOnWithin = 700 * time.Millisecond
	// TakenWithin is how long an answer may take to be written out.
	TakenWithin = 10 * time.Second
	// LingerFor is how long the end of a link waits for the client's own; where the client is still sending a body
	// that is no longer wanted, LingerMost at most.
	LingerFor  = time.Second
	LingerMost = 5 * time.Second
)

// Link is one client link.
type Link struct {
	Conn     loop.Conn
	Query    balancer.RequestID // the query in work, with Busy
	Busy     bool               // a query is in work or its answer not yet written out
	Closing  bool               // ends after the answer now written
	Ended    bool               // our sending has ended; what still comes is dropped
	Muted    bool
	Asked    bool          // a whole request has come on it
	Queries  int           // how many queries came on it
	Since    time.Duration // of its accept or its last answer
	Accepted time.Duration
	Timer    time.Duration // when it is looked at again, or ended; 0 if no timer is set
	Timed    bool          // the rest of a request is awaited for a limited time
	LastAsk  bool          // is looked at once more before it ends
	Upload   bool          // a body is being taken in pieces and has not ended
	Drop     bool          // what still comes is of a body that nobody wants
	Began    time.Duration // of the request that is coming
	Came     int           // bytes of it
	heard    time.Duration // last byte
	queue    *queue        // that it stands in
	before   *Link
	after    *Link
	arrivals arrivals
	reader   http1.Reader
	large    *Asked // the request under way, whose body is too large to be held
}

// Feed takes what the client wrote.
func (l *Link) Feed(now time.Duration, data []byte) {
	l.heard = now
	l.arrivals.add(now, len(data))
	l.reader.Feed(data)
}

// Asked is what a client asks: a query, a look at the gateway's health, or what cannot be made out.
type Asked struct {
	Query  Query
	Health bool
	Fault  *http1.Fault
	Last   bool // the link ends after the answer
	Large  bool // its body is to be taken in pieces
}

// Next returns what the client asks next, once it is whole.
func (l *Link) Next(classes Classes) (asked Asked, whole bool) {
	m, fault := l.reader.Next()
	switch {
	case fault != nil:
		return Asked{Fault: fault, Last: true}, true // where the next request begins is not known
	case m == nil:
		return l.nextLarge(classes)
	}
	return ask(m, classes), true
}

// nextLarge returns a request whose body is too large to be held, once as much of it has come as is held, and at once
// what is wrong with it.
func (l *Link) nextLarge(classes Classes) (Asked, bool) {
	head := l.reader.Large()
	if head == nil {
		return Asked{}, false
	}
	if l.large == nil {
		asked := ask(&http1.Message{Head: head}, classes)
		if asked.Health && asked.Fault == nil || asked.Fault == nil && asked.Query.Class.Method == "GET" {
			asked.Fault = bad("a GET has no body")
		}
		asked.Large, l.large = true, &asked
		if asked.Fault != nil {
			asked.Last = true // its body is not read
			return asked, true
		}
	}
	if !l.reader.Full() {
		return Asked{}, false
	}
	asked := *l.large
	l.large = nil
	return asked, true
}

// Begin has the body of the request just asked for taken in pieces. length is -1 where it is not stated.
func (l *Link) Begin() (length int64) {
	l.Upload = true
	return l.reader.Begin()
}

// Pieces returns what has come of the body, valid until the next call, and whether it has ended.
func (l *Link) Pieces() (piece []byte, done bool, fault *http1.Fault) {
	_, piece, done, fault = l.reader.Pieces()
	return piece, done, fault
}

func ask(m *http1.Message, classes Classes) (asked Asked) {
	asked.Last = !m.KeepAlive
	if path, _, _ := strings.Cut(m.Target, "?"); path == healthPath {
		if asked.Health = true; m.Method != "GET" {
			asked.Fault = bad("health is asked for with GET")
		}
		return asked
	}
	asked.Query, asked.Fault = read(m, classes)
	return asked
}

// Silent is how long nothing has come.
func (l *Link) Silent(now time.Duration) time.Duration { return now - l.heard }

// Pending reports whether a part of a request has come.
func (l *Link) Pending() bool { return l.reader.Pending() }

// Overfull reports whether the client has sent more than it may ahead of an answer.
func (l *Link) Overfull() bool { return l.reader.Buffered() > MostPipelined }

// AwaitsContinue reports whether the client waits to be asked for the body.
func (l *Link) AwaitsContinue() bool { return l.reader.AwaitsContinue() }

// Continue asks for the body.
func Continue() []byte { return []byte("HTTP/1.1 100 Continue\r\n\r\n") }

// Served words a host's answer for the client.
func Served(fields []http1.Field, body []byte, keepAlive bool) []byte {
	return http1.AppendResponse(nil, 200, fields, body, keepAlive)
}

// Refused words a refusal: trying again is harmless, after the time stated.
func Refused(after time.Duration, keepAlive bool) []byte {
	var fields []http1.Field
	if after > 0 {
		seconds := strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
		fields = []http1.Field{{Name: "Retry-After", Value: seconds}}
	}
	return http1.AppendResponse(nil, 503, fields, []byte("refused, trying again is harmless\n"), keepAlive)
}

// Failed words a failure that promises nothing. It must be neither 429 nor 503: the request may have run.
func Failed(keepAlive bool) []byte {
	return http1.AppendResponse(nil, 502, nil, []byte("failed, the request may have run\n"), keepAlive)
}

// Faulty words what is wrong with a request.
func Faulty(f *http1.Fault, keepAlive bool) []byte {
	return http1.AppendResponse(nil, f.Status, nil, []byte(f.Text+"\n"), keepAlive)
}

// Taken words that a request bears the id of one that is still open.
func Taken(keepAlive bool) []byte {
	return Faulty(bad(fieldID+" is that of an open request"), keepAlive)
}

// TooSlow words that a request did not come whole in time.
func TooSlow() []byte {
	return Faulty(&http1.Fault{Status: 408, Text: "the request did not come whole"}, false)
}

// Health words the answer to a look at this gateway's health.
func Health(ready, keepAlive bool) []byte {
	if ready {
		return http1.AppendResponse(nil, 200, nil, []byte("ready\n"), keepAlive)
	}
	return http1.AppendResponse(nil, 503, nil, []byte("not ready\n"), keepAlive)
}
