package discovery

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// quiet ignores every call of the balancer.
type quiet struct{}

func (quiet) StartAttempt(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (quiet) Reject(balancer.RequestID, time.Duration)                            {}
func (quiet) Fail(balancer.RequestID)                                             {}
func (quiet) CancelAttempt(balancer.RequestID, int)                               {}
func (quiet) SetTimer(time.Duration, uint32)                                      {}
func (quiet) CloseIdle(balancer.EndpointID)                                       {}
func (quiet) WatchEndpoints()                                                     {}
func (quiet) Log(string)                                                          {}

func newModule(tb testing.TB) *balancer.Balancer {
	tb.Helper()
	b, err := balancer.New(balancer.Config{
		Gateways: 1, MaxAttempts: 2, SlowStartFraction: 1, OverloadMultiple: 1, OverQuotaWeight: 1, TotalGoalWeight: 1,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 1}},
	}, 1, time.Second, quiet{})
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// list returns a snapshot of count endpoints, named by the numbers from first on.
func list(seq, count, first int, health string) []byte {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = entryText(fmt.Sprintf("s-%08x", first+i), health, 5)
	}
	return encodedList(seq, true, entries...)
}

// A snapshot of any supported size is applied as one object, indented or not, and the work grows only with its
// length: allocations per entry are counted, which do not depend on the machine's load.
func TestLongListsAreTakenWhole(t *testing.T) {
	perHost := func(hosts int) float64 {
		first, second := list(1, hosts, 0, "up"), list(2, hosts, hosts/2, "up")
		g := NewEndpoints([]string{"a"})
		return testing.AllocsPerRun(1, func() {
			for _, raw := range [][]byte{first, second} {
				if update := take(t, g, raw); g.Len() != hosts || len(update.Entries) != hosts {
					t.Fatalf("%d hosts of %d", g.Len(), hosts)
				}
			}
		}) / float64(hosts)
	}
	small := perHost(100)
	for _, hosts := range []int{1024, 8000} {
		if large := perHost(hosts); large > 1.25*small {
			t.Errorf("%.1f allocations a host with %d hosts, %.1f with 100", large, hosts, small)
		}
		w := NewWatch(1, netip.AddrPort{}, 0)
		raw := indented(list(1, hosts, 0, "up"))
		lines := feedWatch(t, w, raw)
		if len(lines) != 1 || len(lines[0]) != len(raw) {
			t.Fatalf("%d hosts, indented in %d bytes: %d objects", hosts, len(raw), len(lines))
		}
		if take(t, NewEndpoints([]string{"a"}), lines[0]); w.scanned != 0 {
			t.Errorf("%d bytes are left", w.scanned)
		}
	}
}

// An object larger than the bound is an error that names the bound. Its beginning is not applied.
func TestObjectBeyondTheBound(t *testing.T) {
	w := NewWatch(1, netip.AddrPort{}, 0)
	if _, _, err := w.Feed(0, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	piece := strings.Repeat(entryText("a", "draining", 5)+",", 400)
	if _, _, err := w.Feed(0, []byte("1\r\n{\r\n")); err != nil {
		t.Fatal(err)
	}
	for came := 1; ; came += len(piece) {
		lines, _, err := w.Feed(0, fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece))
		if len(lines) > 0 || came > 2*maxPending {
			t.Fatalf("%d objects after %d bytes", len(lines), came)
		}
		if err != nil {
			if came+len(piece) <= maxPending || !strings.Contains(err.Error(), fmt.Sprint(maxPending)) {
				t.Errorf("after %d bytes: %v", came, err)
			}
			return
		}
	}
}

// indented encodes an object on many lines.
func indented(raw []byte) []byte {
	lines := strings.NewReplacer(`[{`, "[\n  {\n", `},{`, "\n  },\n  {\n", `,"`, ",\n    \"", `}]`, "\n  }\n]")
	return []byte(lines.Replace(string(raw)))
}

// feedWatch feeds an object to a watch in pieces as sockets deliver them, and returns the lines.
func feedWatch(t *testing.T, w *Watch, raw []byte) (lines [][]byte) {
	t.Helper()
	stream := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(raw)+1, raw)
	for len(stream) > 0 {
		n := min(len(stream), 64<<10)
		out, ended, err := w.Feed(0, stream[:n])
		if err != nil || ended {
			t.Fatal(err)
		}
		for _, l := range out {
			if len(l) > 0 {
				lines = append(lines, l)
			}
		}
		stream = stream[n:]
	}
	return lines
}

// BenchmarkApply applies snapshots in which half of the endpoints are new.
func BenchmarkApply(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			lists := [][]byte{list(1, hosts, 0, "up"), list(2, hosts, hosts/2, "up")}
			g, n := NewEndpoints([]string{"a"}), 0
			b.ReportAllocs()
			for b.Loop() {
				if _, err := g.Apply(lists[n%2]); err != nil {
					b.Fatal(err)
				}
				n++
			}
		})
	}
}

// BenchmarkModuleList passes such lists to the balancer.
func BenchmarkModuleList(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			g := NewEndpoints([]string{"a"})
			var entries [2][]balancer.Endpoint
			for i := range entries {
				got, err := g.Apply(list(i+1, hosts, i*hosts/2, "up"))
				if err != nil {
					b.Fatal(err)
				}
				entries[i] = got.Entries
			}
			module, n := newModule(b), 0
			b.ReportAllocs()
			for b.Loop() {
				module.UpdateEndpoints(time.Second, balancer.Snapshot, entries[n%2])
				module.Dispatch(time.Second)
				n++
			}
		})
	}
}
