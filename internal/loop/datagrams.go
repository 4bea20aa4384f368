package loop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Datagrams are small, and many: a socket is read in batches, so that others get their turn. A datagram larger
// than maxDatagram comes from no gateway.
const (
	maxDatagram   = 2048
	datagramBatch = 32
)

// bind opens a datagram socket.
func (l *Loop) bind(f Effect) error {
	family := unix.AF_INET
	if f.Addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	// Two processes of an upgrade have the address at once; the predecessor closes its own when the
	// successor starts to gossip.
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, sockaddr(f.Addr))
	}
	if err != nil {
		_ = unix.Close(fd) // never bound
		return err
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent, datagrams: true})
	return nil
}

// readDatagrams queues the datagrams received, one batch at most: the next Readable brings the rest. A truncated
// one is dropped. An error that the network returned for an earlier datagram, as from a port where nobody
// listens, does not break the socket.
func (l *Loop) readDatagrams(s *socket) {
	for range datagramBatch {
		buf := make([]byte, maxDatagram)
		n, _, flags, from, err := unix.Recvmsg(s.fd, buf, nil, 0)
		switch {
		case errors.Is(err, unix.EAGAIN):
			l.queueEvent(Event{Kind: Drained, Conn: s.conn})
			return
		case err != nil && isEarlierDatagramError(err):
		case err != nil:
			l.breakSocket(s, err)
			return
		case flags&unix.MSG_TRUNC != 0 || n == 0:
		default:
			l.queueEvent(Event{Kind: Data, Conn: s.conn, Data: buf[:n], From: addrPort(from)})
		}
	}
}

// sendTo sends one datagram. A full buffer or an unreachable peer loses it, as the network might.
func (l *Loop) sendTo(s *socket, f Effect) {
	if s.datagrams {
		// An error is a loss, as documented at SendTo.
		_ = unix.Sendto(s.fd, f.Data, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, sockaddr(f.Addr))
	}
}

func addrPort(from unix.Sockaddr) netip.AddrPort {
	switch at := from.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(at.Addr), uint16(at.Port))
	}
	return netip.AddrPort{}
}
