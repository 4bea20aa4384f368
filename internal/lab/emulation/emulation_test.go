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

const patience = 5 * time.Second

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

func start(t *testing.T, o Options) (*Host, string) {
	t.Helper()
	h, err := NewHost(hostmodel.Spec{Name: "h1", Cores: 8, Speed: 1, Slots: 8, Queue: 8, Body: 200,
		Report: hostmodel.Report{Least: time.Millisecond, Most: 5 * time.Millisecond},
		Work:   map[string]hostmodel.Work{"view": {Dist: "fixed", Mean: 2 * time.Millisecond}}}, NewClock(), o)
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
	_ = c.SetDeadline(time.Now().Add(patience))
	return c
}

func ask(c net.Conn, id string) {
	fmt.Fprintf(c, "GET /view HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: view\r\n\r\n", id)
}

func read(in *bufio.Reader) (*http.Response, string, error) {
	r, err := http.ReadResponse(in, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func TestHostServesAndReports(t *testing.T) {
	var mu sync.Mutex
	var heard []string
	h, addr := start(t, Options{Arrived: func(host, via, id string, _ time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		heard = append(heard, host+via+id)
	}})
	c := dial(t, addr)
	in := bufio.NewReader(c)
	for _, id := range []string{"a", "b"} {
		ask(c, id)
		r, body, err := read(in)
		if err != nil || r.StatusCode != 200 || !strings.HasPrefix(body, "id="+id+" host=h1") || len(body) != 200 {
			t.Fatalf("%v %v %q", r, err, body)
		}
		if load := r.Header.Get("Endpoint-Load-Metrics"); !strings.HasPrefix(load, "TEXT busy_reqs=") ||
			!strings.Contains(load, "pending=") {
			t.Errorf("load report %q", load)
		}
	}
	fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /view HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _, _ := read(in); r.StatusCode != 200 || h.Probes() != 1 {
		t.Errorf("health: %v, %d probes", r, h.Probes())
	}
	if r, _, _ := read(in); r.StatusCode != 404 {
		t.Errorf("without an id: %v", r)
	}
	h.Do(func(now time.Duration, m *hostmodel.Host) { m.Drain(now, true) })
	ask(c, "c")
	if r, _, _ := read(in); r.StatusCode != 503 || r.Header.Get("X-Never-Ran") != "1" {
		t.Errorf("draining: %v", r)
	}
	l := h.Close()
	if len(heard) != 3 || heard[0] != "h1ga" || l.EntryOf("a").Ended != 1 || l.EntryOf("c").TurnedAway != 1 ||
		l.EntryOf("c").Begun != 0 {
		t.Errorf("heard %v; ledger %+v %+v", heard, *l.EntryOf("a"), *l.EntryOf("c"))
	}
}

// Each fault shows on the wire as it is named, and the request has run all the same.
func TestFaultsOnTheWire(t *testing.T) {
	isReset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }
	for fault, right := range map[Fault]func(c net.Conn, in *bufio.Reader) bool{
		ResetBefore: func(c net.Conn, in *bufio.Reader) bool { _, err := in.Peek(1); return isReset(err) },
		ResetMiddle: func(c net.Conn, in *bufio.Reader) bool { _, _, err := read(in); return isReset(err) },
		Trickle: func(c net.Conn, in *bufio.Reader) bool {
			_, err := in.Peek(3)
			return err == nil && in.Buffered() < 10
		},
		ShortLength: func(c net.Conn, in *bufio.Reader) bool {
			_, body, err := read(in)
			_, more := in.Peek(100)
			return err == nil && len(body) == 100 && more == nil
		},
		LongLength: func(c net.Conn, in *bufio.Reader) bool {
			_, body, err := read(in)
			return errors.Is(err, io.ErrUnexpectedEOF) && len(body) == 200
		},
		ExtraBytes: func(c net.Conn, in *bufio.Reader) bool {
			_, one, err1 := read(in)
			_, two, err2 := read(in)
			return err1 == nil && err2 == nil && one == two
		},
		Interim: func(c net.Conn, in *bufio.Reader) bool {
			first, err := http.ReadResponse(in, nil)
			if err != nil || first.StatusCode != 103 {
				return false
			}
			_, body, err := read(in)
			return err == nil && len(body) == 200
		},
		Garbage: func(c net.Conn, in *bufio.Reader) bool { _, _, err := read(in); return err != nil },
		Endless: func(c net.Conn, in *bufio.Reader) bool {
			r, err := http.ReadResponse(in, nil)
			if err != nil || r.ContentLength != 3<<30 {
				return false
			}
			n, _ := io.CopyN(io.Discard, r.Body, 10000)
			return n == 10000
		},
		CloseIdle: func(c net.Conn, in *bufio.Reader) bool {
			_, _, err := read(in)
			_, end := in.Peek(1)
			return err == nil && end == io.EOF
		},
		HalfClose: func(c net.Conn, in *bufio.Reader) bool {
			_, _, err := read(in)
			_, end := in.Peek(1)
			ask(c, "more") // is read and not answered
			_, write := c.Write([]byte("x"))
			return err == nil && end == io.EOF && write == nil
		},
		NoLength: func(c net.Conn, in *bufio.Reader) bool {
			r, body, err := read(in)
			return err == nil && r.ContentLength == -1 && len(body) == 200
		},
	} {
		t.Run(string(fault), func(t *testing.T) {
			h, addr := start(t, Options{})
			h.Spoil(fault, 1, "view")
			c := dial(t, addr)
			ask(c, "x")
			if !right(c, bufio.NewReader(c)) {
				t.Error("does not show as it is named")
			}
			c.Close()
			if e := h.Close().EntryOf("x"); e.Ended != 1 || len(e.Returned) != 1 {
				t.Errorf("ledger: %+v", *e)
			}
		})
	}
	if len(Faults()) != 12 {
		t.Errorf("%d faults are known, 12 are tested", len(Faults()))
	}
}

func TestModesOfAMachine(t *testing.T) {
	h, addr := start(t, Options{Idle: time.Minute})
	c := dial(t, addr)
	in := bufio.NewReader(c)
	set := func(m Mode) {
		t.Helper()
		if err := h.SetMode(m); err != nil {
			t.Fatal(err)
		}
	}
	quiet := func(c net.Conn, in *bufio.Reader) bool {
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := in.Peek(1)
		_ = c.SetReadDeadline(time.Now().Add(patience))
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	for _, m := range []Mode{Silent, Hung, NoReply} {
		set(m)
		ask(c, string(m))
		if !quiet(c, in) {
			t.Errorf("%s: something came", m)
		}
		set(Up)
		if _, body, err := read(in); err != nil || !strings.Contains(body, "id="+string(m)) {
			t.Errorf("after %s: %v %q", m, err, body)
		}
	}
	set(Refuse)
	if _, err := in.Peek(1); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the death of a process: %v", err)
	}
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dialing a dead process: %v", err)
	}
	set(Up)
	c = dial(t, addr)
	ask(c, "again")
	if _, body, err := read(bufio.NewReader(c)); err != nil || !strings.Contains(body, "id=again") {
		t.Errorf("after a restart: %v %q", err, body)
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	h, addr := start(t, Options{Idle: 30 * time.Millisecond})
	c := dial(t, addr)
	if _, err := bufio.NewReader(c).Peek(1); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
	}
	until(t, "the table to be empty", func() bool { return h.Conns() == 0 })
}

