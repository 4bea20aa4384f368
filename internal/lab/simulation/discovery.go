package simulation

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"thymebend/internal/lab/registry"
)

// beatEvery is how often discovery writes an empty line while nothing changes.
const beatEvery = 2 * time.Second

// moveGrace is how long the old address of discovery keeps its open connections after a move.
const moveGrace = 1500 * time.Millisecond

// discovery plays discovery: the roster behind a listener for each gateway.
type discoveryServer struct {
	w       *simulator
	list    *registry.Registry
	doors   []*Listener
	addrs   []netip.AddrPort
	port    uint16
	watches []*watch // open ones, oldest first
	down    bool
	queue   *callQueue             // of calls, where each takes its time
	latest  *notificationDeadlines // with Plan.Calls
	mute    bool
	lag     time.Duration
	agents  []*agent // where lists are pushed, by gateway
}

type watch struct {
	end      *End
	via      int
	inbox    []byte
	after    int
	asked    bool
	started  bool
	notified bool // its first line has gone out
	spoke    time.Duration
	silent   time.Duration // it is written nothing until then
}

func (d *discoveryServer) open(via int) {
	d.port++
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(via), 1 + byte(via>>8)}), d.port)
	var l *Listener
	l = d.w.net.Listen(addr, 64, nil, func() {
		for e := l.Accept(); e != nil; e = l.Accept() {
			if len(d.agents) > 0 && d.agents[via].away {
				e.Reset()
				continue
			}
			c := &watch{end: e, via: via, spoke: d.w.sim.Now()}
			d.watches = append(d.watches, c)
			e.ready = func() { d.received(c) }
			d.received(c)
		}
	})
	if old := d.doors[via]; old != nil {
		old.Close()
		var stay []*watch
		for _, c := range d.watches {
			if c.via == via {
				stay = append(stay, c)
			}
		}
		d.w.sim.After(moveGrace, func() {
			for _, c := range stay {
				d.drop(c)
			}
		})
	}
	d.doors[via], d.addrs[via] = l, addr
}

func (d *discoveryServer) drop(c *watch) {
	c.end.Close()
	for i, x := range d.watches {
		if x == c {
			d.watches = append(d.watches[:i:i], d.watches[i+1:]...)
			return
		}
	}
}

func (d *discoveryServer) received(c *watch) {
	c.inbox = append(c.inbox, c.end.Read(1<<16)...)
	if c.end.Gone() {
		d.drop(c)
		return
	}
	r, _, rest, whole, err := message(c.inbox)
	if err != nil {
		d.w.find("garbled request", "discovery", "%v", err)
		d.drop(c)
		return
	}
	if !whole || c.asked {
		return
	}
	c.inbox, c.asked = rest, true
	c.after, _ = strconv.Atoi(r.URL.Query().Get("index"))
	d.w.rates.call()
	if d.queue == nil {
		d.answer(c, true)
		return
	}
	at, served := d.queue.enter(d.w.sim.Now(), d.queue.work(d.hostsFor(c)))
	d.w.sim.At(at, func() { d.answer(c, served) })
}

// wholeFirst tells whether a watch is to be answered with the whole list without draining hosts.
func (d *discoveryServer) wholeFirst(c *watch) bool {
	return d.queue != nil && d.queue.WholeFirst && !c.notified
}

// hostsFor is how many hosts the next line of a watch names.
func (d *discoveryServer) hostsFor(c *watch) int {
	if d.wholeFirst(c) {
		return d.of(c.via).ServingCount()
	}
	return d.of(c.via).ChangedCount(c.after)
}

// answer begins a watch, or refuses it.
func (d *discoveryServer) answer(c *watch, served bool) {
	if c.end.closed || c.end.reset {
		return
	}
	if !served || d.down && len(d.agents) == 0 {
		_, _ = c.end.Write([]byte("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"))
		d.drop(c)
		return
	}
	c.started = true
	_, _ = c.end.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	d.notify(c)
	d.beat(c)
}

// notify writes what the watch has not been told.
func (d *discoveryServer) notify(c *watch) {
	list := d.of(c.via)
	if d.mute && len(d.agents) == 0 || d.w.sim.Now() < c.silent || !c.started || c.notified && list.Seq() <= c.after {
		return
	}
	if c.notified && d.queue != nil && d.w.sim.Chance(d.queue.EndWatches) {
		d.end(c)
		return
	}
	line := list.Line(gatewayName(c.via), c.after)
	if d.wholeFirst(c) {
		line = list.ServingLine(gatewayName(c.via))
	}
	c.after, c.notified = list.Seq(), true
	d.write(c, line)
	if len(d.agents) > 0 { // it was told when its agent was
		d.agents[c.via].written, d.agents[c.via].since = list.Seq(), d.w.sim.Now()
		return
	}
	// What a reset of the network has taken with it was not told; the watch that follows tells it.
	if d.w.gateways[c.via].up && !c.end.cut {
		d.list.Note(gatewayName(c.via), d.w.sim.Now())
	}
}

func (d *discoveryServer) write(c *watch, line []byte) {
	c.spoke = d.w.sim.Now()
	d.w.sim.Note("discovery tells %s %.600s", gatewayName(c.via), line)
	_, _ = c.end.Write(append(append(fmt.Appendf(nil, "%x\r\n", len(line)+1), line...), "\n\r\n"...))
}

func (d *discoveryServer) beat(c *watch) {
	d.w.sim.After(beatEvery, func() {
		if c.end.closed || c.end.reset {
			return
		}
		if !d.mute && !d.down && d.w.sim.Now() >= c.silent && d.w.sim.Now()-c.spoke >= beatEvery {
			d.write(c, nil)
		}
		d.beat(c)
	})
}

func (d *discoveryServer) put(e registry.Entry) {
	d.w.sim.After(d.lag, func() {
		d.list.Put(e)
		d.latest.changed(e)
		d.w.sim.Note("discovery %d: %s %s", d.list.Seq(), e.Host, e.State)
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

// reset resets watches and returns how many.
func (d *discoveryServer) reset(which func(*watch) bool) (count int) {
	for _, c := range append([]*watch(nil), d.watches...) {
		if which(c) {
			c.end.Reset()
			d.drop(c)
			count++
		}
	}
	return count
}

// resetOpen resets all watches that stand. Calls that wait in the queue stay there.
func (d *discoveryServer) resetOpen() {
	d.latest.caused(d.reset(func(c *watch) bool { return c.notified }))
}

// silence has all watches that stand be written nothing for a while. Calls are answered as ever.
func (d *discoveryServer) silence(length time.Duration) {
	count := 0
	for _, c := range d.watches {
		if c.notified {
			c.silent = d.w.sim.Now() + length
			count++
		}
	}
	d.latest.caused(count)
	d.w.sim.After(length, d.notifyAll)
}

// end ends a watch whose gateway then has to call again to hear of a change.
func (d *discoveryServer) end(c *watch) {
	_, _ = c.end.Write([]byte("0\r\n\r\n"))
	d.drop(c)
	d.latest.caused(1)
}
