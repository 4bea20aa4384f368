package experiment

import (
	"slices"
	"time"

	"thymebend/internal/lab/emulation"
)

// Settings returns the settings of the gateway whose number, from 0, is rank, in the format of its configuration
// file.
func (f *File) Settings(rank int) map[string]any {
	zones := f.zones()
	mode, zone := "subscribe", 0
	if f.Discovery.Pushed {
		mode = "automatic"
	}
	if f.Gateways.Spread {
		zone = rank % len(zones)
	}
	return map[string]any{
		"balancers": f.Gateways.Count, "rank": rank, "zone": zone, "zones": zones, "tick_ms": 5,
		"registry_mode": mode, "counted_by": "request",
		"report":     f.reportSettings(),
		"guarantees": f.guaranteeSettings(),
		"clients":    map[string]any{"marks_retry": f.Clients.MarksRetries},
		"bounds":     f.boundSettings(),
		"classes":    f.classSettings(),
	}
}

// zones returns the distinct sites of the hosts in their order in the file.
func (f *File) zones() (zones []string) {
	for _, h := range f.Hosts {
		if !slices.Contains(zones, h.Site) {
			zones = append(zones, h.Site)
		}
	}
	return zones
}

// classSettings returns the settings of the classes. Requests of keyed classes may be retried only on hosts of the
// same cell, which share a record of executed keys.
func (f *File) classSettings() (classes []map[string]any) {
	for _, c := range f.Classes {
		repeatMode, group := "repeatable", "all"
		switch {
		case c.Unsafe:
			repeatMode = "once"
		case c.Keyed:
			repeatMode, group = "by_key", "cell"
		}
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": c.LatencyObjective.Milliseconds(), "give_up_ms": c.Timeout.Milliseconds(),
			"repeat": repeatMode, "worth": c.Weight, "group": group,
			"window_ms": c.Window.Milliseconds(), "late_worth": c.LateWeight,
		})
	}
	return classes
}

// guaranteeSettings returns the guarantees about hosts that the gateways may rely on. They are true for all hosts:
// the smallest share of capacity at the beginning of slow start, the longest slow start, and the smallest overload
// that makes a host crash, as a multiple of its capacity. If no host can crash, this multiple is 3.
func (f *File) guaranteeSettings() map[string]any {
	coldFraction, warmUp, crashMultiple, crashAfter := 1.0, time.Duration(0), 1.0, time.Second
	for _, h := range f.Hosts {
		if h.ColdFrom > 0 {
			coldFraction = min(coldFraction, h.ColdFrom)
			warmUp = max(warmUp, h.ColdFor.Duration)
		}
		if h.CrashMultiple > 0 {
			if crashMultiple == 1 || h.CrashMultiple < crashMultiple {
				crashMultiple = h.CrashMultiple
			}
			crashAfter = h.CrashAfter.Duration
		}
	}
	if crashMultiple == 1 {
		crashMultiple = 3
	}
	return map[string]any{
		"ask_within_ms": 10000, "cold_from": coldFraction, "warm_after_ms": warmUp.Milliseconds(),
		"fall_multiple": crashMultiple, "overload_for_ms": crashAfter.Milliseconds(), "drain_grace_ms": 250,
	}
}

// boundSettings returns the limits on connections, attempts and waiting times. Idle connections are closed after the
// shortest idle timeout of all hosts, at most 30 s.
func (f *File) boundSettings() map[string]any {
	idle := 30 * time.Second
	for _, h := range f.Hosts {
		idle = min(idle, h.IdleTimeout.Duration)
	}
	return map[string]any{
		"connect_timeout_ms": 250, "conn_idle_ms": idle.Milliseconds(), "most_tries": 4, "open_cap": 20000,
		"cancel": true, "retry_after": true, "max_retry_after_ms": f.Clients.MaxRetryAfter.Milliseconds(), "max_streams": 1,
	}
}

// reportSettings returns how hosts report their load: with their responses if any host reports, otherwise not at all.
func (f *File) reportSettings() map[string]any {
	names := emulation.DefaultFields()
	reportMode, columns := "silent", []string{}
	if slices.ContainsFunc(f.Hosts, func(h Hosts) bool { return h.ReportMax.Duration > 0 }) {
		reportMode, columns = "piggyback", []string{names.Queue, names.InFlight, names.Errors}
	}
	return map[string]any{"how": reportMode, "columns": columns}
}
