package loop

import (
	"errors"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// syscalls holds the system calls on sockets whose failures the loop has to handle while the program runs. The program
// always uses the calls of the kernel; tests replace them to inject failures. docs/design/system-calls.md explains the
// meaning of each failure.
type syscalls struct {
	accept      func(fd int) (int, error)
	socket      func(family, kind int) (int, error)
	connect     func(fd int, to unix.Sockaddr) error
	socketError func(fd int) (int, error) // returns and clears the pending error of a socket
	read        func(fd int, buf []byte) (int, error)
	send        func(fd int, data []byte) (int, error)
	peek        func(fd int, buf []byte) error
	unread      func(fd int) (int, error) // bytes in the receive queue
	// receiveMemory returns the memory that the received bytes of a socket use, and how much they may use.
	receiveMemory func(fd int) (used, limit int, err error)
	// lastReceivedAgo returns the time since the last bytes arrived at a socket.
	lastReceivedAgo func(fd int) (time.Duration, error)
	undelivered     func(fd int) (int, error) // bytes in the send queue, sent or not, that the peer has not acknowledged
	register        func(epoll, op, fd int, event *unix.EpollEvent) error
	wait            func(epoll int, ready []unix.EpollEvent, ms int) (int, error)
}

// kernelCalls returns the system calls of the kernel.
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
		unread:        func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCINQ) },
		receiveMemory: socketReceiveMemory,
		lastReceivedAgo: func(fd int) (time.Duration, error) {
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				return 0, err
			}
			return time.Duration(info.Last_data_recv) * time.Millisecond, nil
		},
		undelivered: func(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) },
		register:    unix.EpollCtl,
		wait:        unix.EpollWait,
	}
}

// The values that SO_MEMINFO returns, by index; see sock_diag(7).
const (
	memInfoReceiveAllocated = 0
	memInfoReceiveBuffer    = 1
	memInfoValues           = 9
)

// socketReceiveMemory asks the kernel for the memory of a socket's receive queue. The kernel charges a segment whole until
// its last byte is read, with its own use of it.
func socketReceiveMemory(fd int) (used, limit int, err error) {
	var values [memInfoValues]uint32
	size := uint32(unsafe.Sizeof(values))
	_, _, errno := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO,
		uintptr(unsafe.Pointer(&values)), uintptr(unsafe.Pointer(&size)), 0)
	if errno != 0 {
		return 0, 0, errno
	}
	return int(values[memInfoReceiveAllocated]), int(values[memInfoReceiveBuffer]), nil
}

// maxInterrupts is how often retryInterrupted makes a call before it returns EINTR.
const maxInterrupts = 16

// retryInterrupted makes a system call, and repeats it while a signal interrupts it, up to maxInterrupts times.
func retryInterrupted[T any](call func() (T, error)) (result T, err error) {
	for range maxInterrupts {
		if result, err = call(); !errors.Is(err, unix.EINTR) {
			break
		}
	}
	return result, err
}

// isAny reports whether err is or wraps one of the given error numbers.
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

// isConnectionError reports whether accept failed only for the connection that it was about to return, or was
// interrupted: the next call may succeed. On Linux, accept returns network errors that are pending at the new socket.
func isConnectionError(err error) bool {
	return isAny(err, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.EPERM, unix.ECONNRESET, unix.ETIMEDOUT,
		unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
		unix.EOPNOTSUPP, unix.ENETUNREACH)
}

// isResourceError reports whether a connection failed because this machine or process has run out of a resource, such
// as descriptors or ports. Such an error says nothing about the peer.
func isResourceError(err error) bool {
	return isAny(err, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN)
}

// isEarlierDatagramError reports whether receiving failed only temporarily, or because of an error that the network
// returned for a datagram sent earlier: the socket remains usable.
func isEarlierDatagramError(err error) bool {
	return isAny(err, unix.EINTR, unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EMSGSIZE,
		unix.ENOBUFS, unix.ENOMEM, unix.ENETDOWN, unix.EHOSTDOWN, unix.ENONET, unix.EPROTO, unix.ETIMEDOUT, unix.EPERM)
}
