package main

import "slices"

// configMutants are defects of the distribution of configuration.
func configMutants() []mutant {
	return slices.Concat(agentMutants(), controllerMutants())
}

// agentMutants are defects of a gateway's part.
func agentMutants() []mutant {
	const (
		session  = "internal/configdist/agent_session.go"
		transfer = "internal/configdist/agent_transfer.go"
	)
	return []mutant{
		one("take an older version after a newer one", rollouts, transfer,
			"	case ref.Number < a.inForce.Number || ref.Term < a.inForce.Term:\n", "	case false:\n"),
		{"install before the last page", rollouts, []edit{
			{transfer, "	case m.Last:\n", "	case t.bytes > 1200 || m.Last:\n"},
			{transfer, "	if err != nil || tree.Hash() != t.scope {", "	if err != nil {"}}},
		one("hold a refused version for in force", rollouts, "internal/configdist/agent_verdict.go",
			"		a.reject(ref, next.attempt, err.Error())\n		return\n",
			"		a.reject(ref, next.attempt, err.Error())\n"),
		one("forget the last good version at a restart", rollouts, "internal/configdist/agent.go",
			"	if cfg.LastGood != nil {\n", "	if false {\n"),
		one("go on with the session after a stall", rollouts, session,
			"	stalled := now-a.now > stallThreshold\n", "	stalled := false && now-a.now > stallThreshold\n"),
		one("send nothing again", rollouts, session,
			"	a.nextSend = a.now + a.jitter(answerTimeout)\n", "	a.nextSend = a.now + time.Hour\n"),
		one("give no sign of life", rollouts, "internal/configdist/agent.go",
			"	a.nextSend = a.now + a.jitter(reportInterval)\n", "	a.nextSend = a.now + time.Hour\n"),
		one("report without a pause", rollouts, "internal/configdist/agent.go",
			"	a.nextSend = a.now + a.jitter(reportInterval)\n",
			"	a.nextSend = a.now + a.jitter(reportInterval/100)\n"),
	}
}

// controllerMutants are defects of a control machine's part, and of what the log replicates.
func controllerMutants() []mutant {
	return []mutant{
		one("offer a stopped version", rollouts, "internal/configdist/subscriber.go",
			"	case r.Stage == StageAll,\n", "	case r.Stage == StageAll, r.Stage == StageStopped,\n"),
		one("offer to other zones", rollouts, "internal/configdist/subscriber.go",
			"		r.Stage == StageZone && s.zone == r.Zone,\n", "		r.Stage == StageZone,\n"),
		one("stop nothing", rollouts, "internal/configdist/tally.go",
			"	if t.failed == 0 {\n", "	if t.failed >= 0 {\n"),
		one("a stop that stops nothing", rollouts, "internal/configdist/store.go",
			"		s.rollout.Stage, s.rollout.Reason = StageStopped, c.Reason\n",
			"		s.rollout.Reason = c.Reason\n"),
		one("leave removals out of deltas", rollouts, "internal/configdist/content/diff.go",
			"			remove(before[0])\n", ""),
		one("a snapshot without its rollout", rollouts, "internal/configdist/snapshot.go",
			"r.Version), uint64(r.Stage))", "0), 0)"),
	}
}
