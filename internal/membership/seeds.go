package membership

import (
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	// reconnectInterval is between two rounds of probes of members that are lost. Each round is drawn up to an eighth
	// sooner or later.
	reconnectInterval = time.Second
	// A round probes one of the lost, and one more for each lostPerProbe of them, as after a partition.
	lostPerProbe       = 20
	maxReconnectProbes = 8
	// joinFanout is how many seed peers are greeted at once while nobody is known.
	joinFanout = 2
)

// seedPeers are the addresses of the seed peers by name, without this gateway.
type seedPeers map[string]netip.AddrPort

// newSeedPeers checks a list of seed peers.
func newSeedPeers(list []SeedPeer, ownName string) (seedPeers, error) {
	const field = "SeedPeers"
	byName, byAddr := make(seedPeers, len(list)), make(map[netip.AddrPort]string, len(list))
	for _, p := range list {
		_, duplicateName := byName[p.Name]
		other, duplicateAddr := byAddr[p.Addr]
		switch {
		case !gossipcodec.ValidName(p.Name):
			return nil, configErrorf(field, "%q in the book is no name", p.Name)
		case !p.Addr.IsValid() || p.Addr.Port() == 0:
			return nil, configErrorf(field, "%s has no address in the book", p.Name)
		case duplicateName:
			return nil, configErrorf(field, "%s stands twice in the book", p.Name)
		case duplicateAddr:
			return nil, configErrorf(field, "%s and %s have one address in the book", p.Name, other)
		}
		byName[p.Name], byAddr[p.Addr] = p.Addr, p.Name
	}
	if len(byName) > MaxMembers {
		return nil, configErrorf(field, "%d gateways in the book, %d at most", len(byName), MaxMembers)
	}
	delete(byName, ownName)
	return byName, nil
}

// unknown lists the seed peers that are not in a table, by name.
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

// SetSeedPeers takes new seed peers. Its errors are of type [*ConfigError] and change nothing.
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

// join greets some seed peers while nobody is known.
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

// pingSeedPeer probes a seed peer that was never heard of.
func (m *Membership) pingSeedPeer(name string) {
	self := m.self.claim("")
	seq := m.probes.add(&probe{kind: reconnectProbe, target: name, sentAt: m.now, deadline: m.now + protocolPeriod})
	m.sendTo(m.seeds[name], &gossipcodec.Message{Kind: gossipcodec.Ping, Seq: seq}, &self)
}

// reconnect probes some of those believed gone or never heard of, so that the halves of a healed partition find each
// other and each member can refute its removal.
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
