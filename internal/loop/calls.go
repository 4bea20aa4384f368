package loop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// syscalls are the system calls on sockets that fail for reasons of their own while the program runs.
// There is one set of them, the kernel's; tests replace it. docs/design/system-calls.md explains what
// each failure means.
type syscalls struct {
	accept      func(fd int) (int, error)
	socket      func(family, kind int) (int, error)
	connect     func(fd int, to unix.Sockaddr) error
	socketError func(fd int) (int, error) // the error that waits at a socket
	read        func(fd int, buf []byte) (int, error)
	send        func(fd int, data []byte) (int, error)
	peek        func(fd int, buf []byte) error
	register    func(epoll, op, fd int, event *unix.EpollEvent) error
	wait        func(epoll int, ready []unix.EpollEvent, ms int) (int, error)
}

// kernelCalls is the set of the kernel's calls.
func kernelCalls() syscalls {
	return syscalls{
		accept: func(fd int) (int, error) {
			accepted, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return accepted, err
		},
		socket: func(family, kind int) (int, error) {
			return unix.Socket(family, kind|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		},
		connect:     unix.Connect,
		socketError: func(fd int) (int, error) { return unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR) },
		read:        unix.Read,
		send: func(fd int, data []byte) (int, error) {
			return unix.SendmsgN(fd, data, nil, nil, unix.MSG_NOSIGNAL)
		},
		peek: func(fd int, buf []byte) error {
			_, _, err := unix.Recvfrom(fd, buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return err
		},
		register: unix.EpollCtl,
		wait:     unix.EpollWait,
	}
}

// maxInterrupts bounds how often an interrupted call is repeated at once.
const maxInterrupts = 16

// retryInterrupted repeats a call while a signal interrupts it.
func retryInterrupted[T any](call func() (T, error)) (result T, err error) {
	for range maxInterrupts {
		if result, err = call(); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	return result, err
}

// isAny reports whether an error is one of several numbers.
func isAny(err error, numbers ...unix.Errno) bool {
	var number unix.Errno
	if !errors.As(err, &number) {
		return false
	}
	for _, n := range numbers {
		if n == number {
			return true
		}
	}
	return false
}

// isConnectionError reports whether accept failed for the one connection that it was about to give, or
// was interrupted: the next may be better. Linux passes errors of the network that wait at a new socket
// on to accept.
func isConnectionError(err error) bool {
	return isAny(err, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.EPERM, unix.ECONNRESET, unix.ETIMEDOUT,
		unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH)
}

// isResourceError reports whether a connection failed for want of something that this machine or
// process has run out of: the peer may be well.
func isResourceError(err error) bool {
	return isAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN)
}

// isEarlierDatagramError reports whether receiving failed because of a datagram sent earlier, or only for the
// moment.
func isEarlierDatagramError(err error) bool {
	return isAny(err, unix.EINTR, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EMSGSIZE,
		unix.ENOBUFS, unix.ENOMEM, unix.ENETDOWN, unix.EHOSTDOWN, unix.ENONET, unix.EPROTO, unix.ETIMEDOUT, unix.EPERM)
}