// lines reads a watch line by line.
func lines(t *testing.T, addr, target string) (next func() string, c net.Conn) {
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

func TestDiscoveryTellsListChangesAndBeats(t *testing.T) {
	clock := NewClock()
	d := NewDiscovery(clock, 0)
	defer d.Close()
	addr, err := d.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	one := Entry{Host: "one", Site: "suva", Kind: "k", State: StateUp, Dial: map[string]string{"g": "127.0.0.1:1"}}
	two := Entry{Host: "two", Site: "suva", Kind: "k", State: StateUp, Dial: map[string]string{"g": "127.0.0.1:2"}}
	d.Put(one, two)
	next, _ := lines(t, addr, "/v1/servers?stream=1&index=0")
	if l := next(); !strings.Contains(l, `"seq":1,"whole":true`) || !strings.Contains(l, `"dial":"127.0.0.1:2"`) {
		t.Errorf("first line %s", l)
	}
	two.State = StateDraining
	d.Put(two)
	if l := next(); !strings.Contains(l, `"seq":2,"whole":false`) || strings.Contains(l, `"one"`) || !strings.Contains(l, `"draining"`) {
		t.Errorf("change %s", l)
	}
	told, ok := d.Told("g", "two")
	if _, other := d.Told("g", "one"); !ok || other || told.State != StateDraining || told.At > clock() {
		t.Errorf("told %+v %v", told, ok)
	}
	if l := next(); l != "" {
		t.Errorf("a beat: %q", l)
	}
	// A later watch begins where it left off; what is gone is not in a whole list.
	two.State = StateRemoved
	d.Put(two)
	if after, ok := d.Told("g", "two"); !ok || after.At != told.At {
		t.Errorf("the first notice counts: %+v, was %+v", after, told)
	}
	again, _ := lines(t, addr, "/v1/servers?stream=1&index=2")
	if l := again(); !strings.Contains(l, `"removed"`) || strings.Contains(l, `"one"`) {
		t.Errorf("since version 2: %s", l)
	}
	if l := string(d.Known("g")); strings.Contains(l, `"two"`) || !strings.Contains(l, `"one"`) {
		t.Errorf("known %s", l)
	}
	d.Forget("g")
	if _, ok := d.Told("g", "two"); ok {
		t.Error("a restarted gateway still knows")
	}
}

func TestDiscoveryFails(t *testing.T) {
	d := NewDiscovery(NewClock(), 0)
	defer d.Close()
	addr, err := d.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.Put(Entry{Host: "one", State: StateUp})
	next, _ := lines(t, addr, "/v1/servers?stream=1&index=0")
	next()
	d.SetDown(true)
	if l := next(); !strings.Contains(l, "reset") && !strings.Contains(l, "EOF") {
		t.Errorf("a watch of a discovery that is down: %q", l)
	}
	c := dial(t, addr)
	fmt.Fprint(c, "GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")
	if r, _, err := read(bufio.NewReader(c)); err != nil || r.StatusCode != 503 {
		t.Errorf("down: %v %v", r, err)
	}
	d.SetDown(false)
	next, _ = lines(t, addr, "/v1/servers?stream=1&index=1")
	next()
	d.SetMute(true)
	d.Put(Entry{Host: "two", State: StateUp})
	d.SetMute(false)
	if l := next(); !strings.Contains(l, `"two"`) {
		t.Errorf("after silence: %q", l)
	}
	d.Flap()
	if l := next(); !strings.Contains(l, `"seq":1002`) || !strings.Contains(l, `"one"`) {
		t.Errorf("after a flap: %q", l)
	}
	moved, err := d.Open("g", "127.0.0.1:0")
	if err != nil || moved == addr || d.Addr("g") != moved {
		t.Fatalf("moved to %s: %v", moved, err)
	}
	if _, err := net.Dial("tcp", addr); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("the old address: %v", err)
	}
	d.Put(Entry{Host: "three", State: StateUp})
	if l := next(); !strings.Contains(l, `"three"`) {
		t.Errorf("the old watch, still open: %q", l)
	}
	if l := next(); !strings.Contains(l, "EOF") {
		t.Errorf("the old watch, after its time: %q", l)
	}
}

