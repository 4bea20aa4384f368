package simulation

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Fault is something that goes wrong at a time. Times are milliseconds after the run's begin.
type Fault struct {
	AtMS  int     `json:"at_ms"`
	Do    string  `json:"do"`
	Who   int     `json:"who"`    // number of the host or gateway
	ForMS int     `json:"for_ms"` // until it is undone
	Share float64 `json:"share,omitempty"`
	What  string  `json:"what,omitempty"`
}

// Request is what one client asks.
type Request struct {
	AtMS    int    `json:"at_ms"`
	Unsafe  bool   `json:"unsafe,omitempty"`
	Patient int    `json:"patience_ms"`
	Retries int    `json:"retries,omitempty"`
	Act     string `json:"act,omitempty"` // "" as it should; leave, trickle, half, garbage, silent, stop
	// Sends is the share of the request that a client sends that stops, in Pieces of PauseMS apart.
	Sends   float64 `json:"sends,omitempty"`
	Pieces  int     `json:"pieces,omitempty"`
	PauseMS int     `json:"pause_ms,omitempty"`
	Body    int     `json:"body,omitempty"`   // bytes of a bid's body, past the usual
	Pad     int     `json:"pad,omitempty"`    // bytes that the host adds to its answer
	Chunks  bool    `json:"chunks,omitempty"` // both in chunks
	Fresh   bool    `json:"fresh,omitempty"`
}

// Plan is a whole run: what it consists of, and every fault and request in it.
type Plan struct {
	Seed       uint64  `json:"seed"`
	Profile    string  `json:"profile"`
	Gateways   int     `json:"gateways"`
	Hosts      int     `json:"hosts"`
	Sockets    int     `json:"sockets"`
	LagMS      int     `json:"lag_ms"`
	LatencyUS  int     `json:"latency_us"`
	JitterUS   int     `json:"jitter_us"`
	Split      float64 `json:"split,omitempty"`
	Partial    float64 `json:"partial,omitempty"`
	Resets     float64 `json:"resets,omitempty"`
	LoseDials  float64 `json:"lose_dials,omitempty"`
	CostUS     int     `json:"cost_us,omitempty"`
	Cold       bool    `json:"cold,omitempty"`
	Zones      int     `json:"zones,omitempty"`  // of a fleet; 0 is one zone for all
	Barren     bool    `json:"barren,omitempty"` // the last zone has gateways and no hosts
	Views      bool    `json:"views,omitempty"`  // gateways know of each other
	Shares     bool    `json:"shares,omitempty"` // and divide hosts among them, with Views
	LoseData   float64 `json:"lose_datagrams,omitempty"`
	DoubleData float64 `json:"double_datagrams,omitempty"`
	Pushed     bool    `json:"pushed,omitempty"` // lists come by an agent on each gateway's machine
	// DeadlineMS is the longest deadline of every class; 0 is the usual ones.
	DeadlineMS int `json:"deadline_ms,omitempty"`
	// ClockErrors are how many seconds the machines' wall clocks are ahead at the begin, by gateway.
	ClockErrors []int `json:"clock_errors_s,omitempty"`
	// Calls is how discovery works through calls; nil answers each at once.
	Calls    *CallQueue `json:"calls,omitempty"`
	Faults   []Fault    `json:"faults"`
	Requests []Request  `json:"requests"`
}

// mostGateways is what the addresses of the virtual network have room for.
const mostGateways = 500

