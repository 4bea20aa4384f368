package configdist

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"thymebend/internal/configdist/content"
)

func service(name, body string) content.Change {
	return content.Change{Entry: content.Entry{Kind: content.Service, Service: name, Name: name, Body: body}}
}

func proposal(id, base uint64, changes ...content.Change) *Command {
	return &Command{Kind: Propose, ID: id, Base: base, Changes: changes}
}

// mustApply applies a command that must be accepted, and returns the version it refers to.
func mustApply(t *testing.T, s *Store, c *Command) content.Ref {
	t.Helper()
	r := s.Apply(c, 1)
	if r.Err != nil {
		t.Fatalf("%+v: %v", c, r.Err)
	}
	return r.Ref
}

// mustReject applies a command that must be rejected with the error want, for the given field, without changing the
// store.
func mustReject(t *testing.T, s *Store, c *Command, want error, field string) {
	t.Helper()
	before := s.Snapshot()
	r := s.Apply(c, 1)
	var fieldErr *FieldError
	if !errors.Is(r.Err, want) || field != "" && (!errors.As(r.Err, &fieldErr) || fieldErr.Field != field) {
		t.Errorf("%+v: %v, want %v of %q", c, r.Err, want, field)
	}
	if !bytes.Equal(before, s.Snapshot()) {
		t.Errorf("%+v was rejected but changed the store", c)
	}
}

func moveStageCommand(version uint64, to Stage) *Command {
	return &Command{Kind: MoveStage, Version: version, Stage: to, Canary: "g", Zone: "z"}
}

func release(t *testing.T, s *Store, version uint64) {
	t.Helper()
	for _, to := range []Stage{StageCanary, StageZone, StageAll, stageReleased} {
		mustApply(t, s, moveStageCommand(version, to))
	}
}

// Guards against proposals that are not based on the newest version, or are applied twice.
func TestProposalsMustFollowNewestVersion(t *testing.T) {
	s := NewStore()
	first := mustApply(t, s, proposal(1, 0, service("a", "x")))
	if repeated := mustApply(t, s, proposal(1, 0, service("a", "x"))); repeated != first || s.Head().Ref != first {
		t.Errorf("a repeated proposal made version %v, the first one %v", repeated, first)
	}
	mustReject(t, s, proposal(2, 0, service("b", "")), ErrDoesNotFollow, "base")
	mustReject(t, s, proposal(3, 7, service("b", "")), ErrDoesNotFollow, "base")
	mustReject(t, s, proposal(4, 1, service("a", "x")), ErrNoChange, "")
	route := content.Entry{Kind: content.Route, Service: "no", Name: "r"}
	mustReject(t, s, proposal(5, 1, content.Change{Entry: route}), content.ErrUnknownService, "")
	mustReject(t, s, &Command{Kind: 99}, ErrCommand, "kind")
}

// Guards against a rollout that skips a stage.
func TestStagesMustFollowInOrder(t *testing.T) {
	s := NewStore()
	mustApply(t, s, proposal(1, 0, service("a", "1")))
	mustReject(t, s, moveStageCommand(2, StageCanary), ErrNoVersion, "version")
	mustReject(t, s, moveStageCommand(0, StageCanary), ErrStage, "version")
	mustReject(t, s, moveStageCommand(1, stageReleased), ErrStage, "stage")
	mustReject(t, s, moveStageCommand(1, StageStopped), ErrStage, "stage")
	mustReject(t, s, moveStageCommand(1, 77), ErrStage, "stage")
	mustReject(t, s, &Command{Kind: Stop, Version: 1}, ErrStage, "version")
	mustApply(t, s, moveStageCommand(1, StageCanary))
	mustApply(t, s, moveStageCommand(1, StageCanary)) // again, as for another canary: allowed
	mustApply(t, s, proposal(2, 1, service("a", "2")))
	mustReject(t, s, moveStageCommand(2, StageZone), ErrStage, "version")
	mustApply(t, s, moveStageCommand(1, StageZone))
	mustReject(t, s, moveStageCommand(1, StageCanary), ErrStage, "stage")
	mustApply(t, s, moveStageCommand(1, StageAll))
	mustApply(t, s, moveStageCommand(1, stageReleased))
	if s.Released().Ref.Number != 1 || s.Rollout().Version != 0 || s.Candidate() != nil {
		t.Errorf("after the release of version 1: %+v", s.Rollout())
	}
	mustReject(t, s, moveStageCommand(1, StageCanary), ErrStage, "version")
	release(t, s, 2)
}

