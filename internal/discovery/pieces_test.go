package discovery

import (
	"fmt"
	"net/netip"
	"testing"
)

// Guards against objects and heartbeats that are lost or damaged where the network splits the stream.
func TestWatchReassemblesSplitObjects(t *testing.T) {
	lines := []string{`{"seq":1,"whole":false,"hosts":[]}`,
		`{"seq":2,"whole":false,"hosts":[{"host":"a","health":"removed"}]}`, ``,
		"{\n  \"seq\": 3,\n  \"whole\": true,\n\t\"hosts\": [\n" +
			"    {\"host\": \"a}\\\"{\", \"health\": \"removed\"}\n  ]\n}",
		``, `{"seq":4,"whole":false,"hosts":[]}`}
	stream := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, l := range lines {
		stream += fmt.Sprintf("%x\r\n%s\n\r\n", len(l)+1, l)
	}
	for first := range len(stream) {
		for _, length := range []int{1, 2, 3, 7, 50} {
			w := NewWatch(1, netip.AddrPort{}, 0)
			var got []string
			feed := func(part string) {
				out, ended, err := w.Feed(0, []byte(part))
				if err != nil || ended {
					t.Fatalf("first piece of %d bytes, second of %d: %v", first, length, err)
				}
				for _, l := range out {
					got = append(got, string(l))
				}
			}
			feed(stream[:first])
			second := min(len(stream), first+length)
			feed(stream[first:second])
			feed(stream[second:])
			if fmt.Sprint(got) != fmt.Sprint(lines) {
				t.Fatalf("split at %d and %d: %q", first, second, got)
			}
		}
	}
}

// An object that was cut off at any byte is detected at the next heartbeat (this test allows a second one): the watch
// must not wait for the rest of the object.
func TestTruncatedObjectIsDetectedAtNextHeartbeat(t *testing.T) {
	const object = `{"seq":1,"whole":false,"hosts":[{"host":"a","health":"removed"}]}`
	for cut := 1; cut < len(object); cut++ {
		w := NewWatch(1, netip.AddrPort{}, 0)
		feed := func(line string) error {
			_, _, err := w.Feed(0, []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)))
			return err
		}
		if _, _, err := w.Feed(0, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if feed(object[:cut]) == nil && feed("") == nil && feed("") == nil {
			t.Errorf("cut off after %q: no error after two heartbeats", object[:cut])
		}
	}
}
