package configsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
	"thymebend/internal/lab/timeline"
)

// What a run must come to.
const (
	forceWithin = 8 * time.Second // a change at all gateways that are alive and reachable
	mostRate    = 2048.0          // bytes a second and gateway, sent and received, over a run
	troubles    = 40 * time.Second
	begins      = 8 * time.Second // of the troubles: processes and the first versions are there
)

// Outcome is what a drawn run came to.
type Outcome struct {
	Gateways  int
	Versions  uint64
	Stops     int           // rollouts that were stopped
	Refused   uint64        // by gateways
	Fenced    uint64        // versions that agents did not take for they were older
	Repeated  uint64        // frames that came twice
	Stalls    uint64        // of agents, noticed
	Converged time.Duration // after the last trouble
	Force     time.Duration // the last change, from its commitment, at all
	Rate      float64       // bytes a second and gateway
	Findings  []string
}

// String words it.
func (o Outcome) String() string {
	return fmt.Sprintf("%d gateways, %d versions, %d stops, %d refused, %d fenced, converged after %v, last change in force after %v, %.0f bytes a second",
		o.Gateways, o.Versions, o.Stops, o.Refused, o.Fenced, o.Converged, o.Force, o.Rate)
}

// World is a fleet on a clock and a network of its own.
type World struct {
	*timeline.Timeline
	Net   *Net
	Fleet *Fleet
}

// NewWorld makes a fleet and what it lives by. None of its processes runs yet.
func NewWorld(cfg Config) *World {
	clock := &timeline.Timeline{}
	net := NewNet(clock, cfg.Seed)
	f := New(cfg, clock, net)
	net.Region = f.RegionOf
	return &World{clock, net, f}
}

// RegionOf is the region of a place.
func (f *Fleet) RegionOf(e Endpoint) string {
	if e.Control {
		return f.Controls[e.Index].Region
	}
	return f.Gateways[e.Index].Region
}

// run is one drawn run.
type run struct {
	*World
	rng  *rand.Rand
	size Size
	out  Outcome
}

// Play draws a fleet and its troubles by a seed, and holds the rules at each step: never an older version after a newer one; what is in force is
// committed, whole and at its stage; a stopped version does not spread; after the last trouble all gateways are at the newest version within 8 s, and a
// change is in force at all of them 8 s after it was committed; what is sent stays bounded.
func Play(seed uint64) Outcome {
	rng := rand.New(rand.NewPCG(seed, 0x5eed))
	gateways := 10 + rng.IntN(31)
	size := Size{Services: 12, Routes: 60, Tenants: 240}
	services := func(i int) (list []string) {
		for k := range size.Services {
			if (i*7+k*5)%3 == 0 || k == i%size.Services {
				list = append(list, ServiceName(k))
			}
		}
		return list
	}
	r := &run{World: NewWorld(Config{Name: "play", Gateways: gateways, Zones: 7, Regions: 2, Services: services, Seed: seed,
		PageBytes: 1 << 10, Snapshots: 40}), rng: rng, size: size}
	r.begin()
	r.drawTroubles()
	r.drawChanges()
	r.Run(begins + troubles)
	r.heal()
	return r.judge()
}

func (r *run) begin() {
	f := r.Fleet
	for i := range f.Controls {
		r.At(time.Duration(r.rng.IntN(300))*time.Millisecond, func() { f.StartControl(i) })
	}
	for i := range f.Gateways {
		r.At(time.Duration(r.rng.IntN(3000))*time.Millisecond, func() { f.StartGateway(i) })
	}
	f.Operate(time.Duration(r.rng.IntN(1500))*time.Millisecond, 0.3)
	r.submitAll(Bootstrap(r.size, r.rng))
}

// submitAll proposes changes one after another.
func (r *run) submitAll(list [][]content.Change) {
	if len(list) > 0 {
		r.Fleet.Submit(list[0], func(content.Ref, error) { r.submitAll(list[1:]) })
	}
}

