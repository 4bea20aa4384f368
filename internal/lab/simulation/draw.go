package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// planDrawer draws a plan, the full description of a run, from a seed and a profile, the kind of run that fixes
// which faults may occur. The order of its random draws must not change, so that known seeds keep their plans.
type planDrawer struct {
	rng     *rand.Rand
	plan    Plan
	kinds   []string        // fault kinds of the profile
	enabled map[string]bool // the subset of kinds that this plan has
	length  int             // duration of the traffic, in ms
	rate    float64         // requests a second
}

// between draws an integer from the closed interval from low to high.
func (d *planDrawer) between(low, high int) int { return low + d.rng.IntN(high-low+1) }

// drawProfile draws the settings that only the plan's profile has.
func (d *planDrawer) drawProfile() {
	p, rng := &d.plan, d.rng
	switch p.Profile {
	case coldReturnProfile:
		if rng.IntN(2) == 0 {
			p.Gateways = 4 + rng.IntN(13) // a host in slow start is overloaded only by many gateways together
		}
	case fleetProfile:
		p.Gateways, p.Hosts, p.Zones = 100+rng.IntN(201), 60+rng.IntN(141), 2+rng.IntN(4)
	case viewsProfile:
		p.Gateways, p.Views = 2+rng.IntN(9), true
	case sharesProfile:
		p.Gateways, p.Hosts = 2+rng.IntN(15), 2+rng.IntN(15)
		p.Views, p.Shares, p.Cold = true, true, rng.IntN(2) == 0
		if rng.IntN(3) == 0 {
			p.Zones, p.HostlessZone = 2+rng.IntN(3), rng.IntN(2) == 0
		}
	case pushedProfile:
		p.Pushed = true
	case clockProfile:
		p.Gateways, p.Cold = 2+rng.IntN(11), rng.IntN(2) == 0
		for range p.Gateways {
			p.ClockErrors = append(p.ClockErrors, drawClockError(rng))
		}
	case stoppedProfile:
		p.DeadlineMS = []int{900, 2500, 3700, 4600, 12000}[rng.IntN(5)]
	case slowPeersProfile:
		p.KernelBuffers = true
	case discoveryLoadProfile:
		p.Gateways, p.Hosts = 20+rng.IntN(41), 6+rng.IntN(7)
	}
}

// drawKinds enables a random subset of the profile's fault kinds (swarm testing): faults that always occur
// together mask one another.
func (d *planDrawer) drawKinds() {
	for _, kind := range d.kinds {
		if d.rng.IntN(2) == 0 {
			d.enabled[kind] = true
		}
	}
}

// drawNetwork draws the faults of the network.
func (d *planDrawer) drawNetwork() {
	p := &d.plan
	if d.enabled["net-split"] {
		p.Split, p.PartialReads = 0.2, 0.3
	}
	if d.enabled["net-jitter"] {
		p.JitterUS = d.between(500, 8000)
	}
	if d.enabled["net-reset"] {
		p.Resets = 0.002
	}
	if d.enabled["net-lose"] {
		p.LoseDials = 0.02
	}
	if d.enabled["net-lose-data"] {
		p.LoseDatagrams = 0.02 + 0.13*d.rng.Float64()
		if p.Profile == sharesProfile {
			p.LoseDatagrams = 0.5 * d.rng.Float64()
		}
	}
	if d.enabled["net-double-data"] {
		p.DuplicateDatagrams = 0.1
	}
	if d.enabled["net-slow"] {
		p.CostUS = d.between(100, 400)
	}
}

