package membershipsim

import (
	"cmp"
	"encoding/binary"
	"iter"
	"math"
	"net/netip"
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/membership"
)

// Heartbeats is the baseline protocol. Each node sends a heartbeat to every other node at a fixed interval. It
// judges each peer by how improbable the time since its last heartbeat is, given the recent intervals between its
// heartbeats (phi-accrual failure detection, Hayashibara and others, 2004).
type Heartbeats struct {
	name     string
	start    uint64
	peers    []*peer // sorted by name
	byName   map[string]*peer
	byAddr   map[netip.AddrPort]*peer
	nextBeat time.Duration
	out      []membership.Datagram
	counts   membership.Counts
	leaving  bool
}

type peer struct {
	membership.Member
	lastReceived time.Duration
	intervals    []float64 // in seconds, the most recent ones
}

// Parameters of the baseline: a node sends each peer as many heartbeats per second as a node of the membership
// protocol sends probes, and phiThreshold is the usual one.
const (
	heartbeatInterval = 400 * time.Millisecond
	phiThreshold      = 8.0
	intervalWindow    = 20
	minDeviation      = 0.1 // minimum standard deviation in seconds
	firstInterval     = 0.4 // mean assumed until the first interval is measured, in seconds
)

// NewHeartbeats returns a node of the baseline protocol that knows the seed peers.
func NewHeartbeats(cfg membership.Config, now time.Duration) *Heartbeats {
	h := &Heartbeats{name: cfg.Name, start: cfg.Start, byName: make(map[string]*peer),
		byAddr: make(map[netip.AddrPort]*peer), nextBeat: now}
	for _, p := range cfg.SeedPeers {
		if p.Name == cfg.Name {
			continue
		}
		added := &peer{Member: membership.Member{Name: p.Name, Addr: p.Addr, State: gossipcodec.Gone, StateSince: now}}
		h.peers = append(h.peers, added)
		h.byName[p.Name], h.byAddr[p.Addr] = added, added
	}
	slices.SortFunc(h.peers, func(a, b *peer) int { return cmp.Compare(a.Name, b.Name) })
	return h
}

// Advance implements Protocol.
func (h *Heartbeats) Advance(now time.Duration) {
	if now < h.nextBeat || h.leaving {
		return
	}
	h.nextBeat = now + heartbeatInterval
	beat := binary.AppendUvarint([]byte{1}, h.start)
	beat = append(beat, 5) // pads the heartbeat to the size of one with a small payload
	for _, p := range h.peers {
		h.out = append(h.out, membership.Datagram{To: p.Addr, Data: beat})
		h.counts.Sent++
		if p.State == gossipcodec.Alive && p.phi(now) > phiThreshold {
			p.State, p.StateSince = gossipcodec.Gone, now
		}
	}
}

// phi returns the negative decimal logarithm of the probability that a heartbeat still arrives after the time for
// which none has now arrived from the peer.
func (p *peer) phi(now time.Duration) float64 {
	mean, deviation := firstInterval, minDeviation
	if n := len(p.intervals); n > 0 {
		sum, squares := 0.0, 0.0
		for _, v := range p.intervals {
			sum += v
			squares += v * v
		}
		mean = sum / float64(n)
		deviation = max(minDeviation, math.Sqrt(max(0, squares/float64(n)-mean*mean)))
	}
	z := ((now - p.lastReceived).Seconds() - mean) / deviation
	return -math.Log10(max(1e-300, 0.5*math.Erfc(z/math.Sqrt2)))
}

// Receive implements Protocol.
func (h *Heartbeats) Receive(now time.Duration, from netip.AddrPort, data []byte) {
	p := h.byAddr[from]
	if p == nil || h.leaving || len(data) < 2 {
		return
	}
	start, _ := binary.Uvarint(data[1:])
	switch {
	case data[0] == 0:
		p.State, p.StateSince = gossipcodec.Left, now
		return
	case start < p.Start:
		return
	case start > p.Start || p.State != gossipcodec.Alive:
		p.intervals, p.Start = nil, start
		p.StateSince = now
	default:
		if p.intervals = append(p.intervals, (now - p.lastReceived).Seconds()); len(p.intervals) > intervalWindow {
			p.intervals = p.intervals[1:]
		}
	}
	p.State, p.lastReceived = gossipcodec.Alive, now
}

// Take implements Protocol.
func (h *Heartbeats) Take() []membership.Datagram {
	out := h.out
	h.out = nil
	return out
}

// NextWake implements Protocol.
func (h *Heartbeats) NextWake() time.Duration { return h.nextBeat }

// Members implements Protocol.
func (h *Heartbeats) Members() []membership.Member {
	out := make([]membership.Member, 0, len(h.peers)+1)
	for _, p := range h.peers {
		out = append(out, p.Member)
	}
	self := membership.Member{Name: h.name, Start: h.start}
	at, _ := slices.BinarySearchFunc(out, h.name, func(m membership.Member, name string) int {
		return cmp.Compare(m.Name, name)
	})
	return slices.Insert(out, at, self)
}

// Find implements Protocol.
func (h *Heartbeats) Find(name string) (membership.Member, bool) {
	if name == h.name {
		return membership.Member{Name: h.name, Start: h.start}, true
	}
	p := h.byName[name]
	if p == nil {
		return membership.Member{}, false
	}
	return p.Member, true
}

// Others implements Protocol.
func (h *Heartbeats) Others() iter.Seq[*membership.Member] {
	return func(yield func(*membership.Member) bool) {
		for _, p := range h.peers {
			if !yield(&p.Member) {
				return
			}
		}
	}
}

// Status implements Protocol. It only fills in the fields that follow from the number of alive peers.
func (h *Heartbeats) Status(time.Duration) membership.Status {
	s := membership.Status{Alive: 1, Known: len(h.peers) + 1, AnsweredShare: 1}
	for _, p := range h.peers {
		if p.State == gossipcodec.Alive {
			s.Alive++
		}
	}
	s.Majority = 2*s.Alive > s.Known
	return s
}

// Counts implements Protocol.
func (h *Heartbeats) Counts() membership.Counts { return h.counts }

// Leave implements Protocol.
func (h *Heartbeats) Leave(time.Duration) {
	h.leaving = true
	for _, p := range h.peers {
		h.out = append(h.out, membership.Datagram{To: p.Addr, Data: []byte{0, 0}})
	}
}
