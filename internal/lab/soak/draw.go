// Package soak generates random drills: 10 to 40 real gateways with overlapping faults of processes, hosts, discovery,
// the network and clients. The drill's rules decide whether a run passes. A seed always yields the same drill as text,
// so that a drill that fails can be kept and reduced by hand.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Limits of Options.
const (
	MinGateways = 10
	MaxGateways = 40
	MinLength   = 10 * time.Second
	MaxLength   = 10 * time.Minute
)

// Options select the drill to generate.
type Options struct {
	Seed     uint64
	Gateways int           // 0: drawn from the seed
	Length   time.Duration // duration of the load; 0: drawn from the seed
}

// Check returns an error if an option is out of its range.
func (o Options) Check() error {
	switch {
	case o.Gateways != 0 && (o.Gateways < MinGateways || o.Gateways > MaxGateways):
		return fmt.Errorf("gateways is %d, must be %d to %d", o.Gateways, MinGateways, MaxGateways)
	case o.Length != 0 && (o.Length < MinLength || o.Length > MaxLength):
		return fmt.Errorf("length is %v, must be %v to %v", o.Length, MinLength, MaxLength)
	}
	return nil
}

// Text returns the drill of a seed as the text of a drill file.
func Text(o Options) (string, error) {
	if err := o.Check(); err != nil {
		return "", err
	}
	g := &generator{random: rand.New(rand.NewPCG(o.Seed, 0x50a7)), gateways: o.Gateways, length: o.Length,
		invalidConfig: make(map[int]bool)}
	if g.gateways == 0 {
		g.gateways = g.intBetween(MinGateways, MaxGateways)
	}
	if g.length == 0 {
		g.length = time.Duration(g.intBetween(16, 24)) * time.Second
	}
	g.settings(o.Seed)
	g.hostsAndLoad()
	for range g.intBetween(3, 8) {
		g.hostEvent()
	}
	for range g.intBetween(1, 3) {
		g.discoveryEvent()
	}
	for range g.intBetween(1, 4) {
		g.configReload()
	}
	for gateway := range g.gateways {
		g.processFaults(gateway)
	}
	for range g.intBetween(1, 4) {
		g.networkFault()
	}
	return g.text.String(), nil
}

// generator draws one drill and writes its text.
type generator struct {
	random   *rand.Rand
	gateways int
	hosts    int
	drained  int // hosts that are drained without a replacement
	length   time.Duration
	// invalidConfig holds the gateways that get an invalid configuration file at some time. A process started while the
	// file is invalid must not run, so these gateways get no process faults.
	invalidConfig map[int]bool
	text          strings.Builder
}

func (g *generator) intBetween(low, high int) int { return low + g.random.IntN(high-low+1) }

func (g *generator) oneOf(list ...string) string { return list[g.random.IntN(len(list))] }

// milliseconds draws a duration in milliseconds and formats it for the file.
func (g *generator) milliseconds(low, high int) string {
	return fmt.Sprintf("%dms", g.intBetween(low, high))
}

// startTime draws the start time of a fault. It leaves out the last 4 s of the load, so that the drill covers the
// fault's end.
func (g *generator) startTime() string {
	return g.milliseconds(500, int(g.length.Milliseconds())-4000)
}

func (g *generator) writeLine(format string, args ...any) { fmt.Fprintf(&g.text, format+"\n", args...) }

// writeTable writes one entry of an array of tables with its fields in order.
func (g *generator) writeTable(name string, fields ...string) {
	g.writeLine("[[%s]]", name)
	for _, field := range fields {
		g.writeLine("%s", field)
	}
	g.writeLine("")
}

func stringField(key, value string) string { return fmt.Sprintf("%s = %q", key, value) }

func numberField(key string, value any) string { return fmt.Sprintf("%s = %v", key, value) }

// settings writes the drawn settings of gateways, discovery and clients, and the traffic classes.
func (g *generator) settings(seed uint64) {
	g.writeLine("name = \"soak-%d\"", seed)
	g.writeLine("title = \"Random faults that overlap, seed %d\"", seed)
	g.writeLine("seed = %d", seed%(1<<62)+1)
	limits := drawLimits(seed, g.gateways, g.intBetween(256, 600))
	g.writeLine("\n[gateways]\ncount = %d\nlog = \"debug\"\nsockets = %d\nmemory_mb = %d\nspread = %v", g.gateways,
		limits.sockets, limits.memoryMB, g.random.IntN(2) == 0)
	g.writeLine("\n[discovery]\nlag = %q", g.milliseconds(0, 400))
	g.writeLine("\n[clients]\nretries = 1\nconnections = %d\nmarks_retry = true\nslow_share = 0.05\nslow_for = \"1500ms\"\nsilent = %d",
		6*g.gateways, g.silentClients())
	g.writeLine("\n[stopped_clients]\nevery = %q\nflood_share = %.2f\n", g.milliseconds(20, 120), floodShare(seed))
	g.writeLine("[hoarders]\ncount = %d\ngateway = %d\n", limits.hoarders, limits.hoardedAt)
	clientTimeouts := []int{900, 2000, 2500, 3700, 4600}
	view, bid := clientTimeouts[g.random.IntN(len(clientTimeouts))], clientTimeouts[g.random.IntN(len(clientTimeouts))]
	g.writeTable("class", stringField("name", "view"), numberField("share", 0.6),
		stringField("aim", fmt.Sprintf("%dms", min(800, view))), stringField("patience", fmt.Sprintf("%dms", view)),
		`work = { dist = "lognormal", mean = "8ms", cv = 1 }`)
	kind := g.oneOf("unsafe = true", "unsafe = true", "keyed = true")
	g.writeTable("class", stringField("name", "bid"), numberField("share", 0.4), kind, numberField("worth", 8),
		stringField("aim", fmt.Sprintf("%dms", min(800, bid))),
		stringField("patience", fmt.Sprintf("%dms", bid)), numberField("body", g.intBetween(10, 4000)),
		`work = { dist = "lognormal", mean = "12ms", cv = 1 }`)
}

