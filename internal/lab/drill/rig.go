package drill

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// rig is what stands between the processes of one drill, and looks at them. It implements experiment.Rig.
type rig struct {
	file    *File
	dir     string
	seed    uint64
	tmp     string     // of the processes: where the next one of an upgrade finds its predecessor
	ip      netip.Addr // of the processes; the relays have another, so that none takes what a process will listen at
	names   []string
	index   map[string]int
	now     func() time.Duration // since the load began; below 0 before
	net     *network
	history *membershipcheck.History
	run     *experiment.Handles
	known   [][]byte
	found   func(requestrecord.Finding)
	client  *http.Client

	mu       sync.Mutex
	taken    map[string]bool       // addresses that were given out
	books    [][]string            // of each gateway: an entry for each other one
	present  []bool                // named by the books; all, unless these follow who runs
	listens  []netip.AddrPort      // of datagrams, the serving process's
	control  map[int]string        // by process
	kinds    map[int]int           // of a gateway's next process
	starting map[int]string        // control of a process that is being started, by gateway
	launched map[int]time.Duration // when it was
	watches  sync.WaitGroup
	watching context.Context
	excuses  []excuse
	findings []requestrecord.Finding // seen on the way
	shuts    []excuse                // moments at which a client's connection found nobody behind its relay
}

// What the next process of a gateway is.
const (
	usual = iota
	upgraded
	twin
)

func newRig(ctx context.Context, f *File, dir string, seed uint64, clock func() time.Duration) (*rig, error) {
	r := &rig{file: f, dir: dir, seed: seed, ip: rigAddress(dir, 0), taken: make(map[string]bool),
		names: experiment.GatewayNames(f.Gateways.Count), index: make(map[string]int),
		control: make(map[int]string), kinds: make(map[int]int), starting: make(map[int]string),
		launched: make(map[int]time.Duration), watching: ctx, now: clock}
	for i, name := range r.names {
		r.index[name] = i
	}
	r.history = membershipcheck.NewHistory(r.names)
	if f.Fleet.Shares {
		r.history.ReportsLoad()
	}
	r.net = newNetwork(f.Network, rigAddress(dir, 1), seed, r.changed, r.shut)
	// Dial by dial: a connection that rests would keep an operator's link of a gateway.
	r.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var err error
	if r.tmp, err = os.MkdirTemp("", "drill"); err != nil { // short: a Unix socket's path has 107 bytes
		return nil, err
	}
	if bad := r.net.base; bad.Loss > 0 || bad.Delay.Duration > 0 {
		for a := range r.names {
			for b := range r.names {
				if a != b {
					r.history.Path(a, b, membershipcheck.PathState{At: -2 * time.Hour,
						Cut: bad.Delay.Duration+bad.Jitter.Duration > slowest, Loss: bad.Loss})
				}
			}
		}
	}
	return r, r.wire()
}

// wire has an address for datagrams for each gateway, and a book of the relays that lead to the others.
func (r *rig) wire() error {
	for _, name := range r.names {
		at, err := r.freeUDP()
		if err != nil {
			return err
		}
		r.listens = append(r.listens, at)
		r.net.listen(name, at)
	}
	for _, name := range r.names {
		entries := make([]string, len(r.names))
		for i, other := range r.names {
			if other == name {
				continue
			}
			at, err := r.net.datagrams(name, other)
			if err != nil {
				return err
			}
			entries[i] = fmt.Sprintf("[[peer]]\nname = %q\naddr = %q\n", other, at)
		}
		r.books = append(r.books, entries)
		r.present = append(r.present, !r.file.Fleet.Follow || !r.Late(name))
	}
	return nil
}

// fleetFile is the text of a gateway's fleet file as it is to be now.
func (r *rig) fleetFile(n int, listen netip.AddrPort) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet = \"drill\"\nname = %q\nlisten = %q\n", r.names[n], listen)
	if f := r.file.Fleet; f.Shares {
		fmt.Fprintf(&b, "[shares]\nwarm_rate = %.3f\n", f.WarmRate)
	}
	for i, entry := range r.books[n] {
		if r.present[i] {
			b.WriteString(entry)
		}
	}
	return b.String()
}

// name has the books name a gateway from now on, or no more, where they follow who runs: each running
// gateway gets a new file and SIGHUP, one after another.
func (r *rig) name(g int, present bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.file.Fleet.Follow || r.present[g] == present {
		return nil
	}
	r.present[g] = present
	for n, name := range r.names {
		if n == g || !r.present[n] {
			continue
		}
		if err := os.WriteFile(r.path(name), []byte(r.fleetFile(n, r.listens[n])), 0o600); err != nil {
			return err
		}
		if err := r.run.Signal(n, syscall.SIGHUP); err != nil {
			return fmt.Errorf("%s: SIGHUP: %w", name, err)
		}
	}
	return nil
}

