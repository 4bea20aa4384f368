package configdist

import (
	"errors"
	"math"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
	"thymebend/internal/fielderror"
)

// snapshotVersion is the version of the snapshot's encoding.
const snapshotVersion = 1

// Snapshot encodes the store: the oldest stored version completely, and each further version by its differences from
// the previous one. Equal stores have equal snapshots.
func (s *Store) Snapshot() []byte {
	b := codec.AppendUint(nil, snapshotVersion)
	r := &s.rollout
	b = codec.AppendUint(codec.AppendUint(codec.AppendUint(b, s.released.Ref.Number), r.Version), uint64(r.Stage))
	b = codec.AppendString(codec.AppendString(codec.AppendString(b, r.Canary), r.Zone), r.Reason)
	b = codec.AppendUint(codec.AppendUint(b, r.Attempt), uint64(len(s.versions)))
	previous := content.EmptyTree()
	for _, v := range s.versions {
		b = codec.AppendUint(codec.AppendRef(b, v.Ref), v.Proposal)
		services := content.ChangedServices(previous, v.Tree)
		changes, _, _ := content.Page(previous, v.Tree, services, content.Cursor{}, math.MaxInt)
		b = codec.AppendChanges(b, changes)
		previous = v.Tree
	}
	return b
}

// ErrSnapshot is returned when data is not a valid snapshot of a store.
var ErrSnapshot = errors.New("unusable snapshot")

func snapshotError(format string, args ...any) error {
	return fielderror.CauseWithText(ErrSnapshot, "configdist: snapshot"+format, args...)
}

// RestoreStore decodes a store from a snapshot. Invalid data is an ErrSnapshot.
func RestoreStore(data []byte) (*Store, error) {
	r := codec.NewReader(data)
	if version := r.Uint(); version != snapshotVersion {
		return nil, snapshotError(" has encoding version %d, only %d is supported", version, snapshotVersion)
	}
	released := r.Uint()
	s := &Store{rollout: Rollout{
		Version: r.Uint(),
		Stage:   Stage(r.Uint()),
		Canary:  r.String(content.MaxNameBytes),
		Zone:    r.String(content.MaxNameBytes),
		Reason:  r.String(codec.MaxReasonBytes),
		Attempt: r.Uint(),
	}}
	if err := s.readVersions(r); err != nil {
		return nil, err
	}
	s.released = s.Version(released)
	if s.released == nil || s.rollout.Version != 0 && s.Candidate() == nil || s.rollout.Stage > StageStopped {
		return nil, snapshotError(": released version %d or rollout of version %d does not fit the %d stored versions",
			released, s.rollout.Version, len(s.versions))
	}
	return s, nil
}

// readVersions decodes the versions, each from its differences to the previous one, and verifies their hashes and
// order.
func (s *Store) readVersions(r *codec.Reader) error {
	tree := content.EmptyTree()
	for range r.Count() {
		v := &Version{Ref: r.Ref(), Proposal: r.Uint()}
		changes := r.Changes()
		if err := r.Err(); err != nil {
			return snapshotError(": %w", err)
		}
		var err error
		if tree, err = tree.Patch(changes); err != nil {
			return snapshotError(": version %d: %w", v.Ref.Number, err)
		}
		if tree.Hash() != v.Ref.Hash {
			return snapshotError(": version %v has content with hash %v", v.Ref, tree.Hash())
		}
		if n := len(s.versions); n > 0 && v.Ref.Number <= s.versions[n-1].Ref.Number {
			return snapshotError(": version %d follows version %d", v.Ref.Number, s.versions[n-1].Ref.Number)
		}
		v.Tree = tree
		s.versions = append(s.versions, v)
	}
	if err := r.Err(); err != nil {
		return snapshotError(": %w", err)
	}
	return nil
}