// drawTraffic draws the duration of the traffic and the request rate, and limits the processor time of an event.
func (d *planDrawer) drawTraffic(size Size) {
	p := &d.plan
	d.length = d.between(6000, 14000)
	if p.Profile == fleetProfile {
		d.length = 14000
	}
	if p.Profile == sharesProfile {
		d.length += 8000 // membership takes some seconds to converge, and a host's slow start lasts 12 s
	}
	d.rate = float64(p.Hosts) * (8 + 12*d.rng.Float64()) // each host completes about 25 requests a second
	if p.Profile == discoveryLoadProfile {
		d.length, d.rate = d.between(24000, 32000), d.rate*0.4
		p.Calls = p.drawCalls(d.enabled, d.rng)
	}
	if size.Requests > 0 {
		d.length = max(2000, int(float64(size.Requests)/d.rate*1000))
	}
	// A slow processor is a fault that gateways have to handle. If a processor were overloaded all the time,
	// though, its gateway could not keep any rule, so CostUS is bounded.
	const eventsOfRequest, surge, maxLoad = 20, 2.5, 0.6
	p.CostUS = min(p.CostUS, int(maxLoad*1e6/(d.rate/float64(p.Gateways)*eventsOfRequest*surge)))
}

// drawFaults draws the time, kind and duration of each fault.
func (d *planDrawer) drawFaults() {
	p := &d.plan
	times := 1 + (p.Hosts+p.Gateways)/20*d.length/20000 // large runs have the same density of faults
	for _, kind := range d.kinds {
		if !d.enabled[kind] || drawnSeparately(kind) {
			continue
		}
		d.enabled[kind] = false // a profile may list a kind twice
		for range times * d.between(1, 3) {
			p.Faults = append(p.Faults, d.drawFault(kind))
		}
	}
	p.Faults = append(p.Faults, p.fleetFaults(d.enabled, d.between)...)
	if p.Profile == discoveryLoadProfile {
		p.Faults = append(p.Faults, p.loadFaults(d.enabled, d.between, d.length)...)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
}

// drawnSeparately reports whether a fault kind has no start time of its own: it lasts for the whole run, is drawn
// with the requests, or affects many hosts or gateways together.
func drawnSeparately(kind string) bool {
	for _, prefix := range [...]string{"net-", "flee", "load", "rude", "slow-"} {
		if strings.HasPrefix(kind, prefix) {
			return true
		}
	}
	return kind == "surge" || kind == "bulk"
}

// drawFault draws one fault of the given kind.
func (d *planDrawer) drawFault(kind string) Fault {
	f := Fault{AtMS: d.between(500, d.length-1000), Kind: kind, ForMS: d.between(200, 4000)}
	switch target, _, _ := strings.Cut(kind, "-"); target {
	case "host":
		f.Target = d.rng.IntN(d.plan.Hosts)
	case "gateway", "view", "clock", "agent":
		f.Target = d.rng.IntN(d.plan.Gateways)
	}
	switch kind {
	case "view-cut":
		f.Variant, f.ForMS = []string{"part", "one-way", "pair"}[d.rng.IntN(3)], d.between(500, 20000)
	case "gateway-halt":
		f.ForMS = d.between(200, 9000)
	case "host-spoil":
		what := responseFaults()
		f.Variant, f.Share = what[d.rng.IntN(len(what))], 0.02+0.3*d.rng.Float64()
	case "host-late":
		variants := lateVariants()
		f.Variant, f.Share = variants[d.rng.IntN(len(variants))], 0.1+0.9*d.rng.Float64()
	case "host-cut", "host-half":
		f.Share = 0.1 + 0.4*d.rng.Float64()
	case "host-errors":
		f.Share = 0.05 + 0.4*d.rng.Float64()
	case "gateway-term", "gateway-kill", "gateway-upgrade", "gateway-stillborn":
		f.ForMS = d.between(200, 1500)
	case "discovery-lag":
		f.Share = float64(d.between(0, 4000))
	case "clock-step":
		f.Share = float64(drawClockError(d.rng))
	case "gateway-reload":
		if d.rng.IntN(4) == 0 {
			f.Variant = "faulty"
		}
	}
	return f
}

// drawRequests draws the requests and their times.
func (d *planDrawer) drawRequests() {
	var rude []string
	for _, kind := range d.kinds {
		if name, ok := strings.CutPrefix(kind, "rude-"); ok && d.enabled[kind] {
			rude = append(rude, name)
		}
	}
	surgeFrom, surgeTo := d.between(2000, d.length), 0
	if d.enabled["surge"] {
		surgeTo = surgeFrom + d.between(1000, 4000)
	}
	for at := 0.0; at < float64(d.length); {
		rate := d.rate
		if int(at) >= surgeFrom && int(at) < surgeTo {
			rate *= 2.5
		}
		at += d.rng.ExpFloat64() * 1000 / rate
		d.plan.Requests = append(d.plan.Requests, d.drawRequest(int(at), rude))
	}
}

// drawRequest draws one request, whose client may misbehave in one of the given ways.
func (d *planDrawer) drawRequest(atMS int, rude []string) Request {
	rng := d.rng
	r := Request{AtMS: atMS, Unsafe: rng.Float64() < 0.36, TimeoutMS: d.between(1200, 2500),
		NewConnection: rng.IntN(20) == 0}
	if rng.IntN(3) == 0 {
		r.Retries = 1
	}
	if d.enabled["bulk"] && rng.IntN(8) == 0 {
		r.Chunks = rng.IntN(2) == 0
		if r.Unsafe {
			r.Body = 50_000 + rng.IntN(300_000)
		}
		if rng.IntN(2) == 0 || !r.Unsafe {
			r.Pad = 50_000 + rng.IntN(300_000)
		}
	}
	if len(rude) > 0 && rng.IntN(10) == 0 {
		r.Behaviour, r.Retries = rude[rng.IntN(len(rude))], 0
	}
	if r.Behaviour == "stop" {
		r.SentShare, r.Pieces, r.PauseMS = rng.Float64(), d.between(1, 3), d.between(10, 700)
	}
	switch d.plan.Profile {
	case slowPeersProfile:
		d.drawSlowPeer(&r)
	case hoardersProfile:
		d.drawHoarder(&r)
	case slowHostsProfile:
		d.drawSlowAnswer(&r)
	case blockedPeersProfile:
		d.drawBlockedPeer(&r)
	}
	return r
}

// Size overrides the drawn size of a run. A field that is 0 leaves its value to the seed.
type Size struct{ Gateways, Hosts, Requests int }

// check returns an error if the size is out of bounds.
func (s Size) check() error {
	gatewaysFit := s.Gateways >= 0 && s.Gateways <= maxGateways
	hostsFit := s.Hosts >= 0 && s.Hosts <= maxHosts
	if gatewaysFit && hostsFit && s.Requests >= 0 && s.Requests <= maxRequests {
		return nil
	}
	return fmt.Errorf("gateways must be 1 to %d, hosts 1 to %d, requests at most %d", maxGateways, maxHosts,
		maxRequests)
}

// Draw returns the plan of a seed. With an empty profile, the seed also selects the profile.
func Draw(seed uint64, profile string) (Plan, error) { return DrawSized(seed, profile, Size{}) }

// DrawSized is like Draw, with the given size in place of the drawn one.
func DrawSized(seed uint64, profile string, size Size) (Plan, error) {
	rng := rand.New(rand.NewPCG(seed, 0xd1ce))
	all := Profiles()
	if profile == "" {
		small := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !drawnByDefault(name) })
		profile = small[rng.IntN(len(small))]
	}
	kinds, ok := profiles()[profile]
	if !ok {
		return Plan{}, fmt.Errorf("profile %q is none of %v", profile, all)
	}
	d := planDrawer{rng: rng, kinds: kinds, enabled: make(map[string]bool)}
	d.plan = Plan{
		Seed: seed, Profile: profile, Gateways: 1 + rng.IntN(3), Hosts: 2 + rng.IntN(7), Sockets: 256 + rng.IntN(512),
		LagMS: rng.IntN(1500), NetworkPlan: NetworkPlan{LatencyUS: 50 + rng.IntN(400)}, CostUS: 5 + rng.IntN(30),
	}
	if err := size.check(); err != nil {
		return Plan{}, err
	}
	d.drawProfile()
	d.plan.Gateways, d.plan.Hosts = cmp.Or(size.Gateways, d.plan.Gateways), cmp.Or(size.Hosts, d.plan.Hosts)
	d.drawKinds()
	d.drawNetwork()
	d.drawTraffic(size)
	d.drawFaults()
	d.drawRequests()
	return d.plan, nil
}

