package main

import (
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

// Figures of the tests of clients that leave.
const (
	pipelineSize       = 32 << 20               // bytes; more than the buffers of both ends take
	pipelineWriteLimit = 500 * time.Millisecond // after which the buffers are taken to be full
	warmRequestTime    = 50 * time.Millisecond
	laterRequestsGrace = 300 * time.Millisecond // in which a request that must not come would come
)

// holdingEndpoint starts an endpoint that responds to the requests with the given id only once proceed is closed. The
// ids of all requests but those of warmUp arrive on the channel.
func holdingEndpoint(t *testing.T, id string) (endpoint *fakeEndpoint, received chan string, proceed chan struct{}) {
	received, proceed = make(chan string, 1024), make(chan struct{})
	endpoint = newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		switch got := r.Header.Get("X-Trace-Id"); {
		case strings.HasPrefix(got, "warm"):
			time.Sleep(warmRequestTime)
		case got == id:
			received <- got
			<-proceed
		default:
			received <- got
		}
		respondOK(c, r, body)
	})
	return endpoint, received, proceed
}

// warmUp makes the gateway open several idle connections to its endpoint, by requests at the same time.
func (g *gatewayProcess) warmUp() {
	g.t.Helper()
	var done sync.WaitGroup
	for i := range 8 {
		c := g.dial()
		done.Go(func() { roundTrip(g.t, c, viewRequest(fmt.Sprint("warm-", i), 25000)) })
	}
	done.Wait()
	time.Sleep(laterRequestsGrace) // beyond the quiet time of the connections
	waitFor(g.t, "a request to be served", func() bool {
		status, _, _ := roundTrip(g.t, g.dial(), viewRequest("warm", 25000))
		return status == 200
	})
}

// patientBid returns a bid whose client waits for 25 s.
func patientBid(id string) string {
	return strings.Replace(lodgeRequest(id, "x"), "2500m", "25000m", 1)
}

// nextID returns the id of the next request that reaches the endpoint, or "" if none does in time.
func nextID(received chan string, timeout time.Duration) string {
	select {
	case id := <-received:
		return id
	case <-time.After(timeout):
		return ""
	}
}

// Guards against forwarding the requests that a client sent ahead and left, behind more bytes than the buffers take.
func TestRequestsSentAheadByDepartedClientsAreNotForwarded(t *testing.T) {
	endpoint, received, proceed := holdingEndpoint(t, "first")
	g := start(t, map[string]any{"settings": longDeadlineSettings()}, endpoint)
	g.warmUp()
	var ahead strings.Builder
	ahead.WriteString(patientBid("first"))
	for i := 0; ahead.Len() < pipelineSize; i++ {
		ahead.WriteString(patientBid(fmt.Sprint("ahead-", i)))
	}
	c := g.dial()
	_ = c.SetWriteDeadline(time.Now().Add(pipelineWriteLimit))
	if n, err := io.WriteString(c, ahead.String()); err == nil || n == 0 {
		t.Fatalf("%d of %d bytes were written, want full buffers", n, ahead.Len())
	}
	if id := nextID(received, testTimeout); id != "first" {
		t.Fatalf("the endpoint got %q, want the first request", id)
	}
	c.Close()
	time.Sleep(laterRequestsGrace) // the gateway has time to notice the close
	close(proceed)
	if id := nextID(received, laterRequestsGrace); id != "" {
		t.Errorf("the endpoint got %q of a client that had left", id)
	}
}

// Guards against a bid that runs twice because it comes again after its client has left, while it may still run.
func TestIDOfDepartedClientDoesNotRunAgain(t *testing.T) {
	endpoint, received, proceed := holdingEndpoint(t, "bid")
	defer close(proceed)
	g := start(t, nil, endpoint)
	c := g.dial()
	if _, err := io.WriteString(c, lodgeRequest("bid", "x")); err != nil {
		t.Fatal(err)
	}
	if id := nextID(received, testTimeout); id != "bid" {
		t.Fatalf("the endpoint got %q, want the bid", id)
	}
	c.Close()
	waitFor(t, "the gateway to notice the client's close", func() bool { return g.hasLogged(`"end":"client gone"`) })
	if status, _, _ := roundTrip(t, g.dial(), lodgeRequest("bid", "x")); status != 400 {
		t.Errorf("the same id again: status %d, want 400", status)
	}
	if status, _, _ := roundTrip(t, g.dial(), lodgeRequest("another", "x")); status != 200 {
		t.Errorf("another id: status %d, want 200", status)
	}
	if id := nextID(received, testTimeout); id != "another" {
		t.Errorf("the endpoint got %q again", id)
	}
}

// Guards against a bid that runs twice because it comes again at the other process of an upgrade.
func TestIDDoesNotRunAgainAtTheOtherProcess(t *testing.T) {
	for _, left := range []bool{true, false} {
		t.Run(fmt.Sprint("client left ", left), func(t *testing.T) {
			endpoint, received, proceed := holdingEndpoint(t, "bid")
			defer close(proceed)
			g, _ := startUpgradable(t, nil, endpoint)
			kept, c := g.dial(), g.dial()
			if status, _, _ := roundTrip(t, kept, viewRequest("warm", 900)); status != 200 {
				t.Fatal(status)
			}
			if _, err := io.WriteString(c, lodgeRequest("bid", "x")); err != nil {
				t.Fatal(err)
			}
			if id := nextID(received, testTimeout); id != "bid" {
				t.Fatalf("the endpoint got %q, want the bid", id)
			}
			next, control := g.upgrade()
			waitFor(t, "the successor to be ready", func() bool { return ready(t, control) })
			if left {
				c.Close()
			}
			if status, _, _ := roundTrip(t, next.dial(), lodgeRequest("bid", "x")); status != 400 {
				t.Errorf("the same id at the successor: status %d, want 400", status)
			}
			g.signal(syscall.SIGTERM)
			if status, _, _ := roundTrip(t, next.dial(), lodgeRequest("another", "x")); status != 200 {
				t.Errorf("another id: status %d, want 200", status)
			}
			if id := nextID(received, testTimeout); id != "another" {
				t.Errorf("the endpoint got %q again", id)
			}
		})
	}
}
