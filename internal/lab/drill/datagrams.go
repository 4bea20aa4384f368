package drill

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"
)

// datagramRelay holds the two sockets that relay datagrams between two nodes. The first node sends datagrams for
// the second one to sockets[0] and receives the second one's datagrams from that socket; sockets[1] serves the
// second node in the same way.
type datagramRelay struct {
	names   [2]string
	sockets [2]*net.UDPConn
}

// datagramAddress returns the address to which a node sends datagrams for another node. It creates the relay on
// first use.
func (n *network) datagramAddress(from, to string) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key, side := [2]string{from, to}, 0
	if to < from {
		key, side = [2]string{to, from}, 1
	}
	relay := n.datagramRelays[key]
	if relay == nil {
		relay = &datagramRelay{names: key}
		for i := range relay.sockets {
			c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.ip, 0)))
			if err != nil {
				return netip.AddrPort{}, fmt.Errorf("drill: relay between %s and %s: %w", from, to, err)
			}
			relay.sockets[i] = c
		}
		n.datagramRelays[key] = relay
		for i := range relay.sockets {
			l := n.link(relay.names[i], relay.names[1-i])
			n.tasks.Go(func() { n.relayDatagrams(relay.sockets[i], relay.sockets[1-i], l) })
		}
	}
	return relay.sockets[side].LocalAddr().(*net.UDPAddr).AddrPort(), nil
}

// relayDatagrams forwards the datagrams that the socket in receives. It sends them from the socket out, because the
// receiver identifies the sender by that socket's address.
func (n *network) relayDatagrams(in, out *net.UDPConn, l *link) {
	buf := make([]byte, 4096)
	var held [][]byte
	for {
		if len(held) > 0 && !l.current.Load().stall {
			for _, data := range held {
				n.send(out, l, data)
			}
			held = nil
		}
		var deadline time.Time
		if len(held) > 0 { // wake up regularly to detect the end of the stall
			deadline = time.Now().Add(20 * time.Millisecond)
		}
		_ = in.SetReadDeadline(deadline)
		size, _, err := in.ReadFromUDP(buf)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			continue
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // the error reports that an earlier datagram reached no listener
			continue
		}
		data := append([]byte(nil), buf[:size]...)
		c := l.current.Load()
		switch {
		case c.cut || n.drawChance(c.Loss):
			l.lost.Add(1)
		case c.stall:
			if len(held) < maxHeldDatagrams {
				held = append(held, data)
			}
		default:
			n.forward(out, l, c, data)
		}
	}
}

// forward sends a datagram. The path's condition may duplicate it, delay it, or delay it by reorderDelay so that
// others overtake it.
func (n *network) forward(out *net.UDPConn, l *link, c *condition, data []byte) {
	copies := 1
	if n.drawChance(c.Duplicate) {
		copies = 2
	}
	for range copies {
		delay := n.drawDelay(c.Path)
		if n.drawChance(c.Reorder) {
			delay += reorderDelay
		}
		if delay == 0 {
			n.send(out, l, data)
			continue
		}
		time.AfterFunc(delay, func() { n.send(out, l, data) })
	}
}

func (n *network) send(out *net.UDPConn, l *link, data []byte) {
	n.mu.Lock()
	receivers := n.receivers[l.to]
	n.mu.Unlock()
	l.carried.Add(1)
	for _, at := range receivers {
		_, _ = out.WriteToUDP(data, at) // without a listener the datagram is lost
	}
}

// maxHeldDatagrams limits the datagrams that a stalled path holds, as a queue in a network would.
const maxHeldDatagrams = 1000
