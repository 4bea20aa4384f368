package main

// clusterMutants are defects of the membership, assignment and start times.
func clusterMutants() []mutant {
	return []mutant{
		one("believe the machine's clock", "clock", "internal/starttime/starts.go",
			"	believed := min(stated+s.lead, now)\n	if s.followed {\n		believed = max(believed, now-heardWithin)\n	}\n", "	believed := stated\n"),
		one("refute nothing", "members", "internal/membership/members.go", "		v.raise(c.Incarnation + 1)\n		v.changed = v.now\n		v.nextNews = v.now", "		v.changed = v.now\n		v.nextNews = v.now"),
		one("an incarnation that goes back", "members", "internal/membership/members.go", "		v.raise(c.Incarnation + 1)\n		v.changed = v.now\n		v.nextNews = v.now", "		v.raise(1)\n		v.changed = v.now\n		v.nextNews = v.now"),
		one("a later start is nothing", "members", "internal/membership/members.go", "cmp.Or(cmp.Compare(c.Start, m.Start), ", "cmp.Or("),
		one("believe any claim", "members", "internal/membership/members.go", "	if !stronger(c, m) {\n		return\n	}\n", ""),
		one("never call the lost", "members", "internal/membership/members.go", "		v.call()\n", ""),
		one("suspect nobody", "members", "internal/membership/members.go", "	c := m.claim(v.cfg.Name)\n	c.State = gossipcodec.Suspect\n	v.set(m, &c)\n", ""),
		one("a suspicion without end", "members", "internal/membership/members.go", "			c.State = gossipcodec.Gone\n			v.set(m, &c)\n", "			_ = c\n			s.verifying = v.now + verifyFor\n"),
		one("spread no payload", "members", "internal/membership/members.go", "		c.Payload = m.Payload\n", ""),
		one("answer no question", "members", "internal/membership/hear.go", "		v.sendTo(from, &gossipcodec.Message{Kind: gossipcodec.Ack, Seq: msg.Seq}, about)\n", "		_ = about\n"),
		one("spread news for ever", "members", "internal/membership/news.go", "		if it.sends++; it.sends >= most(it.claim.State) {", "		if it.sends++; it.sends < 0 {"),
		one("ask without a pause", "members", "internal/membership/members.go", "		v.nextRound = v.now + v.stretch(period)\n", "		v.nextRound = v.now + period/100\n"),
		one("compare no views", "members", "internal/membership/hear.go", "	v.nextFix = v.now + repairEvery\n	v.send(m, &gossipcodec.Message{Kind: gossipcodec.Digest, Sums: v.sums[:]}, nil)\n", ""),
		one("call those it doubts its majority", "views", "internal/membership/members.go", "2*(s.Alive-suspects) > s.Known && s.Answering > 0.5", "2*s.Alive > s.Known"),
		one("take a datagram from anybody", "views", "internal/membership/hear.go", "	if !v.cfg.Flat && (!booked || at != from) {", "	if false && at != from {"),
		{"throw out at the first silence", "views", []edit{
			{"internal/membership/members.go", "	case s.verifying == 0 && v.cfg.Without&PartVerify == 0:", "	case false:"},
			{"internal/membership/members.go", "	s.until = s.since + v.stretch(max(suspectLeast,", "	s.until = s.since + 0*v.stretch(max(suspectLeast,"}}},
		one("a turn without an end", "shares", "internal/tokenschedule/turns.go", "return h.StartedAt + begins + r.ValidFor(), true", "return h.StartedAt + begins + time.Hour, true"),
		one("tell every figure at once", "shares", "internal/loadreport/signals.go", "	if !due {\n		return nil, false", "	if !due && s.Demand < 0 {\n		return nil, false"),
	}
}
