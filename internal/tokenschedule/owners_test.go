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

// Guards against tokens that are not distributed in proportion to the shares, and against bunches of consecutive
// tokens of one owner.
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
			t.Errorf("%s owns %d tokens of 8000, want %d", owners[i].Name, got, want)
		}
	}
	if longestGap > 4 {
		t.Errorf("the owner of half of all tokens gets the next one only after %d tokens, want at most 4", longestGap)
	}
	if Owner(1, 1, nil) != "" {
		t.Error("a token has an owner although there are no shares")
	}
}

// Guards against the removal of a gateway changing the ownership of others, and against gateways that own tokens of
// far more endpoints than others do. Each endpoint has a few owners that do not depend on the other endpoints.
func TestOwnersDependOnEndpointAndKnownGateways(t *testing.T) {
	all, fewer := NewOwners(12, 3*time.Second), NewOwners(12, 3*time.Second)
	names := gatewayNames(100)
	all.SetGateways(0, names)
	fewer.SetGateways(0, append(names[:50:50], names[51:]...))
	owned, moved := make(map[string]int), 0
	for endpoint := range uint64(200) {
		sets, setsOfFewer := all.Ownerships(0, endpoint), fewer.Ownerships(0, endpoint)
		if len(sets) != 1 || len(sets[0]) != 12 {
			t.Fatalf("endpoint %d: want one set of 12 owners, have %d sets: %v", endpoint, len(sets), sets)
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
		t.Errorf("%d of 100 gateways own tokens, want all; removing one gateway moved %d ownerships of others, want 0",
			len(owned), moved)
	}
	for name, n := range owned {
		if n < 8 || n > 45 { // 24 on average
			t.Errorf("%s owns tokens of %d endpoints of 200, want 8 to 45", name, n)
		}
	}
	if sets := NewOwners(3, 0).Ownerships(0, 1); sets == nil || len(sets) != 0 {
		t.Error("there are owners although no gateway is known, or the result is nil")
	}
}

// Guards against a previous set of known gateways that is dropped while other gateways may still use it, or that is
// kept longer.
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
			t.Errorf("after %v: %d sets, want %d", test.at, got, test.want)
		}
	}
	o.Forget(func(uint64) bool { return false })
	if len(o.sets[0].owners) != 0 {
		t.Error("owners of an endpoint that is not in slow start are still stored")
	}
}

// Guards against owners other than the names with the best scores of all, in clusters of different sizes.
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
