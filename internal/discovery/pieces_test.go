package discovery

import (
	"fmt"
	"net/netip"
	"testing"
)

// A watch returns whole lines wherever the network cuts them.
func TestWatchLinesInPieces(t *testing.T) {
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
		for _, more := range []int{1, 2, 3, 7, 50} {
			w := NewWatch(1, netip.AddrPort{}, 0)
			var got []string
			feed := func(part string) {
				out, ended, err := w.Feed(0, []byte(part))
				if err != nil || ended {
					t.Fatalf("cut at %d and %d: %v", first, more, err)
				}
				for _, l := range out {
					got = append(got, string(l))
				}
			}
			feed(stream[:first])
			second := min(len(stream), first+more)
			feed(stream[first:second])
			feed(stream[second:])
			if fmt.Sprint(got) != fmt.Sprint(lines) {
				t.Fatalf("cut at %d and %d: %q", first, second, got)
			}
		}
	}
}

// An object that was cut off is detected at the next heartbeat, wherever it was cut: the rest must not be waited for.
func TestTornObjectIsFoundOutByTheNextBeat(t *testing.T) {
	const whole = `{"seq":1,"whole":false,"hosts":[{"host":"a","health":"removed"}]}`
	for at := 1; at < len(whole); at++ {
		w := NewWatch(1, netip.AddrPort{}, 0)
		feed := func(line string) error {
			_, _, err := w.Feed(0, []byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)))
			return err
		}
		if _, _, err := w.Feed(0, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if feed(whole[:at]) == nil && feed("") == nil && feed("") == nil {
			t.Errorf("torn after %q: two beats were taken", whole[:at])
		}
	}
}
