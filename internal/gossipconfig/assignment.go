package gossipconfig

import (
	"time"

	"thymebend/internal/membership"
	"thymebend/internal/tomlfile"
)

// Assignment holds the settings for dividing the endpoints among the gateways of a cluster. All its gateways must
// have the same settings.
type Assignment struct {
	// Users is the mean number of gateways that use an endpoint, and the number of gateways that own the slow-start
	// tokens of an endpoint in slow start.
	Users int
	// MaxUsers is the maximum number of gateways that use an endpoint, for endpoints that allow few connections.
	MaxUsers int
	// MinEndpoints is the minimum number of endpoints that a gateway uses.
	MinEndpoints int
	// RemoteZoneOdds is the probability of choosing an endpoint of another zone relative to one of the gateway's
	// zone, above 0 and at most 1.
	RemoteZoneOdds float64
	// WarmRate is the rate, in requests a second of the class with the most work, that the weakest endpoint sustains
	// after slow start. 0 means that the rate is derived from the classes' latency objectives.
	WarmRate float64
	// ClockSkew is the maximum difference between the clocks of two gateways.
	ClockSkew time.Duration
}

// Defaults of the fields that the table [shares] omits.
const (
	defaultUsers          = 12
	maxUsersFactor        = 3 // ratio of MaxUsers to Users
	defaultMinEndpoints   = 2
	defaultRemoteZoneOdds = 0.5
	defaultClockSkew      = 20 * time.Millisecond
)

// Upper limits of the values in the table [shares].
const (
	maxUsers    = 100
	maxWarmRate = 1e6 // requests a second
	// A slow-start token is valid for a quarter of the token rule's window, minus twice the clock skew. A larger skew
	// would leave too little of that time.
	maxClockSkew = 100 * time.Millisecond
)

// assignmentTable is the table [shares] of the gossip file, with the key names of the file.
type assignmentTable struct {
	Users          *int               `toml:"users"`
	MaxUsers       *int               `toml:"most_users"`
	MinEndpoints   *int               `toml:"least"`
	RemoteZoneOdds *float64           `toml:"away"`
	WarmRate       float64            `toml:"warm_rate"`
	ClockSkew      *tomlfile.Duration `toml:"skew"`
}

// DefaultAssignment returns the settings of an empty table [shares].
func DefaultAssignment() *Assignment {
	return &Assignment{
		Users:          defaultUsers,
		MaxUsers:       maxUsersFactor * defaultUsers,
		MinEndpoints:   defaultMinEndpoints,
		RemoteZoneOdds: defaultRemoteZoneOdds,
		ClockSkew:      defaultClockSkew,
	}
}

// assignment applies the table to the defaults and validates the result.
func (r reader) assignment(t *assignmentTable) *Assignment {
	a := DefaultAssignment()
	a.WarmRate = t.WarmRate
	if t.Users != nil {
		a.Users, a.MaxUsers = *t.Users, maxUsersFactor**t.Users
	}
	override(&a.MaxUsers, t.MaxUsers)
	override(&a.MinEndpoints, t.MinEndpoints)
	override(&a.RemoteZoneOdds, t.RemoteZoneOdds)
	if t.ClockSkew != nil {
		a.ClockSkew = t.ClockSkew.Duration
	}
	if a.Users < 1 || a.Users > maxUsers {
		r.addFault(ErrRange, "shares.users", "must be 1 to %d", maxUsers)
	}
	if a.MaxUsers < a.Users || a.MaxUsers > membership.MaxMembers {
		r.addFault(ErrRange, "shares.most_users", "must be at least users, %d, and at most %d", a.Users,
			membership.MaxMembers)
	}
	if a.MinEndpoints < 1 || a.MinEndpoints > maxUsers {
		r.addFault(ErrRange, "shares.least", "must be 1 to %d", maxUsers)
	}
	if !(a.RemoteZoneOdds > 0 && a.RemoteZoneOdds <= 1) {
		r.addFault(ErrRange, "shares.away", "must be above 0 and at most 1")
	}
	if !(a.WarmRate >= 0 && a.WarmRate <= maxWarmRate) {
		r.addFault(ErrRange, "shares.warm_rate",
			"must be 0 to %v requests a second; 0 derives it from the classes' latency objectives", maxWarmRate)
	}
	if a.ClockSkew < 0 || a.ClockSkew > maxClockSkew {
		r.addFault(ErrRange, "shares.skew", "must be 0s to %v", maxClockSkew)
	}
	return a
}

// override sets *value to *stated, unless stated is nil because the file lacks the key.
func override[T any](value, stated *T) {
	if stated != nil {
		*value = *stated
	}
}
