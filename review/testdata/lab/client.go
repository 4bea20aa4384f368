package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
	"unsafe"
)

// request is one request of a client, and what became of it.
type request struct {
	id       string
	class    string
	method   string
	patience time.Duration // X-Expires-In
	size     int           // of the body
	key      string        // Idempotency-Key, where the class has one

	accepted time.Time // when the connection was up
	lastByte time.Time // when the last byte was written; zero if it never was
	answered time.Time // when the last byte of a whole answer came; zero if none came
	status   int
	body     string
	err      error
}

// limit returns how long after its last byte the request may be answered without being lost.
func (q *request) limit() time.Duration { return q.patience + lateLimit + ruleSlack }

// head returns the request's head.
func (q *request) head() string {
	head := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		q.method, q.class, q.id, q.class, q.patience.Milliseconds())
	if q.key != "" {
		head += "Idempotency-Key: " + q.key + "\r\n"
	}
	if q.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", q.size)
	}
	return head + "\r\n"
}

// connect opens a connection to the gateway.
func (q *request) connect(address string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		q.accepted = time.Now()
	}
	q.err = err
	return conn, err
}

// readAnswer reads the answer and records it. It waits for limit at most.
func (q *request) readAnswer(conn net.Conn, limit time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		q.err = err
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		q.err = err
		return
	}
	q.answered, q.status, q.body = time.Now(), resp.StatusCode, string(body)
}

// unacknowledged returns how many bytes written to a connection the peer's machine has not yet acknowledged.
func unacknowledged(conn net.Conn) (n int, err error) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		var value int32
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&value)))
		n = int(value)
	})
	if err == nil && errno != 0 {
		err = errno
	}
	return n, err
}

// awaitTaken waits until the gateway's machine has acknowledged all that was written, records the time as that of the
// last byte, and reports whether it has.
func (q *request) awaitTaken(conn net.Conn, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n, err := unacknowledged(conn)
		if err != nil {
			return false
		}
		if n == 0 {
			q.lastByte = time.Now()
			return true
		}
	}
	return false
}

// outcome describes the result in a few words.
func (q *request) outcome() string {
	switch {
	case !q.answered.IsZero():
		return fmt.Sprintf("answer %d", q.status)
	case q.lastByte.IsZero():
		return fmt.Sprintf("not sent whole: %v", q.err)
	}
	return fmt.Sprintf("no answer: %v", q.err)
}
