package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Figures of TestOneClientAtFullSpeedDelaysNobody.
const (
	fullSpeedFor      = 2 * time.Second
	fullSpeedBatch    = 200 // requests in one write
	fullSpeedInterval = 50 * time.Millisecond
)

// fullSpeedClient is a client that sends requests at full speed, each under new names.
type fullSpeedClient struct {
	name      string
	request   func(n int) string
	readsNone bool // reads no answer
	resets    bool // resets its connection after each batch
}

func fullSpeedClients() []fullSpeedClient {
	valid := func(n int) string { return viewRequest(fmt.Sprint("n", n), 1500) }
	return []fullSpeedClient{
		{name: "valid requests", request: valid},
		{name: "valid requests, answers not read", request: valid, readsNone: true},
		{name: "valid requests, then a reset", request: valid, resets: true},
		{name: "bids", request: func(n int) string { return lodgeRequest(fmt.Sprint("n", n), "x") }},
		{name: "unknown classes", request: func(n int) string {
			return strings.ReplaceAll(valid(n), "view", fmt.Sprint("class", n))
		}},
		{name: "unknown methods", request: func(n int) string { return strings.Replace(valid(n), "GET", fmt.Sprint("M", n), 1) }},
		{name: "new field names", request: func(n int) string {
			return strings.Replace(valid(n), "Host", fmt.Sprintf("X-N%d: 1\r\nHost", n), 1)
		}},
		{name: "many short fields", request: func(n int) string {
			return strings.Replace(valid(n), "Host", strings.Repeat("a:\r\n", 90)+"Host", 1)
		}},
		{name: "requests whose time is over", request: func(n int) string {
			return strings.Replace(viewRequest(fmt.Sprint("n", n), 1), "1m", "1u", 1)
		}},
		{name: "one id", request: func(int) string { return viewRequest("one", 1500) }},
	}
}

// run sends until the context ends, on a new connection when one has ended.
func (f fullSpeedClient) run(ctx context.Context, address string) {
	for n := 0; ctx.Err() == nil; {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		if !f.readsNone {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
		for err == nil {
			var batch strings.Builder
			for range fullSpeedBatch {
				batch.WriteString(f.request(n))
				n++
			}
			if _, err = io.WriteString(c, batch.String()); f.resets {
				_ = c.(*net.TCPConn).SetLinger(0)
				err = io.EOF
			}
		}
		stop()
		c.Close()
	}
}

// Guards against one client that sends at full speed under ever new names and thereby delays others or uses memory
// without end.
func TestOneClientAtFullSpeedDelaysNobody(t *testing.T) {
	for _, client := range fullSpeedClients() {
		t.Run(client.name, func(t *testing.T) {
			g := startPlain(t, leastMemoryMB, leastDescriptors, newEndpoint(t, "s-1", respondOK))
			ctx, cancel := context.WithTimeout(context.Background(), fullSpeedFor)
			defer cancel()
			var running sync.WaitGroup
			running.Go(func() { client.run(ctx, g.address) })
			var slowest time.Duration
			for i := 0; ctx.Err() == nil; i++ {
				from := time.Now()
				status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("usual-", i), 2000))
				took := time.Since(from)
				slowest = max(slowest, took)
				if status == 0 || took > 2*time.Second+answerSlack {
					t.Errorf("usual request %d: status %d after %v, want an answer within its 2 s", i, status, took)
				}
				time.Sleep(fullSpeedInterval) // emulates the pause of a usual client
			}
			running.Wait()
			peak := peakMemoryMB(t, g.cmd.Process.Pid)
			t.Logf("peak %d of %d MB, slowest answer %v", peak, leastMemoryMB, slowest)
			if peak >= leastMemoryMB {
				t.Errorf("the gateway used %d MB, want less than %d", peak, leastMemoryMB)
			}
		})
	}
}
