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

// must applies a command that has to be taken.
func must(t *testing.T, s *Store, c *Command) content.Ref {
	t.Helper()
	r := s.Apply(c, 1)
	if r.Err != nil {
		t.Fatalf("%+v: %v", c, r.Err)
	}
	return r.Ref
}

// refused applies a command that has to be refused, and must change nothing.
func refused(t *testing.T, s *Store, c *Command, want error, field string) {
	t.Helper()
	before := s.Snapshot()
	r := s.Apply(c, 1)
	var at *FieldError
	if !errors.Is(r.Err, want) || field != "" && (!errors.As(r.Err, &at) || at.Field != field) {
		t.Errorf("%+v: %v, want %v of %q", c, r.Err, want, field)
	}
	if !bytes.Equal(before, s.Snapshot()) {
		t.Errorf("%+v was refused and has changed the store", c)
	}
}

func stage(version uint64, to Stage) *Command {
	return &Command{Kind: MoveStage, Version: version, Stage: to, Canary: "g", Zone: "z"}
}

func release(t *testing.T, s *Store, version uint64) {
	t.Helper()
	for _, to := range []Stage{StageCanary, StageZone, StageAll, stageReleased} {
		must(t, s, stage(version, to))
	}
}

func TestProposals(t *testing.T) {
	s := NewStore()
	first := must(t, s, proposal(1, 0, service("a", "x")))
	if again := must(t, s, proposal(1, 0, service("a", "x"))); again != first || s.Head().Ref != first {
		t.Errorf("a proposal that came twice made %v after %v", again, first)
	}
	refused(t, s, proposal(2, 0, service("b", "")), ErrDoesNotFollow, "base")
	refused(t, s, proposal(3, 7, service("b", "")), ErrDoesNotFollow, "base")
	refused(t, s, proposal(4, 1, service("a", "x")), ErrNoChange, "")
	refused(t, s, proposal(5, 1, content.Change{Entry: content.Entry{Kind: content.Route, Service: "no", Name: "r"}}),
		content.ErrUnknownService, "")
	refused(t, s, &Command{Kind: 99}, ErrCommand, "kind")
}

func TestStagesFollowEachOther(t *testing.T) {
	s := NewStore()
	must(t, s, proposal(1, 0, service("a", "1")))
	refused(t, s, stage(2, StageCanary), ErrNoVersion, "version")
	refused(t, s, stage(0, StageCanary), ErrStage, "version")
	refused(t, s, stage(1, stageReleased), ErrStage, "stage")
	refused(t, s, stage(1, StageStopped), ErrStage, "stage")
	refused(t, s, stage(1, 77), ErrStage, "stage")
	refused(t, s, &Command{Kind: Stop, Version: 1}, ErrStage, "version")
	must(t, s, stage(1, StageCanary))
	must(t, s, stage(1, StageCanary)) // with another gateway
	must(t, s, proposal(2, 1, service("a", "2")))
	refused(t, s, stage(2, StageZone), ErrStage, "version")
	must(t, s, stage(1, StageZone))
	refused(t, s, stage(1, StageCanary), ErrStage, "stage")
	must(t, s, stage(1, StageAll))
	must(t, s, stage(1, stageReleased))
	if s.Released().Ref.Number != 1 || s.Rollout().Version != 0 || s.Candidate() != nil {
		t.Errorf("%+v", s.Rollout())
	}
	refused(t, s, stage(1, StageCanary), ErrStage, "version")
	release(t, s, 2)
}

func TestStopResumeAndRevert(t *testing.T) {
	s := NewStore()
	must(t, s, proposal(1, 0, service("a", "1")))
	release(t, s, 1)
	must(t, s, proposal(2, 1, service("a", "2")))
	must(t, s, stage(2, StageCanary))
	refused(t, s, &Command{Kind: Resume, Version: 2}, ErrNotStopped, "version")
	must(t, s, &Command{Kind: Stop, Version: 2, Reason: "bad"})
	refused(t, s, stage(2, StageZone), ErrStage, "stage")
	refused(t, s, proposal(3, 2, service("a", "3")), ErrStopped, "version")
	attempt := s.Rollout().Attempt
	must(t, s, &Command{Kind: Resume, Version: 2})
	if r := s.Rollout(); r.Attempt != attempt+1 || r.Stage != StageWaiting || r.Reason != "" {
		t.Errorf("%+v", r)
	}
	must(t, s, stage(2, StageCanary))
	must(t, s, &Command{Kind: Stop, Version: 2})
	refused(t, s, &Command{Kind: Revert, Version: 9}, ErrNoVersion, "version")
	back := must(t, s, &Command{Kind: Revert, ID: 8, Version: 1})
	if again := must(t, s, &Command{Kind: Revert, ID: 8, Version: 1}); again != back {
		t.Errorf("a revert that came twice made %v after %v", again, back)
	}
	if r := s.Rollout(); back.Number != 3 || back.Hash != s.Version(1).Ref.Hash || r.Version != 3 ||
		r.Stage != StageAll {
		t.Errorf("back with %v, %+v", back, r)
	}
	must(t, s, stage(3, stageReleased))
	must(t, s, &Command{Kind: Revert, Version: 2}) // forward again, by stages
	if s.Rollout().Version != 0 || s.Head().Ref.Number != 4 {
		t.Errorf("%+v", s.Rollout())
	}
	refused(t, s, &Command{Kind: Revert, Version: 4}, ErrNoChange, "")
}

func TestHistoryIsBoundedAndComesBack(t *testing.T) {
	s := NewStore()
	must(t, s, proposal(0, 0, service("a", "0")))
	release(t, s, 1)
	for i := uint64(1); i < 3*keptVersions; i++ {
		must(t, s, proposal(i, i, service("a", fmt.Sprint(i))))
		if i == 10 {
			must(t, s, stage(i, StageCanary))
		}
	}
	if len(s.versions) != keptVersions+2 || s.Version(1) != s.Released() || s.Candidate() != s.Version(10) ||
		s.Version(11) != nil {
		t.Errorf("%d versions, released %v, candidate %v", len(s.versions), s.Released(), s.Candidate())
	}
	words := s.Snapshot()
	back, err := RestoreStore(words)
	if err != nil || !bytes.Equal(back.Snapshot(), words) || back.Rollout() != s.Rollout() ||
		back.Head().Ref != s.Head().Ref {
		t.Fatalf("%v: %+v, was %+v", err, back, s)
	}
	for at := range words {
		if _, err := RestoreStore(words[:at]); err == nil {
			t.Fatalf("restored from %d of %d bytes", at, len(words))
		}
	}
	for _, at := range []int{0, len(words) / 2, len(words) - 3} {
		spoilt := bytes.Clone(words)
		spoilt[at] ^= 0x41
		if _, err := RestoreStore(spoilt); err == nil {
			t.Errorf("restored with a wrong byte %d", at)
		}
	}
}

func TestCommandsAreReadBack(t *testing.T) {
	c := Command{Kind: Stop, ID: 3, Base: 4, Changes: []content.Change{service("a", "b")}, Version: 5,
		Stage: StageZone, Canary: "g", Zone: "z", Reason: "r"}
	got, err := ParseCommand(c.AppendTo(nil))
	if err != nil || fmt.Sprint(got) != fmt.Sprint(c) {
		t.Errorf("%v: %+v", err, got)
	}
	words := c.AppendTo(nil)
	if _, err := ParseCommand(words[:len(words)-1]); err == nil {
		t.Error("half a command was read")
	}
}
