package balancer

import (
	"fmt"
	"time"
)

// Idempotency says what a repeat of a request would do.
type Idempotency uint8

// An Idempotent request may be repeated freely. A KeyedIdempotent one carries an idempotency key: it may be
// repeated within its scope and window, where endpoints drop duplicates. A NonIdempotent one must never run
// twice.
const (
	Idempotent Idempotency = iota
	KeyedIdempotent
	NonIdempotent
)

// DedupScope says which endpoints drop the duplicates of a keyed request.
type DedupScope uint8

// All endpoints, those of the same zone, or those of the same cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one kind of request.
type Class struct {
	Name             string        // for log lines only
	LatencyObjective time.Duration // an answer within it earns the full weight
	Deadline         time.Duration // the longest a client waits
	Weight           float64       // priority weight of one request
	LateWeight       float64       // share of the weight that a late answer still earns, 0 to 1
	Idempotency      Idempotency
	DedupScope       DedupScope // for KeyedIdempotent
	// DedupWindow, for KeyedIdempotent, is how long duplicates are dropped, from the start of the first
	// attempt that may have run.
	DedupWindow time.Duration
}

// Tenant describes one of those who share the endpoints.
type Tenant struct {
	Name  string  // for log lines only
	Quota float64 // requests a second over all gateways within the quota; 0 is no quota
}

// Config is what a gateway knows at its start.
type Config struct {
	Gateways int // how many gateways there are, at least 1
	Rank     int // the number of this gateway among them, from 0
	Zone     int // the zone of this gateway
	Classes  []Class
	Tenants  []Tenant // may be empty

	OverQuotaWeight      float64 // weight of a request beyond its tenant's quota, as a share of its class's
	WeightByWork         bool    // weight is counted by work done rather than by request
	TotalGoalWeight      float64 // weight of all that is served in the operators' goal
	WorstClassGoalWeight float64 // and that of the class served worst; both 0 is the total alone
	CrossZoneCost        float64 // price of one attempt in another zone, as a share of a request's weight

	PollDiscovery     bool          // endpoint lists come only when watched
	PollInterval      time.Duration // with PollDiscovery: how long a gateway may go without a call
	SlowStartFraction float64       // the least share of its capacity that a starting endpoint has
	SlowStartDuration time.Duration // and the longest until it has all of it
	// An endpoint in slow start that gets OverloadMultiple of its capacity for OverloadWindow fails.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	ClientsMarkRetries bool          // clients mark their retries
	MaxAttempts        int           // attempts for one request, at least 1
	CancelAllowed      bool          // CancelAttempt may be used
	RetryAfter         bool          // a rejection may carry a Retry-After
	MaxRetryAfter      time.Duration // the longest Retry-After that clients observe
	DispatchInterval   time.Duration // the least time between two Dispatch calls; 0 is taken as 1 ms
}

// ConfigError says which field of a Config cannot work, and why. Validate, New and Reload return it.
type ConfigError struct {
	Field  string // as in Config, such as "Classes[1].Deadline"
	Value  any    // the faulty value
	Reason string // what the field must be
}

// Error names the field, its value and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("balancer: %s is %v, %s", e.Field, e.Value, e.Reason)
}

// Reasons that several fields share.
const (
	mustBePositive    = "must be positive"
	mustNotBeNegative = "must not be negative"
	mustBeAtLeastOne  = "must be at least 1"
	mustBeAFraction   = "must be from 0 to 1"
)

// dispatchSlack is the time by which deadlines and windows are taken to end early: a decision may be
// carried out as late as the dispatch after next.
func (c *Config) dispatchSlack() time.Duration { return 2 * c.DispatchInterval }

// Validate returns a *ConfigError for the first field that cannot work, else nil.
func (c *Config) Validate() error {
	fault := func(field string, value any, reason string) error {
		return &ConfigError{Field: field, Value: value, Reason: reason}
	}
	switch {
	case c.Gateways < 1:
		return fault("Gateways", c.Gateways, mustBeAtLeastOne)
	case c.Rank < 0 || c.Rank >= c.Gateways:
		return fault("Rank", c.Rank, fmt.Sprintf("must be from 0 to %d", c.Gateways-1))
	case len(c.Classes) == 0:
		return fault("Classes", c.Classes, "must not be empty")
	case c.MaxAttempts < 1:
		return fault("MaxAttempts", c.MaxAttempts, mustBeAtLeastOne)
	case c.SlowStartFraction < 0 || c.SlowStartFraction > 1:
		return fault("SlowStartFraction", c.SlowStartFraction, mustBeAFraction)
	case c.SlowStartDuration < 0:
		return fault("SlowStartDuration", c.SlowStartDuration, mustNotBeNegative)
	case c.OverloadWindow < 0:
		return fault("OverloadWindow", c.OverloadWindow, mustNotBeNegative)
	case c.DispatchInterval < 0:
		return fault("DispatchInterval", c.DispatchInterval, mustNotBeNegative)
	case c.PollDiscovery && c.PollInterval <= 0:
		return fault("PollInterval", c.PollInterval, "must be positive where PollDiscovery is set")
	}
	for i := range c.Classes {
		if field, value, reason := c.Classes[i].fault(); field != "" {
			return fault(fmt.Sprintf("Classes[%d].%s", i, field), value, reason)
		}
	}
	return nil
}

// fault returns the first field of the class that cannot work, or "".
func (c *Class) fault() (field string, value any, reason string) {
	switch {
	case c.LatencyObjective <= 0:
		return "LatencyObjective", c.LatencyObjective, mustBePositive
	case c.Deadline <= 0:
		return "Deadline", c.Deadline, mustBePositive
	case c.Idempotency > NonIdempotent:
		return "Idempotency", c.Idempotency, "must be a known kind"
	case c.Weight < 0:
		return "Weight", c.Weight, mustNotBeNegative
	}
	return "", nil, ""
}
