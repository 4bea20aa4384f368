// Package settings translates a deployment's settings, given as path=value text in the simulator's protocol or as
// JSON, into the configuration of the balancer and that of the gateway. The simulator and the real gateway both use
// this translation, so that both configure the balancer in the same way.
//
// The names of the settings are defined in one place: the tags of the structs in deployment.go.
package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

// Settings are the translated settings.
type Settings struct {
	Config  balancer.Config
	Gateway Gateway
	present map[string]bool // paths that have a value, as in values; nil unless the settings were read from JSON
}

// Gateway holds the settings that the gateway uses outside the balancer.
type Gateway struct {
	Zones             []string      // zone names; elsewhere a zone is identified by its index here
	ConnectTimeout    time.Duration // limit for establishing a connection to an endpoint
	IdleTimeout       time.Duration // an endpoint closes a connection that is idle for this long
	Peers             bool          // gateways may send each other datagrams
	MaxOpenRequests   int           // limit on requests open at the same time
	QueueLengthColumn int           // column of the load reports that holds the queue length; -1 if there is none
}

// Parse reads the path=value lines of the simulator's start event. It ignores unknown settings; optional settings have
// defaults. The error wraps a fielderror.Error that names the first setting that is missing or invalid.
func Parse(text string) (Settings, error) {
	v := values{byPath: make(map[string]string)}
	for line := range strings.SplitSeq(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v.byPath[path] = value
		}
	}
	return v.translate()
}

// translate reads all settings. With an error, the result holds the settings that could be read.
func (v *values) translate() (Settings, error) {
	s := Settings{Config: v.config(), Gateway: v.gateway(), present: v.present}
	if v.fault != nil {
		return s, fmt.Errorf("settings: %w", v.fault)
	}
	return s, nil
}

// ErrNoLongerSet is the cause when the file of a reload lacks a field that the file in force has.
var ErrNoLongerSet = fmt.Errorf("%w, but the configuration in force has it", fielderror.ErrMissing)

// CheckReload returns a fielderror.Error with the cause ErrNoLongerSet if reloaded lacks a field that s has, or if a
// class of reloaded lacks a field that every class of s has.
func (s Settings) CheckReload(reloaded Settings) error {
	for _, path := range slices.Sorted(maps.Keys(s.present)) {
		if !reloaded.present[path] {
			return fielderror.Inline("settings."+path, ErrNoLongerSet)
		}
	}
	return nil
}
