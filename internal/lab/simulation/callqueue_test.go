package simulation

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymebend/internal/lab/registry"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/loop"
)

// Discovery answers calls in order. A call that would wait longer than the timeout is refused; it costs no capacity,
// and is refused immediately or after the timeout.
func TestCallQueueAnswersInOrderAndShedsOnTimeout(t *testing.T) {
	const second = time.Second
	q := callQueue{CallQueue: CallQueue{LinesPerSecond: 30, CallLines: 25, HostLines: 1, TimeoutMS: 3000}}
	if work := q.work(5); work != second {
		t.Fatalf("a call of 25 lines and 5 hosts takes %v at 30 lines a second, want 1s", work)
	}
	for i, want := range []struct {
		now, at time.Duration
		served  bool
	}{
		{0, second, true},
		{0, 2 * second, true},
		{0, 3 * second, true},
		{0, 4 * second, true}, // its turn starts exactly at the timeout
		{0, 3 * second, false},
		{second / 2, second/2 + 3*second, false},
		{second, 5 * second, true}, // refused calls have cost nothing
		{9 * second, 10 * second, true},
	} {
		if at, served := q.enqueue(want.now, second); at != want.at || served != want.served {
			t.Errorf("call %d: answered at %v, served %v", i, at, served)
		}
	}
	q.ShedAtOnce, q.busyUntil = true, 13*second
	if at, served := q.enqueue(9*second, second); at != 9*second || served {
		t.Errorf("a queue that is too long: answered at %v, served %v, want a refusal at once", at, served)
	}
}

// A change counts as notified after 6 s, or after the time that discovery needs for the calls that it has caused.
func TestNotificationDeadline(t *testing.T) {
	sim := NewSim(1, nil)
	deadlines := &notificationDeadlines{sim: sim, work: 100 * time.Millisecond}
	start := sim.Now()
	after := func(d time.Duration) time.Duration { sim.Run(start + d); return d }
	deadlines.recordChange(registry.Entry{Host: "a", State: registry.Draining})
	deadlines.addCalls(20)
	after(3 * time.Second)
	deadlines.recordChange(registry.Entry{Host: "a", State: registry.Removed}) // the first notice counts
	after(5999 * time.Millisecond)
	if notice, ok := deadlines.overdue("a"); ok {
		t.Errorf("counts as notified before 6 s: %v", notice)
	}
	after(notificationLimit)
	if notice, ok := deadlines.overdue("a"); !ok || notice.At != start+notificationLimit ||
		notice.State != registry.Draining {
		t.Errorf("%v, %v", notice, ok)
	}
	deadlines.recordChange(registry.Entry{Host: "b", State: registry.Draining})
	from := after(7 * time.Second)
	deadlines.addCalls(100) // 10 s of work
	after(25 * time.Second)
	if notice, ok := deadlines.overdue("b"); !ok || notice.At != start+from+silenceDetection+15*time.Second {
		t.Errorf("%v, %v", notice, ok)
	}
	if notice, ok := deadlines.overdue("a"); !ok || notice.At != start+notificationLimit {
		t.Errorf("a deadline that has passed was extended: %v, %v", notice, ok)
	}
	deadlines.recordChange(registry.Entry{Host: "a", State: registry.Up})
	if _, ok := deadlines.overdue("a"); ok {
		t.Error("a host that is up has a notification of its departure")
	}
}

// startWithWatches starts a simulator whose discovery has a call queue, and runs it until every gateway has
// received the list of hosts.
func startWithWatches(t *testing.T, calls CallQueue) *simulator {
	t.Helper()
	s := newSimulator(Plan{Seed: 1, Gateways: 4, Hosts: 3, Sockets: 300,
		NetworkPlan: NetworkPlan{LatencyUS: 200}, CostUS: 10,
		Calls: &calls}, nil,
		func(r loop.Reducer) loop.Reducer { return r })
	s.build()
	s.sim.Run(epoch + 3*time.Second)
	if n := len(s.discovery.gatewaysWithList()); n != 4 {
		t.Fatalf("%d of 4 gateways have a list", n)
	}
	return s
}

// gatewaysWithList returns the gateways that have a watch on which the list of hosts has been written.
func (d *discoveryServer) gatewaysWithList() map[int]bool {
	list := make(map[int]bool)
	for _, c := range d.watches {
		if c.notified && !c.end.closed {
			list[c.gateway] = true
		}
	}
	return list
}

