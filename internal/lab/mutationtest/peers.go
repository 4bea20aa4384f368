package main

// peersMutants are defects of the connections to clients, hosts and discovery.
func peersMutants() []mutant {
	return []mutant{
		one("reuse a link with bytes left over", "bad-hosts", "internal/upstream/pool.go",
			"return a.KeepAlive && !l.reader.Pending()", "return a.KeepAlive"),
		{"keep what a full list leaves out", "discovery-lies", []edit{
			{"internal/discovery/list.go", "	if doc.Whole {", "	if false {"},
			{"internal/discovery/list.go", "Update{Snapshot: doc.Whole, ", "Update{"}}},
		one("invent an id", "reload", "internal/upstream/pool.go", "	for _, f := range m.Fields {",
			"	for _, f := range m.Fields {\n		if f.Name == \"X-Trace-Id\" {\n			f.Value += \"x\"\n		}"),
		one("give up a call in discovery's queue and call again", "discovery-load", "internal/discovery/watch.go",
			"	case w.up:\n		return AnswerTimeout\n", "	case w.up:\n		return 2700 * time.Millisecond\n"),
		one("wait for half a request by the clock of another bound", stopped, "internal/downstream/incomplete.go",
			"	plain := l.RequestBegan + RequestReadTimeout\n", "	plain := l.RequestBegan + 12*time.Second\n"),
		one("leave half a body without a time", stopped, "internal/downstream/incomplete.go",
			"		return max(plain, l.heard+StreamReadTimeout)", "		return max(plain, l.heard+2*StreamReadTimeout)"),
	}
}
