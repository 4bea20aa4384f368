package main

// configMutants are defects of the distribution of configuration.
func configMutants() []mutant {
	return []mutant{
		one("take an older version after a newer one", rollouts, "internal/configdist/agent.go", "	case ref.Number < a.inForce.Number || ref.Term < a.inForce.Term:\n", "	case false:\n"),
		{"install before the last page", rollouts, []edit{
			{"internal/configdist/agent.go", "	case m.Last:\n", "	case p.bytes > 1200 || m.Last:\n"},
			{"internal/configdist/agent.go", "	if err != nil || tree.Hash() != p.scope {", "	if err != nil {"}}},
		one("hold a refused version for in force", rollouts, "internal/configdist/agent.go", "		a.refuse(ref, next.attempt, err.Error())\n		return\n", "		a.refuse(ref, next.attempt, err.Error())\n"),
		one("forget the last good version at a restart", rollouts, "internal/configdist/agent.go", "	if cfg.Kept != nil {\n", "	if false {\n"),
		one("offer a stopped version", rollouts, "internal/configdist/controller.go", "	if r.Stage == AllGateways || ", "	if r.Stage == AllGateways || r.Stage == Stopped || "),
		one("offer to other zones", rollouts, "internal/configdist/controller.go", "r.Stage == OneZone && s.zone == r.Zone || ", "r.Stage == OneZone || "),
		one("go on with the session after a stall", rollouts, "internal/configdist/agent.go", "	stalled := now-a.now > stalledAfter\n", "	stalled := false && now-a.now > stalledAfter\n"),
		one("stop nothing", rollouts, "internal/configdist/conductor.go", "	if t.failed == 0 {\n", "	if t.failed >= 0 {\n"),
		one("a stop that stops nothing", rollouts, "internal/configdist/store.go", "		s.rollout.Stage, s.rollout.Reason = Stopped, c.Reason\n", "		s.rollout.Reason = c.Reason\n"),
		one("leave removals out of deltas", rollouts, "internal/configdist/content/diff.go", "			remove(before[0])\n", ""),
		one("send nothing again", rollouts, "internal/configdist/agent.go", "	a.sendAt = a.now + a.jitter(answerWithin)\n", "	a.sendAt = a.now + time.Hour\n"),
		one("give no sign of life", rollouts, "internal/configdist/agent.go", "	a.sendAt = a.now + a.jitter(reportEvery)\n", "	a.sendAt = a.now + time.Hour\n"),
		one("report without a pause", rollouts, "internal/configdist/agent.go", "	a.sendAt = a.now + a.jitter(reportEvery)\n", "	a.sendAt = a.now + a.jitter(reportEvery/100)\n"),
		one("a snapshot without its rollout", rollouts, "internal/configdist/snapshot.go", "r.Version), uint64(r.Stage))", "0), 0)"),
	}
}