// The faults of each profile. A run turns a random subset of them on.
func profiles() map[string][]string {
	hosts := []string{"host-down", "host-drain", "host-replace", "host-hang", "host-silent"}
	spoils := []string{"host-spoil", "host-down", "host-hang", "host-errors"}
	gateways := []string{"gateway-kill", "gateway-term"}
	disc := []string{"discovery-down", "discovery-mute", "discovery-flap", "discovery-lag"}
	rude := []string{"rude-leave", "rude-trickle", "rude-half", "rude-garbage", "rude-silent"}
	net := []string{"net-split", "net-jitter", "net-reset", "net-lose", "net-slow"}
	return map[string][]string{
		"drain-retry":    append([]string{"host-drain", "host-replace", "host-errors", "net-reset", "net-split"}, hosts...),
		"restart-surge":  append([]string{"surge", "net-slow"}, gateways...),
		"cold-return":    {"host-down", "host-cold", "surge", "host-hang", "gateway-kill"},
		"discovery-lies": append([]string{"host-drain", "host-down", "gateway-reload"}, disc...),
		"bad-hosts":      append([]string{"net-split"}, spoils...),
		"rude-clients":   append([]string{"net-split", "gateway-term"}, rude...),
		"upgrade":        {"gateway-upgrade", "gateway-stillborn", "host-drain", "host-replace", "net-split", "surge"},
		"retune":         {"gateway-retune", "gateway-reload", "host-errors", "host-drain"},
		"bulk":           {"bulk", "net-split", "rude-leave", "gateway-term", "host-cut", "host-half"},
		fleetProfile:     {"fleet-replace", "fleet-kill", "fleet-lost", "surge", "net-jitter"},
		"pushed": {"agent-restart", "agent-old", "discovery-down", "discovery-mute", "discovery-flap", "discovery-lag", "host-drain",
			"host-replace", "host-down", "gateway-kill", "gateway-term", "gateway-reload", "gateway-upgrade", "net-reset", "net-jitter"},
		viewsProfile: {"net-lose-data", "net-double-data", "net-jitter", "view-cut", "view-noise", "gateway-halt", "gateway-kill", "gateway-term",
			"gateway-upgrade", "gateway-stillborn", "gateway-reload", "host-drain"},
		sharesProfile: {"net-lose-data", "net-double-data", "net-jitter", "view-cut", "gateway-halt", "gateway-kill", "gateway-term", "gateway-upgrade",
			"gateway-stillborn", "gateway-reload", "host-replace", "host-down", "host-cold", "host-errors", "fleet-replace", "fleet-kill", "surge"},
		discoveryLoadProfile: {"load-reset", "load-silence", "load-end", "load-whole", "load-at-once",
			"surge", "net-jitter"},
		stoppedProfile: {"rude-stop", "rude-silent", "rude-leave", "bulk", "surge", "net-split", "net-jitter", "host-hang", "host-drain",
			"gateway-term", "gateway-kill", "gateway-reload", "gateway-upgrade", "gateway-stillborn"},
		clockProfile: {"clock-step", "clock-step", "gateway-kill", "gateway-term", "gateway-upgrade", "gateway-reload", "host-cold", "host-replace", "host-down", "discovery-flap", "surge"},
		"reload":     {"gateway-reload", "host-drain", "host-replace", "discovery-down", "gateway-term"},
		"everything": slices.Concat(hosts, spoils, gateways, disc, rude, net, []string{"surge", "host-cold", "gateway-reload"}),
	}
}

// fleetProfile is many gateways with thin traffic, in zones that differ in hosts, and troubles of many at once. It is
// large, so that no seed takes it unasked.
const fleetProfile = "fleet"

// discoveryLoadProfile is a discovery that works through calls in turn, while watches end, are reset or fall silent, and hosts
// leave meanwhile. It is as large as the fleet profile for its traffic, so that no seed takes it unasked either.
const discoveryLoadProfile = "discovery-load"

// stoppedProfile is clients that stop in the middle of their requests and stay, with deadlines of all lengths. It came last, so
// no seed takes it unasked: each goes on playing what it did.
const stoppedProfile = "stopped-clients"

// clockProfile is machines whose wall clocks are wrong by seconds or an hour when processes begin, while hosts start cold. Taken by no
// seed unasked, as above.
const clockProfile = "clock"

// unasked reports whether a seed without a profile may take one.
func unasked(profile string) bool {
	return profile != fleetProfile && profile != discoveryLoadProfile && profile != stoppedProfile && profile != clockProfile
}

