package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/gossipcodec"
)

// reapAfter is how long a member that is gone or has left is remembered, so that old claims cannot revive it.
const reapAfter = 5 * time.Minute

// member is one gateway with the state that this one keeps for it.
type member struct {
	Member
	suspicion           *suspicion    // nil unless it is suspect
	hash                uint64        // its part of the table's digest
	lastReceived        time.Duration // from itself
	lastReconnectProbe  time.Duration // when it was last probed because it spoke though it was believed gone
	duplicateNotifiedAt time.Duration // when a second process of its name was last notified
}

// live reports whether it is a member that may be sent to.
func (p *member) live() bool { return p.State <= gossipcodec.Suspect && p.Addr.IsValid() }

// table holds the members known, and a digest over them by which two gateways find out cheaply whether they know the
// same.
type table struct {
	byName     map[string]*member
	sorted     []*member // by name, without this gateway
	digest     uint64
	bucketSums [gossipcodec.Buckets]uint32
}

func newTable() table { return table{byName: make(map[string]*member)} }

// position is where a name stands in the order, or would.
func (t *table) position(name string) int {
	index, _ := slices.BinarySearchFunc(t.sorted, name, func(p *member, name string) int {
		return strings.Compare(p.Name, name)
	})
	return index
}

func (t *table) insert(p *member) {
	t.byName[p.Name] = p
	t.sorted = slices.Insert(t.sorted, t.position(p.Name), p)
}

// removeIf removes the members that a test picks, by name.
func (t *table) removeIf(match func(*member) bool) {
	t.sorted = slices.DeleteFunc(t.sorted, func(p *member) bool {
		if !match(p) {
			return false
		}
		delete(t.byName, p.Name)
		return true
	})
}

// bucketOf is a name's bucket in the digest, by the top 5 bits of its hash.
func bucketOf(name string) int { return int(xxh3.HashString(name) >> 59) }

// updateDigest brings the digest up to date with one member. It is a sum over those alive, so that one change costs the
// same in a table of any size. Suspicions end by themselves and the gone are forgotten at different times, so neither
// counts.
func (t *table) updateDigest(p *member) {
	hash := uint64(0)
	if p.State <= gossipcodec.Suspect {
		hash = xxh3.HashString(p.Name) ^ xxh3.HashSeed(p.Payload, p.Start*31+p.Incarnation)
		hash *= 0x9e3779b97f4a7c15
	}
	t.digest += hash - p.hash
	t.bucketSums[bucketOf(p.Name)] += uint32(hash>>32) - uint32(p.hash>>32)
	p.hash = hash
}

// addMember adds a member that was not known, as its first claim has it; nil where the table is full.
func (m *Membership) addMember(c *gossipcodec.Claim) *member {
	if len(m.table.sorted) >= MaxMembers {
		m.counts.Full++
		return nil
	}
	peer := &member{Member: Member{Name: c.Name, Start: c.Start, Since: m.now,
		State: gossipcodec.Left, Previous: gossipcodec.Left}}
	if addr, ok := m.seeds[c.Name]; ok {
		peer.Addr = addr
	} else if m.cfg.Flat {
		peer.Addr = c.Addr
	}
	m.table.insert(peer)
	return peer
}

// reap forgets members that have been gone for long.
func (m *Membership) reap() {
	m.table.removeIf(func(peer *member) bool {
		expired := peer.State >= gossipcodec.Gone && m.now-peer.Since > reapAfter
		if expired {
			m.queue.drop(peer.Name) // its claim may still wait where nobody is left to send it to
		}
		return expired
	})
}

// randomPeers draws up to n living members other than one.
func (m *Membership) randomPeers(n int, except string) []*member {
	if len(m.table.sorted) == 0 {
		return nil
	}
	var out []*member
	for range 4 * n {
		peer := m.table.sorted[m.rng.IntN(len(m.table.sorted))]
		if peer.live() && peer.Name != except && !slices.Contains(out, peer) {
			if out = append(out, peer); len(out) == n {
				break
			}
		}
	}
	return out
}
