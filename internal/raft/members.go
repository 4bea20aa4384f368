package raft

import (
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// maxLag is how many entries a learner may lack when it is promoted.
const maxLag = 100

// AddLearner has a voter that has forgotten everything come back under a new id, or one take another's place for
// good: it learns first, and votes in the old one's place once it has caught up. A change that cannot be is an
// ErrMembers.
func (r *Replica) AddLearner(now time.Duration, learner, replaces uint64) error {
	if err := r.CheckLeader(now); err != nil {
		return err
	}
	switch {
	case learner == 0 || learner == replaces || slices.Contains(r.members.Voters, learner):
		return fault(ErrMembers, "%d cannot learn to replace %d", learner, replaces)
	case !slices.Contains(r.members.Voters, replaces):
		return fault(ErrMembers, "%d is no voter", replaces)
	}
	r.replacements[learner] = replaces
	if slices.Contains(r.members.Learners, learner) {
		return nil
	}
	return r.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddLearnerNode, NodeID: learner},
	}})
}

// promoteLearner gives a learner that has caught up the place of whom it replaces, in one change of two majorities.
func (r *Replica) promoteLearner() {
	if len(r.replacements) == 0 || len(r.members.VotersOutgoing) > 0 {
		return
	}
	status := r.node.Status()
	for _, learner := range slices.Sorted(maps.Keys(r.replacements)) {
		p, ok := status.Progress[learner]
		if !ok || !p.IsLearner || p.Match+maxLag < status.Commit || p.Match == 0 {
			continue
		}
		err := r.node.ProposeConfChange(raftpb.ConfChangeV2{
			Transition: raftpb.ConfChangeTransitionJointImplicit,
			Changes: []raftpb.ConfChangeSingle{
				{Type: raftpb.ConfChangeAddNode, NodeID: learner},
				{Type: raftpb.ConfChangeRemoveNode, NodeID: r.replacements[learner]},
			},
		})
		if err == nil {
			delete(r.replacements, learner)
		}
		return
	}
}
