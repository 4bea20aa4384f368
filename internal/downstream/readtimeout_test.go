package downstream

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// testClasses finds one class for each method.
func testClasses(name, method string) (Class, bool) {
	return Class{Name: name, Method: method}, name == "view" || name == "bid"
}

// partialBid returns a request with a stated body length, of whose body only part is sent.
func partialBid(length, sent int) []byte {
	head := "POST /bid HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: bid\r\nX-Expires-In: 900m\r\n"
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("x", sent))
}

// fragment is a part of a request that arrives at a time after the accept.
type fragment struct {
	at   time.Duration
	data []byte
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// A client that stops gets its error within 3 s of stopping, or of connecting where it stops within the first
// 2.5 s; one that goes on at the lowest rate is waited for.
func TestRequestDeadline(t *testing.T) {
	head, body := partialBid(60<<10, 0), partialBid(60<<10, 60<<10-1)
	steady := []fragment{{ms(2000), head}}
	for at := 2100; at <= 3000; at += 100 {
		steady = append(steady, fragment{ms(at), make([]byte, 5000)})
	}
	for name, c := range map[string]struct {
		fragments []fragment
		want   time.Duration
	}{
		"nothing":                       {nil, ms(2500)},
		"a part of a head":              {[]fragment{{ms(100), head[:20]}}, ms(2500)},
		"a head that drips":             {[]fragment{{ms(100), head[:20]}, {ms(2400), head[20:40]}}, ms(2500)},
		"a head alone":                  {[]fragment{{ms(100), head}}, ms(2500)},
		"most of a body at once":        {[]fragment{{ms(100), body}}, ms(2500)},
		"most of a body, late":          {[]fragment{{ms(2400), body}}, ms(2900)},
		"a body at the least rate":      {steady, ms(3500)},
		"a body far below it":           {[]fragment{{ms(2000), head}, {ms(2450), []byte("xx")}}, ms(2503)},
		"a large one, its head and 1 %": {[]fragment{{ms(100), partialBid(1<<20, 10<<10)}}, ms(2500)},
	} {
		conn := NewConns(1).Add(1, 0)
		for _, p := range c.fragments {
			conn.RequestBytes += len(p.data)
			conn.Feed(p.at, p.data)
			if _, complete := conn.Next(testClasses); complete {
				t.Fatalf("%s: whole", name)
			}
		}
		if got := conn.RequestDeadline().Truncate(time.Millisecond); got != c.want {
			t.Errorf("%s: until %v, want %v", name, got, c.want)
		}
		if got := conn.RequestDeadline(); len(c.fragments) > 0 && got > c.fragments[len(c.fragments)-1].at+ErrorDeadline {
			t.Errorf("%s: until %v, over 3 s after the last byte", name, got)
		}
	}
}

// A client may pause within a streamed body for StreamReadTimeout while the connection is read. Data received but
// not yet forwarded to an endpoint is not waited for.
func TestIncompleteStreamedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		raw  []byte
		want bool
	}{
		"all of it came":    {partialBid(66<<10, 66<<10), false},
		"some is to come":   {partialBid(300<<10, 66<<10), true},
		"chunked, some":     {chunkedBid(5, false), true},
		"chunked, all":      {chunkedBid(5, true), false},
		"chunked, no way":   {append(chunkedBid(5, false), "zz\r\n"...), false},
		"chunked, half end": {append(chunkedBid(5, false), "0\r\n"...), true},
	} {
		conn := NewConns(1).Add(1, 0)
		conn.Feed(0, c.raw)
		incoming, complete := conn.Next(testClasses)
		if !complete || !incoming.Large || incoming.Fault != nil {
			t.Fatalf("%s: %v %+v", name, complete, incoming)
		}
		conn.Begin()
		if got := conn.Incomplete(); got != c.want {
			t.Errorf("%s: incomplete %v, want %v", name, got, c.want)
		}
		conn.Muted = true
		if conn.Incomplete() {
			t.Errorf("%s: waited for though it is not read", name)
		}
		conn.ResumeReading(ms(9000))
		if got := conn.RequestDeadline(); got != ms(9000)+StreamReadTimeout {
			t.Errorf("%s: until %v", name, got)
		}
	}
}

// chunkedBid returns a request of so many chunks of 16 KiB, with or without the last one.
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
