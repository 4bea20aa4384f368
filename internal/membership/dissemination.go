package membership

import (
	"math/bits"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// While claims are queued, gossip datagrams with some of them go to gossipFanout random members every
	// gossipInterval, in addition to the claims piggybacked on other datagrams.
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 2
	// leaveFanout is how many members this gateway notifies directly when it leaves.
	leaveFanout = 8
	// retransmitMultiplier is SWIM's lambda: the number of transmissions of a claim by one member grows with lambda
	// times the logarithm of the number of members.
	retransmitMultiplier = 1.0
)

// broadcast queues a claim for dissemination, which replaces a queued claim about the same name.
func (m *Membership) broadcast(c gossipcodec.Claim) {
	if m.queue.len() == 0 {
		m.next.gossip = max(m.next.gossip, m.now)
	}
	m.queue.put(c)
}

// transmitLimit returns how often one member sends a claim of the given state. A suspicion is sent less often: it
// must reach only the suspect and some members that probe it too, whereas its outcome must reach every member.
func (m *Membership) transmitLimit(state gossipcodec.State) int {
	n := 1 + int(retransmitMultiplier*float64(bits.Len(uint(len(m.table.sorted)+1))))
	if state == gossipcodec.Suspect {
		return (3*n + 3) / 4
	}
	return n
}

// gossip sends queued claims to gossipFanout random members.
func (m *Membership) gossip() {
	for _, peer := range m.randomPeers(gossipFanout, "") {
		m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Gossip}, nil)
	}
}