// drawClockError draws by how many seconds a machine's wall clock is ahead.
func drawClockError(rng *rand.Rand) int { return []int{-3600, 3600, -7, 0}[rng.IntN(4)] }

// fleetFaults returns the faults that affect many hosts or gateways at once: every other host is replaced
// within 0.5 to 4 s, seven in ten gateways are killed within 0.3 s, or all hosts of a zone fail for 1.5 to 4 s
// and come back in slow start.
func (p *Plan) fleetFaults(on map[string]bool, between func(int, int) int) []Fault {
	var list []Fault
	if on["fleet-replace"] {
		at, within := between(1500, 3000), between(500, 4000)
		for n := 0; n < p.Hosts; n += 2 {
			list = append(list, Fault{AtMS: at + between(0, within), Kind: "host-replace", Target: n})
		}
	}
	if on["fleet-kill"] {
		at := between(2000, 8000)
		for n := range p.Gateways {
			if between(1, 10) <= 7 {
				list = append(list, Fault{AtMS: at + between(0, 300), Kind: "gateway-kill", Target: n,
					ForMS: between(200, 1500)})
			}
		}
	}
	if on["fleet-lost"] {
		at, zone, downMS := between(2000, 6000), between(0, p.Zones-1), between(1500, 4000)
		for n := range p.Hosts {
			if zoneOfHost(n, p.hostZones()) == zone {
				list = append(list, Fault{AtMS: at, Kind: "host-down", Target: n, ForMS: downMS + between(0, 300)})
			}
		}
	}
	return list
}