// maxFloodShare is the largest share of the stopped clients that send at full speed.
const maxFloodShare = 0.2

// floodShare draws the share of the stopped clients that send at full speed, from a stream of its own: the rest of a seed's
// drill stays as it was.
func floodShare(seed uint64) float64 {
	return maxFloodShare * rand.New(rand.NewPCG(seed, 0xf100d)).Float64()
}

// processLimits are the limits of the gateways' processes, and the clients that make one of them hold much.
type processLimits struct {
	sockets, memoryMB   int
	hoarders, hoardedAt int
}

// drawLimits draws limits from the least to the largest that the operators' pages name, from a stream of its own: the rest
// of a seed's drill stays as it was. Half of the runs have hoarders, and half of these many descriptors at little memory.
func drawLimits(seed uint64, gateways, sockets int) processLimits {
	random := rand.New(rand.NewPCG(seed, 0x40a2d))
	limits := processLimits{sockets: sockets, memoryMB: []int{32, 32, 64, 192}[random.IntN(4)]}
	if random.IntN(2) == 0 {
		limits.hoarders, limits.hoardedAt = 100+random.IntN(500), random.IntN(gateways)
		if random.IntN(2) == 0 {
			limits.sockets, limits.memoryMB = 1024, 32
		}
		limits.hoarders = min(limits.hoarders, limits.sockets/2)
	}
	return limits
}

// maxCrowd is the largest number of silent clients. The rig has a descriptor for each.
const maxCrowd = 4000

// silentClients draws the number of clients that connect and send nothing: a few, or in one run of four a crowd that fills
// a large part of the gateways' descriptors.
func (g *generator) silentClients() int {
	if g.random.IntN(4) == 0 {
		return min(maxCrowd, g.gateways*g.intBetween(60, 200))
	}
	return g.intBetween(0, 2*g.gateways)
}

// hostsAndLoad draws the hosts and a load of about a third of their capacity.
func (g *generator) hostsAndLoad() {
	sites := g.intBetween(1, 3)
	for site := range sites {
		count := g.intBetween(3, 5)
		g.hosts += count
		g.writeTable("hosts", stringField("kind", fmt.Sprintf("h%d", site)), numberField("count", count),
			stringField("site", fmt.Sprintf("site-%d", site)), numberField("cores", 2),
			numberField("queue", 24), numberField("cold_from", 0.3), stringField("cold_for", "6s"),
			numberField("fall_multiple", 3))
	}
	g.writeTable("phase", stringField("for", fmt.Sprintf("%dms", g.length.Milliseconds())),
		numberField("rate", g.hosts*g.intBetween(30, 60)),
		numberField("jump", 1+g.random.Float64()), stringField("jump_at", g.milliseconds(1000, 8000)),
		stringField("jump_for", g.milliseconds(500, 3000)))
}

// hostEvent draws a fault of one or two hosts.
func (g *generator) hostEvent() {
	do := g.oneOf("host-drain", "host-replace", "host-down", "host-cold", "host-cut", "host-hang",
		"host-noreply", "host-pause", "host-slow",
		"host-errors", "host-spoil", "host-spoil", "host-spoil")
	at, count := g.startTime(), g.intBetween(1, 2)
	if do == "host-drain" {
		do = g.drainOrReplace(count)
	}
	fields := []string{stringField("at", at), stringField("do", do), numberField("count", count)}
	if do != "host-cold" {
		fields = append(fields, stringField("for", g.milliseconds(300, 5000)))
	}
	switch do {
	case "host-slow":
		fields = append(fields, numberField("factor", 0.1+0.5*g.random.Float64()))
	case "host-errors":
		fields = append(fields, numberField("share", g.random.Float64()))
	case "host-spoil":
		// "short-length" is left out: under HTTP framing a response with too short a Content-Length is complete, so
		// no rule can detect it.
		fields = append(fields, numberField("share", 0.5*g.random.Float64()),
			stringField("fault", g.oneOf("reset-before", "reset-middle", "trickle",
				"long-length", "extra-bytes", "interim", "garbage", "endless", "close-idle", "half-close",
				"no-length", "late-copy", "late-bytes")))
	}
	g.writeTable("event", fields...)
}

