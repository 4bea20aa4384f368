package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Figures of the tests of endpoints that pause within long answers.
const (
	pausedAnswerSize = 96 << 10
	pausedPiece      = 4 << 10
	pausedInterval   = 62500 * time.Microsecond // between two pieces: 64 KiB a second
	firstBytesSlack  = 300 * time.Millisecond
	clientStagger    = 20 * time.Millisecond
	pausedTimeout    = 1800 * time.Millisecond // of the clients
	signalAfter      = 300 * time.Millisecond  // after the request
)

// pausedAnswer is a long answer whose endpoint pauses once, after its first bytes.
type pausedAnswer struct {
	name      string
	head      string
	pieceHead string // before each piece; a format with its size
	pieceTail string
	tail      string
	closes    bool
	first     int           // bytes before the pause
	pause     time.Duration // of the endpoint
}

// pausedAnswers are answers in all framings that do not tell at once that they are long.
func pausedAnswers() []pausedAnswer {
	const chunked, open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"
	pieces := pausedAnswer{head: chunked, pieceHead: "%x\r\n", pieceTail: "\r\n", tail: "0\r\n\r\n"}
	withClose := pausedAnswer{head: open, closes: true}
	oneChunk := pausedAnswer{head: chunked + fmt.Sprintf("%x\r\n", pausedAnswerSize), tail: "\r\n0\r\n\r\n"}
	var answers []pausedAnswer
	add := func(a pausedAnswer, name string, first int, pause time.Duration) {
		a.name, a.first, a.pause = name, first, pause
		answers = append(answers, a)
	}
	add(pieces, "chunks, pause of 1.2 s", 4<<10, 1200*time.Millisecond)
	add(pieces, "chunks, pause until shortly before the end", 2<<10, 1550*time.Millisecond)
	add(pieces, "chunks, pause beyond the end", 2<<10, 2*time.Second)
	add(withClose, "close, pause of 1.2 s", 4<<10, 1200*time.Millisecond)
	add(withClose, "close, pause beyond the end", 1500, 2*time.Second)
	add(oneChunk, "one chunk, pause beyond the end", 100, 2*time.Second)
	return answers
}

// write writes the answer.
func (a pausedAnswer) write(c net.Conn) {
	_, err := io.WriteString(c, a.head)
	next := a.first
	for written := 0; written < pausedAnswerSize && err == nil; {
		piece := strings.Repeat("p", min(next, pausedAnswerSize-written))
		head := a.pieceHead
		if head != "" {
			head = fmt.Sprintf(head, len(piece))
		}
		_, err = io.WriteString(c, head+piece+a.pieceTail)
		if written == 0 {
			time.Sleep(a.pause)
		}
		written, next = written+len(piece), pausedPiece
		time.Sleep(pausedInterval)
	}
	_, _ = io.WriteString(c, a.tail)
	if a.closes {
		c.Close()
	}
}

// Guards against cutting off a long answer because little of it had come when it was looked at first, while its endpoint
// still writes it: on an ordinary day, at SIGTERM and in an upgrade.
func TestLongAnswersWithAPauseComeWhole(t *testing.T) {
	answers := pausedAnswers()
	endpoints := func(t *testing.T) (all []*fakeEndpoint) {
		for i := range 2 * len(answers) { // no request waits in the queue
			all = append(all, newEndpoint(t, fmt.Sprint("s-", i), func(c net.Conn, r *http.Request, _ string) {
				var index int
				if _, err := fmt.Sscanf(r.Header.Get("X-Trace-Id"), "paused-%d", &index); err == nil {
					answers[index].write(c)
					return
				}
				time.Sleep(warmRequestTime)
				respondOK(c, r, "")
			}))
		}
		return all
	}
	play := func(t *testing.T, g *gatewayProcess, disturb func()) {
		g.warmUp()
		var clients sync.WaitGroup
		for i, a := range answers {
			clients.Go(func() { receivePaused(t, g.dial(), i, a) })
			time.Sleep(clientStagger)
		}
		time.Sleep(signalAfter)
		disturb()
		clients.Wait()
	}
	t.Run("ordinary", func(t *testing.T) {
		play(t, start(t, nil, endpoints(t)...), func() {})
	})
	t.Run("SIGTERM", func(t *testing.T) {
		g := start(t, nil, endpoints(t)...)
		play(t, g, func() { g.signal(syscall.SIGTERM) })
	})
	t.Run("upgrade", func(t *testing.T) {
		g, _ := startUpgradable(t, nil, endpoints(t)...)
		play(t, g, func() {
			_, control := g.upgrade()
			waitFor(t, "the successor to be ready", func() bool { return ready(t, control) })
			g.signal(syscall.SIGTERM)
		})
	})
}

// receivePaused sends a request and fails the test unless its answer begins in time and comes whole.
func receivePaused(t *testing.T, c net.Conn, index int, a pausedAnswer) {
	began := time.Now()
	_ = c.SetDeadline(began.Add(testTimeout))
	bid := lodgeRequest(fmt.Sprint("paused-", index), "x")
	fmt.Fprint(c, strings.Replace(bid, "2500m", fmt.Sprintf("%dm", pausedTimeout.Milliseconds()), 1))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Errorf("%s: response %v, error %v after %v", a.name, resp, err, time.Since(began))
		return
	}
	if limit := pausedTimeout + firstBytesSlack; time.Since(began) > limit {
		t.Errorf("%s: the answer began after %v, want %v at most", a.name, time.Since(began), limit)
	}
	if n, err := io.Copy(io.Discard, resp.Body); n != pausedAnswerSize || err != nil {
		t.Errorf("%s: %d of %d bytes came, error %v", a.name, n, pausedAnswerSize, err)
	}
}
