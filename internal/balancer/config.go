package balancer

import (
	"fmt"
	"time"
)

// Idempotency is whether a request may be executed again.
type Idempotency uint8

// An Idempotent request may be repeated without restriction. A KeyedIdempotent request carries an idempotency
// key: it may be repeated within its dedup scope and window, where endpoints drop duplicates. A NonIdempotent
// request must never run twice.
const (
	Idempotent Idempotency = iota
	KeyedIdempotent
	NonIdempotent
)

// DedupScope is the set of endpoints that drop duplicates of a keyed request.
type DedupScope uint8

// DedupAll is all endpoints, DedupZone those of the same zone, DedupCell those of the same zone and cell.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one kind of request.
type Class struct {
	Name             string        // for log lines only
	LatencyObjective time.Duration // a response within it earns the full weight
	Deadline         time.Duration // the longest time that a client waits
	Weight           float64       // priority weight of one request
	LateWeight       float64       // share of the weight that a late response still earns, 0 to 1
	Idempotency      Idempotency
	DedupScope       DedupScope // for KeyedIdempotent
	// DedupWindow, for KeyedIdempotent, is how long endpoints drop duplicates, counted from the start of the
	// first attempt that may have run.
	DedupWindow time.Duration
}

// Tenant is one of the parties that share the endpoints.
type Tenant struct {
	Name  string  // for log lines only
	Quota float64 // requests per second, over all gateways; 0 means no quota
}

// Config holds the settings of a Balancer. Validate checks them.
type Config struct {
	Gateways int // number of gateways, at least 1
	Rank     int // index of this gateway among them, from 0
	Zone     int // the zone of this gateway
	Classes  []Class
	Tenants  []Tenant // may be empty

	OverQuotaWeight      float64 // share of its class's weight that a request beyond the tenant's quota has
	WeightByWork         bool    // the weight counts per ms of work rather than per request
	TotalGoalWeight      float64 // weight, in the operators' goal, of all requests served
	WorstClassGoalWeight float64 // weight, in the goal, of the worst-served class; both 0: only the total
	CrossZoneCost        float64 // cost of one attempt in another zone, as a share of a request's weight

	PollDiscovery     bool          // endpoint lists arrive only after a WatchEndpoints call
	PollInterval      time.Duration // with PollDiscovery: the longest time without a call to discovery
	SlowStartFraction float64       // the minimum share of its capacity that an endpoint has when it starts
	SlowStartDuration time.Duration // the longest time until it has its full capacity
	// An endpoint in slow start fails if it gets OverloadMultiple times its capacity for OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	ClientsMarkRetries bool          // clients mark their retries
	MaxAttempts        int           // attempts for one request, at least 1
	CancelAllowed      bool          // CancelAttempt may be used
	RetryAfter         bool          // a rejection may carry a Retry-After
	MaxRetryAfter      time.Duration // the longest Retry-After that clients observe
	DispatchInterval   time.Duration // the minimum time between two Dispatch calls; 0 means 1 ms
}

// ConfigError is returned by Validate, New and Reload for an invalid field of a Config.
type ConfigError struct {
	Field  string // path of the field in Config, such as "Classes[1].Deadline"
	Value  any    // the invalid value
	Reason string // what the field must be
}

// Error returns a message with the field, its value and the reason.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("balancer: %s is %v, %s", e.Field, e.Value, e.Reason)
}

// Values of ConfigError.Reason that several fields use.
const (
	mustBePositive    = "must be positive"
	mustNotBeNegative = "must not be negative"
	mustBeAtLeastOne  = "must be at least 1"
	mustBeAFraction   = "must be from 0 to 1"
)

// dispatchSlack is subtracted from deadlines and dedup windows: a decision may be carried out as late as two
// dispatch intervals later.
func (c *Config) dispatchSlack() time.Duration { return 2 * c.DispatchInterval }

// Validate returns a *ConfigError for the first invalid field, or nil.
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

// fault returns the first invalid field of the class, its value and the reason; field is "" if all are valid.
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