// minHosts is the number of hosts that are not drained for good: a gateway that starts without any is not ready.
const minHosts = 2

// drainOrReplace returns the kind of event that drains a number of hosts: with replacements where fewer than minHosts would
// be left.
func (g *generator) drainOrReplace(count int) string {
	if g.hosts-g.drained-count < minHosts {
		return "host-replace"
	}
	g.drained += count
	return "host-drain"
}

// discoveryEvent draws a fault of discovery.
func (g *generator) discoveryEvent() {
	switch do := g.oneOf("discovery-down", "discovery-mute", "discovery-flap", "discovery-lag"); do {
	case "discovery-flap":
		g.writeTable("event", stringField("at", g.startTime()), stringField("do", do))
	case "discovery-lag":
		g.writeTable("event", stringField("at", g.startTime()), stringField("do", do),
			stringField("lag", g.milliseconds(0, 1500)))
	default:
		g.writeTable("event", stringField("at", g.startTime()), stringField("do", do),
			stringField("for", g.milliseconds(300, 6000)))
	}
}

// configReload reloads one gateway with a new configuration, which is invalid in one case of three.
func (g *generator) configReload() {
	at, gateway, faulty := g.startTime(), g.random.IntN(g.gateways), g.random.IntN(3) == 0
	g.invalidConfig[gateway] = g.invalidConfig[gateway] || faulty
	g.writeTable("event", stringField("at", at), stringField("do", "gateway-reload"),
		numberField("gateway", gateway), numberField("faulty", faulty))
}

// minFaultInterval is the minimum time between the end of a fault of a gateway's process and the start of its next one:
// a process cannot be ended twice at the same time. Faults of different gateways, of hosts, discovery and paths may
// overlap freely.
const minFaultInterval = 5 * time.Second

// processFaults draws the faults of a gateway's process, which follow one another. About half of the gateways get none,
// and so do gateways in invalidConfig.
func (g *generator) processFaults(gateway int) {
	if g.random.IntN(2) == 0 || g.invalidConfig[gateway] {
		return
	}
	end := g.length - 4*time.Second
	for at := time.Duration(g.intBetween(500, int(g.length.Milliseconds()))) * time.Millisecond; at < end; {
		do := g.oneOf("gateway-kill", "gateway-term", "gateway-signals", "gateway-stop", "gateway-slow",
			"gateway-upgrade", "gateway-old")
		takes := time.Duration(g.intBetween(200, 2500)) * time.Millisecond
		fields := []string{stringField("at", fmt.Sprintf("%dms", at.Milliseconds())), stringField("do", do),
			fmt.Sprintf("gateways = [%d]", gateway)}
		if do != "gateway-upgrade" {
			fields = append(fields, stringField("for", fmt.Sprintf("%dms", takes.Milliseconds())))
		}
		if do == "gateway-slow" {
			fields = append(fields, numberField("share", 0.3+0.5*g.random.Float64()))
		}
		g.writeTable("fault", fields...)
		at += takes + minFaultInterval + time.Duration(g.intBetween(0, 8000))*time.Millisecond
	}
}

// networkFault draws a fault of the paths between gateways, or between clients and one gateway. Paths to hosts and from
// discovery get no faults: the rules judge requests to hosts and lists from discovery by the time at which they were
// sent over these paths.
func (g *generator) networkFault() {
	if g.random.IntN(2) == 0 {
		do := g.oneOf("net-loss", "net-delay", "net-double", "net-reorder")
		fields := []string{stringField("at", g.startTime()), stringField("do", do),
			stringField("for", g.milliseconds(500, 8000)), `from = ["gateway-*"]`, `to = ["gateway-*"]`}
		switch do {
		case "net-loss":
			fields = append(fields, numberField("loss", 0.4*g.random.Float64()))
		case "net-delay":
			fields = append(fields, stringField("delay", g.milliseconds(1, 40)),
				stringField("jitter", g.milliseconds(0, 40)))
		case "net-double":
			fields = append(fields, numberField("double", 0.5*g.random.Float64()))
		case "net-reorder":
			fields = append(fields, numberField("reorder", 0.5*g.random.Float64()))
		}
		g.writeTable("fault", fields...)
		return
	}
	gateway := fmt.Sprintf("gateway-%d", g.random.IntN(g.gateways))
	g.writeTable("fault", stringField("at", g.startTime()), stringField("do", g.oneOf("net-cut", "net-stall")),
		stringField("for", g.milliseconds(300, 3000)), `from = ["clients"]`,
		fmt.Sprintf("to = [%q]", gateway), numberField("both", g.random.IntN(2) == 0))
}
