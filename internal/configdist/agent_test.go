package configdist

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

func controlMachines(n int) (list []ControlMachine) {
	for i := range n {
		list = append(list, ControlMachine{ID: uint64(i + 1), Region: fmt.Sprint("r", i/2)})
	}
	return list
}

func newTestAgent(t *testing.T, cfg AgentConfig) *Agent {
	t.Helper()
	if cfg.Gateway == "" {
		cfg.Gateway = "g"
	}
	if cfg.Controllers == nil {
		cfg.Controllers = controlMachines(4)
	}
	a, err := NewAgent(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// newVersion returns a version of term 1 whose content is a tree with changes applied.
func newVersion(t *testing.T, number uint64, tree *content.Tree, changes ...content.Change) *Version {
	t.Helper()
	next, err := tree.Apply(changes)
	if err != nil {
		t.Fatal(err)
	}
	return &Version{Ref: content.Ref{Term: 1, Number: number, Hash: next.Hash()}, Tree: next}
}

// snapshotPage returns a page that contains a complete version, for the agent's session.
func snapshotPage(a *Agent, v *Version) *codec.Page {
	changes, _, _ := content.Page(content.EmptyTree(), v.Tree, v.Tree.Services(), content.Cursor{}, math.MaxInt)
	return &codec.Page{Session: a.session, Target: v.Ref, Scope: v.Tree.Hash(), Last: true, Changes: changes}
}

// completeInstall reports err as the outcome of the agent's pending installation, and returns whether there was one.
func completeInstall(a *Agent, now time.Duration, err error) bool {
	out := a.Take()
	if out.Install != nil {
		a.Installed(now, out.Install.Ref, err)
	}
	return out.Install != nil
}

// Guards against control machines with too many agents, and agents that prefer control machines of another region.
// Each of the four control machines must be the first choice of a quarter of the agents, plus or minus 40. When
// control machine 1 fails, its agents must use control machine 2, of the same region.
func TestControllerOrderPrefersOwnRegionAndBalances(t *testing.T) {
	const agents = 870
	first, second := make(map[uint64]int), make(map[uint64]int)
	for i := range agents {
		cfg := AgentConfig{Gateway: fmt.Sprintf("g-%04d", i), Region: fmt.Sprint("r", i%2),
			Controllers: controlMachines(4)}
		order := controllerOrder(cfg)
		if local := order[0] <= 2; local != (cfg.Region == "r0") || (order[1] <= 2) != local {
			t.Fatalf("%s in region %s tries control machines in the order %v", cfg.Gateway, cfg.Region, order)
		}
		first[order[0]]++
		if order[0] == 1 {
			second[order[1]]++
		}
	}
	for id, n := range first {
		if n < agents/4-40 || n > agents/4+40 {
			t.Errorf("control machine %d is the first choice of %d agents, want %d within 40", id, n, agents/4)
		}
	}
	if len(first) != 4 || second[2] != first[1] {
		t.Errorf("first choices %v, second choices after control machine 1 %v", first, second)
	}
}

// Guards against an agent that stays with a silent control machine, or retries without a backoff.
func TestAgentTriesNextControllerWithBackoff(t *testing.T) {
	a := newTestAgent(t, AgentConfig{Seed: 5})
	var contacted []uint64
	var pauses []time.Duration
	for last := time.Duration(0); a.NextWake() < 40*time.Second; {
		for _, m := range a.Take().Messages {
			if len(contacted) == 0 || contacted[len(contacted)-1] != m.To {
				contacted, pauses = append(contacted, m.To), append(pauses, a.now-last)
				last = a.now
			}
		}
		a.Advance(a.NextWake())
	}
	if len(contacted) < 9 || !slices.Equal(contacted[:4], contacted[4:8]) ||
		len(slices.Compact(slices.Sorted(slices.Values(contacted[:4])))) != 4 {
		t.Errorf("control machines contacted: %v", contacted)
	}
	for i, p := range pauses {
		if limit := maxSends*answerTimeout*11/10 + 3*maxBackoff/2; p > limit {
			t.Errorf("pause %d took %v, limit %v", i, p, limit)
		}
	}
	if a.Counts().Unreachable < 2 {
		t.Errorf("want at least 2 rounds without an answer: %+v", a.Counts())
	}
}

// Guards against a subscription that does not fit into a frame.
func TestTooManyServicesAreRejected(t *testing.T) {
	var names []string
	for i := range maxServiceNameBytes / 10 {
		names = append(names, fmt.Sprintf("service-%05d", i))
	}
	if _, err := NewAgent(AgentConfig{Gateway: "g", Controllers: controlMachines(1), Services: names}, 0); err == nil {
		t.Error("NewAgent accepted the list")
	}
	a := newTestAgent(t, AgentConfig{Services: names[:2]})
	if err := a.SetServices(0, names); err == nil || len(a.cfg.Services) != 2 {
		t.Errorf("SetServices: error %v, the agent has %d services", err, len(a.cfg.Services))
	}
}

// Guards against an agent that installs a version that is older than the one in force, has a lower term, or has the
// same number but other content, and against one that accepts messages of another session or control machine. Also
// checked after a restart.
func TestAgentIgnoresOlderAndForkedVersions(t *testing.T) {
	a := newTestAgent(t, AgentConfig{})
	one := newVersion(t, 1, content.EmptyTree(), service("a", "1"))
	five := newVersion(t, 5, one.Tree, service("a", "5"))
	five.Ref.Term = 3
	from, _ := a.Controller()
	a.Receive(0, from, snapshotPage(a, five))
	if !completeInstall(a, 0, nil) || a.InForce().Ref != five.Ref {
		t.Fatalf("version %v in force", a.InForce().Ref)
	}
	fork := newVersion(t, 5, content.EmptyTree(), service("a", "other"))
	fork.Ref.Term = 3
	oldTerm := newVersion(t, 6, five.Tree, service("a", "6"))
	otherSession := snapshotPage(a, newVersion(t, 7, five.Tree, service("a", "7")))
	otherSession.Session++
	for name, m := range map[string]codec.Message{"older version": snapshotPage(a, one),
		"fork of the same number": snapshotPage(a, fork),
		"older term":              snapshotPage(a, oldTerm), "other session": otherSession,
		"offer of an older version": &codec.Offer{Session: a.session, Target: one.Ref}} {
		if a.Receive(0, from, m); completeInstall(a, 0, nil) || a.InForce().Ref != five.Ref {
			t.Errorf("%s: version %v in force", name, a.InForce().Ref)
		}
	}
	a.Receive(0, from+1, snapshotPage(a, newVersion(t, 7, five.Tree, service("a", "7"))))
	if c := a.Counts(); completeInstall(a, 0, nil) || c.Fenced != 3 || c.Forked != 1 || c.Stale != 2 {
		t.Errorf("message of another control machine installed, or wrong counts: %+v", c)
	}
	lastGood := a.InForce()
	restarted := newTestAgent(t, AgentConfig{LastGood: &lastGood, Session: 1 << 20})
	from, _ = restarted.Controller()
	restarted.Receive(0, from, snapshotPage(restarted, one))
	if completeInstall(restarted, 0, nil) || restarted.InForce().Ref != five.Ref {
		t.Errorf("after a restart: version %v in force", restarted.InForce().Ref)
	}
}

// Guards against a rejected version that is installed again and again: only a new attempt of the rollout retries it.
func TestRejectedVersionIsRetriedOnlyInNewAttempt(t *testing.T) {
	a := newTestAgent(t, AgentConfig{})
	from, _ := a.Controller()
	one := newVersion(t, 1, content.EmptyTree(), service("a", "1"))
	a.Receive(0, from, snapshotPage(a, one))
	completeInstall(a, 0, nil)
	page := snapshotPage(a, newVersion(t, 2, one.Tree, service("a", "2")))
	page.Attempt = 1
	a.Receive(0, from, page)
	completeInstall(a, 0, errors.New("line 3: no such pool"))
	if s := a.state(); s.InForce != one.Ref || s.Verdict != codec.Rejected || s.Version != 2 ||
		s.Reason != "line 3: no such pool" {
		t.Errorf("state after the rejection: %+v", s)
	}
	if a.Receive(0, from, page); completeInstall(a, 0, nil) {
		t.Error("the version was installed again in the same attempt")
	}
	page.Attempt = 2
	a.Receive(0, from, page)
	if !completeInstall(a, 0, nil) || a.state().Verdict != codec.Healthy || a.InForce().Ref != page.Target {
		t.Errorf("state after the new attempt: %+v", a.state())
	}
}

// Guards against content in force whose hash differs from that of its version.
func TestContentWithWrongHashIsNotInstalled(t *testing.T) {
	a := newTestAgent(t, AgentConfig{})
	from, _ := a.Controller()
	page := snapshotPage(a, newVersion(t, 1, content.EmptyTree(), service("a", "1")))
	page.Scope[0]++
	if a.Receive(0, from, page); completeInstall(a, 0, nil) || a.Counts().Mismatched != 1 {
		t.Errorf("installed, or wrong counts: %+v", a.Counts())
	}
	if to, _ := a.Controller(); to == from {
		t.Error("the agent stays with the control machine whose snapshot was wrong")
	}
}

// newSingleController starts a control machine that is the only voter, and runs 30 ticks so that it leads.
func newSingleController(t *testing.T, cfg ControllerConfig) (c *Controller, now time.Duration) {
	t.Helper()
	cfg.ID, cfg.Voters = 1, []uint64{1}
	c, err := NewController(cfg, 0)
	if err != nil {
		t.Fatal(err)
	}
	for range 30 {
		now += raft.TickInterval
		c.Advance(now)
		takeOutput(t, c)
	}
	return c, now
}

func takeOutput(t *testing.T, c *Controller) ControllerOutput {
	t.Helper()
	out, err := c.Take((&raft.MemoryStorage{}).Save)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// proposeVersion proposes a command and returns its result.
func proposeVersion(t *testing.T, c *Controller, now time.Duration, command Command) Result {
	t.Helper()
	if err := c.Propose(now, command); err != nil {
		t.Fatal(err)
	}
	out := takeOutput(t, c)
	if len(out.Results) != 1 || out.Results[0].ID != command.ID {
		t.Fatalf("want one result, for command %d: %+v", command.ID, out.Results)
	}
	return out.Results[0]
}

// Guards against an offer for a rollout's stage that ended while the control machine was stalled. After a stall of
// 10 s no version in a rollout may be offered until quietAfterStall has passed.
func TestNoStagedVersionIsOfferedAfterStall(t *testing.T) {
	c, now := newSingleController(t, ControllerConfig{})
	proposeVersion(t, c, now, Command{Kind: Propose, ID: 1, Changes: []content.Change{service("a", "1")}})
	_ = c.propose(*moveStageCommand(1, StageCanary))
	takeOutput(t, c)
	s := &subscriber{gateway: "g"}
	if v, _ := c.targetOf(s); v.Ref.Number != 1 {
		t.Fatalf("before the stall: version %d offered, want 1", v.Ref.Number)
	}
	now += 10 * time.Second
	c.advanceClock(now)
	if v, _ := c.targetOf(s); v.Ref.Number != 0 {
		t.Errorf("after the stall: version %d offered, want 0", v.Ref.Number)
	}
	c.advanceClock(now + quietAfterStall)
	if v, _ := c.targetOf(s); v.Ref.Number != 1 {
		t.Errorf("quietAfterStall later: version %d offered, want 1", v.Ref.Number)
	}
}

// Guards against gateways that wait for a control machine that does not serve them: a full one answers Busy, and a
// report or fetch without a session is answered by UnknownSession.
func TestFullControllerAnswersBusyAndUnknownSessionIsReported(t *testing.T) {
	c, now := newSingleController(t, ControllerConfig{MaxSubscribers: 1})
	for name, m := range map[string]struct {
		m    codec.Message
		want codec.Message
	}{
		"first subscription": {&codec.Subscribe{Gateway: "g", Session: 4},
			&codec.Offer{Session: 4, Target: c.Store().Released().Ref}},
		"report without a session": {&codec.Report{Gateway: "h", Session: 3}, &codec.UnknownSession{Session: 3}},
		"fetch without a session":  {&codec.Fetch{Gateway: "h", Session: 3}, &codec.UnknownSession{Session: 3}},
	} {
		if err := c.Receive(now, 9, m.m); err != nil {
			t.Fatal(err)
		}
		out := takeOutput(t, c).Gateways
		if len(out) != 1 || out[0].Link != 9 || fmt.Sprint(out[0].Message) != fmt.Sprint(m.want) {
			t.Errorf("%s: answered by %+v", name, out)
		}
	}
	_ = c.Receive(now, 9, &codec.Subscribe{Gateway: "second", Session: 5})
	if out := takeOutput(t, c).Gateways; len(out) != 1 ||
		fmt.Sprint(out[0].Message) != fmt.Sprint(&codec.Busy{Session: 5}) {
		t.Errorf("second subscription: answered by %+v", out)
	}
	if c.Receive(now, 9, &codec.RaftMessage{}) == nil || c.ReceivePeer(now, 2, &codec.Report{}) == nil ||
		c.ReceivePeer(now, 2, &codec.RaftMessage{Data: []byte("x")}) == nil {
		t.Error("messages of the wrong kind of sender, or malformed ones, were accepted")
	}
}

// The leader lists the lagging gateways with the reason for each; silence takes precedence over the other reasons.
func TestLaggingGatewaysListsReasons(t *testing.T) {
	c, now := newSingleController(t, ControllerConfig{})
	ref := proposeVersion(t, c, now, Command{Kind: Propose, ID: 1, Changes: []content.Change{service("a", "1")}}).Ref
	states := map[string]codec.State{"has-it": {InForce: ref},
		"refuses": {Verdict: codec.Rejected, Version: 1, Reason: "no pool"},
		"fails":   {InForce: ref, Verdict: codec.Failed, Version: 1, Reason: "503s"}, "waits": {}}
	lastMessage := now
	for name, s := range states {
		_ = c.Receive(now, 1, &codec.Subscribe{Gateway: name, Session: 1, State: s})
	}
	want := map[string]Reason{"refuses": ReasonRejected, "fails": ReasonFailed, "waits": ReasonOtherStage}
	check := func() {
		t.Helper()
		got := make(map[string]Reason)
		for _, l := range c.LaggingGateways(now) {
			got[l.Gateway] = l.Reason
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("lagging gateways %v, want %v", got, want)
		}
	}
	if err := c.Propose(now, Command{Kind: Propose, ID: 2, Base: 7}); !errors.Is(err, ErrDoesNotFollow) {
		t.Errorf("proposal that is not based on the newest version: %v", err)
	}
	check()
	for now < lastMessage+silenceTimeout+time.Second {
		now += raft.TickInterval
		c.Advance(now)
		takeOutput(t, c)
	}
	want = map[string]Reason{"refuses": ReasonSilent, "fails": ReasonSilent, "waits": ReasonSilent}
	check()
}
