package configdist

import (
	"slices"

	"thymebend/internal/configdist/content"
)

// keptVersions is how many of the newest versions are stored, in addition to the released version and the one being
// rolled out.
const keptVersions = 64

// Version is one version of the configuration with its content.
type Version struct {
	Ref      content.Ref
	Tree     *content.Tree
	Proposal uint64 // ID of the command that created it
}

// Rollout is the state of the rollout in progress, or of none.
type Rollout struct {
	Version uint64 // being rolled out; 0 means that no rollout is in progress
	Stage   Stage
	Canary  string // name of the canary gateway
	Zone    string // zone of StageZone
	Reason  string // why the rollout was stopped
	Attempt uint64 // increases with each new rollout and each resumption
}

// Store holds the configuration's recent versions and the state of the rollout. It is deterministic: the same
// commands in the same order give the same store.
type Store struct {
	versions []*Version // in ascending order of their numbers
	released *Version   // the version that all gateways should have in force
	rollout  Rollout
}

// NewStore returns a store with the released version 0, which is empty.
func NewStore() *Store {
	tree := content.EmptyTree()
	first := &Version{Ref: content.Ref{Hash: tree.Hash()}, Tree: tree}
	return &Store{versions: []*Version{first}, released: first}
}

// Head returns the newest version.
func (s *Store) Head() *Version { return s.versions[len(s.versions)-1] }

// Released returns the version whose rollout was the last to be completed.
func (s *Store) Released() *Version { return s.released }

// Rollout returns the state of the rollout in progress; its Version is 0 if there is none.
func (s *Store) Rollout() Rollout { return s.rollout }

// Version returns the stored version with a number, or nil.
func (s *Store) Version(number uint64) *Version {
	index, found := slices.BinarySearchFunc(s.versions, number,
		func(v *Version, n uint64) int { return int(int64(v.Ref.Number) - int64(n)) })
	if !found {
		return nil
	}
	return s.versions[index]
}

// Candidate returns the version that is being rolled out, or nil.
func (s *Store) Candidate() *Version {
	if s.rollout.Version == 0 {
		return nil
	}
	return s.Version(s.rollout.Version)
}

// dryRun returns the result that a command would have now, without changing the store.
func (s *Store) dryRun(c *Command) Result {
	copied := *s
	copied.versions = slices.Clone(s.versions)
	return copied.Apply(c, 0)
}

// Apply applies a command from a log entry of the given term. If the result has an error, the store is unchanged.
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

// versionOf returns the stored version that the command with an ID has created, or nil.
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

// compact removes the oldest versions in excess of keptVersions, except the released one and the candidate.
func (s *Store) compact() {
	excess := len(s.versions) - keptVersions
	if excess <= 0 {
		return
	}
	retained := slices.DeleteFunc(slices.Clone(s.versions[:excess]),
		func(v *Version) bool { return v != s.released && v.Ref.Number != s.rollout.Version })
	s.versions = slices.Concat(retained, s.versions[excess:])
}

// moveStage starts the rollout of a version that is newer than the released one, or advances the rollout in progress.
// A stage may be restarted with another canary or zone.
func (s *Store) moveStage(c *Command) (content.Ref, error) {
	if len(c.Canary) > content.MaxNameBytes || len(c.Zone) > content.MaxNameBytes {
		return content.Ref{}, ErrCommand
	}
	expected := s.rollout.Version
	if expected == 0 {
		expected = c.Version // may be older than the newest one, which can change before the command is applied
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

// rolledOut returns the version being rolled out if the command refers to it; otherwise it returns an error.
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

// resume restarts a stopped rollout. Gateways that rejected its version try it again, because the attempt is a new
// one.
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

// revert creates a new version with the content of an older one. If a rollout is stopped and the content is that of
// the released version, the new version is offered to all gateways at once, because that content is known to work.
// Otherwise it is rolled out in stages like any change.
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
