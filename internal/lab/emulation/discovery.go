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

// Notification records when discovery notified a gateway that a host drains or is removed.
type Notification = registry.Notification

// The states of a host in discovery's list.
const (
	StateUp       = registry.Up
	StateDraining = registry.Draining
	StateRemoved  = registry.Removed
)

// heartbeatInterval is the interval of empty lines on a watch while nothing changes.
const heartbeatInterval = 2 * time.Second

// moveGracePeriod is how long connections to discovery's old address stay open after discovery moved to a new one.
const moveGracePeriod = 1500 * time.Millisecond

// Discovery emulates the discovery service: the list of hosts, requests for it, watches, and failures of the service.
// A call is a request that gets the whole list; a watch is a request whose response streams the changes of the list,
// with heartbeats while there are none. Each gateway connects to a separate listener, so that Discovery knows which
// gateway was notified of what. Its methods may be called from several goroutines.
type Discovery struct {
	clock Clock

	mu           sync.Mutex
	stateChanged *sync.Cond
	list         *registry.Registry
	down         bool
	paused       bool // neither heartbeats nor changes are written to watches
	// pushed means that each listener is that of an agent, to which discovery pushes the list. The agent answers
	// gateways with the last list that it received, and writes nothing to watches while discovery is down.
	pushed    bool
	lag       time.Duration
	unpushed  []Entry // with pushed: changes that no agent has received
	listeners map[string]*gatewayListener
	calls     int
	closed    bool
	running   sync.WaitGroup
}

// gatewayListener is the listener for one gateway, with its open connections.
type gatewayListener struct {
	addr  string
	ln    net.Listener
	conns map[net.Conn]bool
}

// NewDiscovery returns a Discovery with an empty list. A change of the list becomes visible to gateways after the
// lag.
func NewDiscovery(clock Clock, lag time.Duration) *Discovery {
	d := &Discovery{clock: clock, lag: lag, list: registry.New(), listeners: make(map[string]*gatewayListener)}
	d.stateChanged = sync.NewCond(&d.mu)
	return d
}

// Open starts to listen for a gateway at addr and returns the address, in which port 0 is replaced. If there is
// already a listener for the gateway, Open closes it, and closes its connections after moveGracePeriod.
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

// accept serves each connection of a listener until the listener is closed.
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

// serve answers the requests of one connection: a call with the whole list, a watch with a stream of changes.
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
			go func() { _, _ = io.Copy(io.Discard, c); close(disconnected); d.stateChanged.Broadcast() }()
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

// watch writes the changes after a version, then each further change when it occurs, and heartbeats while nothing
// changes. It returns when the client disconnects, a write fails, or discovery is closed or goes down.
func (d *Discovery) watch(gateway string, c net.Conn, after int, disconnected chan bool) {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	heartbeat := time.AfterFunc(heartbeatInterval, d.stateChanged.Broadcast)
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
			if (!d.watchesPaused() || first && d.pushed) && (first || d.list.Version() > after) {
				line = d.list.Line(gateway, after)
				break
			}
			if !d.watchesPaused() && d.clock()-lastWrite >= heartbeatInterval {
				break
			}
			d.stateChanged.Wait()
		}
		after, first, lastWrite = d.list.Version(), false, d.clock()
		heartbeat.Reset(heartbeatInterval + time.Millisecond)
		// Written under the lock, so that changes are written in order and the time of notification is exact.
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line)
		if err == nil && line != nil {
			d.list.RecordNotification(gateway, d.clock())
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// WholeList returns the current list in discovery's format, as a restarted gateway would receive it.
func (d *Discovery) WholeList(gateway string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Line(gateway, 0)
}

// Put adds or changes hosts after the lag, all in one version.
func (d *Discovery) Put(entries ...Entry) { d.putAfter(d.currentLag(), entries) }

// PutNow adds or changes hosts at once, all in one version.
func (d *Discovery) PutNow(entries ...Entry) { d.putAfter(0, entries) }

// currentLag returns the time after which a change becomes visible.
func (d *Discovery) currentLag() time.Duration { d.mu.Lock(); defer d.mu.Unlock(); return d.lag }

// putAfter applies a change after lag. While changes cannot be pushed to the agents, it keeps the change in unpushed.
func (d *Discovery) putAfter(lag time.Duration, entries []Entry) {
	if lag > 0 {
		time.AfterFunc(lag, func() { d.putAfter(0, entries) })
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pushed && d.watchesPaused() {
		d.unpushed = append(d.unpushed, entries...) // the agents have not received it
		return
	}
	d.put(entries)
}

// put changes the list. With pushed, each gateway counts as notified of the change at once, whether or not it reads
// the change. d.mu must be held.
func (d *Discovery) put(entries []Entry) {
	d.list.Put(entries...)
	if d.pushed {
		for gateway := range d.listeners {
			d.list.RecordNotification(gateway, d.clock())
		}
	}
	d.stateChanged.Broadcast()
}

// LoseHistory sends every gateway the whole list again, as a discovery service that restarted without its history
// does.
func (d *Discovery) LoseHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.LoseHistory()
	d.stateChanged.Broadcast()
}

// SetPushed sets whether lists are pushed to an agent of each gateway. Call it at the start of a run.
func (d *Discovery) SetPushed(on bool) { d.update(func() { d.pushed = on }) }

// watchesPaused reports whether discovery at present writes nothing to watches. d.mu must be held.
func (d *Discovery) watchesPaused() bool { return d.paused || d.pushed && d.down }

// SetDown sets whether discovery is down: without pushed lists, calls then get 503 and watches end; with
// pushed lists, the agents receive no changes.
func (d *Discovery) SetDown(on bool) { d.update(func() { d.down = on }) }

// SetWatchesPaused pauses all output on watches, including heartbeats, or resumes it.
func (d *Discovery) SetWatchesPaused(on bool) { d.update(func() { d.paused = on }) }

// SetLag changes the time after which changes become visible.
func (d *Discovery) SetLag(lag time.Duration) { d.update(func() { d.lag = lag }) }

// update changes the state under the lock, then applies the changes that can now be pushed and wakes the watches.
func (d *Discovery) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	if len(d.unpushed) > 0 && !d.watchesPaused() {
		d.put(d.unpushed)
		d.unpushed = nil
	}
	d.stateChanged.Broadcast()
}

// Notified returns when a gateway was notified that a host drains or is removed; ok is false if it was not.
func (d *Discovery) Notified(gateway, host string) (t Notification, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list.Notified(gateway, host)
}

// Forget drops the record of a gateway's notifications, as after the gateway's restart.
func (d *Discovery) Forget(gateway string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Forget(gateway)
}

// Addr returns the address of the listener for a gateway, or an empty string if there is none.
func (d *Discovery) Addr(gateway string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listeners[gateway]; l != nil {
		return l.addr
	}
	return ""
}

// Calls returns the number of requests, calls and watches, that discovery received.
func (d *Discovery) Calls() int { d.mu.Lock(); defer d.mu.Unlock(); return d.calls }

// Close closes all listeners and connections and waits for their goroutines.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	for _, l := range d.listeners {
		_ = l.ln.Close()
		for c := range l.conns {
			_ = c.Close()
		}
	}
	d.stateChanged.Broadcast()
	d.mu.Unlock()
	d.running.Wait()
}
