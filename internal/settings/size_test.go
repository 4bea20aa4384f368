package settings

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// noActions implements balancer.Actions and ignores every call; the balancer has no requests here.
type noActions struct{}

func (noActions) StartAttempt(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (noActions) Reject(balancer.RequestID, time.Duration)                            {}
func (noActions) Fail(balancer.RequestID)                                             {}
func (noActions) CancelAttempt(balancer.RequestID, int)                               {}
func (noActions) SetTimer(time.Duration, uint32)                                      {}
func (noActions) CloseIdle(balancer.EndpointID)                                       {}
func (noActions) WatchEndpoints()                                                     {}
func (noActions) Log(string)                                                          {}

// sizedSettings returns settings as JSON, with the given numbers of classes and tenants.
func sizedSettings(classes, tenants int) []byte {
	var b bytes.Buffer
	b.WriteString(`{"balancers": 870, "zones": ["a", "b"], "classes": [`)
	for i := range classes {
		fmt.Fprintf(&b, `%s{"name": "class-%04d", "aim_ms": 800, "give_up_ms": 2500, "worth": 2, "repeat": "once"}`,
			separator(i), i)
	}
	b.WriteString(`], "tenants": [`)
	for i := range tenants {
		fmt.Fprintf(&b, `%s{"name": "tenant-%05d", "quota_per_s": 5}`, separator(i), i)
	}
	b.WriteString(`]}`)
	return b.Bytes()
}

// separator returns the text before element i of a JSON list.
func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ", "
}

// The largest supported number of tenants is read from the settings and accepted by the balancer.
func TestManyTenantsAreAccepted(t *testing.T) {
	const tenants = 44_000
	s, err := ParseJSON(sizedSettings(3, tenants))
	if err != nil || len(s.Config.Tenants) != tenants || s.Config.Tenants[tenants-1].Quota != 5 {
		t.Fatalf("%d tenants: %v", len(s.Config.Tenants), err)
	}
	if _, err := balancer.New(s.Config, 1, 0, noActions{}); err != nil {
		t.Fatal(err)
	}
}

// benchmarkSettings reads settings and creates a balancer with them. It reports the heap that both occupy.
func benchmarkSettings(b *testing.B, classes, tenants int) {
	raw := sizedSettings(classes, tenants)
	b.ReportAllocs()
	var kept Settings
	var bal *balancer.Balancer
	for b.Loop() {
		var err error
		if kept, err = ParseJSON(raw); err != nil {
			b.Fatal(err)
		}
		if bal, err = balancer.New(kept.Config, 1, 0, noActions{}); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	heapBefore := heapInUse()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(bal)
	kept, bal = Settings{}, nil
	b.ReportMetric(float64(heapBefore)-float64(heapInUse()), "kept-bytes")
	runtime.KeepAlive(raw)
}

// heapInUse returns the allocated heap in bytes, after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTenants measures benchmarkSettings by the number of tenants.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{10, 100, 1000, 10_000, 44_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) { benchmarkSettings(b, 3, tenants) })
	}
}

// BenchmarkClasses measures benchmarkSettings by the number of classes.
func BenchmarkClasses(b *testing.B) {
	for _, classes := range []int{3, 10, 30, 100, 300} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) { benchmarkSettings(b, classes, 0) })
	}
}
