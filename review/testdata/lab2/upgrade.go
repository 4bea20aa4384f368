package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// The figures of the upgrade.
const (
	silentClients = 600                     // clients that connect and say nothing
	largeAnswer   = 8 << 20                 // bytes; answers of up to 32 MB occur
	slowRead      = 64 << 10                // bytes a second
	killAfterTerm = 3200 * time.Millisecond // the longest deadline, 2.5 s, and 0.7 s
)

func init() { cases["crowd-at-upgrade"] = crowdAtUpgrade }

// crowdAtUpgrade: an upgrade, while one client reads a large answer slowly and hundreds connect and say nothing.
func crowdAtUpgrade(r *rig) {
	old, listen, configPath := startPortal(r)
	go slowReader(r, listen)
	finish := startViews(r, listen)
	time.Sleep(2 * time.Second)
	r.note("the upgrade begins")
	next := r.startGateway(configPath, r.dir, freeAddr())
	r.awaitYes(next, 6*time.Second)
	r.signal(old, syscall.SIGTERM)
	term := time.Now()
	if r.trouble {
		r.note("%d clients connect and say nothing", silentClients)
		for range silentClients {
			go silent(listen)
		}
	}
	for time.Since(term) < killAfterTerm && !old.hasExited() {
		time.Sleep(10 * time.Millisecond)
	}
	if !old.hasExited() {
		r.signal(old, syscall.SIGKILL)
	}
	time.Sleep(3 * time.Second)
	finish()
}

// slowReader reads one large answer slowly, until the gateway ends it.
func slowReader(r *rig, listen string) {
	c, err := net.Dial("tcp", listen)
	if err != nil {
		r.note("slow reader: %v", err)
		return
	}
	defer c.Close()
	_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
	text := requestText("GET", "tender-view", "slow-reader", viewExpiresMS, "")
	text = strings.Replace(text, "/tender-view ", fmt.Sprintf("/tender-view?size=%d ", largeAnswer), 1)
	_, _ = io.WriteString(c, text)
	buf, total := make([]byte, slowRead/10), 0
	for {
		n, err := io.ReadFull(c, buf)
		if total += n; err != nil {
			r.note("slow reader: %d bytes read, %v", total, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// silent connects, says nothing, and stays until the gateway closes the connection.
func silent(listen string) {
	c, err := net.DialTimeout("tcp", listen, 5*time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.Copy(io.Discard, c)
}
