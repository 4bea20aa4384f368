package http1

import "bytes"

// maxInterimResponses bounds the interim responses before a final one.
const maxInterimResponses = 64

// Reader reads the messages of one connection, one after another.
type Reader struct {
	Response        bool   // reads responses rather than requests
	Stream          bool   // every body is streamed and has no limit
	buffer          []byte // received and not yet decoded
	scanned         int    // bytes of buffer known to hold no end of the head
	head            *Head  // of the message under way, nil until it is complete
	body            body   // decodes the body of that message
	payload         []byte // decoded and not yet returned
	decodedBytes       int64  // decoded bytes of the body, returned or not
	interimCount    int    // interim responses before this one
	continueChecked bool   // AwaitsContinue has looked at this head
	streamed        bool   // this message's body is streamed, see Begin
}

// Message is one complete message.
type Message struct {
	*Head
	Body []byte
}

// Feed adds received bytes. They are copied.
func (r *Reader) Feed(data []byte) { r.buffer = append(r.buffer, data...) }

// Pending reports whether part of a message has been received.
func (r *Reader) Pending() bool { return r.head != nil || len(r.buffer) > 0 }

// Buffered returns how many received bytes are not yet decoded.
func (r *Reader) Buffered() int { return len(r.buffer) }

// Next returns the next message once it is complete, else nil. Its body remains valid: the buffer is not reused.
func (r *Reader) Next() (*Message, *Fault) {
	if fault := r.advance(); fault != nil {
		return nil, fault
	}
	if r.head == nil || !r.body.done || r.streamed || len(r.payload) > MaxHeld {
		return nil, nil
	}
	m := &Message{r.head, r.payload}
	r.reset()
	return m, nil
}

// Large returns the head of the message under way if its body is too large to buffer, else nil. Where the length
// is not stated, this is known only once more than MaxHeld bytes have been received.
func (r *Reader) Large() *Head {
	if r.head == nil || r.body.framing == byLength && r.body.remaining+r.decodedBytes <= MaxHeld ||
		r.body.framing != byLength && r.decodedBytes <= MaxHeld {
		return nil
	}
	return r.head
}

// HeadRead reports whether the head of the message under way is complete.
func (r *Reader) HeadRead() bool { return r.head != nil }

// Complete reports whether all of the message under way has been received, though Pieces may not have returned all
// of it.
func (r *Reader) Complete() bool {
	if r.head == nil {
		return false
	}
	decoder := r.body
	for in := r.buffer; !decoder.done; {
		_, used, fault := decoder.decode(in)
		if fault != nil {
			return true // no further byte can mend it
		}
		if used == 0 {
			return false
		}
		in = in[used:]
	}
	return true
}

// Full reports whether the buffer for the body is full.
func (r *Reader) Full() bool { return len(r.payload) >= MaxHeld }

// Begin switches the body of the message under way to streaming: from now on Pieces returns its chunks. length is
// that of the body, -1 where it is not stated.
func (r *Reader) Begin() (length int64) {
	r.streamed = true
	if r.body.framing != byLength {
		return -1
	}
	return r.decodedBytes + r.body.remaining
}

// Pieces returns the head of a streamed message once it is complete, the next chunk of its body, all that has
// arrived since the last call, valid until the next call, and whether the body has ended. After the end of a
// message that Begin switched to streaming, the next message follows.
func (r *Reader) Pieces() (head *Head, piece []byte, done bool, fault *Fault) {
	fault = r.advance()
	head, piece, done = r.head, r.payload, fault == nil && r.head != nil && r.body.done
	if r.payload = r.payload[:0]; done && r.streamed {
		r.reset()
	}
	return head, piece, done, fault
}

// End is to be called when the peer has ended its sending. It returns the message that this completes, or nil.
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

func (r *Reader) reset() {
	r.head, r.payload, r.decodedBytes, r.interimCount, r.streamed = nil, nil, 0, 0, false
}

// AwaitsContinue reports, once for each message, whether the peer waits for 100 Continue before it sends the body.
func (r *Reader) AwaitsContinue() bool {
	if r.head == nil || r.continueChecked || r.body.done || len(r.buffer)+len(r.payload) > 0 {
		return false
	}
	r.continueChecked = true
	return r.head.hasToken("Expect", "100-continue")
}

func (r *Reader) advance() *Fault {
	for r.head == nil {
		if fault := r.readHead(); fault != nil || r.head == nil {
			return fault
		}
		if r.Response && r.head.Status < 200 { // an interim response: the final one follows
			if r.interimCount++; r.head.Status == 101 || r.interimCount > maxInterimResponses {
				return badRequest("an interim response out of place")
			}
			r.head = nil
		}
	}
	consumed, streamed := 0, r.Stream || r.streamed
	for streamed || len(r.payload) <= MaxHeld { // a body too large to buffer waits undecoded until Begin
		piece, n, fault := r.body.decode(r.buffer[consumed:])
		if fault != nil {
			return fault
		}
		r.payload = append(r.payload, piece...)
		if r.decodedBytes += int64(len(piece)); !r.Stream && r.decodedBytes > MaxBody {
			return &Fault{413, "body too large"}
		}
		if consumed += n; n == 0 {
			break
		}
	}
	r.consume(consumed)
	return nil
}

func (r *Reader) readHead() *Fault {
	for len(r.buffer) >= 2 && r.buffer[0] == '\r' && r.buffer[1] == '\n' && !r.Response {
		r.consume(2) // empty lines before a request are skipped
	}
	headEnd := bytes.Index(r.buffer[max(0, r.scanned-3):], []byte("\r\n\r\n"))
	if headEnd < 0 {
		if r.scanned = len(r.buffer); r.scanned > MaxHead {
			return &Fault{431, "head too large"}
		}
		return nil
	}
	headEnd += max(0, r.scanned-3)
	if headEnd > MaxHead {
		return &Fault{431, "head too large"}
	}
	head, fault := parseHead(r.buffer[:headEnd], r.Response)
	if fault != nil {
		return fault
	}
	if r.body, fault = parseFraming(head, r.Response); fault != nil {
		return fault
	}
	r.head, r.scanned, r.continueChecked = head, 0, false
	r.consume(headEnd + 4)
	return nil
}

// consume drops n decoded bytes, and with the last of them a buffer that grew for one large message.
func (r *Reader) consume(n int) {
	r.buffer = r.buffer[:copy(r.buffer, r.buffer[n:])]
	if len(r.buffer) == 0 && cap(r.buffer) > MaxHead && !r.streamed {
		r.buffer = nil
	}
}
