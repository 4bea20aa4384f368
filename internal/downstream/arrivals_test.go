package downstream

import (
	"bytes"
	"testing"
	"time"

	"thymebend/internal/loop"
)

const viewRequest = "GET /view HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: 900m\r\n\r\n"

// A pipelined request counts as sent when its last byte arrived, not when the request before it was answered and it was
// parsed.
func TestLastByteSentOfPipelinedRequests(t *testing.T) {
	conn := NewConns(1).Add(1, 0)
	conn.Feed(ms(100), []byte(viewRequest+viewRequest[:10]))
	conn.Feed(ms(400), []byte(viewRequest[10:]+viewRequest))
	for i, want := range []time.Duration{ms(100), ms(400), ms(400)} {
		if _, complete := conn.Next(testClasses); !complete {
			t.Fatalf("request %d is not complete", i)
		}
		if got := conn.LastByteSent(); got != want {
			t.Errorf("request %d: sent at %v, want %v", i, got, want)
		}
		if got := conn.RemainingTimeout(ms(1000), ms(900)); got != want+ms(900)-ms(1000) {
			t.Errorf("request %d: remaining timeout %v, want %v", i, got, want+ms(900)-ms(1000))
		}
	}
}

// Bytes read after a pause count as sent when the pause began, until the kernel's receive buffer is empty.
func TestSendTimeOfBytesReadAfterPause(t *testing.T) {
	var a arrivals
	a.add(ms(10), 100, loop.ReadSize)
	a.pause(ms(20))
	a.pause(ms(25))
	a.add(ms(500), loop.ReadSize, loop.ReadSize)
	a.add(ms(501), 1000, loop.ReadSize) // a short read: more bytes may be waiting, and another read follows within markInterval
	a.add(ms(503), 1000, loop.ReadSize)
	at := func(offset int64) time.Duration { b := a; return b.sentAt(offset) }
	if got := at(a.bytesReceived); got != ms(20) {
		t.Errorf("sent at %v, want 20ms, when reading was paused", got)
	}
	a.add(ms(600), 10, loop.ReadSize)
	if got := at(a.bytesReceived); got != ms(600) {
		t.Errorf("sent at %v, want 600ms, when they were read: the receive buffer was empty before", got)
	}
	if got := at(50); got != ms(10) {
		t.Errorf("the bytes before the pause: sent at %v, want 10ms", got)
	}
}

// The kernel's receive buffer holds at most maxUnread bytes. Bytes that are read after that many others must therefore
// have been sent after the pause began.
func TestSendTimeBehindFullReceiveBuffer(t *testing.T) {
	var a arrivals
	a.pause(ms(0))
	for i := range 3 * maxUnread / loop.ReadSize {
		a.add(ms(1000+100*i), loop.ReadSize, loop.ReadSize)
	}
	if got := a.sentAt(a.bytesReceived); got < ms(1000) {
		t.Errorf("sent at %v, want 1s or later: three full receive buffers were read after the pause", got)
	}
}

// The number of marks is bounded, and merging marks never moves the estimated time of sending to later than the true
// one, which would extend the client's timeout.
func TestMarksAreBounded(t *testing.T) {
	var a arrivals
	for i := range 10_000 {
		a.add(ms(10*i), 1, loop.ReadSize)
	}
	if len(a.marks) > maxMarks {
		t.Errorf("%d marks, want at most %d", len(a.marks), maxMarks)
	}
	for _, offset := range []int64{1, 5000, 9999, 10_000} {
		b := a
		if got := b.sentAt(offset); got > ms(int(10*(offset-1))) {
			t.Errorf("byte %d: sent at %v, later than it was received", offset, got)
		}
	}
}

// The client timeout of a request with a streamed body starts only when the whole body has arrived, or may have arrived
// because reading is paused.
func TestRemainingTimeoutOfStreamedRequest(t *testing.T) {
	conn := NewConns(1).Add(1, 0)
	raw := partialBid(300<<10, 300<<10)
	conn.Feed(ms(10), raw[:100<<10])
	if incoming, complete := conn.Next(testClasses); !complete || !incoming.Large {
		t.Fatal("the request is not returned as a large one")
	}
	conn.BeginStream()
	if got := conn.RemainingTimeout(ms(500), ms(900)); got != ms(900) {
		t.Errorf("remaining timeout %v before the body has arrived, want all 900ms", got)
	}
	conn.PauseReading(ms(500))
	if got := conn.RemainingTimeout(ms(700), ms(900)); got != ms(700) {
		t.Errorf("remaining timeout %v while the last byte may be unread, want 700ms", got)
	}
	conn.ResumeReading(ms(700))
	var body bytes.Buffer
	for _, part := range [][]byte{raw[100<<10 : 200<<10], raw[200<<10:]} {
		conn.Feed(ms(700), part)
		piece, _, _ := conn.ReadStream(nil)
		body.Write(piece)
	}
	if got := conn.LastByteSent(); got != ms(500) {
		t.Errorf("sent at %v, want 500ms, when reading was paused", got)
	}
}

// Guards against a client timeout that starts anew because reading is paused again directly after a short read.
func TestPauseAfterAShortReadKeepsTheTimeOfSending(t *testing.T) {
	var a arrivals
	a.pause(ms(100))
	a.add(ms(500), 1000, loop.ReadSize)
	a.pause(ms(501))
	a.add(ms(520), 1000, loop.ReadSize)
	if got := a.sentAt(a.bytesReceived); got != ms(100) {
		t.Errorf("sent at %v, want 100ms, when reading was paused first", got)
	}
}
