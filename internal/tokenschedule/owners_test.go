package tokenschedule

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
)

func gatewayNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("g%03d", i))
	}
	return out
}

// Guards against tokens that do not go by shares, and against those of one share that come in bunches.
func TestTokensFollowShares(t *testing.T) {
	owners := ownerShares(4, 1, 1, 2)
	count := make(map[string]int)
	longestGap, last := 0, 0
	for token := uint64(1); token <= 8000; token++ {
		name := Owner(77, token, owners)
		count[name]++
		if name == "g00" {
			longestGap = max(longestGap, int(token)-last)
			last = int(token)
		}
	}
	for i, want := range []int{4000, 1000, 1000, 2000} {
		if got := count[owners[i].Name]; got < want-40 || got > want+40 {
			t.Errorf("%s has %d of 8000, wanted %d", owners[i].Name, got, want)
		}
	}
	if longestGap > 4 {
		t.Errorf("half of all tokens, and %d in a row are others'", longestGap)
	}
	if Owner(1, 1, nil) != "" {
		t.Error("no shares, and somebody owns a token")
	}
}

// Guards against a gateway that comes or goes and moves places of others, and against gateways that own far more than
// others: each endpoint has a few owners of its own.
func TestOwnersDependOnEndpointAndKnownGateways(t *testing.T) {
	all, fewer := NewOwners(12, 3*time.Second), NewOwners(12, 3*time.Second)
	names := gatewayNames(100)
	all.SetGateways(0, names)
	fewer.SetGateways(0, append(names[:50:50], names[51:]...))
	owned, moved := make(map[string]int), 0
	for endpoint := range uint64(200) {
		sets, setsOfFewer := all.Ownerships(0, endpoint), fewer.Ownerships(0, endpoint)
		if len(sets) != 1 || len(sets[0]) != 12 {
			t.Fatalf("endpoint %d: %d sets of owners", endpoint, len(sets))
		}
		sum := 0.0
		for _, one := range sets[0] {
			sum += one.Share
			owned[one.Name]++
			if ShareOf(setsOfFewer[0], one.Name) == 0 && one.Name != "g050" {
				moved++
			}
		}
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("endpoint %d: shares add up to %v", endpoint, sum)
		}
	}
	if len(owned) != 100 || moved != 0 {
		t.Errorf("%d of 100 gateways own tokens, %d others' places moved with one that went", len(owned), moved)
	}
	for name, n := range owned {
		if n < 8 || n > 45 { // 24 on the mean
			t.Errorf("%s owns tokens of %d endpoints of 200", name, n)
		}
	}
	if sets := NewOwners(3, 0).Ownerships(0, 1); sets == nil || len(sets) != 0 {
		t.Error("owners where nobody is known")
	}
}

// Guards against a former set that is dropped while somebody may still go by it, or kept for longer.
func TestPreviousGatewaySetsCountUntilExpired(t *testing.T) {
	o := NewOwners(12, 3*time.Second)
	o.SetGateways(0, gatewayNames(5))
	o.SetGateways(time.Second, gatewayNames(5))
	o.SetGateways(10*time.Second, gatewayNames(6))
	o.SetGateways(11*time.Second, gatewayNames(7))
	for _, test := range []struct {
		at   time.Duration
		want int
	}{{12 * time.Second, 3}, {13 * time.Second, 3}, {13500 * time.Millisecond, 2}, {20 * time.Second, 1}} {
		if got := len(o.Ownerships(test.at, 1)); got != test.want {
			t.Errorf("after %v: %d sets, wanted %d", test.at, got, test.want)
		}
	}
	o.Forget(func(uint64) bool { return false })
	if len(o.sets[0].owners) != 0 {
		t.Error("an endpoint is remembered that is not in slow start")
	}
}

// Guards against owners that are not those that score best among all names, in a cluster of any size.
func TestOwnersHaveTheBestScores(t *testing.T) {
	for _, n := range []int{0, 1, 11, 12, 13, 300, 1024} {
		names := gatewayNames(n)
		for endpoint := range uint64(20) {
			all := slices.SortedFunc(slices.Values(names), func(a, b string) int {
				return cmp.Compare(xxh3.HashStringSeed(a, endpoint), xxh3.HashStringSeed(b, endpoint))
			})
			want := slices.Sorted(slices.Values(all[:min(n, 12)]))
			var got []string
			for _, one := range chooseOwners(endpoint, names, 12) {
				got = append(got, one.Name)
			}
			if !slices.Equal(got, want) {
				t.Fatalf("%d gateways: the owners are %v, want %v", n, got, want)
			}
		}
	}
}

// BenchmarkChooseOwners finds the owners of endpoints in slow start in a cluster of 1,024 gateways.
func BenchmarkChooseOwners(b *testing.B) {
	names := gatewayNames(1024)
	for _, endpoints := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for endpoint := range uint64(endpoints) {
					chooseOwners(endpoint, names, 12)
				}
			}
		})
	}
}
