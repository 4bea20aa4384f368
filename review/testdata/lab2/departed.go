package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of the departed clients.
const (
	departures    = 12                     // clients that send at once and go, one after another
	sentAhead     = 200                    // requests that a client sends at once
	aheadBody     = 60 << 10               // bytes of each; a body holds 64 KiB at most
	heavyWork     = 400 * time.Millisecond // 52 to 94 ms of work, 6.7 to 27 times
	sendsFor      = 30 * time.Millisecond  // how long a client sends before it goes
	mayBeginAfter = 150 * time.Millisecond // 0.1 s after the close, and 50 ms on sockets
)

func init() { cases["departed-clients"] = departedClients }

// departedClients: clients send hundreds of bids at once and go, while the hosts are busy. With TROUBLE=0 each sends one bid
// and goes.
func departedClients(r *rig) {
	var mu sync.Mutex
	began := make(map[string]time.Time)
	answer := func(h *host, c net.Conn, req *http.Request, body []byte) bool {
		id := req.Header.Get("X-Trace-Id")
		mu.Lock()
		began[id] = time.Now()
		mu.Unlock()
		if strings.HasPrefix(id, "heavy") {
			time.Sleep(heavyWork)
		}
		return plain(h, c, req, body)
	}
	for i := range 2 {
		r.hosts = append(r.hosts, newHost(fmt.Sprintf("s-%d", i), answer))
	}
	_, listen, _ := startOver(r)
	for i := range 60 { // the gateway learns what usual work takes
		view(r, listen, fmt.Sprintf("view-%04d", i))
	}
	for round := range departures {
		r.note("round %d", round)
		var heavy sync.WaitGroup
		for i := range 3 + round%4 {
			heavy.Go(func() { view(r, listen, fmt.Sprintf("heavy-%d-%d", round, i)) })
		}
		time.Sleep(20 * time.Millisecond)
		closedAt, n := sendAheadAndGo(r, listen, round)
		heavy.Wait()
		time.Sleep(time.Second)
		mu.Lock()
		for i := range sentAhead {
			id := aheadID(round, i)
			at, ran := began[id]
			if !ran {
				continue
			}
			after := at.Sub(closedAt)
			r.note("%s ran, begun %v after its client had closed (%d bytes sent)", id, after, n)
			if after > mayBeginAfter {
				r.breach("%s: the attempt began %v after its client had closed", id, after)
			}
		}
		mu.Unlock()
	}
}

func aheadID(round, i int) string { return fmt.Sprintf("ahead-%d-%03d", round, i) }

// sendAheadAndGo sends bids at full speed and closes the connection. It returns the time of the close and the bytes sent.
func sendAheadAndGo(r *rig, listen string, round int) (closedAt time.Time, n int) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		giveUp("%v", err)
	}
	var all strings.Builder
	bids := sentAhead
	if !r.trouble {
		bids = 1
	}
	for i := range bids {
		all.WriteString(requestText("POST", "bid-lodge", aheadID(round, i), 2000, strings.Repeat("b", aheadBody)))
	}
	text := all.String()
	_ = c.SetWriteDeadline(time.Now().Add(sendsFor))
	n, _ = io.WriteString(c, text)
	time.Sleep(sendsFor)
	_ = c.Close()
	closedAt = time.Now()
	r.note("a client has sent %d bytes and closed", n)
	return closedAt, n
}
