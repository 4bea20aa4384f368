package loop

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// Errors in passing sockets between processes.
var (
	errCannotPass = errors.New("cannot pass sockets: one of them is closed, earlier data is not yet written, " +
		"or the connection is not a Unix socket")
	errNotListening = errors.New("cannot take over the passed socket: it does not listen, or its number is in use")
)

// maxPassed is the maximum number of sockets received in one message; the limit of the kernel is 253.
const maxPassed = 128

// descriptorSize is the size of one descriptor in a control message, in bytes.
const descriptorSize = 4

// sameUser reports whether the peer of a Unix socket is a process of the same user. It prevents processes of other
// users from obtaining the gateway's sockets and from passing sockets to the gateway.
func sameUser(fd int) bool {
	peer, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(peer.Uid) == os.Getuid()
}

// openUnix opens a Unix stream socket.
func openUnix() (int, error) {
	return unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// listenUnix listens at a path and replaces any earlier socket there. It creates the new socket under a temporary name
// and renames it to the path. So a socket exists at the path at all times, and the new one cannot be reached before
// its mode is set.
func (l *Loop) listenUnix(f Effect) error {
	fd, err := openUnix()
	if err != nil {
		return err
	}
	temporary := fmt.Sprintf("%s.%d", f.Path, os.Getpid())
	_ = os.Remove(temporary) // may have been left by an earlier process with the same process id
	if err = unix.Bind(fd, &unix.SockaddrUnix{Name: temporary}); err == nil {
		if err = os.Chmod(temporary, 0o600); err == nil {
			err = unix.Listen(fd, backlog)
		}
		if err == nil {
			err = os.Rename(temporary, f.Path)
		}
		if err != nil {
			_ = os.Remove(temporary)
		}
	}
	if err != nil {
		_ = unix.Close(fd) // the socket never listened: nothing is lost
		return err
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent, isUnix: true})
	return nil
}

// dialUnix connects to a Unix socket of a process of the same user.
func (l *Loop) dialUnix(f Effect) {
	fd, err := openUnix()
	if err == nil {
		if err = unix.Connect(fd, &unix.SockaddrUnix{Name: f.Path}); err == nil && !sameUser(fd) {
			err = unix.EPERM
		}
		if err != nil {
			_ = unix.Close(fd) // the socket never connected: nothing is lost
		}
	}
	if err != nil {
		l.queueEvent(Event{Kind: Broken, Conn: f.Conn, Err: err})
		return
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent, isUnix: true})
	l.queueEvent(Event{Kind: Connected, Conn: f.Conn})
}

// passSockets writes data and passes sockets with its first byte. It then closes them in this process, except
// Listener. On an error, the sockets to pass remain open here and the Unix socket is closed.
func (l *Loop) passSockets(s *socket, f Effect) {
	var fds []int
	for _, c := range f.PassConns {
		if passed := l.byConn[c]; passed != nil {
			fds = append(fds, passed.fd)
		}
	}
	if len(fds) != len(f.PassConns) || len(s.unwritten) > 0 || !s.isUnix {
		l.breakSocket(s, errCannotPass)
		return
	}
	n, err := unix.SendmsgN(s.fd, f.Data, unix.UnixRights(fds...), nil, unix.MSG_NOSIGNAL)
	if err != nil {
		l.breakSocket(s, err)
		return
	}
	for _, c := range f.PassConns {
		passed := l.byConn[c]
		if passed.shared = true; c != Listener {
			l.remove(passed)
		}
	}
	l.write(s, f.Data[n:])
}

// receive reads from a Unix socket and returns the descriptors of the sockets that were passed with the data.
func (l *Loop) receive(s *socket, buf []byte) (n int, passed []int, err error) {
	control := make([]byte, unix.CmsgSpace(descriptorSize*maxPassed))
	n, controlLen, _, _, err := unix.Recvmsg(s.fd, buf, control, unix.MSG_CMSG_CLOEXEC)
	if err != nil || controlLen == 0 {
		return n, nil, err
	}
	messages, err := unix.ParseSocketControlMessage(control[:controlLen])
	if err != nil {
		return n, nil, err
	}
	for i := range messages {
		fds, err := unix.ParseUnixRights(&messages[i])
		if err != nil {
			continue // a control message of another type
		}
		passed = append(passed, fds...)
	}
	return n, passed, nil
}

// reportPassed queues received data with the sockets that were passed with it, and then adds these sockets to the
// loop. If one cannot be added, its Broken event therefore follows the event that introduces it.
func (l *Loop) reportPassed(s *socket, data []byte, fds []int) {
	e := Event{Kind: Data, Conn: s.conn, Data: data}
	for range fds {
		l.lastAccepted++
		e.PassedConns = append(e.PassedConns, l.lastAccepted)
	}
	l.queueEvent(e)
	for i, fd := range fds {
		l.add(&socket{conn: e.PassedConns[i], fd: fd, readingPaused: true, shared: true})
	}
}

// adoptListener makes a passed socket a listening socket of this process.
func (l *Loop) adoptListener(s *socket, newConn Conn) {
	listening, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || listening == 0 || l.byConn[newConn] != nil {
		l.remove(s)
		l.queueEvent(Event{Kind: Broken, Conn: newConn, Err: errNotListening})
		return
	}
	delete(l.byConn, s.conn)
	s.conn, s.readingPaused = newConn, false
	l.byConn[newConn] = s
	l.updateEvents(s)
	l.queueEvent(Event{Kind: Listening, Conn: newConn})
}
