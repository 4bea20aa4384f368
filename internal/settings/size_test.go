package settings

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// silent takes the decisions of a module that has no requests.
type silent struct{}

func (silent) StartAttempt(balancer.RequestID, balancer.EndpointID, time.Duration) {}
func (silent) Reject(balancer.RequestID, time.Duration)                            {}
func (silent) Fail(balancer.RequestID)                                             {}
func (silent) CancelAttempt(balancer.RequestID, int)                               {}
func (silent) SetTimer(time.Duration, uint32)                                      {}
func (silent) CloseIdle(balancer.EndpointID)                                       {}
func (silent) WatchEndpoints()                                                     {}
func (silent) Log(string)                                                          {}

// sizedSettings words settings with so many classes and tenants.
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

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return ", "
}

// Tenants of the size that is aimed at are read and known to the module.
func TestManyTenantsAreRead(t *testing.T) {
	const tenants = 44_000
	s, err := ParseJSON(sizedSettings(3, tenants))
	if err != nil || len(s.Config.Tenants) != tenants || s.Config.Tenants[tenants-1].Quota != 5 {
		t.Fatalf("%d tenants: %v", len(s.Config.Tenants), err)
	}
	if _, err := balancer.New(s.Config, 1, 0, silent{}); err != nil {
		t.Fatal(err)
	}
}

func benchmarkSettings(b *testing.B, classes, tenants int) {
	raw := sizedSettings(classes, tenants)
	b.ReportAllocs()
	var kept Settings
	var module *balancer.Balancer
	for b.Loop() {
		var err error
		if kept, err = ParseJSON(raw); err != nil {
			b.Fatal(err)
		}
		if module, err = balancer.New(kept.Config, 1, 0, silent{}); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	with := heapInUse()
	runtime.KeepAlive(kept)
	runtime.KeepAlive(module)
	kept, module = Settings{}, nil
	b.ReportMetric(float64(with)-float64(heapInUse()), "kept-bytes")
	runtime.KeepAlive(raw)
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkTenants reads settings and begins a module with them, by tenants.
func BenchmarkTenants(b *testing.B) {
	for _, tenants := range []int{10, 100, 1000, 10_000, 44_000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) { benchmarkSettings(b, 3, tenants) })
	}
}

// BenchmarkClasses does so by classes.
func BenchmarkClasses(b *testing.B) {
	for _, classes := range []int{3, 10, 30, 100, 300} {
		b.Run(fmt.Sprint(classes), func(b *testing.B) { benchmarkSettings(b, classes, 0) })
	}
}
