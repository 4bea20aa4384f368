package drill

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"
)

const soon = 10 * time.Second // for what must happen; a failed test takes that long

func testNet(t *testing.T) *network {
	t.Helper()
	n := newNetwork(Path{}, rigAddress(t.TempDir(), 1), 1, func(pathChange) {}, func(string, string) {})
	t.Cleanup(n.close)
	return n
}

func udp(t *testing.T, n *network, name string) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.ip, 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	n.listen(name, c.LocalAddr().(*net.UDPAddr).AddrPort())
	return c
}

func between(t *testing.T, n *network, from, to string) netip.AddrPort {
	t.Helper()
	at, err := n.datagrams(from, to)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// get reads a datagram, or returns nothing after a time.
func get(t *testing.T, c *net.UDPConn, within time.Duration) (string, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, 2048)
	_ = c.SetReadDeadline(time.Now().Add(within))
	size, from, err := c.ReadFromUDPAddrPort(buf)
	if err != nil {
		return "", from
	}
	return string(buf[:size]), from
}

func send(t *testing.T, c *net.UDPConn, at netip.AddrPort, text string) {
	t.Helper()
	if _, err := c.WriteToUDPAddrPort([]byte(text), at); err != nil {
		t.Fatal(err)
	}
}

func fault(do string, from, to []string) *Fault { return &Fault{Do: do, From: from, To: to} }

// Whoever is told of a change may take long: what is under way on other paths is carried meanwhile.
func TestPathsCarryWhileAChangeIsNoted(t *testing.T) {
	noting, noted := make(chan bool), make(chan bool)
	n := newNetwork(Path{}, rigAddress(t.TempDir(), 1), 1, func(pathChange) { close(noting); <-noted },
		func(string, string) {})
	t.Cleanup(n.close)
	t.Cleanup(func() { close(noted) })
	ear := udp(t, n, "b")
	mouth := udp(t, n, "a")
	at := between(t, n, "a", "b")
	between(t, n, "c", "b")
	go n.set(fault("net-cut", []string{"c"}, []string{"b"}), true)
	<-noting
	send(t, mouth, at, "hello")
	if got, _ := get(t, ear, soon); got != "hello" {
		t.Errorf("got %q while a change was noted", got)
	}
}

// Rigs of one process have addresses of their own: a port that one gives up for a moment must not
// become the other's.
func TestRigsHaveAddressesOfTheirOwn(t *testing.T) {
	seen := make(map[netip.Addr]bool)
	for range 20 {
		dir := t.TempDir()
		for n := range 3 {
			at := rigAddress(dir, n)
			if seen[at] || !at.IsLoopback() || at != rigAddress(dir, n) {
				t.Errorf("%v", at)
			}
			seen[at] = true
		}
	}
}

// What a gets from b comes from where a sends to for b; each way is broken by itself.
func TestDatagramsGoThroughTheRelays(t *testing.T) {
	n := testNet(t)
	a, b := udp(t, n, "a"), udp(t, n, "b")
	ab, ba := between(t, n, "a", "b"), between(t, n, "b", "a")
	send(t, a, ab, "hello")
	if text, from := get(t, b, soon); text != "hello" || from != ba {
		t.Fatalf("%q from %v, b's entry for a is %v", text, from, ba)
	}
	send(t, b, ba, "back")
	if text, from := get(t, a, soon); text != "back" || from != ab {
		t.Fatalf("%q from %v, a's entry for b is %v", text, from, ab)
	}
	oneWay := fault("net-cut", []string{"a"}, []string{"b"})
	n.set(oneWay, true)
	send(t, a, ab, "lost")
	send(t, b, ba, "heard")
	if text, _ := get(t, a, soon); text != "heard" {
		t.Errorf("the other way: %q", text)
	}
	n.mu.Lock()
	w := n.way("a", "b")
	n.mu.Unlock()
	for end := time.Now().Add(soon); w.lost.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing is lost on a path that is cut")
		}
	}
	n.set(oneWay, false)
	send(t, a, ab, "again")
	if text, _ := get(t, b, soon); text != "again" {
		t.Errorf("after a cut: %q", text)
	}
	stall := fault("net-stall", []string{"a"}, nil)
	n.set(stall, true)
	send(t, a, ab, "held")
	if text, _ := get(t, b, 60*time.Millisecond); text != "" {
		t.Errorf("a stalled path carried %q", text)
	}
	n.set(stall, false)
	if text, _ := get(t, b, soon); text != "held" {
		t.Errorf("after a stall: %q", text)
	}
	double := &Fault{Do: "net-double", Path: Path{Double: 1}}
	n.set(double, true)
	send(t, a, ab, "twice")
	for range 2 {
		if text, _ := get(t, b, soon); text != "twice" {
			t.Errorf("doubled: %q", text)
		}
	}
	n.set(double, false)
	late := &Fault{Do: "net-reorder", From: []string{"a"}, Path: Path{Reorder: 0.5}}
	n.set(late, true)
	for i := range 40 {
		send(t, a, ab, string(rune('A'+i)))
	}
	var order string
	for range 40 {
		text, _ := get(t, b, soon)
		order += text
	}
	if sorted := slices.Sorted(slices.Values([]byte(order))); len(order) != 40 || string(sorted) == order {
		t.Errorf("out of order: %q", order)
	}
	n.set(late, false)
	loss := &Fault{Do: "net-loss", Path: Path{Loss: 0.5}}
	n.set(loss, true)
	for range 400 {
		send(t, a, ab, "some")
	}
	came := 0
	for text := "some"; text == "some"; came++ {
		text, _ = get(t, b, 300*time.Millisecond)
	}
	if came < 120 || came > 280 {
		t.Errorf("%d of 400 came at a loss of half", came-1)
	}
}

