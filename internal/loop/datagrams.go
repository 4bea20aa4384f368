package loop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"
)

// Limits of reading datagrams.
const (
	maxDatagram   = 2048 // bytes; no gateway sends a larger datagram
	datagramBatch = 32   // datagrams read from a socket before other sockets are served
)

// bind opens a datagram socket at an address.
func (l *Loop) bind(f Effect) error {
	family := unix.AF_INET
	if f.Addr.Addr().Is6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_DGRAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	// During a hot restart, predecessor and successor use the address at the same time; the predecessor closes its
	// socket when the successor starts to gossip.
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, sockaddr(f.Addr))
	}
	if err != nil {
		_ = unix.Close(fd) // the socket was never bound: nothing is lost
		return err
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent, isDatagram: true})
	return nil
}

// readDatagrams queues an event for each datagram received, up to one batch; the next Readable event reports that more
// are waiting. It drops truncated datagrams. An error that the network returned for a datagram sent earlier, for
// example because its port was closed, does not break the socket.
func (l *Loop) readDatagrams(s *socket) {
	for range datagramBatch {
		buf := make([]byte, maxDatagram)
		n, _, flags, from, err := unix.Recvmsg(s.fd, buf, nil, 0)
		switch {
		case errors.Is(err, unix.EAGAIN):
			l.queueEvent(Event{Kind: WouldBlock, Conn: s.conn})
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

// sendTo sends one datagram. If the buffer is full or the peer cannot be reached, the datagram is lost, as it might be
// in the network.
func (l *Loop) sendTo(s *socket, f Effect) {
	if s.isDatagram {
		// An error means that the datagram is lost, as documented at SendTo.
		_ = unix.Sendto(s.fd, f.Data, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL, sockaddr(f.Addr))
	}
}

// addrPort converts the sender of a datagram from the form of the system calls.
func addrPort(from unix.Sockaddr) netip.AddrPort {
	switch addr := from.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), uint16(addr.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(addr.Addr), uint16(addr.Port))
	}
	return netip.AddrPort{}
}
