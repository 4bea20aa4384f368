package tokenschedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const born = 1_700_000_000 * time.Second

func usual() Rule {
	return Rule{InitialFraction: 0.2, Duration: 12 * time.Second, OverloadMultiple: 3, Window: time.Second, ClockSkew: 5 * time.Millisecond}
}

func parts(shares ...float64) (out []Part) {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		out = append(out, Part{fmt.Sprintf("g%02d", i), s / sum})
	}
	return out
}

func TestBeginsIsTheInverseOfReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := usual()
		r.InitialFraction = rapid.Float64Range(0.01, 1).Draw(t, "from")
		h := Endpoint{Capacity: rapid.Float64Range(0.1, 500).Draw(t, "capacity")}
		n := rapid.Float64Range(0, 1e4).Draw(t, "turn")
		if back := r.reached(h, r.begins(h, n)); math.Abs(back-n) > 1e-3*(1+n*1e-3) {
			t.Fatalf("turn %v begins at %v, by when %v are reached", n, r.begins(h, n), back)
		}
	})
}

// Turns go out by shares, and those of a share come evenly.
func TestTurnsGoByShares(t *testing.T) {
	p := parts(4, 1, 1, 2)
	count := make(map[string]int)
	longest, last := 0, 0
	for turn := uint64(1); turn <= 8000; turn++ {
		name := Owner(77, turn, p)
		count[name]++
		if name == "g00" {
			longest = max(longest, int(turn)-last)
			last = int(turn)
		}
	}
	for i, want := range []int{4000, 1000, 1000, 2000} {
		if got := count[p[i].Name]; got < want-40 || got > want+40 {
			t.Errorf("%s has %d of 8000, wanted %d", p[i].Name, got, want)
		}
	}
	if longest > 4 {
		t.Errorf("half of all turns, and %d in a row are others'", longest)
	}
	if Owner(1, 1, nil) != "" {
		t.Error("no parts, and somebody owns a turn")
	}
}

// day plays gateways with a cold host: requests come at random, processes restart and forget, stand still, are cut off, come
// and leave. defect changes how gateways act. It returns the largest number of sends in any window over what the rule allows,
// and which share of that was used while nothing was wrong.
type defect struct {
	forgetsStart bool // a restarted process uses turns from before its start
	ownView      bool // parts follow from those that are alive for each gateway
	noEnd        bool // a turn is good for ever
	countsUp     bool // turns are counted up by time instead of being numbered
	lateClock    time.Duration
	oneDivision  bool // while the known set changes, only the new division is looked at
}

func day(seed uint64, n int, rate float64, troubles bool, d defect) (worst, use float64) {
	const step = 2 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	r := usual()
	h := Endpoint{ID: rng.Uint64(), StartedAt: born, Capacity: 25}
	type gateway struct {
		holder  *Taker
		skew    time.Duration
		stopped time.Duration // until then
		side    int
		credit  float64
		at      time.Duration
		share   float64
	}
	var all []*gateway
	var shares []float64
	for i := range n {
		g := &gateway{skew: time.Duration(rng.Int64N(int64(2*r.ClockSkew))) - r.ClockSkew + d.lateClock*time.Duration(i%2), share: 0.2 + rng.Float64()}
		all = append(all, g)
		shares = append(shares, g.share)
		g.holder = NewTaker(r, fmt.Sprintf("g%02d", i), born-time.Hour)
	}
	whole := parts(shares...)
	// Where there are troubles the known set changes once: a newcomer with as much traffic as all. Gateways hear of it one by
	// one within a second, and go by both divisions for two more. And all are killed at once, three times within moments.
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	grown := parts(append(slices.Clone(shares), sum)...)
	change := 5 * time.Second
	if troubles {
		all = append(all, &gateway{share: 1, holder: NewTaker(r, fmt.Sprintf("g%02d", n), born-time.Hour)})
	} else {
		change = time.Hour
	}
	heard := make([]time.Duration, len(all))
	for i := range heard {
		heard[i] = change + time.Duration(rng.Int64N(int64(time.Second)))
	}
	mass := 8*time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))/step*step
	if d.ownView && troubles {
		for i, g := range all {
			g.side = i % 2
		}
	}
	var sends []float64
	for now := step; now < 13*time.Second; now += step {
		for i, g := range all {
			if troubles && rng.Float64() < 0.0006 {
				g.stopped = now + time.Duration(rng.Int64N(int64(2*time.Second)))
			}
			if now < g.stopped {
				continue
			}
			if troubles && (rng.Float64() < 0.0004 || now >= mass && now < mass+400*time.Millisecond && (now-mass)%(120*time.Millisecond) == 0) { // killed, and back with nothing
				start := born + now + g.skew
				if d.forgetsStart {
					start = born - time.Hour
				}
				g.holder = NewTaker(r, g.holder.name, start)
			}
			if rng.Float64() > rate/float64(n)*step.Seconds()*g.share/0.7 {
				continue
			}
			divisions := [][]Part{whole}
			if i == n && now < change {
				continue // it does not live yet
			}
			switch {
			case now >= heard[i]+2*time.Second || now >= heard[i] && d.oneDivision:
				divisions = [][]Part{grown}
			case now >= heard[i]:
				divisions = [][]Part{whole, grown}
			}
			if d.ownView && troubles { // each side divides among its own
				var mine []float64
				var names []string
				for j, o := range all[:n] {
					if o.side == g.side {
						mine = append(mine, o.share)
						names = append(names, all[j].holder.name)
					}
				}
				own := parts(mine...)
				for j := range own {
					own[j].Name = names[j]
				}
				divisions = [][]Part{own}
			}
			if d.noEnd {
				g.holder.rule.Window = r.Window // the rate stays
				g.holder.rule.ClockSkew = -10 * time.Second
			}
			sent := false
			if d.countsUp {
				g.credit += r.rate() * h.Capacity * (r.InitialFraction + (1-r.InitialFraction)*now.Seconds()/12) * whole[min(i, n-1)].Share * (now - g.at).Seconds()
				g.at = now
				if sent = g.credit >= 1; sent {
					g.credit--
				}
			} else {
				_, sent = g.holder.Take(born+now+g.skew, h, divisions...)
			}
			if sent {
				sends = append(sends, now.Seconds())
			}
		}
	}
	used, allowedAll := 0.0, 0.0
	for i := range sends {
		j := i
		for j < len(sends) && sends[j] < sends[i]+r.Window.Seconds() {
			j++
		}
		mid := sends[i] + r.Window.Seconds()/2
		allowed := r.OverloadMultiple * h.Capacity * (r.InitialFraction + (1-r.InitialFraction)*min(1, mid/12)) * r.Window.Seconds()
		worst = max(worst, float64(j-i)/allowed)
	}
	for s := 1.0; s < 12; s++ {
		for _, at := range sends {
			if at >= s && at < s+1 {
				used++
			}
		}
		allowedAll += r.OverloadMultiple * h.Capacity * (r.InitialFraction + (1-r.InitialFraction)*min(1, (s+0.5)/12))
	}
	return worst, used / allowedAll
}

