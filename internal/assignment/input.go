package assignment

import (
	"fmt"
	"math"
)

// Bounds of what can be assigned.
const (
	MaxGateways  = 2000
	MaxEndpoints = 10_000
)

// InputError says which input of [Compute] cannot be used, and why.
type InputError struct {
	Input  string // a field as "Rule.Users", "Gateways" or "Endpoints"
	Reason string
}

// Error implements error.
func (e *InputError) Error() string { return "shares: " + e.Reason }

func inputErrorf(input, format string, args ...any) error {
	return &InputError{Input: input, Reason: fmt.Sprintf(format, args...)}
}

func (r Rule) validate() error {
	switch {
	case !(r.Users > 0):
		return inputErrorf("Rule.Users", "%v users of a host, %d hosts at least", r.Users, r.MinEndpoints)
	case r.MinEndpoints < 0:
		return inputErrorf("Rule.MinEndpoints", "%v users of a host, %d hosts at least", r.Users, r.MinEndpoints)
	case r.MaxUsers != 0 && float64(r.MaxUsers) < r.Users:
		return inputErrorf("Rule.MaxUsers", "%d users of a host at most, with %v on the mean", r.MaxUsers, r.Users)
	case !(r.RemoteZoneOdds >= 0 && r.RemoteZoneOdds <= 1):
		return inputErrorf("Rule.RemoteZoneOdds", "hosts of other zones at %v, 0 to 1 is needed", r.RemoteZoneOdds)
	}
	return nil
}

func validateSizes(gateways []Gateway, endpoints []Endpoint) error {
	if len(gateways) <= MaxGateways && len(endpoints) <= MaxEndpoints {
		return nil
	}
	input := "Gateways"
	if len(gateways) <= MaxGateways {
		input = "Endpoints"
	}
	return inputErrorf(input, "%d gateways and %d hosts, %d and %d at most",
		len(gateways), len(endpoints), MaxGateways, MaxEndpoints)
}

// validateGateways takes gateways that are sorted.
func validateGateways(gateways []Gateway) error {
	for i, g := range gateways {
		if i > 0 && gateways[i-1].Name == g.Name {
			return inputErrorf("Gateways", "gateway %q twice", g.Name)
		}
	}
	return nil
}

// validateEndpoints takes endpoints that are sorted.
func validateEndpoints(endpoints []Endpoint) error {
	for i, e := range endpoints {
		if i > 0 && endpoints[i-1].ID == e.ID {
			return inputErrorf("Endpoints", "host %d twice", e.ID)
		}
		if !(e.Capacity > 0) || math.IsInf(e.Capacity, 0) {
			return inputErrorf("Endpoints", "host %d has a capacity of %v", e.ID, e.Capacity)
		}
	}
	return nil
}