// Profiles lists the profiles by name.
func Profiles() []string {
	var names []string
	for n := range profiles() {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Size overrides how large a run is drawn; zero leaves a figure to the seed.
type Size struct{ Gateways, Hosts, Requests int }

// Draw makes the plan of a seed. An empty profile takes one by the seed.
func Draw(seed uint64, profile string) (Plan, error) { return DrawSized(seed, profile, Size{}) }

// DrawSized makes a plan of a stated size.
func DrawSized(seed uint64, profile string, size Size) (Plan, error) {
	rng := rand.New(rand.NewPCG(seed, 0xd1ce))
	all := Profiles()
	if profile == "" {
		small := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return !unasked(name) })
		profile = small[rng.IntN(len(small))]
	}
	kinds, ok := profiles()[profile]
	if !ok {
		return Plan{}, fmt.Errorf("profile %q is none of %v", profile, all)
	}
	p := Plan{Seed: seed, Profile: profile, Gateways: 1 + rng.IntN(3), Hosts: 2 + rng.IntN(7), Sockets: 256 + rng.IntN(512),
		LagMS: rng.IntN(1500), LatencyUS: 50 + rng.IntN(400), CostUS: 5 + rng.IntN(30)}
	if size.Gateways < 0 || size.Gateways > mostGateways || size.Hosts < 0 || size.Hosts > 1000 || size.Requests < 0 || size.Requests > 1e7 {
		return Plan{}, fmt.Errorf("gateways must be 1 to %d, hosts 1 to 1000, requests at most 10000000", mostGateways)
	}
	if profile == "cold-return" && rng.IntN(2) == 0 {
		p.Gateways = 4 + rng.IntN(13) // it is all gateways together that push a cold host over
	}
	if profile == fleetProfile {
		p.Gateways, p.Hosts, p.Zones = 100+rng.IntN(201), 60+rng.IntN(141), 2+rng.IntN(4)
	}
	if profile == viewsProfile {
		p.Gateways, p.Views = 2+rng.IntN(9), true
	}
	if profile == sharesProfile {
		p.Gateways, p.Hosts, p.Views, p.Shares, p.Cold = 2+rng.IntN(15), 2+rng.IntN(15), true, true, rng.IntN(2) == 0
		if rng.IntN(3) == 0 {
			p.Zones, p.Barren = 2+rng.IntN(3), rng.IntN(2) == 0
		}
	}
	p.Pushed = profile == "pushed"
	if profile == clockProfile {
		p.Gateways, p.Cold = 2+rng.IntN(11), rng.IntN(2) == 0
		for range p.Gateways {
			p.ClockErrors = append(p.ClockErrors, drawClockError(rng))
		}
	}
	if profile == stoppedProfile {
		p.DeadlineMS = []int{900, 2500, 3700, 4600, 12000}[rng.IntN(5)]
	}
	if profile == discoveryLoadProfile {
		p.Gateways, p.Hosts = 20+rng.IntN(41), 6+rng.IntN(7)
	}
	p.Gateways, p.Hosts = cmp.Or(size.Gateways, p.Gateways), cmp.Or(size.Hosts, p.Hosts)
	on := make(map[string]bool)
	for _, k := range kinds { // swarm testing: faults that are always on together hide one another
		if rng.IntN(2) == 0 {
			on[k] = true
		}
	}
	between := func(least, most int) int { return least + rng.IntN(most-least+1) }
	if on["net-split"] {
		p.Split, p.Partial = 0.2, 0.3
	}
	if on["net-jitter"] {
		p.JitterUS = between(500, 8000)
	}
	if on["net-reset"] {
		p.Resets = 0.002
	}
	if on["net-lose"] {
		p.LoseDials = 0.02
	}
	if on["net-lose-data"] {
		p.LoseData = 0.02 + 0.13*rng.Float64()
		if profile == sharesProfile {
			p.LoseData = 0.5 * rng.Float64()
		}
	}
	if on["net-double-data"] {
		p.DoubleData = 0.1
	}
	if on["net-slow"] {
		p.CostUS = between(100, 400)
	}
	length := between(6000, 14000)
	if profile == fleetProfile {
		length = 14000
	}
	if profile == sharesProfile {
		length += 8000 // a view settles in some seconds, and a host takes twelve to warm
	}
	rate := float64(p.Hosts) * (8 + 12*rng.Float64()) // of some 25 a second that a host can do
	if profile == discoveryLoadProfile {
		length, rate = between(24000, 32000), rate*0.4
		p.Calls = p.drawCalls(on, rng)
	}
	if size.Requests > 0 {
		length = max(2000, int(float64(size.Requests)/rate*1000))
	}
	// A slow processor is one thing, one that cannot do its work at all another: no rule can be kept on that.
	const eventsOfRequest, surge, most = 20, 2.5, 0.6
	p.CostUS = min(p.CostUS, int(most*1e6/(rate/float64(p.Gateways)*eventsOfRequest*surge)))
	times := 1 + (p.Hosts+p.Gateways)/20*length/20000 // faults are as dense in large runs
	for _, k := range kinds {
		if !on[k] || k[:4] == "net-" || k[:4] == "flee" || k[:4] == "load" || k[:4] == "rude" || k == "surge" || k == "bulk" {
			continue
		}
		on[k] = false // some stand in a profile twice
		for range times * between(1, 3) {
			f := Fault{AtMS: between(500, length-1000), Do: k, ForMS: between(200, 4000)}
			switch {
			case k[:4] == "host":
				f.Who = rng.IntN(p.Hosts)
			case k[:4] == "gate", k[:4] == "view", k[:5] == "clock", k[:5] == "agent":
				f.Who = rng.IntN(p.Gateways)
			}
			switch k {
			case "view-cut":
				f.What, f.ForMS = []string{"part", "one-way", "pair"}[rng.IntN(3)], between(500, 20000)
			case "gateway-halt":
				f.ForMS = between(200, 9000)
			case "host-spoil":
				what := spoils()
				f.What, f.Share = what[rng.IntN(len(what))], 0.02+0.3*rng.Float64()
			case "host-cut", "host-half":
				f.Share = 0.1 + 0.4*rng.Float64()
			case "host-errors":
				f.Share = 0.05 + 0.4*rng.Float64()
			case "gateway-term", "gateway-kill", "gateway-upgrade", "gateway-stillborn":
				f.ForMS = between(200, 1500)
			case "discovery-lag":
				f.Share = float64(between(0, 4000))
			case "clock-step":
				f.Share = float64(drawClockError(rng))
			case "gateway-reload":
				if rng.IntN(4) == 0 {
					f.What = "faulty"
				}
			}
			p.Faults = append(p.Faults, f)
		}
	}
	p.Faults = append(p.Faults, p.fleetFaults(on, between)...)
	if profile == discoveryLoadProfile {
		p.Faults = append(p.Faults, p.loadFaults(on, between, length)...)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.AtMS, b.AtMS) })
	var rude []string
	for _, k := range kinds {
		if k[:4] == "rude" && on[k] {
			rude = append(rude, k[5:])
		}
	}
	jumpAt, jumpTo := between(2000, length), 0
	if on["surge"] {
		jumpTo = jumpAt + between(1000, 4000)
	}
	for at := 0.0; at < float64(length); {
		r := rate
		if int(at) >= jumpAt && int(at) < jumpTo {
			r *= 2.5
		}
		at += rng.ExpFloat64() * 1000 / r
		q := Request{AtMS: int(at), Unsafe: rng.Float64() < 0.36, Patient: between(1200, 2500), Fresh: rng.IntN(20) == 0}
		if rng.IntN(3) == 0 {
			q.Retries = 1
		}
		if on["bulk"] && rng.IntN(8) == 0 {
			q.Chunks = rng.IntN(2) == 0
			if q.Unsafe {
				q.Body = 50_000 + rng.IntN(300_000)
			}
			if rng.IntN(2) == 0 || !q.Unsafe {
				q.Pad = 50_000 + rng.IntN(300_000)
			}
		}
		if len(rude) > 0 && rng.IntN(10) == 0 {
			q.Act, q.Retries = rude[rng.IntN(len(rude))], 0
		}
		if q.Act == "stop" {
			q.Sends, q.Pieces, q.PauseMS = rng.Float64(), between(1, 3), between(10, 700)
		}
		p.Requests = append(p.Requests, q)
	}
	return p, nil
}