// Where lists are pushed the door is an agent's: silent while discovery is down, it answers with what
// it has, and what it is sent counts as notified without a watch.
func TestPushedDiscovery(t *testing.T) {
	d := NewDiscovery(NewClock(), 0)
	defer d.Close()
	addr, err := d.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.SetPushed(true)
	one := Entry{Host: "one", State: StateUp, Dial: map[string]string{"g": "127.0.0.1:1"}}
	d.Put(one)
	d.SetDown(true)
	one.State = StateDraining
	d.Put(one)
	next, _ := lines(t, addr, "/v1/servers?stream=1&index=0")
	if l := next(); !strings.Contains(l, `"seq":1,"whole":true`) || !strings.Contains(l, `"up"`) {
		t.Errorf("while discovery is down: %s", l)
	}
	if _, ok := d.Told("g", "one"); ok {
		t.Error("told what no agent has heard")
	}
	d.SetDown(false)
	if l := next(); !strings.Contains(l, `"seq":2`) || !strings.Contains(l, `"draining"`) {
		t.Errorf("afterwards: %s", l)
	}
	if _, ok := d.Told("g", "one"); !ok {
		t.Error("what the agent has does not count as told")
	}
}

// A host whose port was taken while it was down says so, and can be ended all the same.
func TestRestartOnATakenPort(t *testing.T) {
	h, err := NewHost(hostmodel.Spec{Name: "h", Cores: 1, Speed: 1, Slots: 1, Queue: 1}, NewClock(), Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	at, err := h.Open("g", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := h.SetMode(Refuse); err != nil {
		t.Fatal(err)
	}
	taken, err := net.Listen("tcp", at)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	if err := h.SetMode(Up); err == nil {
		t.Error("it is said to be up, without its port")
	}
	h.Close()
}
