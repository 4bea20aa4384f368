package downstream

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// testClasses returns a class of the requested method for the names view and bid.
func testClasses(name, method string) (Class, bool) {
	return Class{Name: name, Method: method}, name == "view" || name == "bid"
}

// partialBid returns a request that states a body of length bytes and contains the first sent bytes of it.
func partialBid(length, sent int) []byte {
	head := "POST /bid HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: bid\r\nX-Expires-In: 900m\r\n"
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("x", sent))
}

// fragment is a part of a request.
type fragment struct {
	at   time.Duration // when it arrives, from the accept of the connection
	data []byte
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// A client that stops in the middle of a request reaches its deadline within ErrorDeadline (3 s) of its last byte, or
// 2.5 s after connecting if it stops earlier. The deadline of a client that continues at the minimum rate is extended.
func TestRequestDeadline(t *testing.T) {
	head, body := partialBid(60<<10, 0), partialBid(60<<10, 60<<10-1)
	steady := []fragment{{ms(2000), head}}
	for at := 2100; at <= 3000; at += 100 {
		steady = append(steady, fragment{ms(at), make([]byte, 5000)})
	}
	for name, c := range map[string]struct {
		fragments []fragment
		want      time.Duration
	}{
		"nothing received":              {nil, ms(2500)},
		"part of a head":                {[]fragment{{ms(100), head[:20]}}, ms(2500)},
		"a head in slow parts":          {[]fragment{{ms(100), head[:20]}, {ms(2400), head[20:40]}}, ms(2500)},
		"a complete head, no body":      {[]fragment{{ms(100), head}}, ms(2500)},
		"most of a body at once":        {[]fragment{{ms(100), body}}, ms(2500)},
		"most of a body after 2.4 s":    {[]fragment{{ms(2400), body}}, ms(2900)},
		"a body above the minimum rate": {steady, ms(3500)},
		"a body below the minimum rate": {[]fragment{{ms(2000), head}, {ms(2450), []byte("xx")}}, ms(2503)},
		"head and 1 % of a large body":  {[]fragment{{ms(100), partialBid(1<<20, 10<<10)}}, ms(2500)},
	} {
		conn := NewConns(1).Add(1, 0)
		for _, p := range c.fragments {
			conn.RequestBytes += len(p.data)
			conn.Feed(p.at, p.data)
			if _, complete := conn.Next(testClasses); complete {
				t.Fatalf("%s: the incomplete request was returned as complete", name)
			}
		}
		if got := conn.RequestDeadline().Truncate(time.Millisecond); got != c.want {
			t.Errorf("%s: deadline %v, want %v", name, got, c.want)
		}
		if got := conn.RequestDeadline(); len(c.fragments) > 0 &&
			got > c.fragments[len(c.fragments)-1].at+ErrorDeadline {
			t.Errorf("%s: deadline %v is more than 3 s after the last byte", name, got)
		}
	}
}

// A streamed request is incomplete while the client has more to send and the connection is read, but not because
// received data is not yet forwarded to an endpoint. After reading resumes, the client has StreamReadTimeout to send
// more.
func TestIncompleteStreamedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		raw  []byte
		want bool
	}{
		"stated length, all received":       {partialBid(66<<10, 66<<10), false},
		"stated length, part received":      {partialBid(300<<10, 66<<10), true},
		"chunked, part received":            {chunkedBid(5, false), true},
		"chunked, all received":             {chunkedBid(5, true), false},
		"chunked, malformed chunk size":     {append(chunkedBid(5, false), "zz\r\n"...), false},
		"chunked, half of the end received": {append(chunkedBid(5, false), "0\r\n"...), true},
	} {
		conn := NewConns(1).Add(1, 0)
		conn.Feed(0, c.raw)
		incoming, complete := conn.Next(testClasses)
		if !complete || !incoming.Large || incoming.Fault != nil {
			t.Fatalf("%s: not returned as a valid large request: complete %v, %+v", name, complete, incoming)
		}
		conn.BeginStream()
		if got := conn.Incomplete(); got != c.want {
			t.Errorf("%s: incomplete %v, want %v", name, got, c.want)
		}
		conn.ReadingPaused = true
		if conn.Incomplete() {
			t.Errorf("%s: incomplete while reading is paused", name)
		}
		conn.ResumeReading(ms(9000))
		if got := conn.RequestDeadline(); got != ms(9000)+StreamReadTimeout {
			t.Errorf("%s: deadline %v, want %v", name, got, ms(9000)+StreamReadTimeout)
		}
	}
}

// chunkedBid returns a request with a body of the given number of chunks of 16 KiB, and with the last, empty chunk if
// complete is set.
func chunkedBid(chunks int, complete bool) []byte {
	var b strings.Builder
	b.WriteString("POST /bid HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: bid\r\nX-Expires-In: 900m\r\n")
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for range chunks {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", 16<<10, strings.Repeat("x", 16<<10))
	}
	if complete {
		b.WriteString("0\r\n\r\n")
	}
	return []byte(b.String())
}
