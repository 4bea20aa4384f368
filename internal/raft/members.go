package raft

import (
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// maxLearnerLag is the maximum number of committed entries that a learner may lack when it is promoted to voter.
const maxLearnerLag = 100

// AddLearner proposes to replace a voter permanently, either by the same machine under a new id after the loss of its
// persistent state, or by another machine. The new member joins as a learner and becomes a voter in place of the
// replaced one once it has caught up. It returns an ErrMembers for an invalid change.
func (r *Replica) AddLearner(now time.Duration, learner, replaces uint64) error {
	if err := r.CheckLeader(now); err != nil {
		return err
	}
	switch {
	case learner == 0 || learner == replaces || slices.Contains(r.members.Voters, learner):
		return newError(ErrMembers, "member %d cannot be a learner that replaces voter %d", learner, replaces)
	case !slices.Contains(r.members.Voters, replaces):
		return newError(ErrMembers, "member %d is not a voter", replaces)
	}
	r.replacements[learner] = replaces
	if slices.Contains(r.members.Learners, learner) {
		return nil
	}
	return r.node.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{
		{Type: raftpb.ConfChangeAddLearnerNode, NodeID: learner},
	}})
}

// promoteLearner proposes to promote a learner that has caught up and to remove the voter that it replaces. Both take
// place in one joint-consensus change, which needs the majority of the old and of the new voters.
func (r *Replica) promoteLearner() {
	if len(r.replacements) == 0 || len(r.members.VotersOutgoing) > 0 {
		return
	}
	status := r.node.Status()
	for _, learner := range slices.Sorted(maps.Keys(r.replacements)) {
		progress, ok := status.Progress[learner]
		if !ok || !progress.IsLearner || progress.Match+maxLearnerLag < status.Commit || progress.Match == 0 {
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
