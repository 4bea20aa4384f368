package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Figures of TestMemoryStaysUnderItsLimit.
const (
	memoryLoadFor      = 4 * time.Second
	hoardingClients    = 600
	hoarderConnectGap  = 2 * time.Millisecond // between the first connects of two clients
	usualRequestGap    = 50 * time.Millisecond
	usualAnswerTimeout = 3 * time.Second
	minUsualServed     = 0.75 // share of the usual requests
	hangingHostTimeout = 10 * time.Second
)

// The limits that the operators' pages name.
const (
	leastMemoryMB    = 32
	mostMemoryMB     = 192
	leastDescriptors = 256
	mostDescriptors  = 1024
)

// plainProgram builds the gateway without the race detector, whose memory would hide the gateway's own.
var plainProgram = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(program), "thymebend-plain")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

// memoryEndpoint starts an endpoint that serves bodies of any size and does not respond to requests with the query hang.
func memoryEndpoint(t *testing.T, name string) *fakeEndpoint {
	return bulkEndpoint(t, name, func(r *http.Request, c net.Conn) bool {
		if r.URL.Query().Get("hang") == "" {
			return true
		}
		_ = c.SetReadDeadline(time.Now().Add(hangingHostTimeout))
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
}

// startPlain runs a gateway without the race detector, with the given limits.
func startPlain(t *testing.T, memoryMB, sockets int, endpoints ...*fakeEndpoint) *gatewayProcess {
	t.Helper()
	path, err := plainProgram()
	if err != nil {
		t.Fatal(err)
	}
	var entries []string
	for _, endpoint := range endpoints {
		entries = append(entries, endpointEntry(endpoint, "up"))
	}
	whole := endpointList(1, true, entries...)
	edit := map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}}
	g := launchProgram(t, path, edit, whole, newDiscovery(t, func(int) string { return whole }))
	g.waitReady()
	return g
}

// hoard has clients play on new connections until the context ends.
func (g *gatewayProcess) hoard(ctx context.Context, clients int, kinds []hoarder, running *sync.WaitGroup) {
	for i := range clients {
		kind := kinds[i%len(kinds)]
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c, err := smallReceiveBuffer.DialContext(ctx, "tcp", g.address)
				if err != nil {
					return
				}
				stop := context.AfterFunc(ctx, func() { c.Close() })
				_ = kind.play(c, fmt.Sprintf("h%d-%d", i, n))
				stop()
				c.Close()
			}
		})
		time.Sleep(hoarderConnectGap)
	}
}

// usualResult counts what usual clients got.
type usualResult struct{ sent, served, refused, unanswered atomic.Int32 }

// sendUsual has usual clients send a small request each usualRequestGap, on new connections, until the context ends.
func (g *gatewayProcess) sendUsual(ctx context.Context, result *usualResult) {
	var running sync.WaitGroup
	ticks := time.NewTicker(usualRequestGap)
	defer ticks.Stop()
	for i := 0; ctx.Err() == nil; i++ {
		<-ticks.C
		running.Go(func() {
			c, err := net.Dial("tcp", g.address)
			if err != nil {
				return
			}
			defer c.Close()
			result.sent.Add(1)
			raw := viewRequest(fmt.Sprint("usual-", i), 2000)
			if i%2 == 0 {
				raw = lodgeRequest(fmt.Sprint("usual-", i), strings.Repeat("x", 1000))
			}
			from := time.Now()
			status, _, _ := roundTrip(g.t, c, raw)
			switch took := time.Since(from); {
			case status == 0 || took > usualAnswerTimeout:
				result.unanswered.Add(1)
			case status == 200:
				result.served.Add(1)
			default:
				result.refused.Add(1)
			}
		})
	}
	running.Wait()
}

// Guards against a process that passes its memory limit and is killed, by clients that make it hold much for each.
func TestMemoryStaysUnderItsLimit(t *testing.T) {
	kinds := hoarders()
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) { checkMemory(t, leastMemoryMB, mostDescriptors, []hoarder{kind}) })
	}
	t.Run("all kinds", func(t *testing.T) { checkMemory(t, leastMemoryMB, mostDescriptors, kinds) })
	t.Run("all kinds with few descriptors", func(t *testing.T) { checkMemory(t, leastMemoryMB, leastDescriptors, kinds) })
	t.Run("all kinds with much memory", func(t *testing.T) { checkMemory(t, mostMemoryMB, mostDescriptors, kinds) })
}

// checkMemory plays clients of the given kinds and fails the test if the process passes its memory limit, or usual
// clients are not answered in time or, unless endpoints are used up, not served.
func checkMemory(t *testing.T, memoryMB, sockets int, kinds []hoarder) {
	var endpoints []*fakeEndpoint
	for i := range 8 {
		endpoints = append(endpoints, memoryEndpoint(t, fmt.Sprint("s-", i)))
	}
	g := startPlain(t, memoryMB, sockets, endpoints...)
	ctx, cancel := context.WithTimeout(context.Background(), memoryLoadFor)
	defer cancel()
	var running sync.WaitGroup
	var usual usualResult
	running.Go(func() { g.sendUsual(ctx, &usual) })
	g.hoard(ctx, min(hoardingClients, sockets/2), kinds, &running)
	running.Wait()
	peak := peakMemoryMB(t, g.cmd.Process.Pid)
	t.Logf("peak %d of %d MB; usual requests: %d sent, %d served, %d refused, %d without an answer", peak, memoryMB,
		usual.sent.Load(), usual.served.Load(), usual.refused.Load(), usual.unanswered.Load())
	if peak >= memoryMB {
		t.Errorf("the gateway used %d MB, want less than %d", peak, memoryMB)
	}
	if usual.unanswered.Load() > 0 {
		t.Errorf("%d of %d usual requests got no answer in time", usual.unanswered.Load(), usual.sent.Load())
	}
	atEndpoints := slices.ContainsFunc(kinds, func(kind hoarder) bool { return kind.atEndpoints })
	if !atEndpoints && float64(usual.served.Load()) < minUsualServed*float64(usual.sent.Load()) {
		t.Errorf("%d of %d usual requests were served, want %.0f%%", usual.served.Load(), usual.sent.Load(), 100*minUsualServed)
	}
}
