// Command mutants plants one defect after another in a copy of the tree and counts the seeded runs that it takes
// to catch each. It shows that the checks can fail; make mutants runs it. An argument names one profile.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

type edit struct{ file, old, new string }

type mutant struct {
	name    string
	profile string
	edits   []edit
}

// stopped is the profile of clients that stop in the middle of their requests.
const stopped = "stopped-clients"

// rollouts is the profile of defects that the rollouts' own play is to catch, not that of whole gateways.
const rollouts = "rollouts"

// mostSeeds bounds the search; a mutant that survives them is a gap of the checks.
const mostSeeds = 300

func mutants() []mutant {
	one := func(name, profile, file, old, new string) mutant {
		return mutant{name, profile, []edit{{file, old, new}}}
	}
	return []mutant{
		one("resend an unsafe query after a reset", "bad-hosts", "internal/balancer/retries.go",
			"		if a.unrun || c.Effect == Safe {", "		if true {"),
		{"forget the drain check", "drain-retry", []edit{
			{"internal/balancer/dispatch.go", "return s.State == Ready && b.now >= s.restUntil", "return b.now >= s.restUntil"},
			{"internal/balancer/listing.go", "		if s.State != Ready || usable >= part && s.ejected", "		if usable >= part && s.ejected"},
			{"internal/gateway/fromservers.go", "return h != nil && h.State == thymebend.Ready", "return h != nil"}}},
		one("take an end after the flush as unsent", "bad-hosts", "internal/gateway/fromservers.go",
			"		g.endExecution(x, EndCut, nil)", "		g.endExecution(x, EndUnsent, nil)"),
		one("reuse a link with bytes left over", "bad-hosts", "internal/upstream/pool.go",
			"return a.KeepAlive && !l.reader.Pending()", "return a.KeepAlive"),
		one("drop the check of the never-ran header", "bad-hosts", "internal/gateway/fromservers.go",
			"case a.NeverRan && (a.Status == 503 || a.Status == 504):", "case a.Status == 503 || a.Status == 504:"),
		one("leak a query when its client leaves", "rude-clients", "internal/gateway/fromclients.go",
			"		g.endExecution(x, EndClientGone, nil)\n	}\n	g.forget(q)\n", "		g.endExecution(x, EndClientGone, nil)\n	}\n"),
		{"keep what a full list leaves out", "discovery-lies", []edit{
			{"internal/discovery/list.go", "	if doc.Whole {", "	if false {"},
			{"internal/discovery/list.go", "News{Whole: doc.Whole, ", "News{"}}},
		one("refuse a bid that may have run", "bad-hosts", "internal/balancer/refusal.go", "	if b.mayRefuse(r) {", "	if true {"),
		one("ignore the cold budget", "cold-return", "internal/balancer/dispatch.go", " && b.coldRoom(s)\n", "\n"),
		one("lose queries at SIGTERM", "restart-surge", "internal/gateway/stop.go",
			"if g.drained && len(g.queries) == 0 && len(g.links.ByConn) == 0 && len(g.passing) == 0 && g.guard.End(len(g.open)) {", "if g.drained {"),
		one("answer twice", "reload", "internal/gateway/fromclients.go",
			"	q.client = 0\n	g.lastWords(l, data)", "	q.client = 0\n	g.lastWords(l, append(data, data...))"),
		one("a timer that never stops", "reload", "internal/gateway/gateway.go",
			"		g.exitIfDone()\n", "		g.setTimer(200, 0, now+5*time.Millisecond)\n		g.exitIfDone()\n"),
		one("invent an id", "reload", "internal/upstream/pool.go", "	for _, f := range m.Fields {",
			"	for _, f := range m.Fields {\n		if f.Name == \"X-Trace-Id\" {\n			f.Value += \"x\"\n		}"),
		one("end an elder before its links went over", "upgrade", "internal/gateway/stop.go",
			"len(g.queries) == 0 && len(g.links.ByConn) == 0 && len(g.passing) == 0 && g.guard", "len(g.queries) == 0 && g.guard"),
		one("never read a link that came over", "upgrade", "internal/gateway/handover.go",
			"			g.ask(loop.Effect{Op: loop.Unmute, Conn: c})\n", ""),
		one("accept no more after a newcomer died", "upgrade", "internal/gateway/handover.go",
			"		g.ask(loop.Effect{Op: loop.Unmute, Conn: loop.Listener})\n", ""),
		one("know classes by their place in the file", "retune", "internal/gateway/reload.go",
			"Place: g.places[i]", "Place: i"),
		one("forget at once how a class was worded", "retune", "internal/gateway/reload.go", "g.now < f.until && method", "false && method"),
		one("send a body on whose first bytes are gone", "bulk", "internal/gateway/actions.go",
			"Spent: q.up != nil && q.up.spent", "Spent: false"),
		one("take half a large answer for whole", "bulk", "internal/gateway/relay.go", "		if !r.server.EndsByClose() {", "		if false {"),
		one("give up a call in discovery's queue and call again", "discovery-load", "internal/discovery/watch.go",
			"	case w.up:\n		return AnswerWithin\n", "	case w.up:\n		return 2700 * time.Millisecond\n"),
		one("wait for half a request by the clock of another bound", stopped, "internal/downstream/incomplete.go",
			"	plain := l.Began + WholeWithin\n", "	plain := l.Began + 12*time.Second\n"),
		one("leave half a body without a time", stopped, "internal/downstream/incomplete.go",
			"		return max(plain, l.heard+StreamPause)", "		return max(plain, l.heard+2*StreamPause)"),
		one("set no timer for half a request", stopped, "internal/gateway/fromclients.go",
			"		l.Timed = true\n		g.timeClient(l, g.waitUntil(l))\n", "		l.Timed = true\n"),
		one("write an attempt after its client's time", "restart-surge", "internal/gateway/guarded.go",
			"	case g.now >= x.until:\n		return EndNotUp, true\n", ""),
		one("believe the machine's clock", "clock", "internal/starttime/starts.go",
			"	believed := min(stated+s.lead, now)\n	if s.followed {\n		believed = max(believed, now-heardWithin)\n	}\n", "	believed := stated\n"),
		one("never watch the agent", "pushed", "internal/gateway/gateway.go", "		defer g.move()\n", ""),
		one("call a lost agent no more", "pushed", "internal/gateway/fromlist.go",
			"	case g.watch == nil && g.pushed():\n		g.setTimer(timerMove, 0, g.now+moveAgain)\n", "	case g.watch == nil && g.pushed():\n"),
		one("believe an agent that has an older list", "pushed", "internal/gateway/pushed.go",
			"		if err != nil || !older {", "		if err != nil || !older || g.now > 0 {"),
		one("refute nothing", "members", "internal/membership/members.go", "		v.raise(c.Incarnation + 1)\n		v.changed = v.now\n		v.nextNews = v.now", "		v.changed = v.now\n		v.nextNews = v.now"),
		one("an incarnation that goes back", "members", "internal/membership/members.go", "		v.raise(c.Incarnation + 1)\n		v.changed = v.now\n		v.nextNews = v.now", "		v.raise(1)\n		v.changed = v.now\n		v.nextNews = v.now"),
		one("a later start is nothing", "members", "internal/membership/members.go", "cmp.Or(cmp.Compare(c.Start, m.Start), ", "cmp.Or("),
		one("believe any claim", "members", "internal/membership/members.go", "	if !stronger(c, m) {\n		return\n	}\n", ""),
		one("never call the lost", "members", "internal/membership/members.go", "		v.call()\n", ""),
		one("suspect nobody", "members", "internal/membership/members.go", "	c := m.claim(v.cfg.Name)\n	c.State = fleetwire.Suspect\n	v.set(m, &c)\n", ""),
		one("a suspicion without end", "members", "internal/membership/members.go", "			c.State = fleetwire.Gone\n			v.set(m, &c)\n", "			_ = c\n			s.verifying = v.now + verifyFor\n"),
		one("spread no payload", "members", "internal/membership/members.go", "		c.Payload = m.Payload\n", ""),
		one("answer no question", "members", "internal/membership/hear.go", "		v.sendTo(from, &fleetwire.Message{Kind: fleetwire.Ack, Seq: msg.Seq}, about)\n", "		_ = about\n"),
		one("spread news for ever", "members", "internal/membership/news.go", "		if it.sends++; it.sends >= most(it.claim.State) {", "		if it.sends++; it.sends < 0 {"),
		one("ask without a pause", "members", "internal/membership/members.go", "		v.nextRound = v.now + v.stretch(period)\n", "		v.nextRound = v.now + period/100\n"),
		one("compare no views", "members", "internal/membership/hear.go", "	v.nextFix = v.now + repairEvery\n	v.send(m, &fleetwire.Message{Kind: fleetwire.Digest, Sums: v.sums[:]}, nil)\n", ""),
		one("call those it doubts its majority", "views", "internal/membership/members.go", "2*(s.Alive-suspects) > s.Known && s.Answering > 0.5", "2*s.Alive > s.Known"),
		one("leave at an upgrade", "views", "internal/gateway/handover.go", "		g.quitFleet(false)", "		g.quitFleet(true)"),
		one("hand no identity over", "views", "internal/gateway/handover.go", "			state.FleetStart, state.FleetIncarnation = g.fleet.view.Identity()\n", ""),
		one("speak on beside the next process", "views", "internal/gateway/handover.go", "		g.quitFleet(false)\n", ""),
		one("speak no more after an upgrade that came to nothing", "views", "internal/gateway/handover.go", "	g.told = true\n	g.joinFleet()\n", "	g.told = true\n"),
		one("say nothing at SIGTERM", "views", "internal/gateway/stop.go", "	g.quitFleet(true)\n", "	g.quitFleet(false)\n"),
		one("take a datagram from anybody", "views", "internal/membership/hear.go", "	if !v.cfg.Flat && (!booked || at != from) {", "	if false && at != from {"),
		one("move the view's timer once", "views", "internal/gateway/fleet.go", "		g.fleet.view.Advance(g.now)\n		g.postFleet()\n", "		g.fleet.view.Advance(g.now)\n"),
		{"throw out at the first silence", "views", []edit{
			{"internal/membership/members.go", "	case s.verifying == 0 && v.cfg.Without&PartVerify == 0:", "	case false:"},
			{"internal/membership/members.go", "	s.until = s.since + v.stretch(max(suspectLeast,", "	s.until = s.since + 0*v.stretch(max(suspectLeast,"}}},
		{"turns among the living alone", "shares", []edit{
			{"internal/gateway/shares.go", "	names := g.booked()\n	if g.cfg.Fleet.Flat {", "	names := []string{}\n	if true {"},
			{"internal/gateway/shares.go", "			if m.State != fleetwire.Left {", "			if m.State == fleetwire.Alive {"}}},
		one("a turn without an end", "shares", "internal/tokenschedule/turns.go", "return h.Born + begins + r.Good(), true", "return h.Born + begins + time.Hour, true"),
		one("a turn that is not spent", "shares", "internal/balancer/dispatch.go", "		s.turns = s.turns[min(1, len(s.turns)):]\n", ""),
		one("cold hosts like warm ones", "shares", "internal/balancer/slowstart.go", "		return s.hasTurn(b.now)\n", "		return true\n"),
		one("news of the list that wait for the view's", "shares", "internal/gateway/shares.go", "	if !news && !p.listed && !warm", "	if !news && !warm"),
		one("a host that stays cold", "shares", "internal/gateway/shares.go", "	return h.Born > 0 && g.now-h.Born < g.portion.rule.Warm\n", "	return h.Born > 0\n"),
		one("another worth of a turn", "shares", "internal/gateway/shares.go", "Capacity: p.rate}", "Capacity: p.rate * 1.6}"),
		one("turns forgotten at each look", "shares", "internal/gateway/shares.go", "p.holder.Forget(isCold)", "p.holder.Forget(func(uint64) bool { return false })"),
		one("warm hosts left out", "shares", "internal/gateway/shares.go", "		case h.State != thymebend.Ready:", "		case h.State != thymebend.Ready || h.Born > 0 && !g.cold(h):"),
		one("tell every figure at once", "shares", "internal/loadreport/signals.go", "	if !due {\n		return nil, false", "	if !due && s.Demand < 0 {\n		return nil, false"),
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
		one("end executions at a host without their link", "bad-hosts", "internal/gateway/fromservers.go",
			"		g.unbind(x)\n		g.dropLink(l, end)", "		g.unbind(x)\n		g.pool.Rest(l)"),
	}
}

