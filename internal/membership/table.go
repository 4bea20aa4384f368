package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/gossipcodec"
)

// reapAfter is how long a member that is gone or has left stays in the table, so that old claims cannot revive it.
const reapAfter = 5 * time.Minute

// member is a gateway of the cluster with the state that this gateway keeps about it.
type member struct {
	Member
	suspicion           *suspicion    // nil unless the member is suspect
	hash                uint64        // contribution of this member to the table's digest
	lastReceived        time.Duration // when the last datagram from the member itself arrived
	lastReconnectProbe  time.Duration // when it was last probed because it sent a datagram while considered gone
	duplicateNotifiedAt time.Duration // when a second process with its name was last answered
}

// live reports whether the member is alive or suspect, and its address is known.
func (p *member) live() bool { return p.State <= gossipcodec.Suspect && p.Addr.IsValid() }

// table holds the known members, and a digest over them with which two gateways detect cheaply whether their views
// differ.
type table struct {
	byName     map[string]*member
	sorted     []*member // sorted by name, without this gateway
	digest     uint64
	bucketSums [gossipcodec.Buckets]uint32
}

func newTable() table { return table{byName: make(map[string]*member)} }

// position returns the index of name in the sorted list, or where it would be inserted.
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

// removeIf removes the members for which match returns true. It calls match in the order of the names.
func (t *table) removeIf(match func(*member) bool) {
	t.sorted = slices.DeleteFunc(t.sorted, func(p *member) bool {
		if !match(p) {
			return false
		}
		delete(t.byName, p.Name)
		return true
	})
}

// bucketOf returns the digest bucket of a name: the top 5 bits of its hash.
func bucketOf(name string) int { return int(xxh3.HashString(name) >> 59) }

// updateDigest updates the digest after a change of p. The digest is a sum over the members that are alive or
// suspect, so the cost of an update does not depend on the size of the table. It does not distinguish suspect from
// alive, since suspicions end by themselves, and it excludes members that are gone, since each gateway forgets them
// at a different time.
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

// addMember adds a member that was unknown, with the name and start of its first claim. It returns nil if the table
// is full.
func (m *Membership) addMember(c *gossipcodec.Claim) *member {
	if len(m.table.sorted) >= MaxMembers {
		m.counts.TableFull++
		return nil
	}
	peer := &member{Member: Member{Name: c.Name, Start: c.Start, StateSince: m.now,
		State: gossipcodec.Left, PreviousState: gossipcodec.Left}}
	if addr, ok := m.seeds[c.Name]; ok {
		peer.Addr = addr
	} else if m.cfg.Flat {
		peer.Addr = c.Addr
	}
	m.table.insert(peer)
	return peer
}

// reap removes members that have been gone or left for longer than reapAfter.
func (m *Membership) reap() {
	m.table.removeIf(func(peer *member) bool {
		expired := peer.State >= gossipcodec.Gone && m.now-peer.StateSince > reapAfter
		if expired {
			m.queue.drop(peer.Name) // its claim may still be queued if there was no live member to send it to
		}
		return expired
	})
}

// randomPeers draws up to n distinct live members other than the one named except.
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
