package emulation

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"thymebend/internal/lab/registry"
)

// Entry is a host as discovery lists it.
type Entry = registry.Entry

// Told is when a gateway was told that a host drains or is gone.
type Told = registry.Notification

// The states of a host in discovery's list.
const (
	StateUp       = registry.Up
	StateDraining = registry.Draining
	StateRemoved  = registry.Removed
)

// heartbeatInterval is how often an empty line comes while nothing changes.
const heartbeatInterval = 2 * time.Second

// moveGracePeriod is how long the old address of discovery keeps its open connections after a move.
const moveGracePeriod = 1500 * time.Millisecond

// Discovery plays discovery: the list, watches with heartbeats, and its failures. Each gateway has a
// door of its own, so that what each was told is known.
type Discovery struct {
	clock Clock

	mu      sync.Mutex
	changed *sync.Cond
	list    *registry.Registry
	down    bool
	paused  bool // heartbeats and changes stay inside
	// each door is an agent's: it answers from what it has been sent, and is silent while discovery is
	// down
	pushed    bool
	lag       time.Duration
	unpushed  []Entry // where lists are pushed: what discovery knows and no agent does
	listeners map[string]*gatewayListener
	calls     int
	closed    bool
	running   sync.WaitGroup
}

type gatewayListener struct {
	addr  string
	ln    net.Listener
	conns map[net.Conn]bool
}

// NewDiscovery returns a discovery that lists nothing. A change shows after the lag.
func NewDiscovery(clock Clock, lag time.Duration) *Discovery {
	d := &Discovery{clock: clock, lag: lag, list: registry.New(), listeners: make(map[string]*gatewayListener)}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// Open opens a gateway's door, or moves it: the old one then accepts nothing more, and closes its connections
// after a while.
func (d *Discovery) Open(gateway, addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("discovery: %w", err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.listeners[gateway]; old != nil {
		_ = old.ln.Close()
		time.AfterFunc(moveGracePeriod, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			for c := range old.conns {
				_ = c.Close()
			}
		})
	}
	l := &gatewayListener{addr: ln.Addr().String(), ln: ln, conns: make(map[net.Conn]bool)}
	d.listeners[gateway] = l
	d.running.Go(func() { d.accept(gateway, l) })
	return l.addr, nil
}

func (d *Discovery) accept(gateway string, l *gatewayListener) {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		if d.closed {
			d.mu.Unlock()
			resetConn(c)
			continue
		}
		l.conns[c] = true
		d.running.Go(func() {
			d.serve(gateway, c)
			_ = c.Close()
			d.mu.Lock()
			delete(l.conns, c)
			d.mu.Unlock()
		})
		d.mu.Unlock()
	}
}

func (d *Discovery) serve(gateway string, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.calls++
		down := d.down
		d.mu.Unlock()
		q := r.URL.Query()
		switch {
		case down && !d.pushed:
			_ = writeResponse(c, 503, "", nil)
			return
		case r.Method != "GET" || r.URL.Path != "/v1/servers":
			if !writeResponse(c, 404, "", nil) {
				return
			}
		case q.Get("stream") == "1":
			after, _ := strconv.Atoi(q.Get("index"))
			disconnected := make(chan bool)
			go func() { _, _ = io.Copy(io.Discard, c); close(disconnected); d.changed.Broadcast() }()
			d.watch(gateway, c, after, disconnected)
			return
		default:
			d.mu.Lock()
			line := d.list.Line(gateway, 0)
			d.mu.Unlock()
			if !writeResponse(c, 200, "Content-Type: application/json\r\n", line) {
				return
			}
		}
	}
}

