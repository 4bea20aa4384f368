package main

// balancerMutants are defects of the decisions.
func balancerMutants() []mutant {
	return []mutant{
		one("resend an unsafe query after a reset", "bad-hosts", "internal/balancer/retries.go",
			"		if a.unrun || c.Idempotency == Idempotent {", "		if true {"),
		{"forget the drain check", "drain-retry", []edit{
			{"internal/balancer/dispatch.go", "return s.State == EndpointReady && b.now >= s.restUntil", "return b.now >= s.restUntil"},
			{"internal/balancer/listing.go", "		if s.State != EndpointReady || usable >= part && s.ejected", "		if usable >= part && s.ejected"},
			{"internal/gateway/discovery.go", "return found != nil && found.State == balancer.EndpointReady", "return found != nil"}}},
		one("refuse a bid that may have run", "bad-hosts", "internal/balancer/refusal.go", "	if b.mayRefuse(r) {", "	if true {"),
		one("ignore the cold budget", "cold-return", "internal/balancer/dispatch.go", " && b.coldRoom(s)\n", "\n"),
		one("a turn that is not spent", "shares", "internal/balancer/dispatch.go", "		s.turns = s.turns[min(1, len(s.turns)):]\n", ""),
		one("cold hosts like warm ones", "shares", "internal/balancer/slowstart.go", "		return s.hasTurn(b.now)\n", "		return true\n"),
	}
}
