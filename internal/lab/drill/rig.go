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

// rig relays the traffic between the processes of one drill, injects faults and polls the gateways' views. It
// implements experiment.Rig.
type rig struct {
	file    *File
	dir     string
	seed    uint64
	tempDir string // TMPDIR of the processes, where a hot restart finds the predecessor's socket
	// processIP is the address on which processes listen. Relays use another one, so that no relay takes a port on
	// which a process will listen.
	processIP netip.Addr
	names     []string
	index     map[string]int
	now       func() time.Duration // time since the start of the load; negative before it
	net       *network
	history   *membershipcheck.History
	run       *experiment.RunControl
	hostLists [][]byte
	onFinding func(requestrecord.Finding)
	client    *http.Client

	mu            sync.Mutex
	usedAddresses map[string]bool // addresses that unusedAddress has returned
	watchers      sync.WaitGroup
	watchContext  context.Context
	excuses       []excuse
	findings      []requestrecord.Finding // recorded during the run
	// refusals holds the times at which a relay accepted a client's connection although its target, a gateway, was
	// not listening.
	refusals []excuse
	processTable
}

// processTable holds the addresses and start data of the gateways' processes.
type processTable struct {
	peers [][]string // for each gateway, the cluster file's peer entry of every other gateway
	// listed reports, by gateway, whether the cluster files list it as a peer; false only with ListRunningOnly.
	listed        []bool
	listenAddrs   []netip.AddrPort      // datagram address of each gateway's serving process
	adminAddrs    map[int]string        // admin address by process ID
	nextKinds     map[int]int           // kind of the next process, by gateway
	startingAddrs map[int]string        // admin address of a process that is being started, by gateway
	launchTimes   map[int]time.Duration // start time of the process that is being started, by gateway
}

// Kinds of a gateway's next process.
const (
	normalProcess = iota
	upgradedProcess
	duplicateProcess
)

func newRig(ctx context.Context, f *File, dir string, seed uint64, clock func() time.Duration) (*rig, error) {
	r := &rig{
		file: f, dir: dir, seed: seed, processIP: rigAddress(dir, 0), usedAddresses: make(map[string]bool),
		watchContext: ctx, now: clock,
		names: experiment.GatewayNames(f.Gateways.Count), index: make(map[string]int),
		processTable: processTable{
			adminAddrs: make(map[int]string), nextKinds: make(map[int]int),
			startingAddrs: make(map[int]string), launchTimes: make(map[int]time.Duration),
		},
	}
	for i, name := range r.names {
		r.index[name] = i
	}
	r.history = membershipcheck.NewHistory(r.names)
	if f.Cluster.DivideHosts {
		r.history.SetReportsLoad()
	}
	r.net = newNetwork(f.Network, rigAddress(dir, 1), seed, r.pathChanged, r.connectionRefused)
	// Without keep-alive: an idle connection would occupy one of a gateway's admin connections, which operators need.
	r.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var err error
	// The path is short, because the path of a Unix socket is limited to 107 bytes.
	if r.tempDir, err = os.MkdirTemp("", "drill"); err != nil {
		return nil, err
	}
	if base := r.net.base; base.Loss > 0 || base.Delay.Duration > 0 {
		for a := range r.names {
			for b := range r.names {
				if a != b {
					r.history.RecordPath(a, b, membershipcheck.PathState{At: -2 * time.Hour,
						Cut: base.Delay.Duration+base.Jitter.Duration > answerTimeout, Loss: base.Loss})
				}
			}
		}
	}
	return r, r.assignAddresses()
}

// assignAddresses chooses a datagram address for each gateway and writes the peer entries, which hold the addresses
// of the relays to the other gateways.
func (r *rig) assignAddresses() error {
	for _, name := range r.names {
		at, err := r.unusedUDP()
		if err != nil {
			return err
		}
		r.listenAddrs = append(r.listenAddrs, at)
		r.net.addReceiver(name, at)
	}
	for _, name := range r.names {
		entries := make([]string, len(r.names))
		for i, other := range r.names {
			if other == name {
				continue
			}
			at, err := r.net.datagramAddress(name, other)
			if err != nil {
				return err
			}
			entries[i] = fmt.Sprintf("[[peer]]\nname = %q\naddr = %q\n", other, at)
		}
		r.peers = append(r.peers, entries)
		r.listed = append(r.listed, !r.file.Cluster.ListRunningOnly || !r.StartsLater(name))
	}
	return nil
}

// clusterFile returns the current text of a gateway's cluster file.
func (r *rig) clusterFile(n int, listen netip.AddrPort) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet = \"drill\"\nname = %q\nlisten = %q\n", r.names[n], listen)
	if f := r.file.Cluster; f.DivideHosts {
		fmt.Fprintf(&b, "[shares]\nwarm_rate = %.3f\n", f.SlowStartRate)
	}
	for i, entry := range r.peers[n] {
		if r.listed[i] {
			b.WriteString(entry)
		}
	}
	return b.String()
}

