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

const testTimeout = 10 * time.Second // limit for events that must occur; only a failing test waits this long

func newTestNetwork(t *testing.T) *network {
	t.Helper()
	n := newNetwork(Path{}, rigAddress(t.TempDir(), 1), 1, func(pathChange) {}, func(string, string) {})
	t.Cleanup(n.close)
	return n
}

func listenUDP(t *testing.T, n *network, name string) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.ip, 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	n.addReceiver(name, c.LocalAddr().(*net.UDPAddr).AddrPort())
	return c
}

func datagramAddress(t *testing.T, n *network, from, to string) netip.AddrPort {
	t.Helper()
	at, err := n.datagramAddress(from, to)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// receiveDatagram reads a datagram. It returns an empty text if none arrives in time.
func receiveDatagram(t *testing.T, c *net.UDPConn, within time.Duration) (string, netip.AddrPort) {
	t.Helper()
	buf := make([]byte, 2048)
	_ = c.SetReadDeadline(time.Now().Add(within))
	size, from, err := c.ReadFromUDPAddrPort(buf)
	if err != nil {
		return "", from
	}
	return string(buf[:size]), from
}

func sendDatagram(t *testing.T, c *net.UDPConn, at netip.AddrPort, text string) {
	t.Helper()
	if _, err := c.WriteToUDPAddrPort([]byte(text), at); err != nil {
		t.Fatal(err)
	}
}

func pathFault(do string, from, to []string) *Fault { return &Fault{Kind: do, From: from, To: to} }

// onChange may take long: other paths carry datagrams meanwhile.
func TestPathsCarryDatagramsDuringChangeCallback(t *testing.T) {
	started, release := make(chan bool), make(chan bool)
	n := newNetwork(Path{}, rigAddress(t.TempDir(), 1), 1, func(pathChange) { close(started); <-release },
		func(string, string) {})
	t.Cleanup(n.close)
	t.Cleanup(func() { close(release) })
	receiver := listenUDP(t, n, "b")
	sender := listenUDP(t, n, "a")
	at := datagramAddress(t, n, "a", "b")
	datagramAddress(t, n, "c", "b")
	go n.setFault(pathFault("net-cut", []string{"c"}, []string{"b"}), true)
	<-started
	sendDatagram(t, sender, at, "hello")
	if got, _ := receiveDatagram(t, receiver, testTimeout); got != "hello" {
		t.Errorf("received %q during onChange", got)
	}
}

// Guards against a port that one rig releases for a moment and another rig of the same process then takes.
func TestRigAddressesAreDistinct(t *testing.T) {
	seen := make(map[netip.Addr]bool)
	for range 20 {
		dir := t.TempDir()
		for n := range 3 {
			at := rigAddress(dir, n)
			if seen[at] || !at.IsLoopback() || at != rigAddress(dir, n) {
				t.Errorf("address %v of %s, number %d: used twice, not loopback, or not reproducible", at, dir, n)
			}
			seen[at] = true
		}
	}
}

// Node a receives b's datagrams from the same address to which a sends its datagrams for b. A fault can affect one
// direction alone.
func TestDatagramRelaysApplyPathFaults(t *testing.T) {
	n := newTestNetwork(t)
	a, b := listenUDP(t, n, "a"), listenUDP(t, n, "b")
	ab, ba := datagramAddress(t, n, "a", "b"), datagramAddress(t, n, "b", "a")
	sendDatagram(t, a, ab, "hello")
	if text, from := receiveDatagram(t, b, testTimeout); text != "hello" || from != ba {
		t.Fatalf("received %q from %v, but b sends to a at %v", text, from, ba)
	}
	sendDatagram(t, b, ba, "back")
	if text, from := receiveDatagram(t, a, testTimeout); text != "back" || from != ab {
		t.Fatalf("received %q from %v, but a sends to b at %v", text, from, ab)
	}
	oneWay := pathFault("net-cut", []string{"a"}, []string{"b"})
	n.setFault(oneWay, true)
	sendDatagram(t, a, ab, "lost")
	sendDatagram(t, b, ba, "heard")
	if text, _ := receiveDatagram(t, a, testTimeout); text != "heard" {
		t.Errorf("received %q in the direction that is not cut", text)
	}
	n.mu.Lock()
	l := n.link("a", "b")
	n.mu.Unlock()
	for end := time.Now().Add(testTimeout); l.lost.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no datagram was lost on a path that is cut")
		}
	}
	n.setFault(oneWay, false)
	sendDatagram(t, a, ab, "again")
	if text, _ := receiveDatagram(t, b, testTimeout); text != "again" {
		t.Errorf("received %q after the cut", text)
	}
	stall := pathFault("net-stall", []string{"a"}, nil)
	n.setFault(stall, true)
	sendDatagram(t, a, ab, "held")
	if text, _ := receiveDatagram(t, b, 60*time.Millisecond); text != "" {
		t.Errorf("a stalled path carried %q", text)
	}
	n.setFault(stall, false)
	if text, _ := receiveDatagram(t, b, testTimeout); text != "held" {
		t.Errorf("received %q after the stall", text)
	}
	double := &Fault{Kind: "net-double", Path: Path{Duplicate: 1}}
	n.setFault(double, true)
	sendDatagram(t, a, ab, "twice")
	for range 2 {
		if text, _ := receiveDatagram(t, b, testTimeout); text != "twice" {
			t.Errorf("received %q from a path that duplicates datagrams", text)
		}
	}
	n.setFault(double, false)
	reorder := &Fault{Kind: "net-reorder", From: []string{"a"}, Path: Path{Reorder: 0.5}}
	n.setFault(reorder, true)
	for i := range 40 {
		sendDatagram(t, a, ab, string(rune('A'+i)))
	}
	var order string
	for range 40 {
		text, _ := receiveDatagram(t, b, testTimeout)
		order += text
	}
	if sorted := slices.Sorted(slices.Values([]byte(order))); len(order) != 40 || string(sorted) == order {
		t.Errorf("received 40 datagrams as %q, want all of them, out of order", order)
	}
	n.setFault(reorder, false)
	loss := &Fault{Kind: "net-loss", Path: Path{Loss: 0.5}}
	n.setFault(loss, true)
	for range 400 {
		sendDatagram(t, a, ab, "some")
	}
	received := 0
	for text := "some"; text == "some"; received++ {
		text, _ = receiveDatagram(t, b, 300*time.Millisecond)
	}
	if received < 120 || received > 280 {
		t.Errorf("received %d of 400 datagrams at a loss of 0.5", received-1)
	}
}