// at draws a time within the troubles.
func (r *run) at() time.Duration {
	return begins + time.Duration(r.rng.Int64N(int64(troubles)))
}

func (r *run) upTo(most time.Duration) time.Duration { return time.Duration(r.rng.Int64N(int64(most))) }

func (r *run) drawTroubles() {
	f, n := r.Fleet, len(r.Fleet.Gateways)
	r.Net.Jitter = time.Duration(1+r.rng.IntN(40)) * time.Millisecond
	if r.rng.IntN(2) == 0 {
		loss := 0.2 * r.rng.Float64()
		r.At(begins, func() { r.Net.Loss = loss })
	}
	if r.rng.IntN(2) == 0 {
		r.Net.Double = 0.1
	}
	if r.rng.IntN(2) == 0 { // gateways end, and come back or are replaced
		for range 1 + r.rng.IntN(n) {
			who, when, away, replaced := r.rng.IntN(n), r.at(), r.upTo(8*time.Second), r.rng.IntN(4) == 0
			r.At(when, func() { f.KillGateway(who) })
			r.At(when+away, func() {
				if replaced {
					f.ReplaceGateway(who)
				} else {
					f.StartGateway(who)
				}
			})
		}
	}
	if r.rng.IntN(2) == 0 { // gateways stand still
		for range 1 + r.rng.IntN(n) {
			who, when, length := r.rng.IntN(n), r.at(), r.upTo(20*time.Second)
			r.At(when, func() { f.StallGateway(who, length) })
		}
	}
	r.drawControlTroubles()
	r.drawCuts()
}

func (r *run) drawControlTroubles() {
	f := r.Fleet
	restart := func(i int, when, away time.Duration) {
		r.At(when, func() { f.KillControl(i) })
		r.At(when+away, func() { f.StartControl(i) })
	}
	switch r.rng.IntN(5) {
	case 0: // one after another
		when := begins + r.upTo(10*time.Second)
		for i := range f.Controls {
			restart(i, when+time.Duration(i)*3*time.Second, time.Duration(1+r.rng.IntN(2000))*time.Millisecond)
		}
	case 1: // all at once
		when := r.at()
		for i := range f.Controls {
			restart(i, when, time.Duration(1+r.rng.IntN(3000))*time.Millisecond)
		}
	case 2: // the leader, in the middle of something
		for range 1 + r.rng.IntN(3) {
			when, away := r.at(), r.upTo(6*time.Second)
			r.At(when, func() {
				if l := f.Leader(); l != nil {
					f.KillControl(l.at.Index)
					r.At(when+away, func() { f.StartControl(l.at.Index) })
				}
			})
		}
	}
	if r.rng.IntN(3) == 0 {
		for range 1 + r.rng.IntN(4) {
			who, when, length := r.rng.IntN(len(f.Controls)), r.at(), r.upTo(8*time.Second)
			r.At(when, func() { f.StallControl(who, length) })
		}
	}
}

func (r *run) drawCuts() {
	f := r.Fleet
	if r.rng.IntN(2) == 0 {
		return
	}
	one, kind := r.rng.IntN(len(f.Controls)), r.rng.IntN(4)
	when := r.at()
	r.At(when, func() {
		r.Net.Cut = func(from, to Endpoint) bool {
			switch kind {
			case 0, 1: // regions are parted
				return f.RegionOf(from) != f.RegionOf(to)
			case 2: // one control machine is heard by nobody
				return from.Control && from.Index == one
			}
			return from.Control && to.Control && (from.Index == one || to.Index == one) // one is cut off from the others, and its gateways are not
		}
	})
	r.At(when+r.upTo(25*time.Second), func() { r.Net.Cut = nil })
	for range 3 { // a change on each side
		r.At(when+r.upTo(10*time.Second), func() { r.submit(Change(r.size, r.rng)) })
	}
}

func (r *run) submit(changes []content.Change) {
	r.Fleet.Submit(changes, func(content.Ref, error) {})
}

