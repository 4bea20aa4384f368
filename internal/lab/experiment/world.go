package experiment

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/load"
	"thymebend/internal/lab/requestrecord"
)

// Time limits of the rules and of the run.
const (
	drainGrace      = 300 * time.Millisecond // the rule's 250 ms, and the 50 ms tolerance of every time limit on sockets
	maxKillTimeout  = 3 * time.Second        // a longer client timeout does not delay SIGKILL further
	killDelay       = 700 * time.Millisecond // SIGKILL follows SIGTERM after the longest client timeout plus this
	frontLeaveDelay = 300 * time.Millisecond // the front opens connections to a gateway for this time after SIGTERM
	readyTimeout    = 15 * time.Second       // for a gateway to become ready after its start
)

// World is a running test environment: emulated hosts, discovery and, if the function Run made it, gateways.
type World struct {
	File  *File
	Clock emulation.Clock
	Front *load.Front

	mu               sync.Mutex
	discovery        *emulation.Discovery
	hosts            []*managedHost
	gateways         []*gateway
	findings         []requestrecord.Finding
	closedRecords    []*requestrecord.EndpointRecord // of hosts that are closed
	marks            []Mark
	replacements     int // number of hosts that were started in place of another
	dir              string
	seed             uint64
	secondProcesses  []*process // processes of gateways that were started while another one served
	program          string
	rig              Rig            // controls the network, in a drill; nil in other runs
	eventsInProgress sync.WaitGroup // goroutines of events
}

// managedHost is an emulated host with its entry in discovery and its samples.
type managedHost struct {
	*emulation.Host
	entry  emulation.Entry
	spec   Hosts
	number int
	leaves atomic.Bool // drained, for good
	gone   atomic.Bool // closed
	hostSeries
}

// Mark is an event that occurred in a run. In the result, At is in seconds after the start of the load; during the
// run it counts from the start of the clock.
type Mark struct {
	At   float64 `json:"at_s"`
	Text string  `json:"text"`
}

// NewWorld starts the hosts and discovery. Each listens at a separate address for every gateway in gatewayNames.
// discoveryAddr is the address at which discovery listens for each gateway; port 0 selects a free port.
func NewWorld(f *File, seed uint64, gatewayNames []string, discoveryAddr string) (*World, error) {
	return newWorld(f, seed, gatewayNames, discoveryAddr, nil, emulation.NewClock())
}

