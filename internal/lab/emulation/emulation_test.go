package emulation

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"thymebend/internal/lab/hostmodel"
)

const testTimeout = 5 * time.Second

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within %v", what, testTimeout)
		}
	}
}

func startHost(t *testing.T, o Options) (*Host, string) {
	t.Helper()
	h, err := NewHost(hostmodel.Spec{Name: "h1", Cores: 8, Speed: 1, Slots: 8, Queue: 8, Body: 200,
		Report: hostmodel.Report{MinInterval: time.Millisecond, MaxInterval: 5 * time.Millisecond},
		Work:   map[string]hostmodel.Work{"view": {Distribution: "fixed", Mean: 2 * time.Millisecond}}}, NewClock(), o)
	if err != nil {
		t.Fatal(err)
	}
	addr, err := h.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	return h, addr
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func sendRequest(c net.Conn, id string) {
	fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: view\r\n\r\n", id)
}

func readResponse(in *bufio.Reader) (*http.Response, string, error) {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func TestHostServesRequestsAndReportsLoad(t *testing.T) {
	var mu sync.Mutex
	var arrivals []string
	h, addr := startHost(t, Options{OnArrival: func(host, via, id string, _ time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, host+via+id)
	}})
	c := dial(t, addr)
	in := bufio.NewReader(c)
	for _, id := range []string{"a", "b"} {
		sendRequest(c, id)
		r, body, err := readResponse(in)
		if err != nil || r.StatusCode != 200 || !strings.HasPrefix(body, "id="+id+" host=h1") || len(body) != 200 {
			t.Fatalf("%v %v %q", r, err, body)
		}
		if load := r.Header.Get("Endpoint-Load-Metrics"); !strings.HasPrefix(load, "TEXT busy_reqs=") ||
			!strings.Contains(load, "pending=") {
			t.Errorf("load report %q, want busy_reqs and pending", load)
		}
	}
	fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /view HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _, _ := readResponse(in); r.StatusCode != 200 || h.Probes() != 1 {
		t.Errorf("health check: %v, %d probes counted, want 200 and 1", r, h.Probes())
	}
	if r, _, _ := readResponse(in); r.StatusCode != 404 {
		t.Errorf("request without an id: %v, want 404", r)
	}
	h.Do(func(now time.Duration, m *hostmodel.Host) { m.SetDraining(now, true) })
	sendRequest(c, "c")
	if r, _, _ := readResponse(in); r.StatusCode != 503 || r.Header.Get("X-Never-Ran") != "1" {
		t.Errorf("request to a draining host: %v, want 503 with X-Never-Ran", r)
	}
	l := h.Close()
	if len(arrivals) != 3 || arrivals[0] != "h1ga" || l.EntryOf("a").Ended != 1 || l.EntryOf("c").Rejected != 1 ||
		l.EntryOf("c").Started != 0 {
		t.Errorf("arrivals %v; records of the served request %+v, of the rejected one %+v", arrivals,
			*l.EntryOf("a"), *l.EntryOf("c"))
	}
}

// Each fault has its effect on the wire, and the host executes the request nevertheless.
func TestFaultsOnTheWire(t *testing.T) {
	isReset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
	for fault, hasFault := range map[Fault]func(c net.Conn, in *bufio.Reader) bool{
		ResetBefore: func(c net.Conn, in *bufio.Reader) bool { _, err := in.Peek(1); return isReset(err) },
		ResetMiddle: func(c net.Conn, in *bufio.Reader) bool { _, _, err := readResponse(in); return isReset(err) },
		Trickle: func(c net.Conn, in *bufio.Reader) bool {
			_, err := in.Peek(3)
			return err == nil && in.Buffered() < 10
		},
		ShortLength: func(c net.Conn, in *bufio.Reader) bool {
			_, body, err := readResponse(in)
			_, more := in.Peek(100)
			return err == nil && len(body) == 100 && more == nil
		},
		LongLength: func(c net.Conn, in *bufio.Reader) bool {
			_, body, err := readResponse(in)
			return errors.Is(err, io.ErrUnexpectedEOF) && len(body) == 200
		},
		ExtraBytes: func(c net.Conn, in *bufio.Reader) bool {
			_, one, err1 := readResponse(in)
			_, two, err2 := readResponse(in)
			return err1 == nil && err2 == nil && one == two
		},
		Interim: func(c net.Conn, in *bufio.Reader) bool {
			first, err := http.ReadResponse(in, nil)
			if err != nil || first.StatusCode != 103 {
				return false
			}
			_, body, err := readResponse(in)
			return err == nil && len(body) == 200
		},
		Garbage: func(c net.Conn, in *bufio.Reader) bool { _, _, err := readResponse(in); return err != nil },
		Endless: func(c net.Conn, in *bufio.Reader) bool {
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.ContentLength != 3<<30 {
				return false
			}
			n, _ := io.CopyN(io.Discard, r.Body, 10000)
			return n == 10000
		},
		CloseIdle: func(c net.Conn, in *bufio.Reader) bool {
			_, _, err := readResponse(in)
			_, end := in.Peek(1)
			return err == nil && end == io.EOF
		},
		HalfClose: func(c net.Conn, in *bufio.Reader) bool {
			_, _, err := readResponse(in)
			_, end := in.Peek(1)
			sendRequest(c, "more") // the host reads it and does not answer
			_, write := c.Write([]byte("x"))
			return err == nil && end == io.EOF && write == nil
		},
		NoLength: func(c net.Conn, in *bufio.Reader) bool {
			r, body, err := readResponse(in)
			return err == nil && r.ContentLength == -1 && len(body) == 200
		},
		LateCopy: func(c net.Conn, in *bufio.Reader) bool {
			_, one, err1 := readResponse(in)
			_, two, err2 := readResponse(in)
			return err1 == nil && err2 == nil && one == two
		},
		LateBytes: func(c net.Conn, in *bufio.Reader) bool {
			_, _, err := readResponse(in)
			_, late := in.Peek(randomLateBytes)
			return err == nil && late == nil
		},
	} {
		t.Run(string(fault), func(t *testing.T) {
			h, addr := startHost(t, Options{})
			h.InjectFault(fault, 1, "view")
			c := dial(t, addr)
			sendRequest(c, "x")
			if !hasFault(c, bufio.NewReader(c)) {
				t.Error("the response on the wire does not have the fault")
			}
			c.Close()
			if e := h.Close().EntryOf("x"); e.Ended != 1 || len(e.Returned) != 1 {
				t.Errorf("record %+v, want one execution and one response", *e)
			}
		})
	}
	if len(Faults()) != 14 {
		t.Errorf("there are %d faults, 14 are tested", len(Faults()))
	}
}

func TestHostModes(t *testing.T) {
	h, addr := startHost(t, Options{IdleTimeout: time.Minute})
	c := dial(t, addr)
	in := bufio.NewReader(c)
	waitFor(t, "the connection to come up before the host is silent", func() bool { return h.Conns() == 1 })
	set := func(m Mode) {
		t.Helper()
		if err := h.SetMode(m); err != nil {
			t.Fatal(err)
		}
	}
	noBytes := func(c net.Conn, in *bufio.Reader) bool {
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := in.Peek(1)
		_ = c.SetReadDeadline(time.Now().Add(testTimeout))
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	for _, m := range []Mode{Silent, Hung, NoReply} {
		set(m)
		sendRequest(c, string(m))
		if !noBytes(c, in) {
			t.Errorf("mode %s: bytes arrived, want none", m)
		}
		set(Up)
		if _, body, err := readResponse(in); err != nil || !strings.Contains(body, "id="+string(m)) {
			t.Errorf("after mode %s: error %v, body %q", m, err, body)
		}
	}
	set(Refuse)
	if _, err := in.Peek(1); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("open connection after mode refuse: %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial in mode refuse: %v, want connection refused", err)
	}
	set(Up)
	c = dial(t, addr)
	sendRequest(c, "again")
	if _, body, err := readResponse(bufio.NewReader(c)); err != nil || !strings.Contains(body, "id=again") {
		t.Errorf("after the restart: error %v, body %q", err, body)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	h, addr := startHost(t, Options{IdleTimeout: 30 * time.Millisecond})
	c := dial(t, addr)
	if _, err := bufio.NewReader(c).Peek(1); err != io.EOF {
		t.Errorf("idle connection: %v, want EOF", err)
	}
	waitFor(t, "empty table of connections", func() bool { return h.Conns() == 0 })
}

// openWatch opens a watch at addr and returns a function that reads its next line, or the text of the read error.
func openWatch(t *testing.T, addr, target string) (next func() string, c net.Conn) {
	t.Helper()
	c = dial(t, addr)
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || r.StatusCode != 200 {
		t.Fatalf("watch: %v %v", r, err)
	}
	in := bufio.NewReader(r.Body)
	return func() string {
		line, err := in.ReadString('\n')
		if err != nil {
			return err.Error()
		}
		return strings.TrimSpace(line)
	}, c
}

func TestDiscoverySendsListChangesAndHeartbeats(t *testing.T) {
	clock := NewClock()
	d := NewDiscovery(clock, 0)
	defer d.Close()
	addr, err := d.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	one := Entry{Host: "one", Site: "suva", Kind: "k", State: StateUp, Addresses: map[string]string{"g": "127.0.0.1:1"}}
	two := Entry{Host: "two", Site: "suva", Kind: "k", State: StateUp, Addresses: map[string]string{"g": "127.0.0.1:2"}}
	d.Put(one, two)
	next, _ := openWatch(t, addr, "/v1/servers?stream=1&index=0")
	if l := next(); !strings.Contains(l, `"seq":1,"whole":true`) || !strings.Contains(l, `"dial":"127.0.0.1:2"`) {
		t.Errorf("first line %s, want the whole list in version 1", l)
	}
	two.State = StateDraining
	d.Put(two)
	if l := next(); !strings.Contains(l, `"seq":2,"whole":false`) || strings.Contains(l, `"one"`) ||
		!strings.Contains(l, `"draining"`) {
		t.Errorf("change %s, want only the draining host in version 2", l)
	}
	notification, ok := d.Notified("g", "two")
	if _, other := d.Notified("g", "one"); !ok || other || notification.State != StateDraining ||
		notification.At > clock() {
		t.Errorf("notification %+v, %v; want one of the draining host only", notification, ok)
	}
	if l := next(); l != "" {
		t.Errorf("heartbeat %q, want an empty line", l)
	}
	// A later watch starts at the version in its request; a whole list has no removed hosts.
	two.State = StateRemoved
	d.Put(two)
	if after, ok := d.Notified("g", "two"); !ok || after.At != notification.At {
		t.Errorf("notification after a second change %+v, want the first one, %+v", after, notification)
	}
	again, _ := openWatch(t, addr, "/v1/servers?stream=1&index=2")
	if l := again(); !strings.Contains(l, `"removed"`) || strings.Contains(l, `"one"`) {
		t.Errorf("watch since version 2: %s, want only the removed host", l)
	}
	if l := string(d.WholeList("g")); strings.Contains(l, `"two"`) || !strings.Contains(l, `"one"`) {
		t.Errorf("whole list %s, want it without the removed host", l)
	}
	d.Forget("g")
	if _, ok := d.Notified("g", "two"); ok {
		t.Error("there is still a notification of the gateway after Forget")
	}
}

func TestDiscoveryFailures(t *testing.T) {
	d := NewDiscovery(NewClock(), 0)
	defer d.Close()
	addr, err := d.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.Put(Entry{Host: "one", State: StateUp})
	next, _ := openWatch(t, addr, "/v1/servers?stream=1&index=0")
	next()
	d.SetDown(true)
	if l := next(); !strings.Contains(l, "reset") && !strings.Contains(l, "EOF") {
		t.Errorf("watch after discovery went down: %q, want a reset or EOF", l)
	}
	c := dial(t, addr)
	fmt.Fprint(c, "GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _, err := readResponse(bufio.NewReader(c)); err != nil || r.StatusCode != 503 {
		t.Errorf("call while discovery is down: %v %v, want 503", r, err)
	}
	d.SetDown(false)
	next, _ = openWatch(t, addr, "/v1/servers?stream=1&index=1")
	next()
	d.SetWatchesPaused(true)
	d.Put(Entry{Host: "two", State: StateUp})
	d.SetWatchesPaused(false)
	if l := next(); !strings.Contains(l, `"two"`) {
		t.Errorf("after the watches were resumed: %q, want the change", l)
	}
	d.LoseHistory()
	if l := next(); !strings.Contains(l, `"seq":1002`) || !strings.Contains(l, `"one"`) {
		t.Errorf("after the loss of history: %q, want the whole list in version 1002", l)
	}
	moved, err := d.Open("g", "127.0.0.1:0")
	if err != nil || moved == addr || d.Addr("g") != moved {
		t.Fatalf("discovery moved to %s: %v", moved, err)
	}
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial of the old address: %v, want connection refused", err)
	}
	d.Put(Entry{Host: "three", State: StateUp})
	if l := next(); !strings.Contains(l, `"three"`) {
		t.Errorf("old watch within its grace period: %q, want the change", l)
	}
	if l := next(); !strings.Contains(l, "EOF") {
		t.Errorf("old watch after its grace period: %q, want EOF", l)
	}
}

// With pushed lists, gateways talk to an agent. While discovery is down, the agent answers with the last list and
// sends no changes. A gateway counts as notified when the agent receives a change, even without a watch.
func TestPushedDiscovery(t *testing.T) {
	d := NewDiscovery(NewClock(), 0)
	defer d.Close()
	addr, err := d.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.SetPushed(true)
	one := Entry{Host: "one", State: StateUp, Addresses: map[string]string{"g": "127.0.0.1:1"}}
	d.Put(one)
	d.SetDown(true)
	one.State = StateDraining
	d.Put(one)
	next, _ := openWatch(t, addr, "/v1/servers?stream=1&index=0")
	if l := next(); !strings.Contains(l, `"seq":1,"whole":true`) || !strings.Contains(l, `"up"`) {
		t.Errorf("first line while discovery is down: %s, want the list of version 1", l)
	}
	if _, ok := d.Notified("g", "one"); ok {
		t.Error("the gateway counts as notified of a change that no agent has received")
	}
	d.SetDown(false)
	if l := next(); !strings.Contains(l, `"seq":2`) || !strings.Contains(l, `"draining"`) {
		t.Errorf("change after discovery is up again: %s, want version 2", l)
	}
	if _, ok := d.Notified("g", "one"); !ok {
		t.Error("the gateway does not count as notified of a change that its agent has received")
	}
}

// A restart of a host whose port is in use returns an error, and the host can still be closed.
func TestRestartOnPortInUse(t *testing.T) {
	h, err := NewHost(hostmodel.Spec{Name: "h", Cores: 1, Speed: 1, Slots: 1, Queue: 1}, NewClock(), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := h.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := h.SetMode(Refuse); err != nil {
		t.Fatal(err)
	}
	blocker, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer blocker.Close()
	if err := h.SetMode(Up); err == nil {
		t.Error("SetMode returned no error although the port is in use")
	}
	h.Close()
}

// Guards against requests that arrive long after they were sent, and break the rule on draining hosts, because they were
// sent on a connection that came up while their host was unreachable.
func TestConnectionToSilentHostIsResetOnceReachable(t *testing.T) {
	var arrivals []string
	h, addr := startHost(t, Options{OnArrival: func(_, _, id string, _ time.Duration) { arrivals = append(arrivals, id) }})
	if err := h.SetMode(Silent); err != nil {
		t.Fatal(err)
	}
	var inputs []*bufio.Reader
	for range 3 {
		c := dial(t, addr)
		sendRequest(c, "lost")
		inputs = append(inputs, bufio.NewReader(c))
	}
	waitFor(t, "the connections to be accepted", func() bool { return h.heldConns() == len(inputs) })
	if err := h.SetMode(Up); err != nil {
		t.Fatal(err)
	}
	for n, in := range inputs {
		if _, err := in.Peek(1); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("connection %d: %v, want a reset", n, err)
		}
	}
	c := dial(t, addr)
	sendRequest(c, "later")
	if _, body, err := readResponse(bufio.NewReader(c)); err != nil || !strings.Contains(body, "id=later") {
		t.Errorf("a new connection: error %v, body %q", err, body)
	}
	h.Close()
	if len(arrivals) != 1 || arrivals[0] != "later" {
		t.Errorf("arrivals %v, want only the last request", arrivals)
	}
}
