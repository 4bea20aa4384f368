package configdist

import (
	"slices"

	"thymebend/internal/configdist/content"
)

// keptVersions is how many versions are kept, beside those that are released or being rolled out.
const keptVersions = 64

// Version is one version with its content.
type Version struct {
	Ref      content.Ref
	Tree     *content.Tree
	Proposal uint64 // ID of the command that made it
}

// Rollout is how the newest rollout stands.
type Rollout struct {
	Version uint64 // that is rolled out; 0 where no rollout is under way
	Stage   Stage
	Canary  string // the gateway of StageCanary
	Zone    string
	Reason  string // of a stop
	Attempt uint64 // grows with each rollout and resumption
}

// Store is the configuration's history and the state of its rollout. The same commands in the same order give the
// same store.
type Store struct {
	versions []*Version // ascending
	released *Version   // in force everywhere, or to be
	rollout  Rollout
}

// NewStore returns a store whose released version 0 is empty.
func NewStore() *Store {
	tree := content.Empty()
	first := &Version{Ref: content.Ref{Hash: tree.Hash()}, Tree: tree}
	return &Store{versions: []*Version{first}, released: first}
}

// Head is the newest version.
func (s *Store) Head() *Version { return s.versions[len(s.versions)-1] }

// Released is the version whose rollout was the last to come to its end.
func (s *Store) Released() *Version { return s.released }

// Rollout tells how the rollout under way stands.
func (s *Store) Rollout() Rollout { return s.rollout }

// Version returns a kept version, or nil.
func (s *Store) Version(number uint64) *Version {
	index, found := slices.BinarySearchFunc(s.versions, number,
		func(v *Version, n uint64) int { return int(int64(v.Ref.Number) - int64(n)) })
	if !found {
		return nil
	}
	return s.versions[index]
}

// Candidate is the version that is rolled out, or nil.
func (s *Store) Candidate() *Version {
	if s.rollout.Version == 0 {
		return nil
	}
	return s.Version(s.rollout.Version)
}

// dryRun is what a command would come to now.
func (s *Store) dryRun(c *Command) Result {
	copied := *s
	copied.versions = slices.Clone(s.versions)
	return copied.Apply(c, 0)
}

// Apply applies a command of a log entry's term. With an error nothing has changed.
func (s *Store) Apply(c *Command, term uint64) Result {
	var ref content.Ref
	var err error
	switch c.Kind {
	case Propose:
		ref, err = s.propose(c, term)
	case MoveStage:
		ref, err = s.moveStage(c)
	case Stop:
		ref, err = s.stop(c)
	case Resume:
		ref, err = s.resume(c)
	case Revert:
		ref, err = s.revert(c, term)
	default:
		err = &FieldError{"kind", uint64(c.Kind), uint64(Propose), ErrCommand}
	}
	return Result{ID: c.ID, Ref: ref, Err: err}
}

func (s *Store) propose(c *Command, term uint64) (content.Ref, error) {
	if existing := s.versionOf(c.ID); existing != nil {
		return existing.Ref, nil
	}
	head := s.Head()
	switch {
	case s.rollout.Stage == StageStopped:
		return content.Ref{}, &FieldError{"version", s.rollout.Version, s.released.Ref.Number, ErrStopped}
	case c.Base != head.Ref.Number:
		return content.Ref{}, &FieldError{"base", c.Base, head.Ref.Number, ErrDoesNotFollow}
	}
	tree, err := head.Tree.Apply(c.Changes)
	switch {
	case err != nil:
		return content.Ref{}, err
	case tree.Hash() == head.Tree.Hash():
		return content.Ref{}, ErrNoChange
	}
	return s.add(tree, term, c.ID).Ref, nil
}

// versionOf finds the version that a command has made already.
func (s *Store) versionOf(id uint64) *Version {
	if id == 0 {
		return nil
	}
	index := slices.IndexFunc(s.versions, func(v *Version) bool { return v.Proposal == id })
	if index < 0 {
		return nil
	}
	return s.versions[index]
}

func (s *Store) add(tree *content.Tree, term, id uint64) *Version {
	v := &Version{Ref: content.Ref{Term: term, Number: s.Head().Ref.Number + 1, Hash: tree.Hash()}, Tree: tree,
		Proposal: id}
	s.versions = append(s.versions, v)
	s.compact()
	return v
}

