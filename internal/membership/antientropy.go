package membership

import (
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// repairInterval is the least time between two repairs that this gateway begins.
	repairInterval = time.Second
	// maxRepairPages is how many datagrams one repair sends.
	maxRepairPages = 8
)

// beginRepair sends the own bucket sums to a member that knows something else, unless claims that may explain it are
// still on their way.
func (m *Membership) beginRepair(peer *member, msg *gossipcodec.Message) {
	if msg.Digest == m.table.digest || msg.Kind == gossipcodec.Digest || m.queue.len() > 0 ||
		m.now < m.next.repair || m.disabled.includes(AntiEntropy) {
		return
	}
	m.next.repair = m.now + repairInterval
	m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Digest, BucketSums: m.table.bucketSums[:]}, nil)
}

// answerDigest sends a member what lies in the buckets that differ from its own, and asks for the same in return.
func (m *Membership) answerDigest(peer *member, msg *gossipcodec.Message) {
	if m.disabled.includes(AntiEntropy) {
		return
	}
	claims := m.claimsInDifferingBuckets(msg.BucketSums)
	// What does not fit now is for others to send.
	m.rng.Shuffle(len(claims), func(i, j int) { claims[i], claims[j] = claims[j], claims[i] })
	for page := 0; len(claims) > 0 && page < maxRepairPages && m.allowSend(gossipcodec.Gossip); page++ {
		datagram := m.encode(&gossipcodec.Message{Kind: gossipcodec.Gossip})
		for len(claims) > 0 {
			longer, ok := gossipcodec.AppendClaim(datagram, &claims[0])
			if !ok {
				break
			}
			datagram, claims = longer, claims[1:]
		}
		m.enqueue(peer.Addr, datagram)
	}
	if !msg.Reply {
		reply := gossipcodec.Message{Kind: gossipcodec.Digest, BucketSums: m.table.bucketSums[:], Reply: true}
		m.send(peer, &reply, nil)
	}
}

// claimsInDifferingBuckets is what this gateway knows of names in buckets whose sums differ, itself first.
func (m *Membership) claimsInDifferingBuckets(sums []uint32) []gossipcodec.Claim {
	differs := func(name string) bool {
		b := bucketOf(name)
		return sums[b] != m.table.bucketSums[b]
	}
	var claims []gossipcodec.Claim
	if differs(m.cfg.Name) {
		claims = append(claims, m.self.claim(""))
	}
	for _, peer := range m.table.sorted {
		if differs(peer.Name) && (peer.State != gossipcodec.Left || peer.Start > 0) {
			c := peer.claim("")
			if m.cfg.Flat {
				c.Addr = peer.Addr
			}
			claims = append(claims, c)
		}
	}
	return claims
}