// faulty words a change that a share of the gateways refuse or fail with, or takes it back.
func (r *run) faulty() []content.Change {
	c := content.Change{Entry: content.Entry{Kind: content.Route, Service: ServiceName(r.rng.IntN(r.size.Services)), Name: faultyRoute}}
	word := refusedBy
	if r.rng.IntN(2) == 0 {
		word = failsAt
	}
	c.Entry.Body = fmt.Sprint(word, []int{3, 50, 100}[r.rng.IntN(3)])
	return []content.Change{c}
}

// guest has a tenant come, or go where it is there.
func (r *run) guest() []content.Change {
	service := ServiceName(r.rng.IntN(r.size.Services))
	c := content.Change{Entry: content.Entry{Kind: content.Tenant, Service: service, Name: "guest", Body: body(r.rng)}}
	if leader := r.Fleet.Leader(); leader != nil {
		entries := leader.Controller.Store().Head().Tree.Entries(service)
		c.Remove = slices.ContainsFunc(entries, func(e content.Entry) bool { return e.Name == c.Entry.Name })
	}
	return []content.Change{c}
}

func (r *run) drawChanges() {
	pause := 300*time.Millisecond + r.upTo(4*time.Second)
	faulty := r.rng.IntN(2) == 0
	for at := begins; at < begins+troubles; at += pause/2 + r.upTo(pause) {
		bad := faulty && r.rng.IntN(6) == 0
		r.At(at, func() {
			switch {
			case r.rng.IntN(4) == 0:
				r.submit(r.guest())
				return
			case !bad:
				r.submit(Change(r.size, r.rng))
				return
			}
			change := r.faulty()
			r.Fleet.Submit(change, func(_ content.Ref, err error) {
				if err == nil { // its author takes it back, whether it was stopped or not
					r.At(r.Now()+2*time.Second, func() { r.takeBack(change) })
				}
			})
		})
	}
}

// takeBack has a faulty route replaced by one that is none. One that is not there any more does no harm by it.
func (r *run) takeBack(change []content.Change) {
	c := change[0]
	c.Entry.Body = body(r.rng)
	r.submit([]content.Change{c})
}

// repair words a change after which no service has a faulty route.
func (r *run) repair() (list []content.Change) {
	for i := range r.size.Services {
		list = append(list, content.Change{Entry: content.Entry{Kind: content.Route, Service: ServiceName(i), Name: faultyRoute, Body: body(r.rng)}})
	}
	return list
}

// heal ends all troubles.
func (r *run) heal() {
	f := r.Fleet
	r.Net.Loss, r.Net.Double, r.Net.Cut = 0, 0, nil
	for i, c := range f.Controls {
		f.StartControl(i)
		c.resume(c.advance)
	}
	for i, g := range f.Gateways {
		f.StartGateway(i)
		g.resume(g.advance)
	}
}

// judge holds what has to be true after the troubles.
func (r *run) judge() Outcome {
	f := r.Fleet
	released := uint64(0)
	for _, c := range f.Controls {
		released = max(released, c.Controller.Store().Released().Ref.Number)
	}
	took, ok := r.until(forceWithin, func() bool { return f.behind(released) == "" })
	if r.out.Converged = took; !ok {
		f.Find("%v after the last trouble: %s", forceWithin, f.behind(released))
	}
	if r.mend(); len(f.Findings) == 0 {
		r.out.Force = r.lastChange()
	}
	r.until(mostMending, func() bool { return r.Now()-f.ledger.versions[f.ledger.newest].at >= forceWithin }) // some author may still be at it
	if wrong := f.behind(f.ledger.newest); wrong != "" && len(f.Findings) == 0 {
		f.Find("%v after the newest version was committed: %s", forceWithin, wrong)
	}
	r.sum()
	return r.out
}

// mostMending is how long the authors and the operator may take, after the troubles, to have released what no gateway refuses.
const mostMending = time.Minute

