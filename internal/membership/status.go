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
	// convergedAfter is the minimum time without a change of state before a membership counts as converged.
	convergedAfter = 2 * time.Second
	// duplicateNameWindow is how long a second process with this gateway's name is reported after it was last
	// detected.
	duplicateNameWindow = 10 * time.Second
)

// Member is one gateway of the cluster in this gateway's view.
type Member struct {
	Name          string
	State         gossipcodec.State
	Start         uint64 // when its process started, in ms of Unix time
	Incarnation   uint64
	StateSince    time.Duration     // when it entered State
	PreviousState gossipcodec.State // the state before State; Left for a member that was just added
	SuspectedBy   string            // name of the member that raised the last suspicion; empty if unknown
	Payload       []byte            // the data that it spreads about itself; must not be modified
	Addr          netip.AddrPort
	RTT           time.Duration // smoothed round-trip time; 0 before the first measurement
}

// Status summarizes a membership and how reliable it is.
type Status struct {
	Version       uint64        // increases with every change of a state, start or payload
	Alive         int           // members alive or suspect, including this gateway
	Known         int           // Alive, members gone but not yet removed, and seed peers without contact yet
	AnsweredShare float64       // share of the last 16 periodic probes that were answered, 0 to 1
	StableFor     time.Duration // time since a state or start last changed
	Majority      bool          // over half of Known is alive and not suspect, and AnsweredShare is over 0.5
	Converged     bool          // no change for 2 s, no suspect, Majority and no DuplicateName
	DuplicateName bool          // another living process uses this gateway's name
	LocalHealth   int           // 0 is healthy, 8 is worst; it stretches the timeouts of this gateway
}

// Counts holds counters since the start of the membership.
type Counts struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	// Rejected datagrams of another cluster; unreadable datagrams, and datagrams or claims with implausible values;
	// and datagrams from an address that is not known for the sender's name.
	OtherCluster, Malformed, UnknownSender uint64
	RateLimited                            uint64 // datagrams not sent because of the rate limit
	TableFull                              uint64 // attempts to add a member while the table held MaxMembers
	FalseAlarms                            uint64 // refuted claims that this gateway was suspect, gone or left
}

// Counts returns the counters since the start of the membership.
func (m *Membership) Counts() Counts { return m.counts }

// Members lists all known members, including this gateway, sorted by name.
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

// Find returns the member with the given name, which may be this gateway, and whether it is known.
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

// Others yields all known members except this gateway, in the order of their names, without copying the list. The
// caller must not modify or retain them.
func (m *Membership) Others() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for _, peer := range m.table.sorted {
			if !yield(&peer.Member) {
				return
			}
		}
	}
}

// Status returns a summary of the membership at now.
func (m *Membership) Status(now time.Duration) Status {
	s := Status{
		Version:       m.version,
		Alive:         1,
		Known:         1,
		StableFor:     max(0, now-m.lastChange),
		LocalHealth:   m.awareness.score,
		DuplicateName: m.duplicateSeen > 0 && now-m.duplicateSeen < duplicateNameWindow,
		AnsweredShare: m.probes.results.answeredShare(),
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
	// On a gateway that receives nothing, the local health degrades first, which prolongs the suspicions of all other
	// members. Suspects must therefore not count toward the majority.
	s.Majority = 2*(s.Alive-suspects) > s.Known && s.AnsweredShare > 0.5
	s.Converged = s.StableFor >= convergedAfter && suspects == 0 && s.Majority && !s.DuplicateName
	return s
}