// No window holds more than the multiple allows, by all gateways together, whatever befalls them; without troubles most of it is
// used, by few gateways and by many.
func TestNoWindowHoldsMoreThanAllowed(t *testing.T) {
	// 400 requests a second in all: forty gateways have ten each, and a turn of theirs is out of time before one comes now and then.
	for n, enough := range map[int]float64{1: 0.75, 3: 0.75, 12: 0.75, 40: 0.65} {
		least, most := 1.0, 0.0
		for seed := range uint64(25) {
			worst, _ := day(seed, n, 400, true, defect{})
			most = max(most, worst)
			worst, use := day(seed, n, 400, false, defect{})
			most, least = max(most, worst), min(least, use)
		}
		t.Logf("%d gateways: at most %.2f of what is allowed in a window, at least %.2f used", n, most, least)
		if most > 1 || least < enough {
			t.Errorf("%d gateways: at most %.2f of what is allowed in a window, at least %.2f used", n, most, least)
		}
	}
}

// What the bound rests on is there for a reason: without it some day breaks it.
func TestPlantedDefectsBreakTheBound(t *testing.T) {
	for name, d := range map[string]defect{
		"a restart forgets its start":     {forgetsStart: true},
		"each side divides among its own": {ownView: true},
		"a turn is good for ever":         {noEnd: true},
		"turns are counted up by time":    {countsUp: true},
		"a clock is off beyond the bound": {lateClock: 400 * time.Millisecond},
		"the new division at once":        {oneDivision: true},
	} {
		caught, most := -1, 0.0
		for seed := range uint64(60) {
			worst, _ := day(seed, 12, 4000, true, d)
			if most = max(most, worst); worst > 1 {
				caught = int(seed)
				break
			}
		}
		t.Logf("%s: seed %d, %.2f at worst", name, caught, most)
		if caught < 0 {
			t.Errorf("%s: not caught, %.2f of what is allowed at worst", name, most)
		}
	}
}

// A stopped process wakes to no heap of turns.
func TestOldTurnsAreGone(t *testing.T) {
	r, h := usual(), Endpoint{ID: 3, StartedAt: born, Capacity: 25}
	o := NewTaker(r, "g00", born-time.Hour)
	taken := 0
	take := func(now time.Duration, h Endpoint, divisions ...[]Part) bool {
		until, ok := o.Take(now, h, divisions...)
		if ok && (until <= now || until > now+r.ValidFor()) {
			t.Errorf("at %v: good until %v", now-born, until-born)
		}
		return ok
	}
	for take(born+10*time.Second, h, parts(1)) {
		taken++
	}
	if most := int(r.reached(h, 10*time.Second)-r.reached(h, 10*time.Second-r.ValidFor())) + 1; taken == 0 || taken > most {
		t.Errorf("%d turns after 10 s, %d are good", taken, most)
	}
	if take(born+10*time.Second, h) {
		t.Error("a turn of no division")
	}
	at, ok := o.Next(born+10*time.Second, h, time.Second, parts(1))
	if !ok || at <= born+10*time.Second || !take(at+time.Microsecond, h, parts(1)) {
		t.Errorf("the next turn is at %v, %v", at-born, ok)
	}
	if _, ok := o.Next(born+10*time.Second, h, time.Second, []Part{{"other", 1}}); ok {
		t.Error("a turn that is another's")
	}
	again := h
	again.StartedAt += 30 * time.Second
	if take(again.StartedAt, again, parts(1)) || !take(again.StartedAt+time.Second, again, parts(1)) {
		t.Error("a host that started again does not begin anew")
	}
	if o.Forget(func(uint64) bool { return false }); len(o.next) != 0 {
		t.Errorf("%d hosts remembered", len(o.next))
	}
}

// Guards against a renamed field changing the hash by which gateways of different versions compare settings.
func TestCanonicalTextIsStable(t *testing.T) {
	rule := Rule{InitialFraction: 0.12, Duration: 24 * time.Second, OverloadMultiple: 3, Window: time.Second, ClockSkew: 20 * time.Millisecond}
	if got, want := rule.Canonical(), "{From:0.12 Warm:24s Multiple:3 Window:1s Skew:20ms}"; got != want {
		t.Errorf("Canonical() = %q, want %q", got, want)
	}
}
