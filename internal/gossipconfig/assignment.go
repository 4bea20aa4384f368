package gossipconfig

import (
	"time"

	"thymebend/internal/membership"
	"thymebend/internal/tomlfile"
)

// Assignment says how the cluster divides endpoints among its gateways. All its gateways must have the same.
type Assignment struct {
	// Users is how many gateways use an endpoint on the mean, and own the slow-start tokens of one that starts.
	Users int
	// MaxUsers is how many gateways use an endpoint at most, where endpoints hold few connections.
	MaxUsers int
	// MinEndpoints is how many endpoints a gateway uses at least.
	MinEndpoints int
	// RemoteZoneOdds is the chance of an endpoint of another zone over one of the own, above 0 to 1.
	RemoteZoneOdds float64
	// WarmRate is the requests a second, of the class with the most work, that the weakest endpoint answers once
	// it is warm; 0 is what the classes' latency objectives tell.
	WarmRate float64
	// ClockSkew is by how much two gateways' clocks differ at most.
	ClockSkew time.Duration
}

// What holds where the table [shares] leaves a field out.
const (
	defaultUsers          = 12
	maxUsersFactor        = 3 // MaxUsers over Users
	defaultMinEndpoints   = 2
	defaultRemoteZoneOdds = 0.5
	defaultClockSkew      = 20 * time.Millisecond
)

// Bounds of the table [shares].
const (
	maxUsers    = 100
	maxWarmRate = 1e6 // requests a second
	// A slow-start token is good for a quarter of the rule's window, less twice the skew.
	maxClockSkew = 100 * time.Millisecond
)

// assignmentTable is the table [shares] by the protocol's names.
type assignmentTable struct {
	Users          *int               `toml:"users"`
	MaxUsers       *int               `toml:"most_users"`
	MinEndpoints   *int               `toml:"least"`
	RemoteZoneOdds *float64           `toml:"away"`
	WarmRate       float64            `toml:"warm_rate"`
	ClockSkew      *tomlfile.Duration `toml:"skew"`
}

// DefaultAssignment is what an empty table [shares] says.
func DefaultAssignment() *Assignment {
	return &Assignment{
		Users:          defaultUsers,
		MaxUsers:       maxUsersFactor * defaultUsers,
		MinEndpoints:   defaultMinEndpoints,
		RemoteZoneOdds: defaultRemoteZoneOdds,
		ClockSkew:      defaultClockSkew,
	}
}

// assignment reads the table over the defaults, and checks the result.
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
		r.addFault(ErrRange, "shares.warm_rate", "must be 0 to %v requests a second; 0 is what the classes' aims tell",
			maxWarmRate)
	}
	if a.ClockSkew < 0 || a.ClockSkew > maxClockSkew {
		r.addFault(ErrRange, "shares.skew", "must be 0s to %v", maxClockSkew)
	}
	return a
}

// override sets a value where the file states one.
func override[T any](value, stated *T) {
	if stated != nil {
		*value = *stated
	}
}
