package drill

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// pair is the two sockets between two names: at[0] is where the first sends to for the second, and from
// where the first hears the second.
type pair struct {
	names [2]string
	at    [2]*net.UDPConn
}

// datagrams returns where a name sends to for another.
func (n *network) datagrams(from, to string) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key, side := [2]string{from, to}, 0
	if to < from {
		key, side = [2]string{to, from}, 1
	}
	p := n.pairs[key]
	if p == nil {
		p = &pair{names: key}
		for i := range p.at {
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.ip, 0)))
			if err != nil {
				return netip.AddrPort{}, fmt.Errorf("drill: relay between %s and %s: %w", from, to, err)
			}
			p.at[i] = c
		}
		n.pairs[key] = p
		for i := range p.at {
			w := n.way(p.names[i], p.names[1-i])
			n.served.Go(func() { n.carry(p.at[i], p.at[1-i], w) })
		}
	}
	return p.at[side].LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// carry takes what comes to one socket to the other side, from the socket that the other side knows.
func (n *network) carry(in, out *net.UDPConn, w *way) {
	buf := make([]byte, 4096)
	var held [][]byte
	for {
		if len(held) > 0 && !w.now.Load().stall {
			for _, data := range held {
				n.send(out, w, data)
			}
			held = nil
		}
		var until time.Time
		if len(held) > 0 { // the stall's end is looked for meanwhile
			until = time.Now().Add(20 * time.Millisecond)
		}
		_ = in.SetReadDeadline(until)
		size, _, err := in.ReadFromUDP(buf)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // an earlier datagram found nobody
			continue
		}
		data := append([]byte(nil), buf[:size]...)
		c := w.now.Load()
		switch {
		case c.cut || n.chance(c.Loss):
			w.lost.Add(1)
		case c.stall:
			if len(held) < mostHeld {
				held = append(held, data)
			}
		default:
			n.forward(out, w, c, data)
		}
	}
}

// forward sends a datagram on, doubled, late or overtaken where the path has it so.
func (n *network) forward(out *net.UDPConn, w *way, c *condition, data []byte) {
	copies := 1
	if n.chance(c.Double) {
		copies = 2
	}
	for range copies {
		d := n.delay(c.Path)
		if n.chance(c.Reorder) {
			d += reorderBy
		}
		if d == 0 {
			n.send(out, w, data)
			continue
		}
		time.AfterFunc(d, func() { n.send(out, w, data) })
	}
}

func (n *network) send(out *net.UDPConn, w *way, data []byte) {
	n.mu.Lock()
	ends := n.ends[w.to]
	n.mu.Unlock()
	w.carried.Add(1)
	for _, at := range ends {
		_, _ = out.WriteToUDP(data, at) // nobody there: lost
	}
}

// mostHeld bounds what a stalled path holds, as a queue in the network would.
const mostHeld = 1000
