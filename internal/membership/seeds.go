package membership

import (
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// reconnectInterval is the mean time between two rounds of probes of lost members. Each interval is drawn at
	// random and differs from it by up to an eighth.
	reconnectInterval = time.Second
	// lostPerProbe sets the size of a round: it probes one lost member, plus one for every lostPerProbe lost members,
	// but at most maxReconnectProbes. After a partition many members are lost at once.
	lostPerProbe       = 20
	maxReconnectProbes = 8
	// joinFanout is how many seed peers are pinged per protocol period while no other member is live.
	joinFanout = 2
)

// seedPeers maps the names of the seed peers, without this gateway, to their addresses.
type seedPeers map[string]netip.AddrPort

// newSeedPeers validates a list of seed peers and returns them by name, without ownName.
func newSeedPeers(list []SeedPeer, ownName string) (seedPeers, error) {
	const field = "SeedPeers"
	byName, byAddr := make(seedPeers, len(list)), make(map[netip.AddrPort]string, len(list))
	for _, p := range list {
		_, duplicateName := byName[p.Name]
		other, duplicateAddr := byAddr[p.Addr]
		switch {
		case !gossipcodec.ValidName(p.Name):
			return nil, configErrorf(field, "invalid seed peer name %q", p.Name)
		case !p.Addr.IsValid() || p.Addr.Port() == 0:
			return nil, configErrorf(field, "seed peer %s has no address with a port", p.Name)
		case duplicateName:
			return nil, configErrorf(field, "seed peer %s is listed twice", p.Name)
		case duplicateAddr:
			return nil, configErrorf(field, "seed peers %s and %s have the same address", p.Name, other)
		}
		byName[p.Name], byAddr[p.Addr] = p.Addr, p.Name
	}
	if len(byName) > MaxMembers {
		return nil, configErrorf(field, "%d seed peers exceed the maximum of %d", len(byName), MaxMembers)
	}
	delete(byName, ownName)
	return byName, nil
}

// unknown lists the names of the seed peers that are not in t, sorted.
func (s seedPeers) unknown(t *table) []string {
	var out []string
	for name := range s {
		if t.byName[name] == nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// SetSeedPeers replaces the seed peers. If it returns an error, of type [*ConfigError], nothing has changed.
func (m *Membership) SetSeedPeers(now time.Duration, list []SeedPeer) error {
	m.advanceClock(now)
	return m.setSeedPeers(list)
}

func (m *Membership) setSeedPeers(list []SeedPeer) error {
	seeds, err := newSeedPeers(list, m.cfg.Name)
	if err != nil {
		return err
	}
	m.seeds = seeds
	for name, peer := range m.table.byName {
		if addr, ok := seeds[name]; ok {
			peer.Addr = addr
		} else if !m.cfg.Flat {
			peer.Addr = netip.AddrPort{}
		}
	}
	return nil
}

// join pings up to joinFanout random seed peers. It is called while no other member is live.
func (m *Membership) join() {
	names := make([]string, 0, len(m.seeds))
	for name := range m.seeds {
		names = append(names, name)
	}
	slices.Sort(names)
	for range min(joinFanout, len(names)) {
		index := m.rng.IntN(len(names))
		m.pingSeedPeer(names[index])
		names = slices.Delete(names, index, index+1)
	}
}

// pingSeedPeer sends a Ping with this gateway's claim about itself to a seed peer.
func (m *Membership) pingSeedPeer(name string) {
	self := m.self.claim("")
	seq := m.probes.add(&probe{kind: reconnectProbe, target: name, sentAt: m.now, deadline: m.now + protocolPeriod})
	m.sendTo(m.seeds[name], &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: seq}, &self)
}

// reconnect probes some of the members that are considered gone and of the seed peers that have not been in contact
// yet, so that the halves of a healed partition find each other and each member can refute its removal.
func (m *Membership) reconnect() {
	if m.disabled.includes(Reconnection) {
		return
	}
	var gone []*member
	for _, peer := range m.table.sorted {
		if peer.State == gossipcodec.Gone && peer.Addr.IsValid() {
			gone = append(gone, peer)
		}
	}
	unknown := m.seeds.unknown(&m.table)
	lost := len(gone) + len(unknown)
	if lost == 0 {
		return
	}
	for range min(maxReconnectProbes, 1+lost/lostPerProbe) {
		index := m.rng.IntN(lost)
		if index < len(gone) {
			m.startProbe(gone[index], reconnectProbe, m.now+protocolPeriod, 0)
			continue
		}
		m.pingSeedPeer(unknown[index-len(gone)])
	}
}