// Two processes under one name both hear what comes for it.
func TestTwoUnderOneNameBothHear(t *testing.T) {
	n := testNet(t)
	a, b1, b2 := udp(t, n, "a"), udp(t, n, "b"), udp(t, n, "b")
	send(t, a, between(t, n, "a", "b"), "x")
	for _, c := range []*net.UDPConn{b1, b2} {
		if text, _ := get(t, c, soon); text != "x" {
			t.Errorf("%q", text)
		}
	}
}

func tcp(t *testing.T, n *network) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(n.ip, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func dial(t *testing.T, at string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(soon))
	return c
}

// A stream goes through whole, with the ends of both directions; a cut holds it back, and lets it go on.
func TestStreamsGoThroughTheRelays(t *testing.T) {
	n := testNet(t)
	ln := tcp(t, n)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }() // echoes until the other's sending ends
		}
	}()
	at, err := n.stream("a", "b", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := n.stream("a", "b", ln.Addr().String()); again != at {
		t.Errorf("one path has two doors: %s and %s", at, again)
	}
	c := dial(t, at).(*net.TCPConn)
	big := bytes.Repeat([]byte("0123456789abcdef"), 50_000)
	go func() { _, _ = c.Write(big); _ = c.CloseWrite() }()
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, big) {
		t.Fatalf("%d of %d bytes came back: %v", len(got), len(big), err)
	}
	cut := &Fault{Do: "net-partition", Groups: [][]string{{"a"}, {"b"}}}
	n.set(cut, true)
	c = dial(t, at).(*net.TCPConn)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	_ = c.SetReadDeadline(time.Now().Add(80 * time.Millisecond))
	if _, err := c.Read(buf); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("cut: %v", err)
	}
	_ = c.SetReadDeadline(time.Now().Add(soon))
	n.set(cut, false)
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 'x' {
		t.Errorf("after a cut: %v %q", err, buf)
	}
}

// A request that crosses its server's end is told by a reset, as without the relay; one that comes to
// no end sees a regular one.
func TestARequestThatCrossesAnEndSeesAReset(t *testing.T) {
	n := testNet(t)
	ln := tcp(t, n)
	at, err := n.stream("a", "b", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// One of some thousands still ends regularly, why is not traced; without the relay's care nearly
	// every second one does.
	regular, turn := 0, false
	for range 200 {
		c := dial(t, at)
		server, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan bool)
		go func() { _ = server.Close(); close(ended) }()
		if turn = !turn; turn {
			<-ended // what is written now may meet the end anywhere on its way
		}
		_, wrote := c.Write([]byte("request"))
		got, err := io.ReadAll(c)
		// The reset of what comes after the end may be a moment behind the end.
		reset := wrote != nil || err != nil
		for end := time.Now().Add(time.Second); !reset && time.Now().Before(end); time.Sleep(time.Millisecond) {
			reset = broken(c.(*net.TCPConn))
		}
		if len(got) > 0 {
			t.Fatalf("%q from nowhere", got)
		}
		if !reset {
			regular++
		}
		_ = c.Close()
	}
	if regular > 3 {
		t.Errorf("%d of 200 requests that nobody read ended regularly", regular)
	}
	c := dial(t, at)
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("an end that nothing crossed: %q %v", got, err)
	}
}

// A door behind which nobody is refuses, and opens again when somebody is there.
func TestADoorIsShutWhileNobodyIsBehindIt(t *testing.T) {
	n := testNet(t)
	ln := tcp(t, n)
	behind := ln.Addr().String()
	at, err := n.stream("a", "b", behind)
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	refused := func() bool {
		c, err := net.Dial("tcp4", at)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	}
	for end := time.Now().Add(soon); !refused(); {
		if time.Now().After(end) {
			t.Fatal("a door without anybody behind it takes connections")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if ln, err = net.Listen("tcp4", behind); err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("y"))
			_ = c.Close()
		}
	}()
	for end := time.Now().Add(soon); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp4", at); err == nil {
			_ = c.SetDeadline(time.Now().Add(soon))
			got, _ := io.ReadAll(c)
			_ = c.Close()
			if string(got) == "y" {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the door does not open again")
		}
	}
}
