package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// peakMemoryMB returns the peak resident memory of a process in MB.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	var kb int
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	fmt.Sscan(rest, &kb)
	return kb / 1024
}

// patternReader returns a body of n bytes in a fixed pattern of 64 KB, so that shifted or repeated data changes the
// digest.
func patternReader(n int) io.Reader {
	block := make([]byte, 64<<10)
	for i := range block {
		block[i] = byte(i * 7 / 3)
	}
	var parts []io.Reader
	for remaining := n; remaining > 0; remaining -= len(block) {
		parts = append(parts, bytes.NewReader(block[:min(remaining, len(block))]))
	}
	return io.MultiReader(parts...)
}

// digestOf returns the length and the start of the SHA-256 sum of what a reader returns.
func digestOf(r io.Reader) string {
	h := sha256.New()
	n, _ := io.Copy(h, r)
	return fmt.Sprintf("%d %x", n, h.Sum(nil)[:8])
}

// largeLodgeRequest returns the head of a lodge request whose body has n bytes, or is chunked if n is 0.
func largeLodgeRequest(id, query string, n int) string {
	head := strings.Replace(lodgeRequest(id, ""), "POST /lodge", "POST /lodge?"+query, 1)
	if n == 0 {
		return strings.Replace(head, "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	}
	return strings.Replace(head, "Length: 0", fmt.Sprintf("Length: %d", n), 1)
}

// Guards against keeping bodies of 32 MB in memory, in any framing, and against closing their connections.
func TestLargeBodiesAreStreamed(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 1024}},
		bulkEndpoint(t, "s-1", nil))
	const maxBody = 32 << 20
	for i, how := range []string{"length", "chunks", "close"} {
		c := g.dial()
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		size := maxBody - i // the second request has a chunked body
		stated := size
		if i == 1 {
			stated = 0
		}
		go func() {
			fmt.Fprint(c, largeLodgeRequest(fmt.Sprint("b", i), fmt.Sprintf("size=%d&how=%s", size, how), stated))
			if stated > 0 {
				_, _ = io.Copy(c, patternReader(size))
				return
			}
			body, _ := io.ReadAll(patternReader(size))
			for len(body) > 0 {
				n := min(len(body), 70001)
				fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
				body = body[n:]
			}
			fmt.Fprint(c, "0\r\n\r\n")
		}()
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", how, err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if got := resp.Header.Get("X-Got"); err != nil || n != int64(size) || got != digestOf(patternReader(size)) {
			t.Errorf("%s: received %d of %d bytes, error %v; the endpoint received %s", how, n, size, err, got)
		}
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("after", i), 900)); status != 200 {
			t.Errorf("%s: the next request on the connection: status %d, want 200", how, status)
		}
	}
	if mb := peakMemoryMB(t, g.cmd.Process.Pid); mb > 96 { // includes the memory of the race detector
		t.Errorf("the gateway used %d MB, want 96 at most", mb)
	}
}

// Guards against retrying an upload whose first bytes are no longer in memory, and against ignoring a response that
// arrives before the upload ends.
func TestInterruptedUploads(t *testing.T) {
	var attempts atomic.Int32
	endpoint := bulkEndpoint(t, "s-1", func(r *http.Request, c net.Conn) bool {
		switch id := r.Header.Get("X-Trace-Id"); {
		case strings.HasPrefix(id, "cut"):
			attempts.Add(1)
			_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
			return false
		case strings.HasPrefix(id, "early"):
			writeResponse(c, "503 Full", "X-Never-Ran: 1\r\n", "")
			_, _ = io.Copy(io.Discard, c)
			return false
		}
		return true
	})
	g := start(t, nil, endpoint)
	for id, want := range map[string]int{"cut": 503, "early": 503, "wrong": 400} {
		c := g.dial()
		n := 8 << 20
		if id == "wrong" {
			n = 0
		}
		go func() {
			fmt.Fprint(c, largeLodgeRequest(id, "size=2", n))
			if n == 0 {
				fmt.Fprintf(c, "%x\r\n%s\r\nzz\r\n", 100000, strings.Repeat("x", 100000))
				return
			}
			_, _ = io.Copy(c, patternReader(n))
		}()
		if status, _, _ := readResponse(c); status != want {
			t.Errorf("%s: %d, want %d", id, status, want)
		}
	}
	if n := attempts.Load(); n != 1 {
		t.Errorf("an upload whose first bytes were no longer in memory was sent %d times, want once", n)
	}
	abandoned := g.dial()
	fmt.Fprint(abandoned, largeLodgeRequest("left", "size=2", 1<<20)+strings.Repeat("x", 200<<10))
	abandoned.Close()
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 {
		t.Errorf("a view request after the interrupted uploads: status %d, want 200", status)
	}
	if _, requests, _ := endpoint.counts(); requests != 1 {
		t.Errorf("%d requests reached the endpoint completely, want the view request only", requests)
	}
}

// Guards against a truncated response that the client takes for complete, in HTTP/1.1 or HTTP/1.0 framing, and
// against a slow reader that delays other clients.
func TestTruncatedAndSlowlyReadResponses(t *testing.T) {
	g := start(t, nil, bulkEndpoint(t, "s-1", nil))
	for _, http10 := range []bool{false, true} {
		c := g.dial()
		raw := strings.Replace(viewRequest("b", 1500), "q=1", "how=break&size=400000", 1)
		if http10 {
			raw = strings.Replace(raw, "HTTP/1.1", "HTTP/1.0", 1)
		}
		if status, _, _ := roundTrip(t, c, raw); status != 0 {
			t.Errorf("a truncated response appeared complete (HTTP/1.0 %v)", http10)
		}
	}
	c := g.dial()
	const size = 12 << 20
	fmt.Fprint(c, strings.Replace(viewRequest("slow", 1500), "q=1", fmt.Sprint("size=", size), 1))
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 1500)); status != 200 {
			t.Errorf("a view request during a slow read: status %d, want 200", status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got := digestOf(resp.Body); got != digestOf(patternReader(size)) {
		t.Errorf("the slow reader received %s, want the whole pattern", got)
	}
}
