package membershipsim

import (
	"net/netip"
	"time"

	"thymebend/internal/gossipcodec"
)

const (
	headerBytes     = 28  // IP and UDP headers
	socketDatagrams = 500 // capacity of a stopped process's socket; further datagrams are lost
)

// Net is the condition of the network.
type Net struct {
	Latency, Jitter time.Duration
	Loss, Duplicate float64                          // shares of the datagrams
	Cut             func(from, to int) bool          // reports whether datagrams are dropped; nil means never
	ExtraLatency    func(from, to int) time.Duration // added between two nodes; nil: none
}

// delivery is a datagram that has arrived at a node.
type delivery struct {
	from netip.AddrPort
	data []byte
}

// transmit sends the datagrams that a node's protocol has queued.
func (s *Sim) transmit(n int) {
	from := s.Nodes[n]
	for _, d := range from.Membership.Take() {
		if len(d.Data) > gossipcodec.MaxDatagram {
			s.AddFinding("%s sends %d bytes", from.Name, len(d.Data))
		}
		s.sent[n] += uint64(len(d.Data)) + headerBytes
		raw := d.To.Addr().As4()
		to := int(raw[2])<<8 | int(raw[3])
		copies := 1
		if s.rng.Float64() < s.Net.Duplicate {
			copies++
		}
		for range copies {
			if s.rng.Float64() < s.Net.Loss || s.Net.Cut != nil && s.Net.Cut(n, to) {
				continue
			}
			s.schedule(s.now+s.delay(n, to), func() { s.deliver(to, delivery{from.addr, d.Data}) })
		}
	}
}

// delay draws the transit time of a datagram.
func (s *Sim) delay(from, to int) time.Duration {
	delay := s.Net.Latency
	if s.Net.Jitter > 0 {
		delay += time.Duration(s.rng.Int64N(int64(s.Net.Jitter)))
	}
	if s.Net.ExtraLatency != nil {
		delay += s.Net.ExtraLatency(from, to)
	}
	return delay
}

func (s *Sim) deliver(n int, d delivery) {
	node := s.Nodes[n]
	if node.Membership == nil {
		return
	}
	s.received[n] += uint64(len(d.data)) + headerBytes
	if node.stopped {
		if len(node.waiting) < socketDatagrams {
			node.waiting = append(node.waiting, d)
		}
		return
	}
	s.calls++
	s.measureCPU(n, func() { node.Membership.Receive(s.now, d.from, d.data) })
	s.afterCall(n)
}
