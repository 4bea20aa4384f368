package simulation

import "slices"

// The faults of each profile. A run turns a random subset of them on.
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
		"reload": {"gateway-reload", "host-drain", "host-replace", "discovery-down", "gateway-term"},
		"everything": slices.Concat(hosts, spoils, gateways, disc, rude, net, []string{"surge", "host-cold",
			"gateway-reload"}),
	}
}

// coldReturnProfile is hosts that come back cold under a surge.
const coldReturnProfile = "cold-return"

// pushedProfile is lists that an agent on each gateway's machine brings.
const pushedProfile = "pushed"

// fleetProfile is many gateways with thin traffic, in zones that differ in hosts, and troubles of many
// at once. It is large, so that no seed takes it unasked.
const fleetProfile = "fleet"

// discoveryLoadProfile is a discovery that works through calls in turn, while watches end, are reset or
// fall silent, and hosts leave meanwhile. It is as large as the fleet profile for its traffic, so that
// no seed takes it unasked either.
const discoveryLoadProfile = "discovery-load"

// stoppedProfile is clients that stop in the middle of their requests and stay, with deadlines of all
// lengths. It came last, so no seed takes it unasked: each goes on playing what it did.
const stoppedProfile = "stopped-clients"

// clockProfile is machines whose wall clocks are wrong by seconds or an hour when processes begin,
// while hosts start cold. Taken by no seed unasked, as above.
const clockProfile = "clock"

// drawnByDefault reports whether a seed without a profile may take one.
func drawnByDefault(profile string) bool {
	return profile != fleetProfile && profile != discoveryLoadProfile && profile != stoppedProfile &&
		profile != clockProfile
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

func responseFaults() []string {
	return []string{"reset-before", "reset-middle", "garbage", "extra", "interim", "long-length", "close-after",
		"endless-1xx", "bare-503"}
}
