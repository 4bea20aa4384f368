package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against floods of connections and garbage that prevent other clients from being served, or that are
// forwarded to an endpoint.
func TestFloodsDoNotBlockOtherClients(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	noise := strings.Repeat("noise and no request\r\n", 15<<10)
	var floods sync.WaitGroup
	for i := range 100 {
		floods.Go(func() {
			c, err := net.Dial("tcp", g.address)
			if err != nil {
				return // the accept backlog is full: a failure of the flood itself, which is not checked
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			if i%2 == 0 {
				_, _ = io.WriteString(c, viewRequest(fmt.Sprint("bad", i), 900)[:30]+noise)
				return
			}
			_, _ = io.WriteString(c, noise[:100])
			if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && r.StatusCode < 400 {
				t.Errorf("noise was answered with %d, want an error", r.StatusCode)
			}
		})
	}
	c := g.dial()
	for i := range 50 {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("good", i), 1900)); status != 200 {
			t.Errorf("view request %d during the flood: status %d, want 200", i, status)
		}
	}
	floods.Wait()
	endpoint.withLock(func() {
		for _, id := range endpoint.ids {
			if !strings.HasPrefix(id, "good") {
				t.Errorf("request %q of the flood was forwarded", id)
			}
		}
	})
}

// Guards against thousands of unfinished requests that block complete requests, the admin endpoint or a shutdown.
func TestUnfinishedRequestsDoNotBlockOtherClients(t *testing.T) {
	control := freeTCPAddress(t)
	g := start(t, map[string]any{"control": control, "limits": map[string]any{"cores": 1, "memory_mb": 32,
		"sockets": 192}}, newEndpoint(t, "s-1", respondOK))
	roundTrip(t, g.dial(), viewRequest("first", 1500)) // shows the gateway the client timeout of the requests below
	var stop atomic.Bool
	var unfinished, completeRequests sync.WaitGroup
	var connected, served atomic.Int64
	for i := range 4 {
		unfinished.Go(func() {
			var open []net.Conn
			for n := 0; !stop.Load() && n < 1500; n++ {
				c, err := net.DialTimeout("tcp", g.address, 100*time.Millisecond)
				if err != nil {
					continue
				}
				connected.Add(1)
				if (n+i)%2 == 0 {
					fmt.Fprint(c, "GET /view/x HTTP/1.1\r\nHost: o\r\nX-Tra")
				}
				if open = append(open, c); len(open) > 200 { // the latest 200 stay open
					open[0].Close()
					open = open[1:]
				}
				time.Sleep(time.Millisecond)
			}
			for _, c := range open {
				c.Close()
			}
		})
	}
	request := func(i int, duration time.Duration) {
		completeRequests.Go(func() {
			c, err := net.Dial("tcp", g.address)
			if err != nil {
				t.Errorf("request %d: %v", i, err)
				return
			}
			defer c.Close()
			raw := viewRequest(fmt.Sprint("v", i), 1500)
			for n := 0; n < len(raw) && duration > 0; n += 10 { // a slow client writes 10 bytes at a time
				fmt.Fprint(c, raw[:10])
				raw = raw[10:]
				time.Sleep(duration / 14)
			}
			status, _, _ := roundTrip(t, c, raw)
			if status == 200 {
				served.Add(1)
			} else {
				t.Errorf("request %d (written over %v): status %d, want 200", i, duration, status)
			}
		})
	}
	for i := range 100 {
		request(i, time.Duration(i%5)*250*time.Millisecond)
		if i%20 == 0 {
			began := time.Now()
			fetchStats(t, control)
			if took := time.Since(began); took > time.Second {
				t.Errorf("stats took %v, want 1 s at most", took)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i := 100; i < 105; i++ {
		request(i, 0)
	}
	completeRequests.Wait()
	stop.Store(true)
	unfinished.Wait()
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	t.Logf("%d unfinished connections accepted, %d complete requests served, peak memory %d MB",
		connected.Load(), served.Load(),
		g.cmd.ProcessState.SysUsage().(*syscall.Rusage).Maxrss/1024)
}

// Guards against stalled, partially read requests that keep new clients out, and against evicting a request that
// makes progress.
func TestStalledRequestReadsAreEvictedFirst(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 192}},
		newEndpoint(t, "s-1", respondOK))
	roundTrip(t, g.dial(), viewRequest("first", 1500))
	slow, raw := g.dial(), viewRequest("slow", 1500)
	done := make(chan int)
	go func() {
		for ; len(raw) > 10; raw = raw[10:] {
			fmt.Fprint(slow, raw[:10])
			time.Sleep(100 * time.Millisecond)
		}
		status, _, _ := roundTrip(t, slow, raw)
		done <- status
	}()
	for range 300 {
		fmt.Fprint(g.dial(), "GET /view/x HTTP/1.1\r\nHost: o\r\nX-Tra")
	}
	// Clients must not use the descriptors reserved for endpoints and operators: 105 of these 192 are for clients.
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.cmd.Process.Pid)); err != nil || len(fds) > 135 {
		t.Errorf("%d descriptors, error %v, want 135 at most", len(fds), err)
	}
	began := time.Now()
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("behind", 2400)); status != 200 {
		t.Errorf("the request after the stalled ones: status %d, want 200", status)
	}
	if took := time.Since(began); took > 2400*time.Millisecond {
		t.Errorf("the request after the stalled ones took %v, want 2.4 s at most", took)
	}
	if status := <-done; status != 200 {
		t.Errorf("the slow request that made progress: status %d, want 200", status)
	}
}

// Guards against queued requests that use all connections while new clients wait without a response.
func TestOverloadAnswersEveryRequest(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request,
		body string) {
		time.Sleep(400 * time.Millisecond)
		respondOK(c, r, body)
	})
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 96}}, endpoint)
	var all sync.WaitGroup
	var answered, slow atomic.Int64
	for i := range 300 {
		all.Go(func() {
			c, err := net.Dial("tcp", g.address)
			if err != nil {
				return
			}
			defer c.Close()
			began := time.Now()
			if status, _, _ := roundTrip(t, c, lodgeRequest(fmt.Sprint("l", i), "x")); status != 0 {
				answered.Add(1)
			}
			if time.Since(began) > 1500*time.Millisecond {
				slow.Add(1)
			}
		})
	}
	all.Wait()
	if answered.Load() < 300 || slow.Load() > 10 {
		t.Errorf("%d of 300 requests answered, %d took over 1.5 s, want 300 and 10 at most", answered.Load(),
			slow.Load())
	}
}
