package main

import "slices"

// configMutants returns the planted defects of the configuration distribution.
func configMutants() []mutant {
	return slices.Concat(agentMutants(), controllerMutants())
}

// agentMutants returns the planted defects of a gateway's agent.
func agentMutants() []mutant {
	const (
		session  = "internal/configdist/agent_session.go"
		transfer = "internal/configdist/agent_transfer.go"
	)
	return []mutant{
		singleEdit("take an older version after a newer one", rolloutsProfile, transfer,
			"	case ref.Number < a.inForce.Number || ref.Term < a.inForce.Term:\n", "	case false:\n"),
		{"install before the last page", rolloutsProfile, []edit{
			{transfer, "	case m.Last:\n", "	case t.bytes > 1200 || m.Last:\n"},
			{transfer, "	if err != nil || tree.Hash() != t.scope {", "	if err != nil {"}}},
		singleEdit("hold a refused version for in force", rolloutsProfile, "internal/configdist/agent_verdict.go",
			"		a.reject(ref, next.attempt, err.Error())\n		return\n",
			"		a.reject(ref, next.attempt, err.Error())\n"),
		singleEdit("forget the last good version at a restart", rolloutsProfile, "internal/configdist/agent.go",
			"	if cfg.LastGood != nil {\n", "	if false {\n"),
		singleEdit("go on with the session after a stall", rolloutsProfile, session,
			"	stalled := now-a.now > stallThreshold\n", "	stalled := false && now-a.now > stallThreshold\n"),
		singleEdit("send nothing again", rolloutsProfile, session,
			"	a.nextSend = a.now + a.jitter(answerTimeout)\n", "	a.nextSend = a.now + time.Hour\n"),
		singleEdit("give no sign of life", rolloutsProfile, "internal/configdist/agent.go",
			"	a.nextSend = a.now + a.jitter(reportInterval)\n", "	a.nextSend = a.now + time.Hour\n"),
		singleEdit("report without a pause", rolloutsProfile, "internal/configdist/agent.go",
			"	a.nextSend = a.now + a.jitter(reportInterval)\n",
			"	a.nextSend = a.now + a.jitter(reportInterval/100)\n"),
	}
}

// controllerMutants returns the planted defects of a control machine's controller and of the state that the log
// replicates.
func controllerMutants() []mutant {
	return []mutant{
		singleEdit("offer a stopped version", rolloutsProfile, "internal/configdist/subscriber.go",
			"	case r.Stage == StageAll,\n", "	case r.Stage == StageAll, r.Stage == StageStopped,\n"),
		singleEdit("offer to other zones", rolloutsProfile, "internal/configdist/subscriber.go",
			"		r.Stage == StageZone && s.zone == r.Zone,\n", "		r.Stage == StageZone,\n"),
		singleEdit("stop nothing", rolloutsProfile, "internal/configdist/tally.go",
			"	if t.failed == 0 {\n", "	if t.failed >= 0 {\n"),
		singleEdit("a stop that stops nothing", rolloutsProfile, "internal/configdist/store.go",
			"		s.rollout.Stage, s.rollout.Reason = StageStopped, c.Reason\n",
			"		s.rollout.Reason = c.Reason\n"),
		singleEdit("leave removals out of deltas", rolloutsProfile, "internal/configdist/content/diff.go",
			"			remove(before[0])\n", ""),
		singleEdit("a snapshot without its rollout", rolloutsProfile, "internal/configdist/snapshot.go",
			"r.Version), uint64(r.Stage))", "0), 0)"),
	}
}