// Watches end when the list changes, are all reset, or fall silent. The list that answers the next call omits
// draining hosts.
func TestWatchFaultsAndListsWithoutDrainingHosts(t *testing.T) {
	calls := CallQueue{LinesPerSecond: 1000, CallLines: 20, HostLines: 1, TimeoutMS: 3000, EndWatches: 1,
		WholeFirst: true}
	s := startWithWatches(t, calls)
	before := slices.Clone(s.discovery.watches)
	s.announce(s.hosts[0], registry.Draining, false)
	s.sim.Run(s.sim.Now() + time.Millisecond)
	for _, c := range before {
		if !c.end.closed {
			t.Errorf("the watch of %s is still open", gatewayName(c.gateway))
		}
	}
	line := string(s.discovery.list.ServingLine("g0"))
	whole := strings.Contains(line, `"whole":true`)
	if strings.Contains(line, s.hosts[0].name+`"`) || !strings.Contains(line, s.hosts[1].name) || !whole {
		t.Errorf("%s", line)
	}
	changed, serving := s.discovery.list.ChangedCount(s.discovery.list.Version()-1), s.discovery.list.ServingCount()
	if changed != 1 || serving != 2 {
		t.Errorf("%d hosts changed, %d serve, want 1 and 2", changed, serving)
	}
	for _, storm := range []struct {
		do    func()
		after time.Duration // time within which every gateway has another watch
	}{
		{func() {}, time.Second},
		{s.discovery.resetOpen, time.Second},
		{func() { s.discovery.silenceWatches(10 * time.Second) }, 4 * time.Second},
	} {
		old := s.discovery.watches
		storm.do()
		s.sim.Run(s.sim.Now() + storm.after)
		silent := slices.ContainsFunc(s.discovery.watches, func(c *watch) bool {
			return slices.Contains(old, c) &&
				c.silentUntil > 0
		})
		if len(s.discovery.gatewaysWithList()) != 4 || silent {
			t.Errorf("%d of 4 gateways have a list", len(s.discovery.gatewaysWithList()))
		}
	}
}

// No seed selects the profile discovery-load by default, and a plan is the same after it was saved and read.
func TestDiscoveryLoadPlans(t *testing.T) {
	for seed := range uint64(300) {
		if p := draw(t, seed, ""); p.Calls != nil {
			t.Fatalf("seed %d selects a profile with a call queue by default", seed)
		}
	}
	p := draw(t, 3, discoveryLoadProfile)
	path := filepath.Join(t.TempDir(), "p.json")
	if err := p.Write(path); err != nil {
		t.Fatal(err)
	}
	q, err := ReadPlan(path)
	if err != nil || q.Calls == nil || *q.Calls != *p.Calls || Play(q, nil).Hash != Play(p, nil).Hash {
		t.Errorf("a saved plan gives a different run: %v", err)
	}
	for text, want := range map[string]string{
		`{}`:                       "calls.lines_per_second must be positive",
		`{"lines_per_second": -1}`: "calls.lines_per_second must be positive",
		`{"lines_per_second": 9, "call_lines": -1}`:   "must not be negative",
		`{"lines_per_second": 9, "end_watches": 1.1}`: "calls.end_watches must be a chance",
	} {
		if err := os.WriteFile(path, fmt.Appendf(nil, `{"gateways": 1, "hosts": 1, "calls": %s}`, text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadPlan(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// callAbandoner is a gateway with a planted defect: it abandons a call that waits in discovery's queue, and calls
// again.
type callAbandoner struct {
	loop.Reducer
	waiting map[loop.Conn]bool // calls without an answer
}

// abandonAfter is shorter than discovery's timeout, so that an abandoned call still costs its turn.
const abandonAfter = 2700 * time.Millisecond

// abandonTimer is a kind of timer that the gateway does not have.
const abandonTimer = 201

// Step implements loop.Reducer.
func (g *callAbandoner) Step(now time.Duration, e loop.Event) []loop.Effect {
	if e.Kind == loop.TimerDue && e.Timer.Kind == abandonTimer {
		conn := loop.Conn(e.Timer.ID)
		if !g.waiting[conn] {
			return nil
		}
		e = loop.Event{Kind: loop.Broken, Conn: conn, Err: unix.ETIMEDOUT}
	}
	if e.Kind == loop.Data || e.Kind == loop.EOF || e.Kind == loop.Broken {
		delete(g.waiting, e.Conn)
	}
	list := g.Reducer.Step(now, e)
	for _, f := range list {
		if f.Op == loop.Write && bytes.HasPrefix(f.Data, []byte("GET /v1/servers")) {
			g.waiting[f.Conn] = true
			timer := loop.Timer{Kind: abandonTimer, ID: uint64(f.Conn)}
			list = append(list, loop.Effect{Op: loop.SetTimer, Timer: timer, At: now + abandonAfter})
		}
	}
	return list
}

func abandonQueuedCalls(r loop.Reducer) loop.Reducer {
	return &callAbandoner{Reducer: r, waiting: make(map[loop.Conn]bool)}
}

// Verifies that the rule on late notifications can fail: gateways that abandon queued calls break it.
func TestAbandoningQueuedCallsIsDetected(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		o := play(draw(t, seed, discoveryLoadProfile), nil, abandonQueuedCalls)
		if slices.ContainsFunc(o.Findings, func(f Finding) bool { return f.Rule == requestrecord.SentAfterDrain }) {
			t.Logf("detected at seed %d", seed)
			return
		}
	}
	t.Error("not detected in 40 seeds")
}
