package gateway

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/config"
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

const discoveryAddr = "10.9.0.1:80"

// rig plays events to the reducer by hand and keeps what it asked for.
type rig struct {
	t       testing.TB
	g       *Gateway
	now     time.Duration
	dialled map[loop.Conn]netip.AddrPort
	closed  map[loop.Conn]bool
	written map[loop.Conn][]byte
	timers  map[loop.Timer]time.Duration
	log     bytes.Buffer
	clients loop.Conn
	asked   int // requests
}

// newRig starts a gateway that polls its list, or has it pushed, with a list from its configuration.
func newRig(t testing.TB, mode, known string) *rig {
	t.Helper()
	raw := rigConfig(t, mode, known, discoveryAddr)
	cfg, err := config.Config{Name: "g", Path: "g", Listen: netip.MustParseAddrPort("10.1.0.1:8443")}.Reload(raw)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: time.Hour, dialled: make(map[loop.Conn]netip.AddrPort), closed: make(map[loop.Conn]bool),
		written: make(map[loop.Conn][]byte), timers: make(map[loop.Timer]time.Duration), clients: 1 << 63}
	r.g = New(cfg, zerolog.New(&r.log))
	r.step(loop.Event{Kind: loop.Start})
	r.step(loop.Event{Kind: loop.Listening, Conn: loop.Listener})
	return r
}

// rigConfig is the configuration file of a rig.
func rigConfig(t testing.TB, mode, known, discovery string) []byte {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"name": "g", "listen": "10.1.0.1:8443", "discovery": discovery,
		"seed":   "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "known": json.RawMessage(known),
		"settings": json.RawMessage(`{"balancers":1,"rank":0,"zone":0,"zones":["a"],"tick_ms":5,"registry_mode":"` + mode + `",
		"bounds":{"connect_timeout_ms":250,"most_tries":4},"classes":[
		{"name":"view","aim_ms":800,"give_up_ms":2000,"repeat":"repeatable"},{"name":"bid","aim_ms":800,"give_up_ms":2000,"repeat":"once"}]}`)})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func (r *rig) step(e loop.Event) {
	for _, f := range r.g.Step(r.now, e) {
		switch f.Op {
		case loop.Dial:
			r.dialled[f.Conn] = f.Addr
		case loop.SetTimer:
			r.timers[f.Timer] = f.At
		case loop.StopTimer:
			delete(r.timers, f.Timer)
		case loop.Close:
			r.closed[f.Conn] = true
		case loop.Write, loop.WriteQuiet:
			r.written[f.Conn] = append(r.written[f.Conn], f.Data...)
		}
	}
}

func (r *rig) turn() { r.step(loop.Event{Kind: loop.Turn}) }

// to is the last connection that was dialled to an address and is not closed, or 0.
func (r *rig) to(addr string) (last loop.Conn) {
	for c, at := range r.dialled {
		if at.String() == addr && !r.closed[c] {
			last = max(last, c)
		}
	}
	return last
}

// connecting is the connection that an attempt at an endpoint waits for.
func (r *rig) connecting(addr string) loop.Conn {
	r.t.Helper()
	c := r.to(addr)
	if c == 0 || len(r.written[c]) > 0 {
		r.t.Fatalf("no connection to %s is opened: %s", addr, r.log.String())
	}
	return c
}

// watch brings the watch's connection up and the head of its answer.
func (r *rig) watch() loop.Conn {
	r.t.Helper()
	c := r.to(discoveryAddr)
	if c == 0 {
		r.t.Fatal("discovery is not polled")
	}
	r.step(loop.Event{Kind: loop.Connected, Conn: c})
	r.step(loop.Event{Kind: loop.Data, Conn: c,
		Data: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")})
	return c
}

// line brings a line of a watch, in pieces as sockets give them.
func (r *rig) line(watch loop.Conn, text string) {
	data := fmt.Appendf(nil, "%x\r\n%s\n\r\n", len(text)+1, text)
	for len(data) > 0 {
		n := min(len(data), 64<<10)
		r.step(loop.Event{Kind: loop.Data, Conn: watch, Data: data[:n]})
		data = data[n:]
	}
}

// request has a new client ask for something, with a body of so many bytes of which the first part comes.
func (r *rig) request(length, part int) {
	r.clients++
	r.asked++
	method, class, body := "GET", "view", ""
	if length > 0 {
		method, class, body = "POST", "bid", fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %016x\r\nX-Qos: %s\r\nX-Expires-In: 2000m\r\n%s\r\n%s",
		method, class, r.asked, class, body, strings.Repeat("x", part))
	r.step(loop.Event{Kind: loop.Accepted, Conn: r.clients, Via: loop.Listener})
	r.step(loop.Event{Kind: loop.Data, Conn: r.clients, Data: []byte(text)})
}

// connected brings a connection up.
func (r *rig) connected(c loop.Conn) { r.step(loop.Event{Kind: loop.Connected, Conn: c}) }

// answer has an endpoint take the request on a connection and answer it.
func (r *rig) answer(c loop.Conn, head string) {
	r.step(loop.Event{Kind: loop.Flushed, Conn: c})
	r.step(loop.Event{Kind: loop.Data, Conn: c,
		Data: []byte("HTTP/1.1 " + head + "\r\nContent-Length: 0\r\n\r\n")})
}

// requests is how many requests were begun to be written to an address.
func (r *rig) requests(addr string) (n int) {
	for c, data := range r.written {
		if r.dialled[c].String() == addr {
			n += bytes.Count(data, []byte(" HTTP/1.1\r\n"))
		}
	}
	return n
}

// entry is one entry of a list, of an endpoint at 10.0.0.N:80.
func entry(n int, health string, born int) string {
	return fmt.Sprintf(`{"host":"s-%d","dial":"%s","site":"a","block":1,"health":%q,"share":1,"born_ms":%d}`,
		n, endpointAddr(n), health, born)
}

func endpointAddr(n int) string { return fmt.Sprintf("10.0.%d.%d:80", n/250, n%250+1) }

func object(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// pass lets time pass in small steps, with the timers that fall due.
func (r *rig) pass(d time.Duration) {
	for until := r.now + d; r.now < until; {
		r.now += 5 * time.Millisecond
		for _, key := range slices.SortedFunc(maps.Keys(r.timers),
			func(a, b loop.Timer) int { return cmp.Compare(r.timers[a], r.timers[b]) }) {
			if at, set := r.timers[key]; set && at <= r.now {
				delete(r.timers, key)
				r.step(loop.Event{Kind: loop.TimerDue, Timer: key})
			}
		}
		r.turn()
	}
}

// stateMessage is what a predecessor gives its successor, with its list.
func stateMessage(list string) hotrestart.Message {
	return hotrestart.Message{Kind: hotrestart.State, List: json.RawMessage(list)}
}
