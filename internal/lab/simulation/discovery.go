package simulation

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"thymebend/internal/lab/registry"
)

// heartbeatInterval is how often discovery writes an empty line to a watch while nothing changes.
const heartbeatInterval = 2 * time.Second

// moveGrace is how long discovery keeps the open connections of its old address after a move.
const moveGrace = 1500 * time.Millisecond

// discoveryServer simulates discovery: the list of hosts behind one listener for each gateway.
type discoveryServer struct {
	run       *simulator
	list      *registry.Registry
	listeners []*Listener
	addrs     []netip.AddrPort
	port      uint16
	watches   []*watch // open watches, oldest first
	down      bool
	queue     *callQueue             // calls that wait for their turn; nil answers each at once
	deadlines *notificationDeadlines // set with Plan.Calls
	paused    bool                   // it accepts calls, but reports no changes
	lag       time.Duration          // from a change of a host until the list has it
	agents    []*agent               // by gateway, with Plan.Pushed; else empty
}

// watch is a gateway's call to discovery, whose response stays open and reports changes.
type watch struct {
	end         *End
	gateway     int
	inbox       []byte
	after       int  // version of the list that the gateway has
	requested   bool // the gateway's request has been read
	started     bool // the head of the response has been written
	notified    bool // the first line has been written
	lastWrite   time.Duration
	silentUntil time.Duration // nothing is written to the watch before this time
}

func (d *discoveryServer) listen(gateway int) {
	d.port++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(gateway), 1 + byte(gateway>>8)}), d.port)
	var l *Listener
	l = d.run.net.Listen(addr, 64, nil, func() {
		for e := l.Accept(); e != nil; e = l.Accept() {
			if len(d.agents) > 0 && d.agents[gateway].down {
				e.Reset()
				continue
			}
			c := &watch{end: e, gateway: gateway, lastWrite: d.run.sim.Now()}
			d.watches = append(d.watches, c)
			e.ready = func() { d.onReadable(c) }
			d.onReadable(c)
		}
	})
	if old := d.listeners[gateway]; old != nil {
		old.Close()
		var moved []*watch
		for _, c := range d.watches {
			if c.gateway == gateway {
				moved = append(moved, c)
			}
		}
		d.run.sim.After(moveGrace, func() {
			for _, c := range moved {
				d.closeWatch(c)
			}
		})
	}
	d.listeners[gateway], d.addrs[gateway] = l, addr
}

func (d *discoveryServer) closeWatch(c *watch) {
	c.end.Close()
	for i, x := range d.watches {
		if x == c {
			d.watches = append(d.watches[:i:i], d.watches[i+1:]...)
			return
		}
	}
}

func (d *discoveryServer) onReadable(c *watch) {
	c.inbox = append(c.inbox, c.end.Read(1<<16)...)
	if c.end.ReadEnded() {
		d.closeWatch(c)
		return
	}
	r, _, remaining, whole, err := parseRequest(c.inbox)
	if err != nil {
		d.run.addFinding("garbled request", "discovery", "%v", err)
		d.closeWatch(c)
		return
	}
	if !whole || c.requested {
		return
	}
	c.inbox, c.requested = remaining, true
	c.after, _ = strconv.Atoi(r.URL.Query().Get("index"))
	d.run.rates.countCall()
	if d.queue == nil {
		d.answer(c, true)
		return
	}
	at, served := d.queue.enqueue(d.run.sim.Now(), d.queue.work(d.hostsFor(c)))
	d.run.sim.At(at, func() { d.answer(c, served) })
}

// answersWholeList reports whether the next line for a watch is the whole list without draining hosts.
func (d *discoveryServer) answersWholeList(c *watch) bool {
	return d.queue != nil && d.queue.WholeFirst && !c.notified
}

// hostsFor returns how many hosts the next line for a watch names.
func (d *discoveryServer) hostsFor(c *watch) int {
	if d.answersWholeList(c) {
		return d.listFor(c.gateway).ServingCount()
	}
	return d.listFor(c.gateway).ChangedCount(c.after)
}

