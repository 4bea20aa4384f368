package membership

import (
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// repairInterval is the minimum time between two repairs that this gateway initiates.
	repairInterval = time.Second
	// maxRepairPages is the maximum number of datagrams with claims that one repair sends.
	maxRepairPages = 8
)

// beginRepair sends this gateway's bucket sums to a member whose digest differs, at most once per repairInterval. It
// sends nothing while claims are queued for broadcast, since these may explain the difference.
func (m *Membership) beginRepair(peer *member, msg *gossipcodec.Message) {
	if msg.Digest == m.table.digest || msg.Kind == gossipcodec.Digest || m.queue.len() > 0 ||
		m.now < m.next.repair || m.disabled.includes(AntiEntropy) {
		return
	}
	m.next.repair = m.now + repairInterval
	m.send(peer, &gossipcodec.Message{Kind: gossipcodec.Digest, BucketSums: m.table.bucketSums[:]}, nil)
}

// answerDigest sends a member this gateway's claims from the buckets whose sums differ. Unless msg is itself a reply,
// it also replies with this gateway's bucket sums, so that the member sends its claims from these buckets too.
func (m *Membership) answerDigest(peer *member, msg *gossipcodec.Message) {
	if m.disabled.includes(AntiEntropy) {
		return
	}
	claims := m.claimsInDifferingBuckets(msg.BucketSums)
	// The order is random, so that other gateways send the claims that do not fit within maxRepairPages.
	m.rng.Shuffle(len(claims), func(i, j int) { claims[i], claims[j] = claims[j], claims[i] })
	for page := 0; len(claims) > 0 && page < maxRepairPages && m.allowSend(gossipcodec.Gossip); page++ {
		datagram := m.encode(&gossipcodec.Message{Kind: gossipcodec.Gossip})
		for len(claims) > 0 {
			extended, ok := gossipcodec.AppendClaim(datagram, &claims[0])
			if !ok {
				break
			}
			datagram, claims = extended, claims[1:]
		}
		m.enqueue(peer.Addr, datagram)
	}
	if !msg.Reply {
		reply := gossipcodec.Message{Kind: gossipcodec.Digest, BucketSums: m.table.bucketSums[:], Reply: true}
		m.send(peer, &reply, nil)
	}
}

// claimsInDifferingBuckets returns this gateway's claims about names in buckets whose sums differ, itself first.
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