// path is where a gateway's fleet file lies.
func (r *rig) path(gateway string) string { return filepath.Join(r.dir, gateway+".fleet.toml") }

// free takes addresses from the system until one was not given out before.
func (r *rig) free(network string, take func() (net.Addr, io.Closer, error)) (string, error) {
	for {
		at, open, err := take()
		if err != nil {
			return "", err
		}
		_ = open.Close()
		r.mu.Lock()
		key := network + at.String()
		had := r.taken[key]
		r.taken[key] = true
		r.mu.Unlock()
		if !had {
			return at.String(), nil
		}
	}
}

func (r *rig) freeUDP() (netip.AddrPort, error) {
	at, err := r.free("udp", func() (net.Addr, io.Closer, error) {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.ip, 0)))
		if err != nil {
			return nil, nil, err
		}
		return c.LocalAddr(), c, nil
	})
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.ParseAddrPort(at)
}

func (r *rig) freeTCP() (string, error) {
	return r.free("tcp", func() (net.Addr, io.Closer, error) {
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(r.ip, 0).String())
		if err != nil {
			return nil, nil, err
		}
		return ln.Addr(), ln, nil
	})
}

// Path implements experiment.Rig.
func (r *rig) Path(from, to, addr string) (string, error) { return r.net.stream(from, to, addr) }

// Listen implements experiment.Rig.
func (r *rig) Listen(string) (string, error) { return r.freeTCP() }

// HostAddress implements experiment.Rig.
func (r *rig) HostAddress() string { return rigAddress(r.dir, 2).String() }

// Late implements experiment.Rig.
func (r *rig) Late(gateway string) bool {
	for _, n := range r.file.Fleet.Late {
		if r.names[n] == gateway {
			return true
		}
	}
	return false
}

// next says what a gateway's next process is.
func (r *rig) next(g, kind int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[g] = kind
}

// Environment implements experiment.Rig.
func (r *rig) Environment(gateway string) ([]string, error) {
	n := r.index[gateway]
	control, err := r.freeTCP()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	kind, listen := r.kinds[n], r.listens[n]
	// before it can speak: when Started is called others may know it already
	r.starting[n], r.launched[n] = control, r.now()
	r.mu.Unlock()
	tmp, file := r.tmp, r.path(gateway)
	if kind == twin { // it knows nothing of the other: neither where it listens nor where it would hand over
		if listen, err = r.freeUDP(); err != nil {
			return nil, err
		}
		r.net.listen(gateway, listen)
		file = filepath.Join(r.dir, gateway+".twin.fleet.toml")
		if tmp, err = os.MkdirTemp(r.tmp, "t"); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	text := r.fleetFile(n, listen)
	r.mu.Unlock()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return []string{"LB_FLEET=" + file, "LB_CONTROL=" + control, "TMPDIR=" + tmp}, nil
}

// Started implements experiment.Rig. The process is looked at from now on.
func (r *rig) Started(gateway string, pid int) {
	n := r.index[gateway]
	r.mu.Lock()
	control, kind, launched := r.starting[n], r.kinds[n], r.launched[n]
	r.control[pid] = control
	r.kinds[n] = usual
	r.mu.Unlock()
	r.history.Started(n, pid, launched, kind == twin, kind == upgraded)
	r.watches.Go(func() { r.watch(n, pid, control) })
}

// Ended implements experiment.Rig.
func (r *rig) Ended(_ string, pid int) {
	r.history.Ended(pid, r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.control, pid)
}

// lookEvery is how often each process tells its view.
const lookEvery = 100 * time.Millisecond

// slowest is the delay from which on a path counts as cut for the rules: no answer comes within the
// time that is waited.
const slowest = 100 * time.Millisecond

// excuseAfter is how long after a stop or a cut a client's try may still be lost by it: what waited is
// answered late.
const excuseAfter = 500 * time.Millisecond

// shutSpread is how far apart the end of a process, a connection to it and the client's word on it may
// be seen.
const shutSpread = 60 * time.Millisecond

func (r *rig) began() time.Duration {
	if r.run == nil {
		return 0
	}
	return r.run.Began
}

// close ends the relays and forgets the processes' directory.
func (r *rig) close() {
	r.watches.Wait()
	r.net.close()
	_ = os.RemoveAll(r.tmp)
}
