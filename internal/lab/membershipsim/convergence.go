package membershipsim

import (
	"bytes"
	"fmt"
	"time"

	"thymebend/internal/gossipcodec"
)

// convergenceStep is how often RunUntilConverged checks.
const convergenceStep = 50 * time.Millisecond

// StateOf is what a node believes of another: its state, and whether it knows it at all.
func (s *Sim) StateOf(n, other int) (gossipcodec.State, bool) {
	m, known := s.Nodes[n].Membership.Find(s.Nodes[other].Name)
	return m.State, known
}

// Divergence names something in which what a running node believes is not the truth, or is empty. It begins with the
// node that diverged last, which is likely to diverge still.
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

// RunUntilConverged runs until all nodes believe the truth, at most for so long, and returns how long that took; ok is
// false if they do not by then.
func (s *Sim) RunUntilConverged(most time.Duration) (took time.Duration, ok bool) {
	for took = 0; took <= most && !s.Interrupted(); took += convergenceStep {
		if s.Divergence() == "" {
			return took, true
		}
		s.Run(s.Now() + convergenceStep)
	}
	return most, false
}
