// Package settings translates a deployment's settings, from the wire's path=value text or from JSON, into
// the module's Config and into what the gateway itself needs of them. It is the only translation: the
// simulator and the real gateway must not come to differ in what the module is told.
package settings

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/balancer"
)

// settings holds values by path. Reading a value remembers the first fault.
type settings struct {
	values  map[string]string
	text    map[string]bool // of JSON: paths whose value is no number, with those that are null
	present map[string]bool // of JSON: paths that hold something, without places in lists
	err     error
}

// Settings is what the settings say, translated.
type Settings struct {
	Config  balancer.Config
	Gateway Gateway
	present map[string]bool
}

// Gateway is what the gateway itself needs of the settings, beside the module.
type Gateway struct {
	Zones            []string      // the zone names; a zone is known by its place
	ConnectTimeout   time.Duration // a connection not up by then has failed
	ConnIdle         time.Duration // a host closes a connection idle for this long
	Peers            bool          // gateways may send each other datagrams
	MaxUpstreamConns int           // requests held open at once
	Waiting          int           // column of the load reports with the requests waiting; -1 if there is none
}

// Parse reads the path=value text of a start event. Unknown keys are ignored, optional ones have defaults,
// and a missing or unreadable required one is named in the error.
func Parse(text string) (Settings, error) {
	s := settings{values: make(map[string]string)}
	for _, line := range strings.Split(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			s.values[path] = value
		}
	}
	return s.translate()
}

func (s *settings) translate() (Settings, error) {
	c := s.config()
	g := Gateway{
		Zones:            s.list("zones"),
		ConnectTimeout:   s.millis("bounds.connect_timeout_ms", 1000, false),
		ConnIdle:         s.millis("bounds.conn_idle_ms", 30000, false),
		Peers:            s.flag("bounds.peers"),
		MaxUpstreamConns: s.integer("bounds.open_cap", 1<<20, false),
		Waiting:          slices.Index(s.list("report.columns"), "pending"),
	}
	return Settings{Config: c, Gateway: g, present: s.present}, s.err
}

// Missing names a field that s has and fresh lacks, or a field that every class of s has and one of fresh lacks.
func (s Settings) Missing(fresh Settings) error {
	for _, path := range slices.Sorted(maps.Keys(s.present)) {
		if !fresh.present[path] {
			return fmt.Errorf("settings.%s is missing, the file in force has it", path)
		}
	}
	return nil
}

func (s *settings) list(path string) []string {
	if s.values[path] == "" {
		return nil
	}
	return strings.Split(s.values[path], ",")
}

func (s *settings) config() balancer.Config {
	c := balancer.Config{
		Gateways:             s.integer("balancers", 1, true),
		Rank:                 s.integer("rank", 0, false),
		Zone:                 s.integer("zone", 0, false),
		OverQuotaWeight:      s.number("over_share_worth", 1, false),
		WeightByWork:         s.word("counted_by", "request", "request", "work") == "work",
		TotalGoalWeight:      s.number("score_parts.whole", 1, false),
		WorstClassGoalWeight: s.number("score_parts.worst_class", 0, false),
		CrossZoneCost:        s.number("deductions.cross_zone", 0, false),
		PollDiscovery:        s.word("registry_mode", "automatic", "automatic", "subscribe") == "subscribe",
		PollInterval:         s.millis("guarantees.ask_within_ms", 10000, false),
		SlowStartFraction:    s.number("guarantees.cold_from", 1, false),
		SlowStartDuration:    s.millis("guarantees.warm_after_ms", 0, false),
		OverloadMultiple:     s.number("guarantees.fall_multiple", 1, false),
		OverloadWindow:       s.millis("guarantees.overload_for_ms", 0, false),
		ClientsMarkRetries:   s.flag("clients.marks_retry"),
		MaxAttempts:          int(s.above("bounds.most_tries", float64(s.integer("bounds.most_tries", 1, false)))),
		CancelAllowed:        s.flag("bounds.cancel"),
		RetryAfter:           s.flag("bounds.retry_after"),
		MaxRetryAfter:        s.millis("bounds.max_retry_after_ms", 0, false),
		DispatchInterval:     s.millis("tick_ms", 1, false),
	}
	for i := range s.integer("classes.count", 0, true) {
		c.Classes = append(c.Classes, s.class(fmt.Sprintf("classes.%d.", i)))
		if s.err != nil {
			break
		}
		for _, earlier := range c.Classes[:i] {
			if earlier.Name == c.Classes[i].Name && s.present != nil {
				s.fault("classes.%d.name is %q once more", i, earlier.Name)
			}
		}
	}
	for i := range s.integer("tenants.count", 0, false) {
		p := fmt.Sprintf("tenants.%d.", i)
		c.Tenants = append(c.Tenants, balancer.Tenant{
			Name:  s.values[p+"name"],
			Quota: s.number(p+"quota_per_s", 0, false),
		})
		if s.err != nil {
			break
		}
	}
	return c
}

