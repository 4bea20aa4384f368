package membershipsim

import (
	"bytes"
	"fmt"
	"time"

	"thymebend/internal/gossipcodec"
)

// convergenceStep is the interval at which RunUntilConverged checks the views.
const convergenceStep = 50 * time.Millisecond

// StateOf returns the state in which node n's view holds another node, and whether the view contains that node.
func (s *Sim) StateOf(n, other int) (gossipcodec.State, bool) {
	m, known := s.Nodes[n].Membership.Find(s.Nodes[other].Name)
	return m.State, known
}

// Divergence describes one difference between a running node's view and the actual state of the cluster. It returns
// an empty text if there is none. It first checks the node whose difference it described last, because that node's
// view most likely still differs.
func (s *Sim) Divergence() string {
	for i := range s.Nodes {
		n := (s.lastDiverged + i) % len(s.Nodes)
		if divergence := s.divergenceOf(n); divergence != "" {
			s.lastDiverged = n
			return divergence
		}
	}
	return ""
}

func (s *Sim) divergenceOf(n int) string {
	node := s.Nodes[n]
	if !node.running() {
		return ""
	}
	for _, other := range s.Nodes {
		m, known := node.Membership.Find(other.Name)
		lives := other.Membership != nil
		switch {
		case lives && (!known || m.State != gossipcodec.Alive):
			return fmt.Sprintf("%s has %s, which lives, as %d (known %v)", node.Name, other.Name, m.State, known)
		case lives && !s.Baseline && !bytes.Equal(m.Payload, other.payload):
			return fmt.Sprintf("%s has no payload of %s", node.Name, other.Name)
		case !lives && known && m.State <= gossipcodec.Suspect:
			return fmt.Sprintf("%s has %s, which is dead, as %d", node.Name, other.Name, m.State)
		}
	}
	if st := node.Membership.Status(s.now); st.DuplicateName {
		return fmt.Sprintf("node %d believes in a twin", n)
	}
	return ""
}

// RunUntilConverged runs until the views of all running nodes are correct, for at most limit, and returns the time
// that took. ok is false if some view is still wrong, or the run was interrupted.
func (s *Sim) RunUntilConverged(limit time.Duration) (took time.Duration, ok bool) {
	for took = 0; took <= limit && !s.Interrupted(); took += convergenceStep {
		if s.Divergence() == "" {
			return took, true
		}
		s.Run(s.Now() + convergenceStep)
	}
	return limit, false
}
