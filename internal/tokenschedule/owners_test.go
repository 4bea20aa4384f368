package tokenschedule

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
)

func users(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("g%03d", i))
	}
	return out
}

// Each host has its own few owners; one that comes or goes moves its own places alone.
func TestOwnersFollowFromTheHostAndWhoIsKnown(t *testing.T) {
	o, fewer := NewOwners(12, 3*time.Second), NewOwners(12, 3*time.Second)
	all := users(100)
	o.Know(0, all)
	fewer.Know(0, append(all[:50:50], all[51:]...))
	held, moved := make(map[string]int), 0
	for host := range uint64(200) {
		d, less := o.Divisions(0, host), fewer.Divisions(0, host)
		if len(d) != 1 || len(d[0]) != 12 {
			t.Fatalf("host %d: %d divisions", host, len(d))
		}
		sum := 0.0
		for _, p := range d[0] {
			sum += p.Share
			held[p.Name]++
			if Share(less[0], p.Name) == 0 && p.Name != "g050" {
				moved++
			}
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("host %d: parts add up to %v", host, sum)
		}
	}
	if len(held) != 100 || moved != 0 {
		t.Errorf("%d of 100 gateways own turns, %d others' places moved with one that went", len(held), moved)
	}
	for name, n := range held {
		if n < 8 || n > 45 { // 24 on the mean
			t.Errorf("%s owns turns of %d hosts of 200", name, n)
		}
	}
	if NewOwners(3, 0).Divisions(0, 1) == nil || len(NewOwners(3, 0).Divisions(0, 1)) != 0 {
		t.Error("divisions of nobody")
	}
}

// Whoever was known counts beside who is, as long as somebody may go by that.
func TestFormerSetsCountForAWhile(t *testing.T) {
	o := NewOwners(12, 3*time.Second)
	o.Know(0, users(5))
	o.Know(time.Second, users(5))
	o.Know(10*time.Second, users(6))
	o.Know(11*time.Second, users(7))
	for at, want := range map[time.Duration]int{12: 3, 13: 3} {
		if got := len(o.Divisions(at*time.Second, 1)); got != want {
			t.Errorf("after %d s: %d divisions, wanted %d", at, got, want)
		}
	}
	if got := len(o.Divisions(13500*time.Millisecond, 1)); got != 2 {
		t.Errorf("after 13.5 s: %d divisions, wanted 2", got)
	}
	if got := len(o.Divisions(20*time.Second, 1)); got != 1 {
		t.Errorf("after 20 s: %d divisions", got)
	}
	o.Forget(func(uint64) bool { return false })
	if len(o.sets[0].divided) != 0 {
		t.Error("a host is remembered that is not cold")
	}
}

// The owners of a host are those that score best for it among all names, in a fleet of any size.
func TestOwnersAreTheBestOfAll(t *testing.T) {
	for _, n := range []int{0, 1, 11, 12, 13, 300, 1024} {
		names := users(n)
		for host := range uint64(20) {
			all := slices.SortedFunc(slices.Values(names), func(a, b string) int {
				return cmp.Compare(xxh3.HashStringSeed(a, host), xxh3.HashStringSeed(b, host))
			})
			want := slices.Sorted(slices.Values(all[:min(n, 12)]))
			var got []string
			for _, p := range divide(host, names, 12) {
				got = append(got, p.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("%d gateways: the owners are %v, want %v", n, got, want)
			}
		}
	}
}

// BenchmarkOwners finds the owners of cold hosts in a fleet of 1,024 gateways.
func BenchmarkOwners(b *testing.B) {
	names := users(1024)
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for host := range uint64(hosts) {
					divide(host, names, 12)
				}
			}
		})
	}
}
