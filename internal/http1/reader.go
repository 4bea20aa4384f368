package http1

import "bytes"

// mostInterim bounds the interim responses before a final one.
const mostInterim = 64

// Reader reads the messages of one connection, one after another.
type Reader struct {
	Response bool // reads responses rather than requests
	Stream   bool // a body is handed out in pieces and has no limit
	in       []byte
	scanned  int // bytes of in without an end of the head
	head     *Head
	body     body
	payload  []byte
	came     int64 // of the body
	interim  int
	asked    bool // AwaitsContinue has looked at this head
	bulk     bool // this message's body is handed out in pieces
}

// Message is one whole message.
type Message struct {
	*Head
	Body []byte
}

// Feed adds what has come. The bytes are copied.
func (r *Reader) Feed(data []byte) { r.in = append(r.in, data...) }

// Pending reports whether a part of a message has come.
func (r *Reader) Pending() bool { return r.head != nil || len(r.in) > 0 }

// Buffered is how many bytes wait to be read.
func (r *Reader) Buffered() int { return len(r.in) }

// Next returns the next message if it is whole. Its body is valid for good: it is not reused.
func (r *Reader) Next() (*Message, *Fault) {
	if fault := r.advance(); fault != nil {
		return nil, fault
	}
	if r.head == nil || !r.body.done || r.bulk || len(r.payload) > MaxHeld {
		return nil, nil
	}
	m := &Message{r.head, r.payload}
	r.reset()
	return m, nil
}

// Large returns the head of the message under way if its body is too large to be held, else nil. Where
// the length is not stated, that shows once so much has come.
func (r *Reader) Large() *Head {
	if r.head == nil || r.body.framing == byLength && r.body.left+r.came <= MaxHeld ||
		r.body.framing != byLength && r.came <= MaxHeld {
		return nil
	}
	return r.head
}

// HeadRead reports whether the head of the message under way has come whole.
func (r *Reader) HeadRead() bool { return r.head != nil }

// Complete reports whether all of the message under way has come, though not all of it may have been
// handed out.
func (r *Reader) Complete() bool {
	if r.head == nil {
		return false
	}
	rest := r.body
	for in := r.in; !rest.done; {
		_, used, fault := rest.take(in)
		if fault != nil {
			return true // nothing that is still to come mends it
		}
		if used == 0 {
			return false
		}
		in = in[used:]
	}
	return true
}

// Full reports whether as much of the body waits as is held.
func (r *Reader) Full() bool { return len(r.payload) >= MaxHeld }

// Begin hands out the body of the message under way in pieces from now on, see Pieces. length is -1
// where it is not stated.
func (r *Reader) Begin() (length int64) {
	r.bulk = true
	if r.body.framing != byLength {
		return -1
	}
	return r.came + r.body.left
}

// Pieces returns the head of a streamed message once it is there, what has come of the body since the
// last call, valid until the next call, and whether the body has ended. A message that Begin began is
// over with it.
func (r *Reader) Pieces() (head *Head, piece []byte, done bool, fault *Fault) {
	fault = r.advance()
	head, piece, done = r.head, r.payload, fault == nil && r.head != nil && r.body.done
	if r.payload = r.payload[:0]; done && r.bulk {
		r.reset()
	}
	return head, piece, done, fault
}

// End tells that the peer has ended its sending, and returns the message that this completes, if any.
func (r *Reader) End() *Message {
	if !r.EndsByClose() {
		return nil
	}
	m := &Message{r.head, r.payload}
	m.KeepAlive = false
	r.reset()
	return m
}

// EndsByClose reports whether the end of the peer's sending is the regular end of the message under way.
func (r *Reader) EndsByClose() bool {
	return r.head != nil && r.body.framing == byClose && !r.body.done
}

func (r *Reader) reset() { r.head, r.payload, r.came, r.interim, r.bulk = nil, nil, 0, 0, false }

// AwaitsContinue reports, once a message, whether the peer holds back its body until it is asked for.
func (r *Reader) AwaitsContinue() bool {
	if r.head == nil || r.asked || r.body.done || len(r.in)+len(r.payload) > 0 {
		return false
	}
	r.asked = true
	return r.head.has("Expect", "100-continue")
}

func (r *Reader) advance() *Fault {
	for r.head == nil {
		if fault := r.readHead(); fault != nil || r.head == nil {
			return fault
		}
		if r.Response && r.head.Status < 200 { // an interim response: the final one follows
			if r.interim++; r.head.Status == 101 || r.interim > mostInterim {
				return bad("an interim response out of place")
			}
			r.head = nil
		}
	}
	used, held := 0, r.Stream || r.bulk
	for held || len(r.payload) <= MaxHeld { // what is too large to be held waits until it is known where to
		piece, n, fault := r.body.take(r.in[used:])
		if fault != nil {
			return fault
		}
		r.payload = append(r.payload, piece...)
		if r.came += int64(len(piece)); !r.Stream && r.came > MaxBody {
			return &Fault{413, "body too large"}
		}
		if used += n; n == 0 {
			break
		}
	}
	r.consume(used)
	return nil
}

func (r *Reader) readHead() *Fault {
	for len(r.in) >= 2 && r.in[0] == '\r' && r.in[1] == '\n' && !r.Response {
		r.consume(2) // empty lines before a request are skipped
	}
	at := bytes.Index(r.in[max(0, r.scanned-3):], []byte("\r\n\r\n"))
	if at < 0 {
		if r.scanned = len(r.in); r.scanned > MaxHead {
			return &Fault{431, "head too large"}
		}
		return nil
	}
	at += max(0, r.scanned-3)
	if at > MaxHead {
		return &Fault{431, "head too large"}
	}
	head, fault := parseHead(r.in[:at], r.Response)
	if fault != nil {
		return fault
	}
	if r.body, fault = frame(head, r.Response); fault != nil {
		return fault
	}
	r.head, r.scanned, r.asked = head, 0, false
	r.consume(at + 4)
	return nil
}

// consume drops what was read, and the buffer with it if it grew for one large message.
func (r *Reader) consume(n int) {
	r.in = r.in[:copy(r.in, r.in[n:])]
	if len(r.in) == 0 && cap(r.in) > MaxHead && !r.bulk {
		r.in = nil
	}
}
