package simulation

import "slices"

// profiles returns the fault kinds of each profile. A profile is a kind of run with one theme, such as hosts
// that return or clients that misbehave. A run enables a random subset of its profile's fault kinds.
func profiles() map[string][]string {
	hosts := []string{"host-down", "host-drain", "host-replace", "host-hang", "host-silent"}
	spoils := []string{"host-spoil", "host-down", "host-hang", "host-errors"}
	gateways := []string{"gateway-kill", "gateway-term"}
	disc := []string{"discovery-down", "discovery-mute", "discovery-flap", "discovery-lag"}
	rude := []string{"rude-leave", "rude-trickle", "rude-half", "rude-garbage", "rude-silent"}
	net := []string{"net-split", "net-jitter", "net-reset", "net-lose", "net-slow"}
	return map[string][]string{
		"drain-retry": append([]string{"host-drain", "host-replace", "host-errors", "net-reset",
			"net-split"}, hosts...),
		"restart-surge":   append([]string{"surge", "net-slow"}, gateways...),
		coldReturnProfile: {"host-down", "host-cold", "surge", "host-hang", "gateway-kill"},
		"discovery-lies":  append([]string{"host-drain", "host-down", "gateway-reload"}, disc...),
		"bad-hosts":       append([]string{"net-split"}, spoils...),
		"rude-clients":    append([]string{"net-split", "gateway-term"}, rude...),
		"upgrade":         {"gateway-upgrade", "gateway-stillborn", "host-drain", "host-replace", "net-split", "surge"},
		"retune":          {"gateway-retune", "gateway-reload", "host-errors", "host-drain"},
		"bulk":            {"bulk", "net-split", "rude-leave", "gateway-term", "host-cut", "host-half"},
		fleetProfile:      {"fleet-replace", "fleet-kill", "fleet-lost", "surge", "net-jitter"},
		pushedProfile: {"agent-restart", "agent-old", "discovery-down", "discovery-mute", "discovery-flap",
			"discovery-lag", "host-drain",
			"host-replace", "host-down", "gateway-kill", "gateway-term", "gateway-reload", "gateway-upgrade",
			"net-reset", "net-jitter"},
		viewsProfile: {"net-lose-data", "net-double-data", "net-jitter", "view-cut", "view-noise",
			"gateway-halt", "gateway-kill", "gateway-term",
			"gateway-upgrade", "gateway-stillborn", "gateway-reload", "host-drain"},
		sharesProfile: {"net-lose-data", "net-double-data", "net-jitter", "view-cut", "gateway-halt",
			"gateway-kill", "gateway-term", "gateway-upgrade",
			"gateway-stillborn", "gateway-reload", "host-replace", "host-down", "host-cold", "host-errors",
			"fleet-replace", "fleet-kill", "surge"},
		discoveryLoadProfile: {"load-reset", "load-silence", "load-end", "load-whole", "load-at-once",
			"surge", "net-jitter"},
		stoppedProfile: {"rude-stop", "rude-silent", "rude-leave", "bulk", "surge", "net-split", "net-jitter",
			"host-hang", "host-drain",
			"gateway-term", "gateway-kill", "gateway-reload", "gateway-upgrade", "gateway-stillborn"},
		clockProfile: {"clock-step", "clock-step", "gateway-kill", "gateway-term", "gateway-upgrade",
			"gateway-reload", "host-cold", "host-replace", "host-down", "discovery-flap", "surge"},
		lateProfile: {"host-late", "host-late", "host-late", "host-errors", "host-drain", "host-down", "bulk", "surge",
			"gateway-term", "gateway-upgrade", "rude-leave"},
		slowPeersProfile: {"bulk", "slow-read", "slow-write", "rude-gone", "rude-empty", "rude-leave", "host-hang", "host-deaf",
			"net-split", "net-jitter", "surge", "gateway-term", "gateway-upgrade"},
		hoardersProfile: {"rude-hoard", "rude-again", "bulk", "host-hang", "host-errors", "net-split", "net-jitter", "surge",
			"gateway-upgrade"},
		slowHostsProfile: {"bulk", "host-drip", "host-drip", "host-drip", "net-split", "net-jitter", "surge"},
		blockedPeersProfile: {"rude-far-ahead", "host-deaf", "host-drip", "host-drip", "host-hang", "net-jitter", "surge",
			"gateway-term", "gateway-upgrade"},
		"reload": {"gateway-reload", "host-drain", "host-replace", "discovery-down", "gateway-term"},
		"everything": slices.Concat(hosts, spoils, gateways, disc, rude, net, []string{"surge", "host-cold",
			"gateway-reload"}),
	}
}

// coldReturnProfile plays hosts that return in slow start during a surge of requests.
const coldReturnProfile = "cold-return"

// pushedProfile plays lists of hosts that reach each gateway through an agent on its machine.
const pushedProfile = "pushed"

// fleetProfile plays many gateways with little traffic each, in zones with different numbers of hosts, and
// faults that affect many hosts or gateways at once. Because of its size, no seed selects it without being told
// to.
const fleetProfile = "fleet"

// discoveryLoadProfile plays a discovery with a call queue, while watches end, are reset or fall silent and
// hosts leave. Its traffic is as large as that of the fleet profile, so no seed selects it by default.
const discoveryLoadProfile = "discovery-load"

// stoppedProfile plays clients that stop in the middle of their requests and stay connected, with deadlines of
// all lengths. The profile was added after seeds were in use. No seed selects it by default, so that each seed
// keeps its plan.
const stoppedProfile = "stopped-clients"

// clockProfile plays machines whose wall clocks are wrong by 7 s or an hour when processes start, while hosts
// are in slow start. No seed selects it by default, so that each seed keeps its plan.
const clockProfile = "clock"

// lateProfile plays hosts that send bytes after their responses. No seed selects it by default, so that each seed keeps
// its plan.
const lateProfile = "late-responses"

// drawnByDefault reports whether a seed may select the profile when the caller of Draw names none.
func drawnByDefault(profile string) bool {
	return profile != fleetProfile && profile != discoveryLoadProfile && profile != stoppedProfile &&
		profile != clockProfile && profile != lateProfile && profile != slowPeersProfile &&
		profile != hoardersProfile && profile != slowHostsProfile &&
		profile != blockedPeersProfile
}

// Profiles returns the names of the profiles in order.
func Profiles() []string {
	var names []string
	for n := range profiles() {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// lateVariants returns the variants of the fault host-late.
func lateVariants() []string { return []string{lateCopy, lateCopy, lateBytes} }

// The variants of the fault host-late.
const (
	lateCopy  = "late-copy"  // a second copy of a response, also of a rejection, up to maxLateMS after it
	lateBytes = "late-bytes" // random bytes up to maxLateMS after a response
)

// maxLateMS is the longest delay of late bytes in milliseconds.
const maxLateMS = 25

func responseFaults() []string {
	return []string{"reset-before", "reset-middle", "garbage", "extra", "interim", "long-length", "close-after",
		"endless-1xx", "bare-503"}
}