// watch writes what changed after a version, then each change as it comes, and a heartbeat while
// nothing does.
func (d *Discovery) watch(gateway string, c net.Conn, after int, disconnected chan bool) {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	heartbeat := time.AfterFunc(heartbeatInterval, d.changed.Broadcast)
	defer heartbeat.Stop()
	lastWrite, first := d.clock(), true
	for {
		d.mu.Lock()
		var line []byte
		for {
			select {
			case <-disconnected:
				d.mu.Unlock()
				return
			default:
			}
			if d.closed || d.down && !d.pushed {
				d.mu.Unlock()
				resetConn(c)
				return
			}
			if (!d.watchesPaused() || first && d.pushed) && (first || d.list.Seq() > after) {
				line = d.list.Line(gateway, after)
				break
			}
			if !d.watchesPaused() && d.clock()-lastWrite >= heartbeatInterval {
				break
			}
			d.changed.Wait()
		}
		after, first, lastWrite = d.list.Seq(), false, d.clock()
		heartbeat.Reset(heartbeatInterval + time.Millisecond)
		// Written under the lock: what is told is told in order, and the time of it is known.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line)
		if err == nil && line != nil {
			d.list.Note(gateway, d.clock())
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// Known is the list as it stands, as a gateway that restarts would have it.
func (d *Discovery) Known(gateway string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Line(gateway, 0)
}

// Put enters or changes hosts after the lag, all in one version.
func (d *Discovery) Put(entries ...Entry) { d.putAfter(d.currentLag(), entries) }

// PutNow does so at once.
func (d *Discovery) PutNow(entries ...Entry) { d.putAfter(0, entries) }

func (d *Discovery) currentLag() time.Duration { d.mu.Lock(); defer d.mu.Unlock(); return d.lag }

func (d *Discovery) putAfter(lag time.Duration, entries []Entry) {
	if lag > 0 {
		time.AfterFunc(lag, func() { d.putAfter(0, entries) })
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushed && d.watchesPaused() {
		d.unpushed = append(d.unpushed, entries...) // the agents have not heard of it
		return
	}
	d.put(entries)
}

// put changes the list. Where it is pushed it counts as notified then, whether the gateway reads it or
// not.
func (d *Discovery) put(entries []Entry) {
	d.list.Put(entries...)
	if d.pushed {
		for gateway := range d.listeners {
			d.list.Note(gateway, d.clock())
		}
	}
	d.changed.Broadcast()
}

// Flap tells every gateway the same list anew, as a discovery does that restarts without its memory.
func (d *Discovery) Flap() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Flap()
	d.changed.Broadcast()
}

// SetPushed has lists pushed, from the start on.
func (d *Discovery) SetPushed(on bool) { d.update(func() { d.pushed = on }) }

// watchesPaused reports whether watches hear nothing.
func (d *Discovery) watchesPaused() bool { return d.paused || d.pushed && d.down }

// SetDown takes discovery down or brings it back: calls get 503, watches end.
func (d *Discovery) SetDown(on bool) { d.update(func() { d.down = on }) }

// SetMute makes discovery say nothing more on its open watches, heartbeats included, or speak again.
func (d *Discovery) SetMute(on bool) { d.update(func() { d.paused = on }) }

// SetLag changes how late changes show.
func (d *Discovery) SetLag(lag time.Duration) { d.update(func() { d.lag = lag }) }

func (d *Discovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	if len(d.unpushed) > 0 && !d.watchesPaused() {
		d.put(d.unpushed)
		d.unpushed = nil
	}
	d.changed.Broadcast()
}

// Told returns when a gateway was told that a host drains or is gone; ok is false if it was not.
func (d *Discovery) Told(gateway, host string) (t Told, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Told(gateway, host)
}

// Forget drops what a gateway was told, as one that has restarted knows it no more.
func (d *Discovery) Forget(gateway string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Forget(gateway)
}

// Addr is the address of a gateway's door.
func (d *Discovery) Addr(gateway string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listeners[gateway]; l != nil {
		return l.addr
	}
	return ""
}

// Calls is how often discovery was called.
func (d *Discovery) Calls() int { d.mu.Lock(); defer d.mu.Unlock(); return d.calls }

// Close ends discovery.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	for _, l := range d.listeners {
		_ = l.ln.Close()
		for c := range l.conns {
			_ = c.Close()
		}
	}
	d.changed.Broadcast()
	d.mu.Unlock()
	d.running.Wait()
}