func main() {
	only := ""
	if len(os.Args) > 1 {
		only = os.Args[1]
	}
	root, err := os.Getwd()
	if err == nil {
		_, err = os.Stat(filepath.Join(root, "internal/balancer/balancer.go"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants: run it from the tree's root:", err)
		os.Exit(2)
	}
	list := slices.DeleteFunc(mutants(), func(m mutant) bool { return only != "" && m.profile != only })
	rows := make([]string, len(list))
	missed := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	turn := make(chan bool, 3)
	for i, m := range list {
		turn <- true
		all.Go(func() {
			defer func() { <-turn }()
			row, caught := try(root, m)
			mu.Lock()
			defer mu.Unlock()
			if rows[i] = row; !caught {
				missed++
			}
		})
	}
	all.Wait()
	fmt.Printf("| defect | profile | seeds until caught | rule |\n| --- | --- | --- | --- |\n%s\n", strings.Join(rows, "\n"))
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "mutants: %d not caught within %d seeds\n", missed, mostSeeds)
		os.Exit(1)
	}
}

// try plants one defect and looks for it.
func try(root string, m mutant) (row string, caught bool) {
	say := func(format string, args ...any) string {
		return fmt.Sprintf("| %s | %s | %s |", m.name, m.profile, fmt.Sprintf(format, args...))
	}
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return say("error | %v", err), false
	}
	defer os.RemoveAll(dir)
	if err := os.CopyFS(dir, sources(root)); err != nil {
		return say("error | %v", err), false
	}
	for _, e := range m.edits {
		path := filepath.Join(dir, e.file)
		text, err := os.ReadFile(path)
		if err != nil || bytes.Count(text, []byte(e.old)) != 1 {
			return say("error | %s does not hold the text to change once", e.file), false
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(e.old), []byte(e.new), 1), 0o644); err != nil {
			return say("error | %v", err), false
		}
	}
	build := exec.Command("go", "build", "-o", "mutant", "./cmd/thymelab")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return say("error | does not build: %.200s", out), false
	}
	const batch = 5
	for from := 1; from <= mostSeeds; from += batch {
		if m.profile == rollouts {
			if seed, rule, found := playRollouts(dir, from, batch); found {
				return say("%d | %s", seed, rule), true
			}
			continue
		}
		report := filepath.Join(dir, "report.json")
		run := exec.Command("./mutant", "seeds", "--from", fmt.Sprint(from), "--count", fmt.Sprint(batch), "--profile", m.profile,
			"--jobs", "1", "--json", report)
		run.Dir = dir
		if err := run.Run(); err == nil {
			continue // no failure
		}
		var found struct {
			Failures []struct {
				Seed int
				Rule string
			}
		}
		raw, err := os.ReadFile(report)
		if err == nil {
			err = json.Unmarshal(raw, &found)
		}
		if err != nil || len(found.Failures) == 0 {
			return say("error | %v", err), false
		}
		return say("%d | %s", found.Failures[0].Seed, found.Failures[0].Rule), true
	}
	return say("not in %d | -", mostSeeds), false
}

// playRollouts plays some seeds of the rollouts' play, and finds the first that breaks a rule. A crash breaks one too.
func playRollouts(dir string, from, count int) (seed int, rule string, found bool) {
	run := exec.Command("./mutant", "rollouts", "--from", fmt.Sprint(from), "--seeds", fmt.Sprint(count), "--jobs", "1")
	run.Dir = dir
	out, err := run.Output()
	if err == nil {
		return 0, "", false
	}
	first, _, _ := strings.Cut(string(out), "\n")
	if _, err := fmt.Sscanf(first, "seed %d:", &seed); err != nil {
		return from, "crash", true
	}
	_, rule, _ = strings.Cut(first, " s: ")
	return seed, rule, true
}