// drawClockError is how many seconds a machine's wall clock is ahead.
func drawClockError(rng *rand.Rand) int { return []int{-3600, 3600, -7, 0}[rng.IntN(4)] }

// fleetFaults are what befalls many at once: every other host replaced within some seconds, seven in ten gateways killed
// within moments, all hosts of a zone gone for seconds and back cold.
func (p *Plan) fleetFaults(on map[string]bool, between func(int, int) int) []Fault {
	var list []Fault
	if on["fleet-replace"] {
		at, within := between(1500, 3000), between(500, 4000)
		for n := 0; n < p.Hosts; n += 2 {
			list = append(list, Fault{AtMS: at + between(0, within), Do: "host-replace", Who: n})
		}
	}
	if on["fleet-kill"] {
		at := between(2000, 8000)
		for n := range p.Gateways {
			if between(1, 10) <= 7 {
				list = append(list, Fault{AtMS: at + between(0, 300), Do: "gateway-kill", Who: n, ForMS: between(200, 1500)})
			}
		}
	}
	if on["fleet-lost"] {
		at, zone, gone := between(2000, 6000), between(0, p.Zones-1), between(1500, 4000)
		for n := range p.Hosts {
			if zoneOfHost(n, p.hostZones()) == zone {
				list = append(list, Fault{AtMS: at, Do: "host-down", Who: n, ForMS: gone + between(0, 300)})
			}
		}
	}
	return list
}

