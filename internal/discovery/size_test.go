package discovery

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// noActions implements balancer.Actions and ignores every call.
type noActions struct{}

func (noActions) StartAttempt(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (noActions) Reject(balancer.RequestID, time.Duration)                            {}
func (noActions) Fail(balancer.RequestID)                                             {}
func (noActions) CancelAttempt(balancer.RequestID, int)                               {}
func (noActions) SetTimer(time.Duration, uint32)                                      {}
func (noActions) CloseIdle(balancer.EndpointID)                                       {}
func (noActions) WatchEndpoints()                                                     {}
func (noActions) Log(string)                                                          {}

func newBalancer(tb testing.TB) *balancer.Balancer {
	tb.Helper()
	b, err := balancer.New(balancer.Config{
		Gateways: 1, MaxAttempts: 2, SlowStartFraction: 1, OverloadMultiple: 1, OverQuotaWeight: 1, TotalGoalWeight: 1,
		Classes: []balancer.Class{{Name: "c", LatencyObjective: time.Second, Deadline: 2 * time.Second, Weight: 1}},
	}, 1, time.Second, noActions{})
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// encodedSnapshot returns a snapshot of count endpoints, whose names hold consecutive numbers from first on.
func encodedSnapshot(seq, count, first int, health string) []byte {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = encodedEntry(fmt.Sprintf("s-%08x", first+i), health, 5)
	}
	return encodedList(seq, true, entries...)
}

// A snapshot of any supported size is applied as one object, indented or not, and the work per entry does not grow with
// the size. The test counts allocations per entry, which do not depend on the machine's load.
func TestLongSnapshotIsAppliedAsOneObject(t *testing.T) {
	allocsPerEndpoint := func(count int) float64 {
		first, second := encodedSnapshot(1, count, 0, "up"), encodedSnapshot(2, count, count/2, "up")
		endpoints := NewEndpoints([]string{"a"})
		return testing.AllocsPerRun(1, func() {
			for _, raw := range [][]byte{first, second} {
				if update := mustApply(t, endpoints, raw); endpoints.Len() != count || len(update.Entries) != count {
					t.Fatalf("%d endpoints of %d", endpoints.Len(), count)
				}
			}
		}) / float64(count)
	}
	small := allocsPerEndpoint(100)
	for _, count := range []int{1024, 8000} {
		if large := allocsPerEndpoint(count); large > 1.25*small {
			t.Errorf("%.1f allocations per endpoint with %d endpoints, %.1f with 100", large, count, small)
		}
		w := NewWatch(1, netip.AddrPort{}, 0)
		raw := indented(encodedSnapshot(1, count, 0, "up"))
		lines := feedWatch(t, w, raw)
		if len(lines) != 1 || len(lines[0]) != len(raw) {
			t.Fatalf("%d endpoints, %d bytes indented: %d objects, want 1 of the same length",
				count, len(raw), len(lines))
		}
		if mustApply(t, NewEndpoints([]string{"a"}), lines[0]); w.scanned != 0 {
			t.Errorf("%d scanned bytes remain", w.scanned)
		}
	}
}

// An object above maxPending bytes is rejected with an error that names the limit, and Feed returns no part of it.
func TestObjectAboveSizeLimitIsRejected(t *testing.T) {
	w := NewWatch(1, netip.AddrPort{}, 0)
	if _, _, err := w.Feed(0, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	piece := strings.Repeat(encodedEntry("a", "draining", 5)+",", 400)
	if _, _, err := w.Feed(0, []byte("1\r\n{\r\n")); err != nil {
		t.Fatal(err)
	}
	for received := 1; ; received += len(piece) {
		lines, _, err := w.Feed(0, fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece))
		if len(lines) > 0 || received > 2*maxPending {
			t.Fatalf("%d objects after %d bytes", len(lines), received)
		}
		if err != nil {
			if received+len(piece) <= maxPending || !strings.Contains(err.Error(), fmt.Sprint(maxPending)) {
				t.Errorf("after %d bytes: %v", received, err)
			}
			return
		}
	}
}

// indented inserts line breaks and indentation into an object.
func indented(raw []byte) []byte {
	lines := strings.NewReplacer(`[{`, "[\n  {\n", `},{`, "\n  },\n  {\n", `,"`, ",\n    \"", `}]`, "\n  }\n]")
	return []byte(lines.Replace(string(raw)))
}

// feedWatch feeds an object to a watch in pieces of 64 KiB and returns the objects that the watch delivers.
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

// BenchmarkApply applies alternating snapshots; half of the endpoints of each are new.
func BenchmarkApply(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			lists := [][]byte{encodedSnapshot(1, count, 0, "up"), encodedSnapshot(2, count, count/2, "up")}
			endpoints, n := NewEndpoints([]string{"a"}), 0
			b.ReportAllocs()
			for b.Loop() {
				if _, err := endpoints.Apply(lists[n%2]); err != nil {
					b.Fatal(err)
				}
				n++
			}
		})
	}
}

// BenchmarkUpdateEndpoints passes alternating snapshots, as in BenchmarkApply, to the balancer.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			endpoints := NewEndpoints([]string{"a"})
			var entries [2][]balancer.Endpoint
			for i := range entries {
				got, err := endpoints.Apply(encodedSnapshot(i+1, count, i*count/2, "up"))
				if err != nil {
					b.Fatal(err)
				}
				entries[i] = got.Entries
			}
			bal, n := newBalancer(b), 0
			b.ReportAllocs()
			for b.Loop() {
				bal.UpdateEndpoints(time.Second, balancer.Snapshot, entries[n%2])
				bal.Dispatch(time.Second)
				n++
			}
		})
	}
}
