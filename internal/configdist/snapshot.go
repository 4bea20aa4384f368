package configdist

import (
	"fmt"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// snapshotVersion is that of the form below.
const snapshotVersion = 1

// Snapshot words the store: the oldest kept version whole, and each other one by what differs from the one before.
// Equal stores have equal words.
func (s *Store) Snapshot() []byte {
	b := codec.AppendUint(nil, snapshotVersion)
	r := &s.rollout
	b = codec.AppendUint(codec.AppendUint(codec.AppendUint(b, s.released.Ref.Number), r.Version), uint64(r.Stage))
	b = codec.AppendString(codec.AppendString(codec.AppendString(b, r.Canary), r.Zone), r.Reason)
	b = codec.AppendUint(codec.AppendUint(b, r.Attempt), uint64(len(s.versions)))
	before := content.Empty()
	for _, v := range s.versions {
		b = codec.AppendUint(codec.AppendRef(b, v.Ref), v.Proposal)
		changes, _, _ := content.Page(before, v.Tree, content.Affected(before, v.Tree), content.Cursor{}, maxInt)
		b = codec.AppendChanges(b, changes)
		before = v.Tree
	}
	return b
}

const maxInt = int(^uint(0) >> 1)

// RestoreStore reads a store back. What no store words is an error.
func RestoreStore(data []byte) (*Store, error) {
	r := codec.NewReader(data)
	if version := r.Uint(); version != snapshotVersion {
		return nil, fmt.Errorf("configdist: snapshot of version %d, %d is known", version, snapshotVersion)
	}
	released := r.Uint()
	s := &Store{rollout: Rollout{Version: r.Uint(), Stage: Stage(r.Uint()), Canary: r.String(content.MaxName),
		Zone:   r.String(content.MaxName),
		Reason: r.String(codec.MaxReason), Attempt: r.Uint()}}
	tree := content.Empty()
	for range r.Count() {
		v := &Version{Ref: r.Ref(), Proposal: r.Uint()}
		changes := r.Changes()
		if err := r.Err(); err != nil {
			return nil, fmt.Errorf("configdist: snapshot: %w", err)
		}
		var err error
		if tree, err = tree.Patch(changes); err != nil {
			return nil, fmt.Errorf("configdist: snapshot: version %d: %w", v.Ref.Number, err)
		}
		if tree.Hash() != v.Ref.Hash {
			return nil, fmt.Errorf("configdist: snapshot: version %v has content %v", v.Ref, tree.Hash())
		}
		if n := len(s.versions); n > 0 && v.Ref.Number <= s.versions[n-1].Ref.Number {
			return nil, fmt.Errorf("configdist: snapshot: version %d after %d", v.Ref.Number,
				s.versions[n-1].Ref.Number)
		}
		v.Tree = tree
		s.versions = append(s.versions, v)
	}
	if err := r.Err(); err != nil {
		return nil, fmt.Errorf("configdist: snapshot: %w", err)
	}
	if s.released = s.Version(released); s.released == nil || s.rollout.Version != 0 && s.Candidate() == nil ||
		s.rollout.Stage > StageStopped {
		return nil, fmt.Errorf("configdist: snapshot: released %d, rolled out %d, of %d versions", released,
			s.rollout.Version, len(s.versions))
	}
	return s, nil
}