// drawCalls is a discovery that needs 1 to 4 s for a call of each gateway, one in four up to 10 s.
func (p *Plan) drawCalls(on map[string]bool, rng *rand.Rand) *CallQueue {
	calls := &CallQueue{CallLines: float64(20 + rng.IntN(41)), HostLines: 1, TimeoutMS: 3000, ShedAtOnce: on["load-at-once"], WholeFirst: on["load-whole"]}
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

// loadFaults are storms of calls at discovery with hosts that leave meanwhile, half of them at most.
func (p *Plan) loadFaults(on map[string]bool, between func(int, int) int, length int) []Fault {
	var list []Fault
	leaving := 0
	for at := between(2000, 4000); at < length-8000; at += between(6000, 9000) {
		if on["load-reset"] {
			list = append(list, Fault{AtMS: at, Do: "discovery-reset"})
		}
		if on["load-silence"] {
			list = append(list, Fault{AtMS: at + between(-500, 2000), Do: "discovery-silence", ForMS: between(1000, 6000)})
		}
		for range between(1, 2) {
			if 2*leaving >= p.Hosts-1 {
				break
			}
			how := []string{"host-drain", "host-replace"}[between(0, 1)]
			list = append(list, Fault{AtMS: at + between(-500, 3000), Do: how, Who: leaving, ForMS: between(9000, 15000)})
			leaving++
		}
	}
	return list
}

// hostZones is how many zones have hosts.
func (p *Plan) hostZones() int {
	if p.Barren {
		return p.Zones - 1
	}
	return p.Zones
}

// zoneOfHost puts twice as many hosts into the first zone as into each other. Gateways are spread evenly.
func zoneOfHost(n, zones int) int { return max(0, n%(zones+1)-1) }

func spoils() []string {
	return []string{"reset-before", "reset-middle", "garbage", "extra", "interim", "long-length", "close-after", "endless-1xx", "bare-503"}
}

// ReadPlan reads a kept plan.
func ReadPlan(path string) (Plan, error) {
	var p Plan
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(raw, &p); err != nil {
		return p, fmt.Errorf("%s: %w", path, err)
	}
	if p.Gateways < 1 || p.Gateways > mostGateways || p.Hosts < 1 || p.Hosts > 1000 {
		return p, fmt.Errorf("%s: gateways must be 1 to %d and hosts 1 to 1000", path, mostGateways)
	}
	if p.Calls != nil {
		if err := p.Calls.check(); err != nil {
			return p, fmt.Errorf("%s: %w", path, err)
		}
	}
	return p, nil
}

// Write keeps a plan.
func (p Plan) Write(path string) error {
	raw, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// Shrink drops faults and requests as long as the run still breaks the rule, halves first. It plays at most so
// many runs, and none once ctx is done: the plan is then the smallest so far.
func Shrink(ctx context.Context, p Plan, rule string, most int) (Plan, int) {
	runs := 0
	breaks := func(q Plan) bool {
		runs++
		return slices.ContainsFunc(PlayContext(ctx, q, nil).Findings, func(f Finding) bool { return f.Rule == rule })
	}
	for again := true; again && runs < most && ctx.Err() == nil; {
		again = false
		p.Faults = reduce(p.Faults, func(part []Fault) bool {
			q := p
			q.Faults = part
			return runs < most && ctx.Err() == nil && breaks(q)
		}, &again)
		p.Requests = reduce(p.Requests, func(part []Request) bool {
			q := p
			q.Requests = part
			return runs < most && ctx.Err() == nil && breaks(q)
		}, &again)
	}
	return p, runs
}

// reduce leaves out runs of a list, long ones first, where the rest is still enough.
func reduce[T any](list []T, enough func([]T) bool, less *bool) []T {
	for size := max(1, len(list)/2); size >= 1; size /= 2 {
		for from := 0; from < len(list); {
			part := slices.Concat(list[:from], list[min(len(list), from+size):])
			if enough(part) {
				list, *less = part, true
				continue
			}
			from += size
		}
	}
	return list
}

func msec(n int) time.Duration { return time.Duration(n) * time.Millisecond }
