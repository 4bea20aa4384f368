// Package settings translates a deployment's settings, from the path=value text of the simulator's protocol or
// from JSON, into the balancer's Config and into what the gateway itself needs of them. It is the only
// translation: the simulator and the real gateway must not come to differ in what the balancer is told.
//
// The settings' own names stand in one place, the tags of the structs in deployment.go.
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

// Settings is what the settings say, translated.
type Settings struct {
	Config  balancer.Config
	Gateway Gateway
	present map[string]bool // paths that hold something, where the settings came as JSON
}

// Gateway is what the gateway itself needs of the settings, beside the balancer.
type Gateway struct {
	Zones             []string      // the zone names; a zone is known by its index
	ConnectTimeout    time.Duration // a connection not up by then has failed
	IdleTimeout       time.Duration // an endpoint closes a connection idle for this long
	Peers             bool          // gateways may send each other datagrams
	MaxOpenRequests   int           // requests held open at once
	QueueLengthColumn int           // column of the load reports with the requests waiting; -1 if there is none
}

// Parse reads the path=value text of a start event. Unknown keys are ignored, optional ones have defaults. The
// error wraps a fielderror.Error that names the first setting that is missing or unusable.
func Parse(text string) (Settings, error) {
	v := values{byPath: make(map[string]string)}
	for line := range strings.SplitSeq(text, "\n") {
		if path, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			v.byPath[path] = value
		}
	}
	return v.translate()
}

// translate reads all settings. With an error, what could be read is in the result.
func (v *values) translate() (Settings, error) {
	s := Settings{Config: v.config(), Gateway: v.gateway(), present: v.present}
	if v.fault != nil {
		return s, fmt.Errorf("settings: %w", v.fault)
	}
	return s, nil
}

// ErrNoLongerSet is the cause where a file that is to replace the one in force lacks what that one has.
var ErrNoLongerSet = fmt.Errorf("%w, the file in force has it", fielderror.ErrMissing)

// CheckReload reports a field that s has and fresh lacks, or a field that every class of s has and one of fresh
// lacks, as a fielderror.Error.
func (s Settings) CheckReload(fresh Settings) error {
	for _, path := range slices.Sorted(maps.Keys(s.present)) {
		if !fresh.present[path] {
			return fielderror.Inline("settings."+path, ErrNoLongerSet)
		}
	}
	return nil
}
