package assignment

import (
	"fmt"
	"math"
)

// Maximum size of the input of [Compute].
const (
	MaxGateways  = 2000
	MaxEndpoints = 10_000
)

// InputError is returned by [Compute] for input that it cannot use.
type InputError struct {
	Input  string // the invalid input: a field such as "Rule.Users", or "Gateways" or "Endpoints"
	Reason string // what is wrong, with the value
}

// Error implements error.
func (e *InputError) Error() string { return "assignment: " + e.Reason }

func inputErrorf(input, format string, args ...any) error {
	return &InputError{Input: input, Reason: fmt.Sprintf(format, args...)}
}

func (r Rule) validate() error {
	switch {
	case !(r.Users > 0):
		return inputErrorf("Rule.Users", "mean number of users per endpoint is %v, must be above 0", r.Users)
	case r.MinEndpoints < 0:
		return inputErrorf("Rule.MinEndpoints", "minimum number of endpoints per gateway is %d, must not be negative",
			r.MinEndpoints)
	case r.MaxUsers != 0 && float64(r.MaxUsers) < r.Users:
		return inputErrorf("Rule.MaxUsers", "maximum of %d users per endpoint is below the mean of %v", r.MaxUsers,
			r.Users)
	case !(r.RemoteZoneOdds >= 0 && r.RemoteZoneOdds <= 1):
		return inputErrorf("Rule.RemoteZoneOdds", "odds of endpoints in other zones are %v, must be 0 to 1",
			r.RemoteZoneOdds)
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
	return inputErrorf(input, "%d gateways and %d endpoints, at most %d and %d are supported",
		len(gateways), len(endpoints), MaxGateways, MaxEndpoints)
}

// validateGateways returns an error if a name occurs twice. The gateways must be sorted by name.
func validateGateways(gateways []Gateway) error {
	for i, g := range gateways {
		if i > 0 && gateways[i-1].Name == g.Name {
			return inputErrorf("Gateways", "gateway %q is listed twice", g.Name)
		}
	}
	return nil
}

// validateEndpoints returns an error if an ID occurs twice or a capacity is invalid. The endpoints must be sorted by
// ID.
func validateEndpoints(endpoints []Endpoint) error {
	for i, e := range endpoints {
		if i > 0 && endpoints[i-1].ID == e.ID {
			return inputErrorf("Endpoints", "endpoint %d is listed twice", e.ID)
		}
		if !(e.Capacity > 0) || math.IsInf(e.Capacity, 0) {
			return inputErrorf("Endpoints", "endpoint %d has a capacity of %v, must be above 0 and finite", e.ID,
				e.Capacity)
		}
	}
	return nil
}
