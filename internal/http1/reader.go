package http1

import "bytes"

// maxInterimResponses is the maximum number of interim responses (status 1xx) before a final response.
const maxInterimResponses = 64

// maxBufferKept is the size of an empty buffer that a reader keeps for the next message, in bytes.
const maxBufferKept = 4 << 10

// maxDecodedKept is how many decoded bytes a reader keeps in its buffer when it receives more, in bytes.
const maxDecodedKept = 16 << 10

// Reader decodes the messages received on one connection, one after another. The zero value reads requests.
type Reader struct {
	Response        bool   // decode responses rather than requests
	Stream          bool   // stream every body, without a limit on its size
	buffer          []byte // bytes received; those before start are decoded
	start           int    // index in buffer of the first byte that is not decoded
	scanned         int    // number of undecoded bytes that were searched for the end of the head
	emptyLineBytes  int    // size of the empty lines skipped before the current request
	head            *Head  // the head of the current message, nil until it has been received completely
	body            body   // the decoder of the current message's body
	payload         []byte // decoded data of the body that is not yet returned
	decodedBytes    int64  // size of the body decoded until now, in bytes, returned or not
	interimCount    int    // interim responses received before the current response
	continueChecked bool   // AwaitsContinue has examined the current head
	streamed        bool   // the caller has switched the current message to streaming
	completeChecked bool   // complete is known for the bytes received until now
	complete        bool   // the result of Complete
}

// Message is one complete message.
type Message struct {
	*Head
	Body []byte
}

// Held returns the memory that the message uses, in bytes.
func (m *Message) Held() int { return m.size + cap(m.Body) }

// Feed adds received bytes to the buffer. They are copied. Decoded bytes are removed from the buffer only once they are
// the larger part of it or exceed maxDecodedKept, so that each received byte is moved a limited number of times, however
// short the messages are.
func (r *Reader) Feed(data []byte) {
	r.completeChecked = false
	if r.start > min(len(r.buffer)/2, maxDecodedKept) {
		r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.start:])]
		r.start = 0
	}
	r.buffer = append(r.buffer, data...)
}

// undecoded returns the received bytes that are not yet decoded.
func (r *Reader) undecoded() []byte { return r.buffer[r.start:] }

// Pending reports whether part of a message has been received.
func (r *Reader) Pending() bool { return r.head != nil || r.Buffered() > 0 }

// Buffered returns the number of received bytes that are not yet decoded.
func (r *Reader) Buffered() int { return len(r.buffer) - r.start }

// Next returns the next message if it is complete, or nil. The message's body remains valid: its memory is not
// reused. A message that is too large to buffer, or is streamed, is not returned; see Large.
func (r *Reader) Next() (*Message, *Fault) {
	if fault := r.advance(); fault != nil {
		return nil, fault
	}
	if r.head == nil || !r.body.done || r.streamed || len(r.payload) > MaxBufferedBody {
		return nil, nil
	}
	m := &Message{r.head, r.payload}
	r.reset()
	return m, nil
}

// Large returns the head of the current message if its body is too large to buffer, or nil. If the length of the body
// is not stated, that shows only once more than may be buffered was decoded or the current chunk goes beyond it.
func (r *Reader) Large() *Head {
	if r.head == nil || r.announced() <= MaxBufferedBody {
		return nil
	}
	return r.head
}

// announced returns the least size of the current message's body by what was received: of what is decoded and, if the body
// or its current chunk states a length, of the rest of that.
func (r *Reader) announced() int64 { return r.decodedBytes + r.body.remaining }

// Complete reports whether the current message has been received completely, even if the caller has not
// yet read all of its body. It also returns true if the body is malformed.
func (r *Reader) Complete() bool {
	if !r.completeChecked {
		r.completeChecked, r.complete = true, r.head != nil && r.body.endsIn(r.undecoded())
	}
	return r.complete
}

// MayEndWithin reports whether the current message may end within the next n bytes that were not yet fed to the reader. If
// its length is not stated, any byte may be the last one.
func (r *Reader) MayEndWithin(n int) bool {
	if r.head != nil && r.body.framing == byLength {
		return r.body.remaining <= int64(r.Buffered()+n)
	}
	return n > 0
}

// Decoded returns the number of bytes of the current message's body that are decoded and not yet returned.
func (r *Reader) Decoded() int { return len(r.payload) }

// Full reports whether as much of the body is decoded as may be buffered.
func (r *Reader) Full() bool { return len(r.payload) >= MaxBufferedBody }

// Head returns the head of the current message, or nil if it has not been received completely.
func (r *Reader) Head() *Head { return r.head }

// LengthUnknown reports whether the head of the current message has been received and does not state the body's length.
func (r *Reader) LengthUnknown() bool { return r.head != nil && r.body.framing != byLength }

// Held returns the memory that the reader uses for received bytes, in bytes.
func (r *Reader) Held() int {
	held := cap(r.buffer) + cap(r.payload)
	if r.head != nil {
		held += r.head.size
	}
	return held
}

// Discard gives up all received bytes. The reader must not be used for further messages, because it is not known where
// the next one begins.
func (r *Reader) Discard() {
	r.reset()
	r.buffer, r.start, r.scanned = nil, 0, 0
}

// BeginStream switches the body of the current message to streaming: from now on, the caller reads its data as it
// arrives. length is the length of the body in bytes, or -1 if it is not stated.
func (r *Reader) BeginStream() (length int64) {
	r.streamed = true
	if r.body.framing != byLength {
		return -1
	}
	return r.decodedBytes + r.body.remaining
}