// Guards against a stopped rollout that continues without an operator's command.
func TestStopResumeAndRevert(t *testing.T) {
	s := NewStore()
	mustApply(t, s, proposal(1, 0, service("a", "1")))
	release(t, s, 1)
	mustApply(t, s, proposal(2, 1, service("a", "2")))
	mustApply(t, s, moveStageCommand(2, StageCanary))
	mustReject(t, s, &Command{Kind: Resume, Version: 2}, ErrNotStopped, "version")
	mustApply(t, s, &Command{Kind: Stop, Version: 2, Reason: "bad"})
	mustReject(t, s, moveStageCommand(2, StageZone), ErrStage, "stage")
	mustReject(t, s, proposal(3, 2, service("a", "3")), ErrStopped, "version")
	attempt := s.Rollout().Attempt
	mustApply(t, s, &Command{Kind: Resume, Version: 2})
	if r := s.Rollout(); r.Attempt != attempt+1 || r.Stage != StageWaiting || r.Reason != "" {
		t.Errorf("rollout after its resumption: %+v", r)
	}
	mustApply(t, s, moveStageCommand(2, StageCanary))
	mustApply(t, s, &Command{Kind: Stop, Version: 2})
	mustReject(t, s, &Command{Kind: Revert, Version: 9}, ErrNoVersion, "version")
	reverted := mustApply(t, s, &Command{Kind: Revert, ID: 8, Version: 1})
	if repeated := mustApply(t, s, &Command{Kind: Revert, ID: 8, Version: 1}); repeated != reverted {
		t.Errorf("a repeated revert made version %v, the first one %v", repeated, reverted)
	}
	if r := s.Rollout(); reverted.Number != 3 || reverted.Hash != s.Version(1).Ref.Hash || r.Version != 3 ||
		r.Stage != StageAll {
		t.Errorf("the revert made version %v, rollout %+v", reverted, r)
	}
	mustApply(t, s, moveStageCommand(3, stageReleased))
	mustApply(t, s, &Command{Kind: Revert, Version: 2}) // to the content of version 2 again, in stages
	if s.Rollout().Version != 0 || s.Head().Ref.Number != 4 {
		t.Errorf("a revert without a stopped rollout: newest version %v, rollout %+v", s.Head().Ref, s.Rollout())
	}
	mustReject(t, s, &Command{Kind: Revert, Version: 4}, ErrNoChange, "")
}

// Guards against a history that grows without bound, and snapshots that lose a part of it or accept damaged data.
func TestHistoryIsBoundedAndRestorable(t *testing.T) {
	s := NewStore()
	mustApply(t, s, proposal(0, 0, service("a", "0")))
	release(t, s, 1)
	for i := uint64(1); i < 3*keptVersions; i++ {
		mustApply(t, s, proposal(i, i, service("a", fmt.Sprint(i))))
		if i == 10 {
			mustApply(t, s, moveStageCommand(i, StageCanary))
		}
	}
	if len(s.versions) != keptVersions+2 || s.Version(1) != s.Released() || s.Candidate() != s.Version(10) ||
		s.Version(11) != nil {
		t.Errorf("%d versions, released %v, candidate %v", len(s.versions), s.Released(), s.Candidate())
	}
	encoded := s.Snapshot()
	restored, err := RestoreStore(encoded)
	if err != nil || !bytes.Equal(restored.Snapshot(), encoded) || restored.Rollout() != s.Rollout() ||
		restored.Head().Ref != s.Head().Ref {
		t.Fatalf("error %v: restored %+v, want %+v", err, restored, s)
	}
	for at := range encoded {
		if _, err := RestoreStore(encoded[:at]); err == nil {
			t.Fatalf("a snapshot truncated to %d of %d bytes was accepted", at, len(encoded))
		}
	}
	for _, at := range []int{0, len(encoded) / 2, len(encoded) - 3} {
		corrupted := bytes.Clone(encoded)
		corrupted[at] ^= 0x41
		if _, err := RestoreStore(corrupted); err == nil {
			t.Errorf("a snapshot with a wrong byte at %d was accepted", at)
		}
	}
}

// Guards against a field of a command that is encoded but not decoded.
func TestCommandEncodingRoundTrip(t *testing.T) {
	c := Command{Kind: Stop, ID: 3, Base: 4, Changes: []content.Change{service("a", "b")}, Version: 5,
		Stage: StageZone, Canary: "g", Zone: "z", Reason: "r"}
	got, err := ParseCommand(c.AppendTo(nil))
	if err != nil || fmt.Sprint(got) != fmt.Sprint(c) {
		t.Errorf("error %v: decoded %+v", err, got)
	}
	encoded := c.AppendTo(nil)
	if _, err := ParseCommand(encoded[:len(encoded)-1]); err == nil {
		t.Error("a truncated command was accepted")
	}
}
