package main

import (
	"fmt"
	"io"
	"net"
	"time"
)

// stoppedClients is the number of clients that stop in the middle of a request.
const stoppedClients = 1000

func init() { cases["half-requests"] = halfRequests }

// halfRequests: a thousand clients begin a request, stop in the middle of it and stay.
func halfRequests(r *rig) {
	_, listen, _ := startPortal(r)
	finish := startViews(r, listen)
	time.Sleep(2 * time.Second)
	if r.trouble {
		r.note("%d clients stop in the middle of a request", stoppedClients)
		for i := range stoppedClients {
			go stopped(listen, fmt.Sprintf("half-%04d", i))
		}
	}
	time.Sleep(8 * time.Second)
	finish()
}

// stopped sends half of a request, and stays until the gateway closes the connection.
func stopped(listen, id string) {
	c, err := net.DialTimeout("tcp", listen, 5*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	text := requestText("GET", "tender-view", id, viewExpiresMS, "")
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(c, text[:len(text)/2])
	_, _ = io.Copy(io.Discard, c)
}