func (s *settings) class(p string) balancer.Class {
	if s.values[p+"name"] == "" && s.present != nil {
		s.fault("%sname is missing", p)
	}
	c := balancer.Class{
		Name:             s.values[p+"name"],
		LatencyObjective: s.millis(p+"aim_ms", 0, true),
		Deadline:         Millis(s.above(p+"give_up_ms", s.number(p+"give_up_ms", 0, true))),
		Weight:           s.number(p+"worth", 1, false),
		LateWeight:       s.number(p+"late_worth", 0, false),
		DedupWindow:      s.millis(p+"window_ms", 0, false),
	}
	switch s.word(p+"repeat", "once", "repeatable", "by_key", "once") {
	case "repeatable":
		c.Idempotency = balancer.Idempotent
	case "by_key":
		c.Idempotency = balancer.KeyedIdempotent
	default:
		c.Idempotency = balancer.NonIdempotent
	}
	switch s.word(p+"group", "cell", "all", "zone", "cell") {
	case "all":
		c.DedupScope = balancer.DedupAll
	case "zone":
		c.DedupScope = balancer.DedupZone
	default:
		c.DedupScope = balancer.DedupCell
	}
	return c
}

func (s *settings) fault(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("settings: "+format, args...)
	}
}

// number reads a finite number no larger than any figure a deployment states.
func (s *settings) number(path string, missing float64, required bool) float64 {
	text, ok := s.values[path]
	if !ok {
		if required {
			s.fault("%s is missing", path)
		}
		return missing
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || s.text[path] || !(v > -1e12 && v < 1e12) {
		s.fault("%s=%q is not a number", path, text)
		return missing
	}
	return v
}

// above holds a value that was read to be above 0, and not to be null.
func (s *settings) above(path string, v float64) float64 {
	if _, ok := s.values[path]; (ok || s.text[path]) && !(v > 0) || !ok && s.text[path] {
		s.fault("%s=%q is not a number above 0", path, s.values[path])
	}
	return v
}

func (s *settings) integer(path string, missing int, required bool) int {
	v := s.number(path, float64(missing), required)
	if v != float64(int(v)) || v < 0 || v > 1<<20 {
		s.fault("%s=%q is not a whole number in range", path, s.values[path])
		return missing
	}
	return int(v)
}

func (s *settings) millis(path string, missing float64, required bool) time.Duration {
	return Millis(s.number(path, missing, required))
}

func (s *settings) flag(path string) bool {
	return s.word(path, "false", "true", "false") == "true"
}

func (s *settings) word(path, missing string, known ...string) string {
	text, ok := s.values[path]
	if !ok {
		return missing
	}
	for _, k := range known {
		if strings.EqualFold(text, k) {
			return k
		}
	}
	s.fault("%s=%q is none of %s", path, text, strings.Join(known, ", "))
	return missing
}

// Millis is a time stated in milliseconds, rounded to microseconds.
func Millis(v float64) time.Duration {
	return time.Duration(math.Round(v*1000)) * time.Microsecond
}