// answer starts a watch, or refuses it.
func (d *discoveryServer) answer(c *watch, served bool) {
	if c.end.closed || c.end.reset {
		return
	}
	if !served || d.down && len(d.agents) == 0 {
		_, _ = c.end.Write([]byte("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"))
		d.closeWatch(c)
		return
	}
	c.started = true
	_, _ = c.end.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	d.notify(c)
	d.scheduleHeartbeat(c)
}

// notify writes the changes that the watch has not reported yet.
func (d *discoveryServer) notify(c *watch) {
	list := d.listFor(c.gateway)
	if d.paused && len(d.agents) == 0 || d.run.sim.Now() < c.silentUntil || !c.started ||
		c.notified && list.Version() <= c.after {
		return
	}
	if c.notified && d.queue != nil && d.run.sim.Chance(d.queue.EndWatches) {
		d.endWatch(c)
		return
	}
	line := list.Line(gatewayName(c.gateway), c.after)
	if d.answersWholeList(c) {
		line = list.ServingLine(gatewayName(c.gateway))
	}
	c.after, c.notified = list.Version(), true
	d.write(c, line)
	if len(d.agents) > 0 { // the change counted as notified when the agent received it
		d.agents[c.gateway].writtenVersion, d.agents[c.gateway].writtenAt = list.Version(), d.run.sim.Now()
		return
	}
	// A line lost to a reset by the network does not count as notified; the following watch repeats it.
	if d.run.gateways[c.gateway].up && !c.end.cutByNetwork {
		d.list.RecordNotification(gatewayName(c.gateway), d.run.sim.Now())
	}
}

func (d *discoveryServer) write(c *watch, line []byte) {
	c.lastWrite = d.run.sim.Now()
	d.run.sim.Note("discovery tells %s %.600s", gatewayName(c.gateway), line)
	_, _ = c.end.Write(append(append(fmt.Appendf(nil, "%x\r\n", len(line)+1), line...), "\n\r\n"...))
}

func (d *discoveryServer) scheduleHeartbeat(c *watch) {
	d.run.sim.After(heartbeatInterval, func() {
		if c.end.closed || c.end.reset {
			return
		}
		if !d.paused && !d.down && d.run.sim.Now() >= c.silentUntil && d.run.sim.Now()-c.lastWrite >= heartbeatInterval {
			d.write(c, nil)
		}
		d.scheduleHeartbeat(c)
	})
}

func (d *discoveryServer) publish(e registry.Entry) {
	d.run.sim.After(d.lag, func() {
		d.list.Put(e)
		d.deadlines.recordChange(e)
		d.run.sim.Note("discovery %d: %s %s", d.list.Version(), e.Host, e.State)
		d.push()
		d.notifyAll()
	})
}

func (d *discoveryServer) notifyAll() {
	for _, c := range append([]*watch(nil), d.watches...) {
		d.notify(c)
	}
}

func (d *discoveryServer) setDown(on bool) {
	if d.down = on; on && len(d.agents) == 0 {
		d.reset(func(*watch) bool { return true })
	}
	if !on {
		d.push()
	}
}

// reset resets the watches that match and returns their number.
func (d *discoveryServer) reset(which func(*watch) bool) (count int) {
	for _, c := range append([]*watch(nil), d.watches...) {
		if which(c) {
			c.end.Reset()
			d.closeWatch(c)
			count++
		}
	}
	return count
}

// resetOpen resets all established watches. Calls that still wait in the call queue are not reset.
func (d *discoveryServer) resetOpen() {
	d.deadlines.addCalls(d.reset(func(c *watch) bool { return c.notified }))
}

// silenceWatches stops writing to all established watches for the given time. New calls are still answered.
func (d *discoveryServer) silenceWatches(length time.Duration) {
	count := 0
	for _, c := range d.watches {
		if c.notified {
			c.silentUntil = d.run.sim.Now() + length
			count++
		}
	}
	d.deadlines.addCalls(count)
	d.run.sim.After(length, d.notifyAll)
}

// endWatch ends a watch whose gateway then has to call again to receive a change.
func (d *discoveryServer) endWatch(c *watch) {
	_, _ = c.end.Write([]byte("0\r\n\r\n"))
	d.closeWatch(c)
	d.deadlines.addCalls(1)
}