// compact forgets the oldest versions beyond those that are kept.
func (s *Store) compact() {
	excess := len(s.versions) - keptVersions
	if excess <= 0 {
		return
	}
	retained := slices.DeleteFunc(slices.Clone(s.versions[:excess]),
		func(v *Version) bool { return v != s.released && v.Ref.Number != s.rollout.Version })
	s.versions = slices.Concat(retained, s.versions[excess:])
}

// moveStage begins the rollout of a version that is newer than the released one, or moves the one under way on. A
// stage may be begun again with another gateway or zone.
func (s *Store) moveStage(c *Command) (content.Ref, error) {
	if len(c.Canary) > content.MaxName || len(c.Zone) > content.MaxName {
		return content.Ref{}, ErrCommand
	}
	expected := s.rollout.Version
	if expected == 0 {
		expected = c.Version // another may have become the newest while the command was under way
	}
	switch {
	case c.Version != expected || c.Version <= s.released.Ref.Number:
		return content.Ref{}, &FieldError{"version", c.Version, max(expected, s.released.Ref.Number+1), ErrStage}
	case s.Version(c.Version) == nil:
		return content.Ref{}, &FieldError{"version", c.Version, s.Head().Ref.Number, ErrNoVersion}
	case c.Stage < StageCanary || c.Stage > stageReleased || c.Stage == StageStopped || s.rollout.Stage == StageStopped,
		c.Stage < s.rollout.Stage, c.Stage == stageReleased && s.rollout.Stage != StageAll:
		return content.Ref{}, &FieldError{"stage", uint64(c.Stage), uint64(s.rollout.Stage) + 1, ErrStage}
	}
	v := s.Version(c.Version)
	if c.Stage == stageReleased {
		s.released = v
		s.rollout = Rollout{Attempt: s.rollout.Attempt}
		s.compact()
		return v.Ref, nil
	}
	if s.rollout.Version == 0 {
		s.rollout = Rollout{Version: c.Version, Attempt: s.rollout.Attempt + 1}
	}
	s.rollout.Stage, s.rollout.Canary, s.rollout.Zone = c.Stage, c.Canary, c.Zone
	return v.Ref, nil
}

// rolledOut is the rollout's version if it is the one that a command is about.
func (s *Store) rolledOut(c *Command) (*Version, error) {
	if c.Version == 0 || c.Version != s.rollout.Version {
		return nil, &FieldError{"version", c.Version, s.rollout.Version, ErrStage}
	}
	return s.Version(c.Version), nil
}

func (s *Store) stop(c *Command) (content.Ref, error) {
	v, err := s.rolledOut(c)
	if err != nil {
		return content.Ref{}, err
	}
	if s.rollout.Stage != StageStopped {
		s.rollout.Stage, s.rollout.Reason = StageStopped, c.Reason
	}
	return v.Ref, nil
}

// resume begins a stopped rollout again. Gateways that rejected its version try it again, for the attempt is another.
func (s *Store) resume(c *Command) (content.Ref, error) {
	v, err := s.rolledOut(c)
	switch {
	case err != nil:
		return content.Ref{}, err
	case s.rollout.Stage != StageStopped:
		return content.Ref{}, &FieldError{"version", c.Version, c.Version, ErrNotStopped}
	}
	s.rollout = Rollout{Version: c.Version, Attempt: s.rollout.Attempt + 1}
	return v.Ref, nil
}

// revert makes a new version with the content of an older one. Back to the released one from a stopped rollout it
// goes to all at once: that content is known. Back to another one it is rolled out like any change.
func (s *Store) revert(c *Command, term uint64) (content.Ref, error) {
	if existing := s.versionOf(c.ID); existing != nil {
		return existing.Ref, nil
	}
	source := s.Version(c.Version)
	stopped := s.rollout.Stage == StageStopped
	switch {
	case source == nil:
		return content.Ref{}, &FieldError{"version", c.Version, s.Head().Ref.Number, ErrNoVersion}
	case !stopped && source.Tree.Hash() == s.Head().Tree.Hash():
		return content.Ref{}, ErrNoChange
	}
	v := s.add(source.Tree, term, c.ID)
	if stopped {
		s.rollout = Rollout{Attempt: s.rollout.Attempt}
		if source == s.released {
			s.rollout = Rollout{Version: v.Ref.Number, Stage: StageAll, Attempt: s.rollout.Attempt + 1}
		}
		s.compact()
	}
	return v.Ref, nil
}
