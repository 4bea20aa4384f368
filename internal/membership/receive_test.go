package membership

import (
	"fmt"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// Verifies that datagrams of another cluster, malformed datagrams, and datagrams from an address that is not known
// for the sender's name are counted and have no other effect.
func TestForeignDatagramsChangeNothing(t *testing.T) {
	m := newMembership(t, nil)
	claim := gossipcodec.Claim{Name: "c", Start: 9, Incarnation: 9, State: gossipcodec.Gone}
	foreign := gossipcodec.Append(nil,
		&gossipcodec.Message{Cluster: "other", From: "b", Start: 1, Kind: gossipcodec.Ping})
	m.Receive(epoch, addr(2), foreign)
	m.Receive(epoch, addr(2), []byte("\x08\x01nonsense"))
	m.Receive(epoch, addr(7), datagram("b", 1, gossipcodec.Gossip, claim))
	m.Receive(epoch, addr(2), datagram("stranger", 1, gossipcodec.Gossip, claim))
	c := m.Counts()
	if c.OtherCluster != 1 || c.Malformed != 1 || c.UnknownSender != 2 {
		t.Errorf("counts %+v, want OtherCluster 1, Malformed 1 and UnknownSender 2", c)
	}
	if len(m.Members()) != 1 || len(m.Take()) != 0 {
		t.Errorf("members %v, want only this gateway and no datagrams", m.Members())
	}
}

// Verifies that a flood of new names cannot fill the memory.
func TestMemberCountIsBounded(t *testing.T) {
	m := newMembership(t, func(c *Config) { c.Flat = true })
	for n := range MaxMembers + 50 {
		m.Receive(epoch, addr(9), datagram(fmt.Sprint("x-", n), 1, gossipcodec.Gossip))
	}
	if len(m.Members()) != MaxMembers+1 || m.Counts().TableFull == 0 {
		t.Errorf("%d members, %d rejected; want %d members and some rejected", len(m.Members()), m.Counts().TableFull,
			MaxMembers+1)
	}
}

// Verifies that the send limit bounds the answers to a flood of requests, including Acks and the datagrams of
// repairs, and that at least half of the rate is still answered.
func TestRequestFloodsStayWithinTheSendLimit(t *testing.T) {
	sums := make([]uint32, gossipcodec.Buckets)
	for i := range sums {
		sums[i] = uint32(i + 1) // all buckets differ
	}
	for _, test := range []struct {
		name string
		msg  gossipcodec.Message
	}{
		{"pings", gossipcodec.Message{Kind: gossipcodec.Ping}},
		{"ping requests", gossipcodec.Message{Kind: gossipcodec.PingRequest, Target: "c"}},
		{"digests", gossipcodec.Message{Kind: gossipcodec.Digest, BucketSums: sums}},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newMembership(t, func(c *Config) { c.Flat = true })
			for n := range 200 {
				m.Receive(epoch, addr(9), datagram(fmt.Sprint("x-", n), 1, gossipcodec.Gossip))
			}
			m.Take()
			msg := test.msg
			msg.Cluster, msg.From, msg.Start = "f", "b", 1
			const seconds = 3
			sent := 0
			for ms := range 1000 * seconds {
				now := epoch + time.Duration(ms)*time.Millisecond
				for n := range 3 {
					msg.Seq = uint64(3*ms + n)
					m.Receive(now, addr(2), gossipcodec.Append(nil, &msg))
				}
				sent += len(m.Take())
			}
			if limit := int(2*sendBurst + seconds*sendRateLimit); sent > limit || sent < seconds*int(sendRateLimit)/2 {
				t.Errorf("%d datagrams in %d s, want %d to %d", sent, seconds, seconds*int(sendRateLimit)/2, limit)
			}
		})
	}
}
