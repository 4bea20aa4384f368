package main

// balancerMutants returns the planted defects of the balancer's decisions.
func balancerMutants() []mutant {
	const (
		dispatch   = "internal/balancer/dispatch.go"
		subsetting = "internal/balancer/subsetting.go"
		slowStart  = "internal/balancer/slowstart.go"
		budget     = "internal/balancer/slowstart/slowstart.go"
	)
	return []mutant{
		singleEdit("resend an unsafe query after a reset", "bad-hosts", "internal/balancer/retry.go",
			"		if a.neverRan || c.Idempotency == Idempotent {", "		if true {"),
		{"forget the drain check", "drain-retry", []edit{
			{dispatch, "return ep.State == EndpointReady && !ep.cooldown.active(b.now)",
				"return !ep.cooldown.active(b.now)"},
			{subsetting, "		if ep.State != EndpointReady ||\n			usable >= regularSize && ep.health.Ejected",
				"		if usable >= regularSize && ep.health.Ejected"},
			{"internal/gateway/discovery.go", "return found != nil && found.State == balancer.EndpointReady",
				"return found != nil"}}},
		singleEdit("refuse a bid that may have run", "bad-hosts", "internal/balancer/rejection.go",
			"	if b.mayReject(r) {", "	if true {"),
		singleEdit("ignore the cold budget", "cold-return", dispatch, " && b.slowStartAllows(ep)\n", "\n"),
		singleEdit("a turn that is not spent", "shares", budget, "	b.granted = b.granted[min(1, len(b.granted)):]\n", ""),
		singleEdit("cold hosts like warm ones", "shares", slowStart,
			"		return ep.warmUp.HasGrant(b.now)\n", "		return true\n"),
	}
}
