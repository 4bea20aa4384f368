package configsim

import (
	"fmt"
	"math/rand/v2"

	"thymebend/internal/configdist/content"
)

// minTimeoutMS is the minimum timeout in a generated body, in milliseconds.
const minTimeoutMS = 40

// ConfigurationSize is the number of entries of each kind in a configuration.
type ConfigurationSize struct{ Services, Routes, Tenants int }

// ServiceName returns the name of a service in a generated configuration.
func ServiceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// GenerateProposals generates a configuration of the given size, divided into proposals that each fit into a log entry. They
// must be proposed in order.
func GenerateProposals(size ConfigurationSize, rng *rand.Rand) (proposals [][]content.Change) {
	var list []content.Change
	bytes := 0
	add := func(e content.Entry) {
		list = append(list, content.Change{Entry: e})
		if bytes += len(e.Service) + len(e.Name) + len(e.Body) + 8; bytes > content.MaxProposalBytes/2 {
			proposals = append(proposals, list)
			list, bytes = nil, 0
		}
	}
	for i := range size.Services {
		add(content.Entry{Kind: content.Service, Service: ServiceName(i), Name: ServiceName(i), Body: body(rng)})
	}
	for i := range size.Routes {
		add(content.Entry{Kind: content.Route, Service: ServiceName(i % size.Services),
			Name: fmt.Sprintf("route-%05d", i), Body: body(rng)})
	}
	for i := range size.Tenants {
		add(content.Entry{Kind: content.Tenant, Service: ServiceName(i % size.Services),
			Name: fmt.Sprintf("tenant-%05d", i), Body: body(rng)})
	}
	return append(proposals, list)
}

// body draws the body of a service, route or tenant.
func body(rng *rand.Rand) string {
	return fmt.Sprintf("limit=%d burst=%d timeout_ms=%d", rng.IntN(1000), rng.IntN(100), minTimeoutMS+rng.IntN(1000))
}

// DrawChange draws an ordinary change, which gives a tenant or a route a new body.
func DrawChange(size ConfigurationSize, rng *rand.Rand) []content.Change {
	e := content.Entry{Kind: content.Tenant, Name: fmt.Sprintf("tenant-%05d", rng.IntN(max(1, size.Tenants)))}
	number := 0
	if size.Tenants == 0 || rng.IntN(4) == 0 {
		number = rng.IntN(size.Routes)
		e.Kind, e.Name = content.Route, fmt.Sprintf("route-%05d", number)
	} else {
		_, _ = fmt.Sscanf(e.Name, "tenant-%d", &number)
	}
	e.Service, e.Body = ServiceName(number%size.Services), body(rng)
	return []content.Change{{Entry: e}}
}
