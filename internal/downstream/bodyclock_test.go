package downstream

import (
	"testing"
	"time"

	"thymebend/internal/loop"
)

// Guards against a client timeout that has not begun although the client, which cannot send because the receive buffer is
// full, may have written the rest of its request.
func TestBlockedClientMayHaveWrittenTheRest(t *testing.T) {
	const received, queued = 100 << 10, 60 << 10
	for _, c := range []struct {
		name   string
		length int
		queues []int // sizes of the receive queue, 100 ms apart, the first one at the pause
		full   bool
		begun  bool
	}{
		{"blocked", 1 << 20, []int{0, queued, queued}, true, true},
		{"blocked since before the pause", 1 << 20, []int{queued, queued}, true, true},
		{"still sending", 1 << 20, []int{0, queued, queued + 1000}, true, false},
		{"free to send, and silent", 1 << 20, []int{0, queued, queued}, false, false},
		{"blocked, with more to come than it can have written", 8 << 20, []int{0, queued, queued}, true, false},
		{"all received", received + queued, []int{0, queued, queued}, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := NewConns(1).Add(1, 0)
			raw := partialBid(c.length, received)
			conn.Feed(ms(10), raw)
			conn.Next(testClasses)
			conn.BeginStream()
			conn.PauseReading(ms(20))
			for i, size := range c.queues {
				conn.ObserveUnread(ms(20+100*i), size, c.full && size > 0)
			}
			// The pause at 20 ms shows nothing about the client, which may have written all of it with the first part.
			deadline, begun := conn.UploadDeadline(ms(900))
			if begun != c.begun || begun && deadline != ms(910) {
				t.Errorf("begun %v, deadline %v, want %v and 910ms", begun, deadline, c.begun)
			}
		})
	}
}

// receiveBuffer is a step of TestTimeOfTheLastByteOfABody: a read, or a look without one.
type receiveBuffer struct {
	atMS   int
	read   int // bytes read; 0 for a look
	unread int // bytes found by a look
	full   bool
}

// Guards against taking a client for free to send and silent although the rest of its body waits in its own kernel: after
// a read that leaves the receive buffer empty that rest arrives first, and a buffer that is not full may still lack the
// room for the client's next segment. Also against a time that stands still while a client sends slowly.
func TestTimeOfTheLastByteOfABody(t *testing.T) {
	const whole = loop.ReadSize // a read that may have left bytes in the receive buffer
	for _, c := range []struct {
		name  string
		steps []receiveBuffer
		want  int // earliest time of the last byte, in ms
	}{
		{"blocked all the time", []receiveBuffer{
			{100, 0, 120 << 10, true}, {200, whole, 0, false}, {201, 0, 56 << 10, true}, {500, 0, 56 << 10, true},
		}, 10},
		{"emptied, and filled at once", []receiveBuffer{
			{100, 0, 65 << 10, true}, {200, whole, 0, false}, {201, 0, 1 << 10, false}, {201, 1 << 10, 0, false},
			{202, 0, 120 << 10, true}, {500, 0, 120 << 10, true},
		}, 10},
		{"half emptied, with no room for a segment", []receiveBuffer{
			{100, 0, 120 << 10, true}, {200, whole, 0, false}, {300, 0, 30 << 10, false}, {400, 0, 30 << 10, false},
		}, 10},
		{"emptied, and silent", []receiveBuffer{
			{100, 0, 65 << 10, true}, {200, whole, 0, false}, {201, 0, 1 << 10, false}, {201, 1 << 10, 0, false}, {300, 0, 0, false},
		}, 300},
		{"a short read that leaves bytes", []receiveBuffer{
			{100, 0, 0, false}, {200, 0, 12_000, false}, {300, 9_000, 0, false},
		}, 200},
		{"slow", []receiveBuffer{
			{100, 1000, 0, false}, {200, 0, 1000, false}, {200, 1000, 0, false}, {300, 0, 1000, false}, {300, 1000, 0, false},
		}, 300},
		{"slow, during a pause", []receiveBuffer{
			{100, 1000, 0, false}, {200, 0, 1000, false}, {300, 0, 2000, false}, {400, 0, 3000, false},
		}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := NewConns(1).Add(1, 0)
			conn.Feed(ms(10), partialBid(2<<20, 100<<10))
			conn.Next(testClasses)
			conn.BeginStream()
			for _, step := range c.steps {
				if step.read == 0 {
					conn.ObserveUnread(ms(step.atMS), step.unread, step.full)
					continue
				}
				conn.Feed(ms(step.atMS), make([]byte, step.read))
			}
			if got := conn.BodySent(); got != ms(c.want) {
				t.Errorf("sent at %v, want %dms", got, c.want)
			}
		})
	}
}

// Guards against counting the time of the gateway's own reading as the client's: a body that arrives as fast as it is read
// may have been written at once.
func TestBodyThatNeverLeavesTheBufferEmpty(t *testing.T) {
	conn := NewConns(1).Add(1, 0)
	conn.Feed(ms(10), partialBid(1<<20, 100<<10))
	conn.Next(testClasses)
	conn.BeginStream()
	for at := 20; at < 500; at += 50 {
		conn.ObserveUnread(ms(at), 2*loop.ReadSize, true)
		conn.Feed(ms(at), make([]byte, loop.ReadSize))
	}
	if got, want := conn.BodySent(), 10*time.Millisecond; got != want {
		t.Errorf("sent at %v, want %v", got, want)
	}
}
