package membership

import (
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// Guards against memberships that differ and stay so: a differing digest asks for a repair, which sends what lies in
// the differing buckets, and nothing where all are equal.
func TestDifferingDigestsAreRepaired(t *testing.T) {
	m := newMembership(t, nil)
	m.Receive(epoch, addr(3), datagram("c", 900, gossipcodec.Gossip))
	for m.queue.len() > 0 { // a repair waits for claims that may explain the difference
		m.queue.appendTo(nil, func(gossipcodec.State) int { return 1 })
	}
	m.Take()
	m.Receive(epoch+time.Second, addr(3), datagram("c", 900, gossipcodec.Gossip)) // its digest is 0
	_, digests := takeSent(t, m, gossipcodec.Digest)
	if len(digests) != 1 || digests[0].Reply {
		t.Fatalf("%d digests", len(digests))
	}
	equal := *digests[0]
	for _, test := range []struct {
		name   string
		change func(*gossipcodec.Message)
		claims int
	}{
		{"equal", func(*gossipcodec.Message) {}, 0},
		{"other about c", func(msg *gossipcodec.Message) { msg.BucketSums[bucketOf("c")]++ }, 1},
		{"other about c and a", func(msg *gossipcodec.Message) {
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
				t.Errorf("%d claims, %d replies", claims, replies)
			}
		})
	}
}
