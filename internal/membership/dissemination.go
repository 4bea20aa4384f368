package membership

import (
	"math/bits"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// While claims wait, gossipFanout random members get some every gossipInterval, beside those on other datagrams.
	gossipInterval = 200 * time.Millisecond
	gossipFanout   = 2
	// leaveFanout is how many members are sent the own leave directly.
	leaveFanout = 8
	// retransmitMultiplier is SWIM's lambda: a member sends a claim so often, times the logarithm of the members.
	retransmitMultiplier = 1.0
)

// broadcast spreads a claim in place of what was spread of its name.
func (m *Membership) broadcast(c gossipcodec.Claim) {
	if m.queue.len() == 0 {
		m.next.gossip = max(m.next.gossip, m.now)
	}
	m.queue.put(c)
}

// transmitLimit is how often one member sends a claim. A suspicion has to reach the suspect and some who probe it too,
// not everybody: its end, either way, goes to all.
func (m *Membership) transmitLimit(state gossipcodec.State) int {
	n := 1 + int(retransmitMultiplier*float64(bits.Len(uint(len(m.table.sorted)+1))))
	if state == gossipcodec.Suspect {
		return (3*n + 3) / 4
	}
	return n
}

// gossip sends waiting claims to some members.
func (m *Membership) gossip() {
	for _, peer := range m.randomPeers(gossipFanout, "") {
		m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Gossip}, nil)
	}
}