// If two processes have the same name, both receive the datagrams for that name.
func TestProcessesWithTheSameNameBothReceiveDatagrams(t *testing.T) {
	n := newTestNetwork(t)
	a, b1, b2 := listenUDP(t, n, "a"), listenUDP(t, n, "b"), listenUDP(t, n, "b")
	sendDatagram(t, a, datagramAddress(t, n, "a", "b"), "x")
	for _, c := range []*net.UDPConn{b1, b2} {
		if text, _ := receiveDatagram(t, c, testTimeout); text != "x" {
			t.Errorf("received %q, want x", text)
		}
	}
}

func listenTCP(t *testing.T, n *network) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(n.ip, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func dialTCP(t *testing.T, at string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// A relayed stream arrives complete, with the close of each direction. A cut blocks it until the cut ends.
func TestStreamRelaysCarryDataAndApplyCuts(t *testing.T) {
	n := newTestNetwork(t)
	ln := listenTCP(t, n)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); _, _ = io.Copy(c, c) }() // echoes until the client closes its sending direction
		}
	}()
	at, err := n.streamAddress("a", "b", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if again, _ := n.streamAddress("a", "b", ln.Addr().String()); again != at {
		t.Errorf("one path has two stream relays: %s and %s", at, again)
	}
	c := dialTCP(t, at).(*net.TCPConn)
	big := bytes.Repeat([]byte("0123456789abcdef"), 50_000)
	go func() { _, _ = c.Write(big); _ = c.CloseWrite() }()
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, big) {
		t.Fatalf("%d of %d bytes echoed: %v", len(got), len(big), err)
	}
	cut := &Fault{Kind: "net-partition", Groups: [][]string{{"a"}, {"b"}}}
	n.setFault(cut, true)
	c = dialTCP(t, at).(*net.TCPConn)
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, 1)
	_ = c.SetReadDeadline(time.Now().Add(80 * time.Millisecond))
	if _, err := c.Read(buf); err == nil || !strings.Contains(err.Error(), "timeout") {
		t.Errorf("read on a path that is cut: %v, want a timeout", err)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	n.setFault(cut, false)
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 'x' {
		t.Errorf("read after the cut: error %v, %q, want x", err, buf)
	}
}

// A request that is in transit when the server closes is answered with a reset, as it would be without the relay. A
// client that sent nothing sees a regular close.
func TestRequestSentWhileServerClosesIsReset(t *testing.T) {
	n := newTestNetwork(t)
	ln := listenTCP(t, n)
	at, err := n.streamAddress("a", "b", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// One connection in several thousand still ends with a regular close; the cause is not known. Without
	// endByServer nearly every second one does.
	regularCloses, turn := 0, false
	for range 200 {
		c := dialTCP(t, at)
		server, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan bool)
		go func() { _ = server.Close(); close(ended) }()
		if turn = !turn; turn {
			<-ended // the server's close may be at any point of its way when the client writes
		}
		_, wrote := c.Write([]byte("request"))
		got, err := io.ReadAll(c)
		// The reset may arrive slightly later than the close.
		reset := wrote != nil || err != nil
		for end := time.Now().Add(time.Second); !reset && time.Now().Before(end); time.Sleep(time.Millisecond) {
			reset = wasReset(c.(*net.TCPConn))
		}
		if len(got) > 0 {
			t.Fatalf("received %q although the server sent nothing", got)
		}
		if !reset {
			regularCloses++
		}
		_ = c.Close()
	}
	if regularCloses > 3 {
		t.Errorf("%d of 200 unread requests ended with a regular close, want at most 3", regularCloses)
	}
	c := dialTCP(t, at)
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("close without a request in transit: read %q, %v, want a regular close", got, err)
	}
}

// A stream relay refuses connections while its target is not listening, and accepts them again afterwards.
func TestStreamRelayRefusesWhileTargetIsDown(t *testing.T) {
	n := newTestNetwork(t)
	ln := listenTCP(t, n)
	target := ln.Addr().String()
	at, err := n.streamAddress("a", "b", target)
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
	for end := time.Now().Add(testTimeout); !refused(); {
		if time.Now().After(end) {
			t.Fatal("the relay accepts connections although its target is not listening")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if ln, err = net.Listen("tcp4", target); err != nil {
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
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp4", at); err == nil {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			got, _ := io.ReadAll(c)
			_ = c.Close()
			if string(got) == "y" {
				return
			}
		}
		if time.Now().After(end) {
			t.Fatal("the relay does not accept connections again")
		}
	}
}
