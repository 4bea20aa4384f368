package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// Figures of the tests of long uploads.
const (
	uploadsAtOnce    = 24
	uploadStagger    = 20 * time.Millisecond // between two clients
	lodgeTimeout     = 2500 * time.Millisecond
	trickleSize      = 300 << 10
	tricklePiece     = 8 << 10
	trickleInterval  = 125 * time.Millisecond // 64 KiB a second
	readerHeld       = time.Second            // how long an endpoint reads nothing at first
	readerPiece      = 16 << 10
	readerInterval   = 100 * time.Millisecond // 160 KiB a second
	uploadAnswerWait = 10 * time.Second
)

// upload is the body of a request and the way in which its client writes it.
type upload struct {
	size     int
	chunked  bool
	piece    int           // bytes in each write
	interval time.Duration // between two writes
}

// send writes a request with the body and returns the time at which its last byte was written on the channel. Nothing
// arrives there if the connection ends before.
func (u upload) send(c net.Conn, id string) chan time.Time {
	written := make(chan time.Time, 1)
	go func() {
		length := u.size
		if u.chunked {
			length = 0
		}
		_, err := fmt.Fprint(c, largeLodgeRequest(id, "size=2", length))
		for piece, left := make([]byte, u.piece), u.size; left > 0 && err == nil; left -= len(piece) {
			piece = piece[:min(len(piece), left)]
			err = u.write(c, piece)
		}
		if u.chunked && err == nil {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		if err == nil {
			written <- time.Now()
		}
	}()
	return written
}

// write writes a piece of the body after the interval.
func (u upload) write(c net.Conn, piece []byte) error {
	time.Sleep(u.interval)
	if !u.chunked {
		_, err := c.Write(piece)
		return err
	}
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
	return err
}

// Guards against answers long after the time of requests whose clients have written the whole body into their kernel, while
// a few unread bytes keep the gateway's receive buffer full because the endpoint reads slowly.
func TestBodiesInClientsKernelsAreAnsweredInTime(t *testing.T) {
	for _, u := range []upload{
		{size: 5 << 20, piece: 125 << 10},
		{size: 5 << 20, piece: 125 << 10, chunked: true},
		{size: 4500 << 10, piece: 16 << 10},
		{size: 4500 << 10, piece: 2 << 20},
	} {
		t.Run(fmt.Sprintf("%+v", u), func(t *testing.T) {
			t.Parallel()
			var endpoints []*fakeEndpoint
			for i := range 8 {
				endpoints = append(endpoints, slowReader(t))
				endpoints[i].name = fmt.Sprint("s-", i)
			}
			g := start(t, nil, endpoints...)
			var clients sync.WaitGroup
			for i := range uploadsAtOnce {
				clients.Go(func() { uploadAnsweredInTime(t, g, u, fmt.Sprint("slow-", i)) })
				time.Sleep(uploadStagger)
			}
			clients.Wait()
		})
	}
}

// uploadAnsweredInTime sends a request and fails the test if its answer comes too late after its last byte.
func uploadAnsweredInTime(t *testing.T, g *gatewayProcess, u upload, id string) {
	c := g.dial()
	_ = c.SetReadDeadline(time.Now().Add(uploadAnswerWait))
	written := u.send(c, id)
	status, _, _ := readResponse(c)
	late := time.Duration(0) // an answer before the last byte is in time
	select {
	case last := <-written:
		late = time.Since(last) - lodgeTimeout
	default:
	}
	if status == 0 || late > answerSlack {
		t.Errorf("%s: status %d, %v after the request's time", id, status, late)
	}
}

// Guards against ending the request of a client that sends slowly, while the endpoint first reads nothing and then reads
// faster than the client sends.
func TestSlowClientsOfSlowEndpointsAreServed(t *testing.T) {
	endpoint := &fakeEndpoint{name: "s-1", ln: listen(t)}
	go serveEach(endpoint.ln, func(c net.Conn) {
		time.Sleep(readerHeld)
		r, err := http.ReadRequest(bufio.NewReaderSize(slowly{c}, readerPiece))
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	g := start(t, nil, endpoint)
	var clients sync.WaitGroup
	for _, chunked := range []bool{false, true} {
		clients.Go(func() {
			c := g.dial()
			_ = c.SetReadDeadline(time.Now().Add(uploadAnswerWait))
			u := upload{size: trickleSize, chunked: chunked, piece: tricklePiece, interval: trickleInterval}
			u.send(c, fmt.Sprint("trickle-", chunked))
			if status, _, _ := readResponse(c); status != 200 {
				t.Errorf("chunked %v: status %d, want 200", chunked, status)
			}
		})
	}
	clients.Wait()
}

// slowly reads readerPiece bytes each readerInterval.
type slowly struct{ net.Conn }

// Read implements io.Reader.
func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(readerInterval)
	return s.Conn.Read(p[:min(len(p), readerPiece)])
}
