package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Crossings: two things that happen in the worst order, which a test forces by holding one of them back.

// keyedSettings has a class that may be repeated within a window, in its cell alone.
func keyedSettings(windowMS int) json.RawMessage {
	return json.RawMessage(strings.Replace(strings.Replace(testSettings, `"connect_timeout_ms":250`, `"connect_timeout_ms":5000`, 1),
		`"repeat":"once"`, fmt.Sprintf(`"repeat":"by_key","group":"cell","window_ms":%d`, windowMS), 1))
}

// scarce is a listener whose queue holds one connection more than its backlog of 0.
func scarce(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "scarce")
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	t.Cleanup(func() { ln.Close() })
	return ln
}

// fill has connections wait at a listener until no more come up, and returns those that did.
func fill(t *testing.T, ln net.Listener) (waiting int) {
	t.Helper()
	until(t, "the queue to fill", func() bool {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err == nil {
			waiting++
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	})
	return waiting
}

// connecting reports whether some socket of this machine waits for a connection to an address to come up.
func connecting(t *testing.T, addr net.Addr) bool {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	to := fmt.Sprintf(" 0100007F:%04X 02 ", addr.(*net.TCPAddr).Port)
	return strings.Contains(string(raw), to)
}

// The window for repeats of a keyed request ends while the repeat's connection comes up: nothing is written on it.
func TestWindowEndsWhileTheConnectionComesUp(t *testing.T) {
	h := &host{name: "s-1", ln: scarce(t)}
	g := start(t, map[string]any{"settings": keyedSettings(600)}, h)
	c := g.dial()
	if _, err := io.WriteString(c, lodge("bid", "x")); err != nil {
		t.Fatal(err)
	}
	first, err := h.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.ReadRequest(bufio.NewReader(first)); err != nil || r.Header.Get("X-Trace-Id") != "bid" {
		t.Fatalf("first attempt: %v", err)
	}
	waiting := fill(t, h.ln)
	_ = first.(*net.TCPConn).SetLinger(0) // a reset: it may have run, so the class repeats it
	first.Close()
	until(t, "the repeat's connection, which the full queue keeps from coming up", func() bool { return connecting(t, h.ln.Addr()) })
	for range waiting {
		if _, err := h.ln.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	late, err := h.ln.Accept() // once the kernel asks again, a second after it asked first
	if err != nil {
		t.Fatal(err)
	}
	if data, _ := io.ReadAll(late); len(data) > 0 {
		t.Errorf("sent after the window: %.60q", data)
	}
	if status, _, _ := answer(c); status != 502 {
		t.Errorf("answered %d, want 502: it may have run", status)
	}
}

// A client whose link is read no further, for what it sent ahead or for a body that waits for its host, leaves while its
// request waits for a first attempt: nothing of it is sent on when a host comes.
func TestLeavingIsSeenOnALinkThatIsNotRead(t *testing.T) {
	for name, raw := range map[string]string{
		"sent far ahead":          view("gone", 25000) + strings.Repeat(view("more", 1900), 1100),
		"in the middle of a body": strings.NewReplacer("Content-Length: 92160", "Content-Length: 200000", "2500m", "25000m").Replace(lodge("gone", strings.Repeat("x", 90<<10))),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, "s-1", ok)
			empty := list(1, true)
			long := map[string]any{"settings": json.RawMessage(strings.NewReplacer(`"aim_ms":800`, `"aim_ms":20000`,
				`"give_up_ms":2000`, `"give_up_ms":25000`, `"give_up_ms":2500`, `"give_up_ms":25000`).Replace(testSettings))}
			g := startLoose(t, long, empty, newDiscovery(t, func(int) string { return empty }))
			<-g.disc.calls
			c := g.dial()
			if _, err := io.WriteString(c, raw); err != nil {
				t.Fatal(err)
			}
			until(t, "the link to be read no further", func() bool { return strings.Contains(g.log.String(), "read no further") })
			c.Close()
			left := time.Now()
			until(t, "the client's end to be seen", func() bool { return strings.Contains(g.log.String(), `"end":"client gone"`) })
			if late := time.Since(left); late > 2*time.Second { // the request is refused some 6 s after it came, and the link read on
				t.Errorf("seen after %v", late)
			}
			g.disc.tell <- list(2, false, entry(h, "up"))
			if status, _, _ := ask(t, g.dial(), view("stays", 25000)); status != 200 {
				t.Errorf("a client that stays got %d", status)
			}
			h.count(func() {
				if h.conns != 1 || len(h.asked) != 1 || h.asked[0] != "stays" {
					t.Errorf("%d connections, asked %v", h.conns, h.asked)
				}
			})
		})
	}
}
