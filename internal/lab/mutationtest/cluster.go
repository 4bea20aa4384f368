package main

// clusterMutants returns the planted defects of the membership, the assignment and the start times.
func clusterMutants() []mutant {
	return append(membershipMutants(),
		singleEdit("believe the machine's clock", "clock", "internal/starttime/starttime.go",
			"	adjusted := min(reported+s.clockLead, now)\n	if s.listReceived {\n"+
				"		adjusted = max(adjusted, now-maxNotificationDelay)\n	}\n",
			"	adjusted := reported\n"),
		singleEdit("a turn without an end", "shares", "internal/tokenschedule/taker.go",
			"return e.StartedAt + begins + r.ValidFor(), true", "return e.StartedAt + begins + time.Hour, true"),
		singleEdit("tell every figure at once", "shares", "internal/loadreport/reporter.go",
			"	if !due {\n		return nil, false",
			"	if !due && report.Demand < 0 {\n		return nil, false"),
	)
}

// membershipMutants returns the planted defects of the membership.
func membershipMutants() []mutant {
	return []mutant{
		singleEdit("refute nothing", "members", "internal/membership/claims.go",
			"		m.raiseIncarnation(c.Incarnation + 1)\n		m.lastChange = m.now\n		m.next.gossip = m.now",
			"		m.lastChange = m.now\n		m.next.gossip = m.now"),
		singleEdit("an incarnation that goes back", "members", "internal/membership/claims.go",
			"		m.raiseIncarnation(c.Incarnation + 1)\n		m.lastChange = m.now\n		m.next.gossip = m.now",
			"		m.raiseIncarnation(1)\n		m.lastChange = m.now\n		m.next.gossip = m.now"),
		singleEdit("a later start is nothing", "members", "internal/membership/claims.go",
			"cmp.Or(cmp.Compare(c.Start, p.Start), ", "cmp.Or("),
		singleEdit("believe any claim", "members", "internal/membership/claims.go",
			"	if !supersedes(c, peer) {\n		return\n	}\n", ""),
		singleEdit("never call the lost", "members", "internal/membership/membership.go", "		m.reconnect()\n", ""),
		singleEdit("suspect nobody", "members", "internal/membership/probe_schedule.go",
			"	c := peer.claim(m.cfg.Name)\n	c.State = gossipcodec.Suspect\n	m.acceptClaim(peer, &c)\n", ""),
		singleEdit("a suspicion without end", "members", "internal/membership/suspicion.go",
			"			c.State = gossipcodec.Gone\n			m.acceptClaim(peer, &c)\n",
			"			_ = c\n			s.verifyingUntil = m.now + verificationTimeout\n"),
		singleEdit("spread no payload", "members", "internal/membership/claims.go", "		c.Payload = p.Payload\n", ""),
		singleEdit("answer no question", "members", "internal/membership/receive.go",
			"	m.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Ack, Seq: msg.Seq}, about)\n",
			"	_ = about\n"),
		singleEdit("spread news for ever", "members", "internal/membership/broadcast_queue.go",
			"		if item.transmits++; item.transmits >= limit(item.claim.State) {",
			"		if item.transmits++; item.transmits < 0 {"),
		singleEdit("ask without a pause", "members", "internal/membership/membership.go",
			"		m.next.probe = m.now + m.stretch(protocolPeriod)\n",
			"		m.next.probe = m.now + protocolPeriod/100\n"),
		singleEdit("compare no views", "members", "internal/membership/antientropy.go",
			"	m.next.repair = m.now + repairInterval\n"+
				"	m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Digest, "+
				"BucketSums: m.table.bucketSums[:]}, nil)\n",
			""),
		singleEdit("call those it doubts its majority", "views", "internal/membership/status.go",
			"2*(s.Alive-suspects) > s.Known && s.AnsweredShare > 0.5", "2*s.Alive > s.Known"),
		singleEdit("take a datagram from anybody", "views", "internal/membership/receive.go",
			"	if !m.cfg.Flat && (!seeded || addr != from) {", "	if false && addr != from {"),
		{"throw out at the first silence", "views", []edit{
			{"internal/membership/suspicion.go",
				"	case s.verifyingUntil == 0 && !m.disabled.includes(Verification):", "	case false:"},
			{"internal/membership/suspicion.go",
				"	s.setTimeout(m.stretch(s.timeout(maxTimeout)))",
				"	s.setTimeout(0 * m.stretch(s.timeout(maxTimeout)))"}}},
	}
}
