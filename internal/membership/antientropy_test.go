package membership

import (
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// Verifies that memberships which differ are repaired: a datagram with a different digest causes a Digest message,
// and a received Digest causes a reply and the claims of the differing buckets, or no claims if all buckets are
// equal.
func TestDifferingDigestsAreRepaired(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(3), datagram("c", 900, gossipcodec.Gossip))
	for m.queue.len() > 0 { // no repair starts while claims that may explain the difference are queued
		m.queue.appendTo(nil, func(gossipcodec.State) int { return 1 })
	}
	m.Take()
	m.Receive(epoch+time.Second, addr(3), datagram("c", 900, gossipcodec.Gossip)) // the digest of this datagram is 0
	_, digests := takeSent(t, m, gossipcodec.Digest)
	if len(digests) != 1 || digests[0].Reply {
		t.Fatalf("sent %d Digest messages %+v, want one that is not a reply", len(digests), digests)
	}
	equal := *digests[0]
	for _, test := range []struct {
		name   string
		change func(*gossipcodec.Message)
		claims int
	}{
		{"equal buckets", func(*gossipcodec.Message) {}, 0},
		{"different bucket of c", func(msg *gossipcodec.Message) { msg.BucketSums[bucketOf("c")]++ }, 1},
		{"different buckets of c and a", func(msg *gossipcodec.Message) {
			msg.BucketSums[bucketOf("c")]++
			msg.BucketSums[bucketOf("a")]++
		}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			msg := equal
			msg.From, msg.Start = "c", 900
			msg.BucketSums = append([]uint32(nil), equal.BucketSums...)
			test.change(&msg)
			m.Receive(epoch+time.Second, addr(3), gossipcodec.Append(nil, &msg))
			claims := 0
			replies := 0
			for _, d := range m.Take() {
				got, err := gossipcodec.Parse(d.Data)
				if err != nil {
					t.Fatal(err)
				}
				claims += len(got.Claims)
				if got.Kind == gossipcodec.Digest && got.Reply {
					replies++
				}
			}
			if claims != test.claims || replies != 1 {
				t.Errorf("sent %d claims and %d replies, want %d and 1", claims, replies, test.claims)
			}
		})
	}
}
