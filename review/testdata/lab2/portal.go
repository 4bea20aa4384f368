package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the cases with a crowd. The pages that they come from are quoted in the claims.
const (
	descriptors   = 256                    // the smallest limit that the pages name
	memoryMB      = 64                     // within the 32 to 192 MB that they name
	viewExpiresMS = 1500                   // a client waits for 70 to 100% of 2 s
	lateAfter     = 550 * time.Millisecond // half a second after its time, and 50 ms on sockets
	viewInterval  = 50 * time.Millisecond  // between two requests of the usual clients
)

// sized answers with as many bytes as the query asks for, otherwise as plain does.
func sized(h *host, c net.Conn, req *http.Request, body []byte) bool {
	if size, err := strconv.Atoi(req.URL.Query().Get("size")); err == nil {
		return write200(c, strings.Repeat("x", size))
	}
	return plain(h, c, req, body)
}

// startPortal starts three hosts, discovery and a gateway, and returns the gateway and the path of its configuration.
func startPortal(r *rig) (gateway *process, listen, configPath string) {
	for i := range 3 {
		r.hosts = append(r.hosts, newHost(fmt.Sprintf("s-%d", i), sized))
	}
	return startOver(r)
}

// startOver starts discovery and a gateway over the hosts of the rig.
func startOver(r *rig) (gateway *process, listen, configPath string) {
	var entries []hostEntry
	for _, h := range r.hosts {
		entries = append(entries, h.entry)
	}
	listen, configPath = freeAddr(), filepath.Join(r.dir, "config.json")
	writeJSON(configPath, configOf(listen, newDiscovery(entries).addr, memoryMB, descriptors, entries, settingsOf(portalClasses())))
	gateway = r.startGateway(configPath, r.dir, freeAddr())
	r.awaitYes(gateway, 6*time.Second)
	return gateway, listen, configPath
}

// startViews sends a request on a new connection every viewInterval. The function that it returns ends that, waits for the
// answers and notes what the hosts ran.
func startViews(r *rig, listen string) (finish func()) {
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Add(1)
	go func() {
		defer running.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(viewInterval):
				running.Go(func() { view(r, listen, fmt.Sprintf("view-%04d", i)) })
			}
		}
	}()
	return func() {
		close(stop)
		running.Wait()
		for _, h := range r.hosts {
			h.mu.Lock()
			r.note("host %s ran %d requests", h.entry.Host, len(h.ran))
			h.mu.Unlock()
		}
	}
}

// view sends one request on a new connection, and judges what comes back. A connection that is refused, or closed with no
// answer, does not count against the gateway: new ones may be shut unread while clients fill the descriptors.
func view(r *rig, listen, id string) {
	c, err := net.DialTimeout("tcp", listen, 5*time.Second)
	if err != nil {
		r.note("%s: not connected: %v", id, err)
		return
	}
	defer c.Close()
	_, err = io.WriteString(c, requestText("GET", "tender-view", id, viewExpiresMS, ""))
	sent := time.Now()
	if err != nil {
		r.note("%s: not sent: %v", id, err)
		return
	}
	_ = c.SetReadDeadline(sent.Add(8 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	took := time.Since(sent)
	var timeout net.Error
	switch late := took > viewExpiresMS*time.Millisecond+lateAfter; {
	case err == nil && !late:
		r.note("%s: sent, %d after %v", id, resp.StatusCode, took)
	case err == nil:
		r.breach("%s got its answer, %d, only after %v; it waits for %d ms", id, resp.StatusCode, took, viewExpiresMS)
	case errors.As(err, &timeout) && timeout.Timeout():
		r.breach("%s, written whole to an accepted connection, got no answer and no close within %v", id, took)
	default:
		r.note("%s: sent, the connection ended after %v: %v", id, took, err)
	}
}