// mend has what is faulty replaced until a version without it is released. Versions before it may be stopped, and it may be taken back with them: then it is
// submitted again.
func (r *run) mend() {
	f := r.Fleet
	_, ok := r.until(mostMending, func() bool {
		leader := f.Leader()
		if leader == nil {
			return false
		}
		store := leader.Controller.Store()
		if store.Released() != store.Head() {
			return false
		}
		_, refused := spoken(store.Head().Tree, refusedBy)
		_, fails := spoken(store.Head().Tree, failsAt)
		if !refused && !fails {
			return true
		}
		r.submit(r.repair())
		r.Run(r.Now() + 3*time.Second)
		return false
	})
	if !ok {
		f.Find("%v after the troubles a rollout is still under way, or what is faulty is released", mostMending)
	}
}

// lastChange submits one more change, and finds how long after its commitment it is in force everywhere.
func (r *run) lastChange() time.Duration {
	f := r.Fleet
	var ref content.Ref
	var committedAt time.Duration
	f.Submit(Change(r.size, r.rng), func(made content.Ref, err error) {
		if err != nil {
			f.Find("the last change: %v", err)
		}
		ref, committedAt = made, r.Now()
	})
	if _, ok := r.until(12*time.Second, func() bool { return ref.Number > 0 }); !ok {
		f.Find("the last change is no version after 12 s")
		return 0
	}
	if _, ok := r.until(forceWithin, func() bool { return f.behind(ref.Number) == "" }); !ok {
		f.Find("%v after version %v was committed: %s", forceWithin, ref, f.behind(ref.Number))
	}
	return r.Now() - committedAt
}

// until lets time pass until something holds.
func (r *run) until(most time.Duration, holds func() bool) (time.Duration, bool) {
	begin := r.Now()
	for !holds() {
		if r.Now()-begin >= most {
			return r.Now() - begin, false
		}
		r.Run(r.Now() + 20*time.Millisecond)
	}
	return r.Now() - begin, true
}

// behind names a living gateway that has not a version in force, or a newer one, and would not refuse either.
func (f *Fleet) behind(number uint64) string {
	for _, g := range f.Gateways {
		if g.up && g.Running.Ref.Number < number && !f.ledger.refuses(g, number) {
			return fmt.Sprintf("%s has version %v in force, not %d", g.Name, g.Running.Ref, number)
		}
	}
	return ""
}

func (r *run) sum() {
	f, o := r.Fleet, &r.out
	o.Gateways, o.Versions = len(f.Gateways), f.ledger.newest
	bytes := uint64(0)
	for _, g := range f.Gateways {
		bytes += g.Sent + g.Received
		o.Repeated += g.Repeated
		counts := g.Agent.Counts()
		o.Refused += counts.Rejected
		o.Fenced += counts.Fenced
		o.Stalls += counts.Stalls
		if counts.Forked > 0 {
			f.Find("%s was offered another content of a version that it had", g.Name)
		}
		if counts.Mismatched > 0 {
			f.Find("%s has collected what was not its version %d times", g.Name, counts.Mismatched)
		}
	}
	for _, v := range f.ledger.versions {
		if v.stoppedAt != 0 {
			o.Stops++
		}
	}
	if o.Rate = float64(bytes) / float64(len(f.Gateways)) / r.Now().Seconds(); o.Rate > mostRate {
		f.Find("%.0f bytes a second and gateway, %.0f at most", o.Rate, mostRate)
	}
	if counts := f.Leader(); counts != nil {
		r.checkLag(counts.Controller)
	}
	o.Findings = f.Findings
}

// checkLag holds the leader's report of who lags against what gateways have in force.
func (r *run) checkLag(leader *configdist.Controller) {
	for _, l := range leader.Lag(r.Now()) {
		for _, g := range r.Fleet.Gateways {
			if g.Name == l.Gateway && g.Running.Ref.Number >= l.Newest && l.Reason != configdist.ReasonFailed {
				r.Fleet.Find("the leader says that %s lags: %s", g.Name, cmp.Or(l.Detail, string(l.Reason)))
			}
		}
	}
}
