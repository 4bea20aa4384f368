package downstream

import (
	"bytes"
	"testing"
	"time"

	"thymebend/internal/loop"
)

const viewRequest = "GET /view HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: 900m\r\n\r\n"

// A request received behind another one was sent when its last byte arrived, not when it is parsed.
func TestLastByteSentOfPipelinedRequests(t *testing.T) {
	conn := NewConns(1).Add(1, 0)
	conn.Feed(ms(100), []byte(viewRequest+viewRequest[:10]))
	conn.Feed(ms(400), []byte(viewRequest[10:]+viewRequest))
	for i, want := range []time.Duration{ms(100), ms(400), ms(400)} {
		if _, whole := conn.Next(testClasses); !whole {
			t.Fatalf("request %d is not whole", i)
		}
		if got := conn.LastByteSent(); got != want {
			t.Errorf("request %d was written at %v, want %v", i, got, want)
		}
		if got := conn.TimeLeft(ms(1000), ms(900)); got != want+ms(900)-ms(1000) {
			t.Errorf("request %d: %v left", i, got)
		}
	}
}

// Bytes read after a pause count as sent when the pause began, until the kernel's buffer is empty.
func TestSendTimeOfBytesReadAfterPause(t *testing.T) {
	var a arrivals
	a.add(ms(10), 100)
	a.pause(ms(20))
	a.pause(ms(25))
	a.add(ms(500), loop.ReadSize)
	a.add(ms(501), 1000) // it may be a short read
	a.add(ms(503), 1000)
	at := func(offset int64) time.Duration { b := a; return b.sentAt(offset) }
	if got := at(a.bytesReceived); got != ms(20) {
		t.Errorf("written at %v, want when reading stopped", got)
	}
	a.add(ms(600), 10)
	if got := at(a.bytesReceived); got != ms(600) {
		t.Errorf("written at %v, want now: all was taken before", got)
	}
	if got := at(50); got != ms(10) {
		t.Errorf("the first bytes were written at %v", got)
	}
}

// The kernel's buffer is bounded: bytes read after that many were sent later.
func TestSendTimeBehindFullReceiveBuffer(t *testing.T) {
	var a arrivals
	a.pause(ms(0))
	for i := range 3 * maxUnread / loop.ReadSize {
		a.add(ms(1000+100*i), loop.ReadSize)
	}
	if got := a.sentAt(a.bytesReceived); got < ms(1000) {
		t.Errorf("written at %v, though three buffers were read since", got)
	}
}

// A connection's marks are bounded, and err only in the client's favour.
func TestMarksAreBounded(t *testing.T) {
	var a arrivals
	for i := range 10_000 {
		a.add(ms(10*i), 1)
	}
	if len(a.marks) > maxMarks {
		t.Errorf("%d marks", len(a.marks))
	}
	for _, offset := range []int64{1, 5000, 9999, 10_000} {
		b := a
		if got := b.sentAt(offset); got > ms(int(10*(offset-1))) {
			t.Errorf("byte %d was written at %v", offset, got)
		}
	}
}

// While a body is being received its client timeout has not begun; once all of it has arrived, or may have, it has.
func TestTimeLeftOfStreamedRequest(t *testing.T) {
	conn := NewConns(1).Add(1, 0)
	raw := partialBid(300<<10, 300<<10)
	conn.Feed(ms(10), raw[:100<<10])
	if incoming, complete := conn.Next(testClasses); !complete || !incoming.Large {
		t.Fatal("not taken as a stream")
	}
	conn.Begin()
	if got := conn.TimeLeft(ms(500), ms(900)); got != ms(900) {
		t.Errorf("%v left of a client that has more to send", got)
	}
	conn.PauseReading(ms(500))
	if got := conn.TimeLeft(ms(700), ms(900)); got != ms(700) {
		t.Errorf("%v left of a client whose last byte may lie unread", got)
	}
	conn.ResumeReading(ms(700))
	var body bytes.Buffer
	for _, part := range [][]byte{raw[100<<10 : 200<<10], raw[200<<10:]} {
		conn.Feed(ms(700), part)
		piece, _, _ := conn.Pieces()
		body.Write(piece)
	}
	if got := conn.LastByteSent(); got != ms(500) {
		t.Errorf("written at %v, want when reading stopped", got)
	}
}
