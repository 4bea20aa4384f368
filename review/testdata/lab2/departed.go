package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the departed clients. The load is that of the site: its work, its load and its jump of the traffic.
const (
	portalNodes   = 8
	viewWork      = 40 * time.Millisecond  // 25 to 46 ms, on one core
	bidWork       = 70 * time.Millisecond  // 52 to 94 ms
	usualRate     = 140                    // requests a second: 0.7 of what the nodes can do
	jump          = 2.4                    // 1.6 to 2.5 times the usual
	jumpFor       = 7 * time.Second        // 2.5 to 7.3 s
	departures    = 24                     // clients that send at once and go, during the jump
	sentAhead     = 200                    // requests that a client sends at once
	aheadBody     = 60 << 10               // bytes of each; a body holds 64 KiB at most
	sendsFor      = 30 * time.Millisecond  // how long a client sends, and how long it rests before it goes
	mayBeginAfter = 150 * time.Millisecond // 0.1 s after the close, and 50 ms on sockets
)

func init() { cases["departed-clients"] = departedClients }

// departedClients: while the traffic jumps, clients send hundreds of bids at once and go. With TROUBLE=0 each sends one bid
// and goes, under the same traffic.
func departedClients(r *rig) {
	for i := range portalNodes {
		var core sync.Mutex // a node has one core, which runs one request at a time
		answer := func(_ *host, c net.Conn, req *http.Request, _ []byte) bool {
			work := viewWork
			if req.Method == "POST" {
				work = bidWork
			}
			core.Lock()
			time.Sleep(work)
			core.Unlock()
			return write200(c, "answer to "+req.Header.Get("X-Trace-Id")+"\n")
		}
		r.hosts = append(r.hosts, newHost(fmt.Sprintf("s-%d", i), answer))
	}
	_, listen, _ := startOver(r)
	var running sync.WaitGroup
	sendViews := func(rate float64, length time.Duration, name string) {
		for began, i := time.Now(), 0; time.Since(began) < length; i++ {
			running.Go(func() { usual(r, listen, fmt.Sprintf("%s-%04d", name, i), i%25 < 9) })
			time.Sleep(time.Until(began.Add(time.Duration(float64(i+1) / rate * float64(time.Second)))))
		}
	}
	sendViews(usualRate, 4*time.Second, "usual")
	r.note("the traffic jumps")
	closed := make([]time.Time, departures)
	running.Go(func() {
		for i := range departures {
			time.Sleep(jumpFor / (departures + 1))
			closed[i] = sendAheadAndGo(r, listen, i)
		}
	})
	sendViews(usualRate*jump, jumpFor, "jump")
	running.Wait()
	for i, at := range closed {
		judgeDeparted(r, i, at)
	}
}

// usual sends a request of a usual client, a bid or a view, and waits for its answer. 36 of 100 are bids.
func usual(r *rig, listen, id string, bid bool) {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		r.note("%s: not connected: %v", id, err)
		return
	}
	defer c.Close()
	text := requestText("GET", "tender-view", id, viewExpiresMS, "")
	if bid {
		text = requestText("POST", "bid-lodge", id, bidExpiresMS, "a bid")
	}
	_, _ = io.WriteString(c, text)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.note("%s: sent, %v", id, err)
		return
	}
	resp.Body.Close()
	r.note("%s: sent, %d", id, resp.StatusCode)
}

// judgeDeparted looks at the hosts for requests of a client that has closed its connection.
func judgeDeparted(r *rig, client int, closedAt time.Time) {
	for i := range sentAhead {
		id := aheadID(client, i)
		for _, h := range r.hosts {
			h.mu.Lock()
			first, ran := h.first[id]
			h.mu.Unlock()
			if !ran {
				continue
			}
			after := first.Sub(closedAt)
			r.note("%s ran at host %s, begun %v after its client had closed", id, h.entry.Host, after)
			if after > mayBeginAfter {
				r.breach("%s: the attempt began %v after its client had closed", id, after)
			}
		}
	}
}

func aheadID(client, i int) string { return fmt.Sprintf("ahead-%02d-%03d", client, i) }

// sendAheadAndGo sends bids at full speed and closes the connection. It returns the time of the close.
func sendAheadAndGo(r *rig, listen string, client int) (closedAt time.Time) {
	bids := sentAhead
	if !r.trouble {
		bids = 1
	}
	var all strings.Builder
	for i := range bids {
		all.WriteString(requestText("POST", "bid-lodge", aheadID(client, i), 2000, strings.Repeat("b", aheadBody)))
	}
	text := all.String()
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		r.note("client %d: not connected: %v", client, err)
		return time.Now()
	}
	_ = c.SetWriteDeadline(time.Now().Add(sendsFor))
	n, _ := io.WriteString(c, text)
	time.Sleep(sendsFor)
	_ = c.Close()
	closedAt = time.Now()
	r.note("client %d has sent %d bytes and closed", client, n)
	return closedAt
}