// ReadStream returns the head of a streamed message, nil until the head has been received completely; the data of the
// body that has arrived since the last call; and whether the body has ended. The data is appended to scratch[:0], so that
// many readers can share one scratch buffer. After the end of a message that was switched to streaming, the reader
// continues with the next message.
func (r *Reader) ReadStream(scratch []byte) (head *Head, piece []byte, done bool, fault *Fault) {
	r.payload = append(scratch[:0], r.payload...)
	fault = r.advance()
	head, piece, done = r.head, r.payload, fault == nil && r.head != nil && r.body.done
	if r.payload = nil; done && r.streamed {
		r.reset()
	}
	return head, piece, done, fault
}

// EndOfInput records that the peer has ended its sending. It returns the message that this completes, or nil.
func (r *Reader) EndOfInput() *Message {
	if !r.EndsByClose() {
		return nil
	}
	m := &Message{r.head, r.payload}
	m.KeepAlive = false
	r.reset()
	return m
}

// EndsByClose reports whether the current message ends regularly when the peer ends its sending, because it states no
// length.
func (r *Reader) EndsByClose() bool {
	return r.head != nil && r.body.framing == byClose && !r.body.done
}

// reset prepares the reader for the next message. Received bytes that are not decoded remain.
func (r *Reader) reset() {
	r.head, r.payload, r.decodedBytes, r.interimCount, r.streamed = nil, nil, 0, 0, false
	r.completeChecked = false
}

// AwaitsContinue reports whether the peer waits for 100 Continue before it sends the body. It returns true at most once
// for each message.
func (r *Reader) AwaitsContinue() bool {
	if r.head == nil || r.continueChecked || r.body.done || r.Buffered()+len(r.payload) > 0 {
		return false
	}
	r.continueChecked = true
	return r.head.hasToken("Expect", "100-continue")
}

// advance decodes received bytes: the head of the current message, and then as much of its body as may be buffered.
func (r *Reader) advance() *Fault {
	r.completeChecked = false
	for r.head == nil {
		if fault := r.readHead(); fault != nil || r.head == nil {
			return fault
		}
		if r.Response && r.head.Status < 200 { // skip an interim response: the final response follows
			if r.interimCount++; r.head.Status == 101 || r.interimCount > maxInterimResponses {
				return badRequest("status 101, or too many interim responses before the final one")
			}
			r.head = nil
		}
	}
	consumed, streamed := 0, r.Stream || r.streamed
	for streamed || len(r.payload) <= MaxBufferedBody { // the rest of a large body stays undecoded until it is streamed
		if r.body.maxPiece = 0; !streamed {
			r.body.maxPiece = MaxBufferedBody + 1 - len(r.payload)
		}
		piece, n, fault := r.body.decode(r.undecoded()[consumed:])
		if fault != nil {
			return fault
		}
		r.growPayload(len(piece), streamed)
		r.payload = append(r.payload, piece...)
		if r.decodedBytes += int64(len(piece)); !r.Stream && r.announced() > MaxBody {
			return &Fault{413, "body too large"}
		}
		if consumed += n; n == 0 {
			break
		}
	}
	r.consume(consumed)
	return nil
}

// growPayload makes room for the next piece of a body. A buffered body grows no further than to its known or largest
// length, so that it uses no more memory than its bytes.
func (r *Reader) growPayload(n int, streamed bool) {
	need := len(r.payload) + n
	if streamed || need <= cap(r.payload) {
		return
	}
	longest := MaxBufferedBody + 1
	if r.body.framing == byLength {
		longest = int(min(r.decodedBytes+int64(n)+r.body.remaining, MaxBufferedBody+1))
	}
	grown := make([]byte, len(r.payload), max(need, min(2*need, longest)))
	copy(grown, r.payload)
	r.payload = grown
}

// readHead parses the head of the next message once it has been received completely.
func (r *Reader) readHead() *Fault {
	if fault := r.skipEmptyLines(); fault != nil {
		return fault
	}
	received := r.undecoded()
	headEnd := bytes.Index(received[max(0, r.scanned-3):], []byte("\r\n\r\n"))
	if headEnd < 0 {
		if r.scanned = len(received); r.scanned > MaxHead {
			return &Fault{431, "head too large"}
		}
		return nil
	}
	headEnd += max(0, r.scanned-3)
	if headEnd > MaxHead {
		return &Fault{431, "head too large"}
	}
	head, fault := parseHead(string(received[:headEnd]), r.Response)
	if fault != nil {
		return fault
	}
	if r.body, fault = parseFraming(head, r.Response); fault != nil {
		return fault
	}
	r.head, r.scanned, r.emptyLineBytes, r.continueChecked = head, 0, 0, false
	r.consume(headEnd + 4)
	return nil
}

// skipEmptyLines skips the empty lines before a request. Their number is limited, because a client that sends only empty
// lines never begins a request.
func (r *Reader) skipEmptyLines() *Fault {
	if r.Response {
		return nil
	}
	received, skipped := r.undecoded(), 0
	for len(received)-skipped >= 2 && received[skipped] == '\r' && received[skipped+1] == '\n' {
		skipped += 2
	}
	if r.emptyLineBytes += skipped; r.emptyLineBytes > MaxHead {
		return badRequest("too many empty lines before a request")
	}
	r.consume(skipped)
	return nil
}

// consume records that the next n bytes are decoded. It releases an emptied buffer of more than maxBufferKept bytes.
func (r *Reader) consume(n int) {
	if r.start += n; r.start < len(r.buffer) {
		return
	}
	r.buffer, r.start = r.buffer[:0], 0
	if cap(r.buffer) > maxBufferKept {
		r.buffer = nil
	}
}