// drawCalls draws the call queue of a discovery that needs 1 to 4 s to answer one call from each gateway or, in
// one plan of four, 4 to 10 s.
func (p *Plan) drawCalls(on map[string]bool, rng *rand.Rand) *CallQueue {
	calls := &CallQueue{CallLines: float64(20 + rng.IntN(41)), HostLines: 1, TimeoutMS: 3000,
		ShedAtOnce: on["load-at-once"], WholeFirst: on["load-whole"]}
	all := 1 + 3*rng.Float64()
	if rng.IntN(4) == 0 {
		all = 4 + 6*rng.Float64()
	}
	calls.LinesPerSecond = float64(p.Gateways) * (calls.CallLines + float64(p.Hosts)) / all
	if on["load-end"] {
		calls.EndWatches = 0.6 * rng.Float64()
	}
	return calls
}

// loadFaults returns faults that make many gateways call discovery at once, and faults that make hosts leave
// meanwhile; at most half of the hosts leave.
func (p *Plan) loadFaults(on map[string]bool, between func(int, int) int, length int) []Fault {
	var list []Fault
	leaving := 0
	for at := between(2000, 4000); at < length-8000; at += between(6000, 9000) {
		if on["load-reset"] {
			list = append(list, Fault{AtMS: at, Kind: "discovery-reset"})
		}
		if on["load-silence"] {
			list = append(list, Fault{AtMS: at + between(-500, 2000), Kind: "discovery-silence",
				ForMS: between(1000, 6000)})
		}
		for range between(1, 2) {
			if 2*leaving >= p.Hosts-1 {
				break
			}
			how := []string{"host-drain", "host-replace"}[between(0, 1)]
			list = append(list, Fault{AtMS: at + between(-500, 3000), Kind: how, Target: leaving,
				ForMS: between(9000, 15000)})
			leaving++
		}
	}
	return list
}

// hostZones returns the number of zones that have hosts.
func (p *Plan) hostZones() int {
	if p.HostlessZone {
		return p.Zones - 1
	}
	return p.Zones
}

// zoneOfHost returns the zone of a host. The first zone gets twice as many hosts as each other one, while gateways
// are distributed evenly.
func zoneOfHost(n, zones int) int { return max(0, n%(zones+1)-1) }