// newWorld does the same as NewWorld with a given rig, which may be nil, and a given clock.
func newWorld(f *File, seed uint64, gatewayNames []string, discoveryAddr string, rig Rig, clock emulation.Clock) (
	*World, error) {
	w := &World{File: f, Clock: clock, seed: seed, rig: rig}
	w.discovery = emulation.NewDiscovery(w.Clock, 0)
	w.discovery.SetPushed(f.Discovery.Pushed)
	for _, h := range f.Hosts {
		for n := range h.Count {
			if _, err := w.startHost(h, n, gatewayNames, nil, h.StartsCold); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	w.discovery.SetLag(f.Discovery.Lag.Duration)
	for _, via := range gatewayNames {
		if _, err := w.discovery.Open(via, discoveryAddr); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// startHost starts a host and adds it to the list of discovery. The host listens at a separate address for each
// gateway, as given by addresses. It uses a free port for a gateway without an address, and for all gateways in a run
// with a rig.
func (w *World) startHost(h Hosts, number int, gatewayNames []string, addresses map[string]string, cold bool) (
	*managedHost, error) {
	spec := w.File.Spec(h, number)
	w.mu.Lock()
	w.seed++
	seed := w.seed
	w.mu.Unlock()
	host, err := emulation.NewHost(spec, w.Clock, emulation.Options{Seed: seed, SlowStart: cold, IdleTimeout: h.IdleTimeout.Duration,
		OnArrival: w.checkArrival, Cell: w.File.cellNumber(h, number)})
	if err != nil {
		return nil, err
	}
	m := &managedHost{Host: host, spec: h, number: number}
	m.entry = emulation.Entry{Host: spec.Name, Site: spec.Site, Kind: spec.Kind, State: emulation.StateUp,
		Addresses: make(map[string]string),
		Cell:      w.File.cellNumber(h, number)}
	if cold {
		m.entry.StartedMS = time.Now().UnixMilli()
	}
	for _, via := range gatewayNames {
		at := addresses[via]
		switch {
		case w.rig != nil: // a rig's paths have their own addresses
			at = net.JoinHostPort(w.rig.HostAddress(), "0")
		case at == "":
			at = "127.0.0.1:0"
		}
		if at, err = host.Open(via, at); err == nil {
			m.entry.Addresses[via], err = w.path(via, spec.Name, at)
		}
		if err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	w.hosts = append(w.hosts, m)
	w.mu.Unlock()
	w.discovery.Put(m.entry)
	return m, nil
}

// checkArrival adds a finding for a request that reaches a host more than drainGrace after its gateway was notified
// that the host is draining or removed. first is the arrival time of the request.
func (w *World) checkArrival(host, via, id string, first time.Duration) {
	notification, ok := w.discovery.Notified(via, host)
	if elapsed := first - notification.At; ok && elapsed > drainGrace {
		w.mu.Lock()
		w.findings = append(w.findings, requestrecord.Finding{Rule: requestrecord.SentAfterDrain, ID: id, At: first,
			Detail: fmt.Sprintf("%s sent to %s %v after it was told %s", via, host,
				elapsed.Round(time.Millisecond), notification.State)})
		w.mu.Unlock()
	}
}

// Addresses returns the addresses at which the gateway named via reaches discovery and the hosts.
func (w *World) Addresses(via string) (discovery string, hosts map[string]string) {
	hosts = make(map[string]string)
	for _, m := range w.managedHosts() {
		hosts[m.Name] = m.Addr(via)
	}
	return w.discovery.Addr(via), hosts
}

// managedHosts returns all hosts, including those that are closed.
func (w *World) managedHosts() []*managedHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

// addMark adds an event with the present time of the run's clock.
func (w *World) addMark(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.marks = append(w.marks, Mark{At: w.Clock().Seconds(), Text: fmt.Sprintf(format, args...)})
}

// initialHosts returns the host list with which a gateway starts, in JSON.
func (w *World) initialHosts(name string) []byte {
	for _, g := range w.gateways {
		if g.name == name {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.initialHosts != nil {
				return g.initialHosts
			}
		}
	}
	return w.discovery.WholeList(name)
}

// Config returns the content of the configuration file of a gateway.
func (w *World) Config(name string, rank int, listen, discovery string) ([]byte, error) {
	g := w.File.Gateways
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": discovery,
		"seed":     fmt.Sprintf("%016x", w.seed*2654435761+uint64(rank)),
		"limits":   map[string]any{"cores": g.Cores, "memory_mb": g.MemoryMB, "sockets": g.Sockets},
		"known":    json.RawMessage(w.initialHosts(name)),
		"settings": w.File.Settings(rank),
	}, "", " ")
}

// longestTimeout returns the longest client timeout of all classes.
func (w *World) longestTimeout() (longest time.Duration) {
	for _, c := range w.File.Classes {
		longest = max(longest, c.Timeout.Duration)
	}
	return longest
}

// excused reports whether an attempt was lost for a reason that no rule forbids: its gateway was killed while it
// served the attempt, the attempt reached it long after SIGTERM, or the rig caused the loss.
func (w *World) excused(t requestrecord.Attempt) bool {
	for _, g := range w.gateways {
		if g.clientAddr != t.Target {
			continue
		}
		if w.rig != nil && w.rig.Excuses(g.name, t) {
			return true
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		return t.Excused(g.kills, g.stops, killTimeTolerance)
	}
	return false
}

// killTimeTolerance is the longest time between the recorded time of a kill and the kill itself.
const killTimeTolerance = 20 * time.Millisecond

// Close kills all gateways and closes all hosts and discovery. It returns the records of the hosts, which do not
// change any more.
func (w *World) Close() []*requestrecord.EndpointRecord {
	for _, g := range w.gateways {
		if p := g.current(); p != nil {
			p.endExpected.Store(true)
			p.kill()
		}
	}
	w.mu.Lock()
	secondProcesses := w.secondProcesses
	w.mu.Unlock()
	for _, p := range secondProcesses {
		p.endExpected.Store(true)
		p.kill()
	}
	for _, m := range w.managedHosts() {
		if !m.gone.Load() {
			w.closedRecords = append(w.closedRecords, m.Host.Close())
			m.gone.Store(true)
		}
	}
	w.discovery.Close()
	return w.closedRecords
}