// setListed adds a gateway to the cluster files or removes it, if they list running gateways only: each running
// gateway gets a new file and SIGHUP, one after another.
func (r *rig) setListed(g int, present bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.file.Cluster.ListRunningOnly || r.listed[g] == present {
		return nil
	}
	r.listed[g] = present
	for n, name := range r.names {
		if n == g || !r.listed[n] {
			continue
		}
		if err := os.WriteFile(r.clusterFilePath(name), []byte(r.clusterFile(n, r.listenAddrs[n])), 0o600); err != nil {
			return err
		}
		if err := r.run.Signal(n, syscall.SIGHUP); err != nil {
			return fmt.Errorf("%s: SIGHUP: %w", name, err)
		}
	}
	return nil
}

// clusterFilePath returns the path of a gateway's cluster file.
func (r *rig) clusterFilePath(gateway string) string {
	return filepath.Join(r.dir, gateway+".fleet.toml")
}

// unusedAddress takes free addresses from the system until one has not been returned before.
func (r *rig) unusedAddress(network string, take func() (net.Addr, io.Closer, error)) (string, error) {
	for {
		at, open, err := take()
		if err != nil {
			return "", err
		}
		_ = open.Close()
		r.mu.Lock()
		key := network + at.String()
		used := r.usedAddresses[key]
		r.usedAddresses[key] = true
		r.mu.Unlock()
		if !used {
			return at.String(), nil
		}
	}
}

func (r *rig) unusedUDP() (netip.AddrPort, error) {
	at, err := r.unusedAddress("udp", func() (net.Addr, io.Closer, error) {
		c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(r.processIP, 0)))
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

func (r *rig) unusedTCP() (string, error) {
	return r.unusedAddress("tcp", func() (net.Addr, io.Closer, error) {
		ln, err := net.Listen("tcp4", netip.AddrPortFrom(r.processIP, 0).String())
		if err != nil {
			return nil, nil, err
		}
		return ln.Addr(), ln, nil
	})
}

// Path implements experiment.Rig.
func (r *rig) Path(from, to, addr string) (string, error) { return r.net.streamAddress(from, to, addr) }

// Listen implements experiment.Rig.
func (r *rig) Listen(string) (string, error) { return r.unusedTCP() }

// HostAddress implements experiment.Rig.
func (r *rig) HostAddress() string { return rigAddress(r.dir, 2).String() }

// StartsLater implements experiment.Rig.
func (r *rig) StartsLater(gateway string) bool {
	for _, n := range r.file.Cluster.StartedLater {
		if r.names[n] == gateway {
			return true
		}
	}
	return false
}

// setNextKind sets the kind of a gateway's next process.
func (r *rig) setNextKind(g, kind int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextKinds[g] = kind
}

// Environment implements experiment.Rig.
func (r *rig) Environment(gateway string) ([]string, error) {
	n := r.index[gateway]
	control, err := r.unusedTCP()
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	kind, listen := r.nextKinds[n], r.listenAddrs[n]
	// Recorded before the process can send: when Started is called, other gateways may already know it.
	r.startingAddrs[n], r.launchTimes[n] = control, r.now()
	r.mu.Unlock()
	tmp, file := r.tempDir, r.clusterFilePath(gateway)
	// A duplicate must not know the first process, neither its listening address nor its hot-restart socket.
	if kind == duplicateProcess {
		if listen, err = r.unusedUDP(); err != nil {
			return nil, err
		}
		r.net.addReceiver(gateway, listen)
		file = filepath.Join(r.dir, gateway+".twin.fleet.toml")
		if tmp, err = os.MkdirTemp(r.tempDir, "t"); err != nil {
			return nil, err
		}
	}
	r.mu.Lock()
	text := r.clusterFile(n, listen)
	r.mu.Unlock()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return []string{"LB_FLEET=" + file, "LB_CONTROL=" + control, "TMPDIR=" + tmp}, nil
}

// Started implements experiment.Rig. It starts polling the view of the process.
func (r *rig) Started(gateway string, pid int) {
	n := r.index[gateway]
	r.mu.Lock()
	control, kind, launched := r.startingAddrs[n], r.nextKinds[n], r.launchTimes[n]
	r.adminAddrs[pid] = control
	r.nextKinds[n] = normalProcess
	r.mu.Unlock()
	r.history.RecordStart(n, pid, launched, kind == duplicateProcess, kind == upgradedProcess)
	r.watchers.Go(func() { r.pollViews(n, pid, control) })
}

// Ended implements experiment.Rig.
func (r *rig) Ended(_ string, pid int) {
	r.history.RecordEnd(pid, r.now())
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.adminAddrs, pid)
}

// viewInterval is the interval at which each process is polled for its view.
const viewInterval = 100 * time.Millisecond

// answerTimeout is the path delay above which the rules consider a path cut: no answer arrives before the gateway's
// timeout.
const answerTimeout = 100 * time.Millisecond

// excuseMargin is the time after a stop or cut during which a client's attempt may still fail because of it:
// delayed data is answered late.
const excuseMargin = 500 * time.Millisecond

// processEndTolerance is the maximum difference between the recorded times of a process's end, of a connection to
// it, and of the client's record of that connection.
const processEndTolerance = 60 * time.Millisecond

func (r *rig) began() time.Duration {
	if r.run == nil {
		return 0
	}
	return r.run.Began
}

// close stops the relays and removes the temporary directory of the processes.
func (r *rig) close() {
	r.watchers.Wait()
	r.net.close()
	_ = os.RemoveAll(r.tempDir)
}
