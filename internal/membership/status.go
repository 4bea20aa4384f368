package membership

import (
	"cmp"
	"iter"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// convergedAfter is how long no state may have changed for a membership to be settled.
	convergedAfter = 2 * time.Second
	// duplicateNameWindow is how long a second process of the own name is reported after it was last heard.
	duplicateNameWindow = 10 * time.Second
)

// Member is what is known of one gateway.
type Member struct {
	Name        string
	State       gossipcodec.State
	Start       uint64 // ms of Unix time
	Incarnation uint64
	Since       time.Duration     // in this state
	Previous    gossipcodec.State // before it; Left for one that was just entered
	SuspectedBy string            // who raised the last suspicion; empty where unknown
	Payload     []byte            // as it spreads it; not to be changed
	Addr        netip.AddrPort
	RTT         time.Duration // smoothed; 0 while none was measured
}

// Status sums up a membership and how far it may be trusted.
type Status struct {
	Version       uint64        // grows with every change of a state, start or payload
	Alive         int           // this gateway and suspects included
	Known         int           // alive, gone but not yet forgotten, and seed peers never heard of
	Answering     float64       // share of the last periodic probes that were answered, 0 to 1
	StableFor     time.Duration // since a state last changed
	Majority      bool          // more than half of the known are alive and no suspects, and most probes are answered
	Settled       bool          // no change for 2 s, no suspect, a majority, no duplicate of the own name
	DuplicateName bool          // another living process uses this name
	LocalHealth   int           // 0 is well, 8 is worst; it stretches this gateway's own times
}

// Counts is what came and went since the start.
type Counts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	// Refused: of another cluster, unreadable or impossible, from an address that is not known for its name.
	OtherCluster, Malformed, UnknownSender uint64
	Deferred                               uint64 // not sent, by the limit on what is sent
	Full                                   uint64 // members not entered, over MaxMembers
	FalseAlarms                            uint64 // suspicions of this gateway that it refuted
}

// Counts returns what came and went since the start.
func (m *Membership) Counts() Counts { return m.counts }

// Members lists all that are known, by name, this gateway included.
func (m *Membership) Members() []Member {
	out := make([]Member, 0, len(m.table.sorted)+1)
	for _, peer := range m.table.sorted {
		out = append(out, peer.Member)
	}
	index, _ := slices.BinarySearchFunc(out, m.self.Name, func(peer Member, name string) int {
		return cmp.Compare(peer.Name, name)
	})
	return slices.Insert(out, index, m.self.Member)
}

// Find returns what is known of one member by its name, this gateway included.
func (m *Membership) Find(name string) (Member, bool) {
	if name == m.self.Name {
		return m.self.Member, true
	}
	peer := m.table.byName[name]
	if peer == nil {
		return Member{}, false
	}
	return peer.Member, true
}

// Others yields all other members that are known, by name, without a copy of the list. They must not be changed or
// kept.
func (m *Membership) Others() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for _, peer := range m.table.sorted {
			if !yield(&peer.Member) {
				return
			}
		}
	}
}

// Status sums up the membership at a time.
func (m *Membership) Status(now time.Duration) Status {
	s := Status{
		Version:       m.version,
		Alive:         1,
		Known:         1,
		StableFor:     max(0, now-m.lastChange),
		LocalHealth:   m.awareness.score,
		DuplicateName: m.duplicateSeen > 0 && now-m.duplicateSeen < duplicateNameWindow,
		Answering:     m.probes.results.answeredShare(),
	}
	suspects := 0
	for _, peer := range m.table.sorted {
		switch peer.State {
		case gossipcodec.Alive:
			s.Alive, s.Known = s.Alive+1, s.Known+1
		case gossipcodec.Suspect:
			s.Alive, s.Known = s.Alive+1, s.Known+1
			suspects++
		case gossipcodec.Gone:
			s.Known++
		}
	}
	for name := range m.seeds {
		if m.table.byName[name] == nil {
			s.Known++
		}
	}
	// A gateway that hears nobody suspects itself first and the others for long: they must not count as its majority.
	s.Majority = 2*(s.Alive-suspects) > s.Known && s.Answering > 0.5
	s.Settled = s.StableFor >= convergedAfter && suspects == 0 && s.Majority && !s.DuplicateName
	return s
}
