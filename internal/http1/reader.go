package http1

import "bytes"

// Reader reads the messages of one connection, one after another.
type Reader struct {
	Response bool // reads responses rather than requests
	Stream   bool // a body is handed out in pieces and has no limit
	in       []byte
	scanned  int // bytes of in without an end of the head
	head     *Head
	body     body
	payload  []byte
	asked    bool // AwaitsContinue has looked at this head
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
	for {
		if fault := r.advance(); fault != nil {
			return nil, fault
		}
		if r.head == nil || !r.body.done {
			return nil, nil
		}
		m := &Message{r.head, r.payload}
		r.head, r.payload = nil, nil
		if r.Response && m.Status < 200 {
			continue // an interim response: the final one follows
		}
		return m, nil
	}
}

// Pieces returns the head of a streamed response once it is there, what has come of the body since the last
// call, and whether the body has ended.
func (r *Reader) Pieces() (head *Head, piece []byte, done bool, fault *Fault) {
	if fault := r.advance(); fault != nil {
		return nil, nil, false, fault
	}
	piece, r.payload = r.payload, nil
	return r.head, piece, r.head != nil && r.body.done, nil
}

// End tells that the peer has ended its sending, and returns the message that this completes, if any.
func (r *Reader) End() *Message {
	if r.head == nil || r.body.framing != byClose || r.body.done {
		return nil
	}
	m := &Message{r.head, r.payload}
	m.KeepAlive = false
	r.head, r.payload = nil, nil
	return m
}

// AwaitsContinue reports, once a message, whether the peer holds back its body until it is asked for.
func (r *Reader) AwaitsContinue() bool {
	if r.head == nil || r.asked || r.body.done || len(r.in)+len(r.payload) > 0 {
		return false
	}
	r.asked = true
	return r.head.has("Expect", "100-continue")
}

func (r *Reader) advance() *Fault {
	if r.head == nil {
		if fault := r.readHead(); fault != nil || r.head == nil {
			return fault
		}
	}
	used := 0
	for {
		piece, n, fault := r.body.take(r.in[used:])
		if fault != nil {
			return fault
		}
		r.payload = append(r.payload, piece...)
		if !r.Stream && len(r.payload) > MaxBody {
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
	if len(r.in) == 0 && cap(r.in) > MaxHead {
		r.in = nil
	}
}
