package loop

import (
	"errors"
	"fmt"
	"os"

	"golang.org/x/sys/unix"
)

// Errors in passing sockets between processes.
var (
	errCannotPass   = errors.New("sockets to pass are gone, or earlier data is not yet written")
	errNotListening = errors.New("the socket passed does not listen")
)

// maxPassed bounds the sockets passed beside one piece of data; the kernel's own bound is 253.
const maxPassed = 128

// descriptorSize is the size of one descriptor in a control message, in bytes.
const descriptorSize = 4

// sameUser reports whether the other side of a Unix socket is a process of the same user. Guards
// against another user's process that asks for the gateway's sockets, or offers some.
func sameUser(fd int) bool {
	peer, err := unix.GetsockoptUcred(fd, unix.SOL_SOCKET, unix.SO_PEERCRED)
	return err == nil && int(peer.Uid) == os.Getuid()
}

func openUnix() (int, error) {
	return unix.Socket(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
}

// listenUnix listens at a path, replacing any earlier socket: the new one is made under another name and
// renamed to the path, so that there is always one, and it cannot be reached before its mode is set.
func (l *Loop) listenUnix(f Effect) error {
	fd, err := openUnix()
	if err != nil {
		return err
	}
	beside := fmt.Sprintf("%s.%d", f.Path, os.Getpid())
	_ = os.Remove(beside) // of a dead process with the same number, if there is one
	if err = unix.Bind(fd, &unix.SockaddrUnix{Name: beside}); err == nil {
		if err = os.Chmod(beside, 0o600); err == nil {
			err = unix.Listen(fd, backlog)
		}
		if err == nil {
			err = os.Rename(beside, f.Path)
		}
		if err != nil {
			_ = os.Remove(beside)
		}
	}
	if err != nil {
		_ = unix.Close(fd) // never listened
		return err
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent, unix: true})
	return nil
}

func (l *Loop) dialUnix(f Effect) {
	fd, err := openUnix()
	if err == nil {
		if err = unix.Connect(fd, &unix.SockaddrUnix{Name: f.Path}); err == nil && !sameUser(fd) {
			err = unix.EPERM
		}
		if err != nil {
			_ = unix.Close(fd) // never connected
		}
	}
	if err != nil {
		l.queueEvent(Event{Kind: Broken, Conn: f.Conn, Err: err})
		return
	}
	l.add(&socket{conn: f.Conn, fd: fd, urgent: f.Urgent, unix: true})
	l.queueEvent(Event{Kind: Connected, Conn: f.Conn})
}

// pass writes data with sockets beside its first byte. Where that fails, the sockets stay here.
func (l *Loop) pass(s *socket, f Effect) {
	var fds []int
	for _, c := range f.Give {
		if given := l.byConn[c]; given != nil {
			fds = append(fds, given.fd)
		}
	}
	if len(fds) != len(f.Give) || len(s.unwritten) > 0 || !s.unix {
		l.breakSocket(s, errCannotPass)
		return
	}
	n, err := unix.SendmsgN(s.fd, f.Data, unix.UnixRights(fds...), nil, unix.MSG_NOSIGNAL)
	if err != nil {
		l.breakSocket(s, err)
		return
	}
	for _, c := range f.Give {
		given := l.byConn[c]
		if given.shared = true; c != Listener {
			l.remove(given)
		}
	}
	l.write(s, f.Data[n:])
}

// receive reads from a Unix socket, with the descriptors of the sockets passed beside the data.
func (l *Loop) receive(s *socket, buf []byte) (n int, passed []int, err error) {
	beside := make([]byte, unix.CmsgSpace(descriptorSize*maxPassed))
	n, at, _, _, err := unix.Recvmsg(s.fd, buf, beside, unix.MSG_CMSG_CLOEXEC)
	if err != nil || at == 0 {
		return n, nil, err
	}
	parts, err := unix.ParseSocketControlMessage(beside[:at])
	if err != nil {
		return n, nil, err
	}
	for i := range parts {
		fds, err := unix.ParseUnixRights(&parts[i])
		if err != nil {
			continue // not sockets
		}
		passed = append(passed, fds...)
	}
	return n, passed, nil
}

// reportPassed queues the data that came with sockets beside it, and then adds the sockets: a Broken event of
// one that cannot be added follows the event that names it.
func (l *Loop) reportPassed(s *socket, data []byte, passed []int) {
	e := Event{Kind: Data, Conn: s.conn, Data: data}
	for range passed {
		l.accepted++
		e.Passed = append(e.Passed, l.accepted)
	}
	l.queueEvent(e)
	for i, fd := range passed {
		l.add(&socket{conn: e.Passed[i], fd: fd, muted: true, shared: true})
	}
}

// adopt makes a passed socket a listening socket of this process.
func (l *Loop) adopt(s *socket, as Conn) {
	accepts, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN)
	if err != nil || accepts == 0 || l.byConn[as] != nil {
		l.remove(s)
		l.queueEvent(Event{Kind: Broken, Conn: as, Err: errNotListening})
		return
	}
	delete(l.byConn, s.conn)
	s.conn, s.muted = as, false
	l.byConn[as] = s
	l.updateEvents(s)
	l.queueEvent(Event{Kind: Listening, Conn: as})
}
