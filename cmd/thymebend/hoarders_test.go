package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Figures of the clients that make the gateway hold much.
const (
	slowPieceInterval = 50 * time.Millisecond
	slowPiece         = 3200    // bytes in each slowPieceInterval: 64 kB a second
	slowReceiveBuffer = 4 << 10 // bytes
	longBody          = 1 << 20
	longAnswer        = 6 << 20
	bufferedBody      = 60 << 10
	firstPartOfHead   = 15 << 10
)

// hoarder is a kind of client that makes the gateway hold much for it. Each client plays it on new connections, over and
// over.
type hoarder struct {
	name string
	// atEndpoints reports that the clients also use up endpoints or upstream connections, which usual clients then lack.
	atEndpoints bool
	play        func(c net.Conn, id string) error
}

// hoarders returns the kinds of clients.
func hoarders() []hoarder {
	return []hoarder{
		{"half of a large request", false, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, largeLodgeRequest(id, "size=2", longBody)+strings.Repeat("x", 64<<10-1))
			return drain(c, err)
		}},
		{"half of a large chunked request", false, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, largeLodgeRequest(id, "size=2", 0)+"ffff0\r\n"+strings.Repeat("x", 64<<10-1))
			return drain(c, err)
		}},
		{"all but the last byte of a buffered request", false, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, largeLodgeRequest(id, "size=2", bufferedBody)+strings.Repeat("x", bufferedBody-1))
			return drain(c, err)
		}},
		{"a large request written slowly", true, func(c net.Conn, id string) error {
			return writeSlowly(c, largeLodgeRequest(id, "size=2", longBody), longBody)
		}},
		{"heads of very many short fields", false, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, "GET /view HTTP/1.1\r\n"+strings.Repeat("a:\r\n", firstPartOfHead/4))
			return drain(c, err)
		}},
		{"whole heads of short fields without the body", false, func(c net.Conn, id string) error {
			head := largeLodgeRequest(id, "size=2", bufferedBody)
			_, err := io.WriteString(c, strings.Replace(head, "\r\n", "\r\n"+strings.Repeat("a:\r\n", 90), 1))
			return drain(c, err)
		}},
		{"requests sent ahead of an answer", true, func(c net.Conn, id string) error {
			ahead := strings.Repeat(strings.Replace(viewRequest("x", 1500), "q=1", "hang=1", 1), 700)
			_, err := io.WriteString(c, strings.Replace(viewRequest(id, 1500), "q=1", "hang=1", 1)+ahead)
			return drain(c, err)
		}},
		{"buffered requests at hosts that hang", true, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, largeLodgeRequest(id, "hang=1", bufferedBody)+strings.Repeat("x", bufferedBody))
			return drain(c, err)
		}},
		{"long answers read slowly", true, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, strings.Replace(viewRequest(id, 1500), "q=1", fmt.Sprint("size=", longAnswer), 1))
			return readSlowly(c, err)
		}},
		{"long chunked answers read slowly", true, func(c net.Conn, id string) error {
			_, err := io.WriteString(c, strings.Replace(viewRequest(id, 1500), "q=1", fmt.Sprint("how=chunks&size=", longAnswer), 1))
			return readSlowly(c, err)
		}},
		{"buffered answers read slowly", true, func(c net.Conn, id string) error {
			for i := range 20 {
				request := strings.Replace(viewRequest(fmt.Sprint(id, "-", i), 1500), "q=1", fmt.Sprint("size=", bufferedBody), 1)
				if _, err := io.WriteString(c, request); err != nil {
					return err
				}
			}
			return readSlowly(c, nil)
		}},
	}
}

// drain reads whatever comes until the connection ends.
func drain(c net.Conn, err error) error {
	if err == nil {
		_, err = io.Copy(io.Discard, c)
	}
	return err
}

// readSlowly reads at 64 kB a second until the connection ends.
func readSlowly(c net.Conn, err error) error {
	buf := make([]byte, slowPiece)
	for ; err == nil; time.Sleep(slowPieceInterval) {
		_, err = c.Read(buf)
	}
	return err
}

// writeSlowly writes a head and a body of the given size at 64 kB a second.
func writeSlowly(c net.Conn, head string, size int) error {
	_, err := io.WriteString(c, head)
	piece := strings.Repeat("x", slowPiece)
	for ; err == nil && size > 0; size -= slowPiece {
		_, err = io.WriteString(c, piece[:min(size, slowPiece)])
		time.Sleep(slowPieceInterval)
	}
	return drain(c, err)
}

// smallReceiveBuffer dials connections whose receive buffer holds little.
var smallReceiveBuffer = net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, slowReceiveBuffer)
	})
}}
