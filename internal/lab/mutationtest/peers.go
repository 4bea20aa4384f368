package main

// peersMutants returns the planted defects of the connections to clients, hosts and discovery.
func peersMutants() []mutant {
	return []mutant{
		singleEdit("reuse a link with bytes left over", "bad-hosts", "internal/upstream/conn.go",
			"return response.KeepAlive && !c.reader.Pending()", "return response.KeepAlive"),
		{"keep what a full list leaves out", "discovery-lies", []edit{
			{"internal/discovery/update.go", "	if doc.Snapshot {", "	if false {"},
			{"internal/discovery/update.go", "Update{Snapshot: doc.Snapshot, ", "Update{"}}},
		singleEdit("invent an id", "reload", "internal/upstream/request.go", "	for _, f := range m.Fields {",
			"	for _, f := range m.Fields {\n		if f.Name == \"X-Trace-Id\" {\n			f.Value += \"x\"\n		}"),
		singleEdit("give up a call in discovery's queue and call again", "discovery-load", "internal/discovery/watch.go",
			"	case w.connected:\n		return AnswerTimeout\n",
			"	case w.connected:\n		return 2700 * time.Millisecond\n"),
		singleEdit("wait for half a request by the clock of another bound", stoppedClientsProfile, "internal/downstream/readtimeout.go",
			"	plain := c.RequestStart + RequestReadTimeout\n", "	plain := c.RequestStart + 12*time.Second\n"),
		singleEdit("leave half a body without a time", stoppedClientsProfile, "internal/downstream/readtimeout.go",
			"		return max(plain, c.lastReceived+StreamReadTimeout)",
			"		return max(plain, c.lastReceived+2*StreamReadTimeout)"),
	}
}
