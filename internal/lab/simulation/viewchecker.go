package simulation

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"thymebend/internal/gateway"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/membership"
)

// Gateways that know of each other: each has a fleet file, the network carries their datagrams, and
// what they believe is held against what was done to them.

// viewsProfile is gateways with a fleet file among ordinary troubles and those of datagrams.
const viewsProfile = "views"

// Times of what is believed.
const (
	lookEvery   = 500 * time.Millisecond
	agreeFor    = 16 * time.Second // of nothing more at the end, before all must agree
	viewRounds  = 240              // wake-ups that a view may cost in half of quietFor
	excuseAfter = 500 * time.Millisecond
)

// viewChecker is what the world knows of its gateways' views; nil where they have none.
type viewChecker struct {
	w       *simulator
	history *membershipcheck.History
	names   []string
	index   map[string]int
	cuts    []func(from, to int) bool // in force
	pids    int
	done    bool
}

// process is one process of a gateway, as far as its view goes.
type process struct {
	pid int
	gw  *gateway.Gateway

	view   *membership.Membership // at the last look
	joined int
}

func gossipAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), 1 + byte(n>>8)}), 7946)
}

func newViewChecker(w *simulator) *viewChecker {
	b := &viewChecker{w: w, index: make(map[string]int)}
	for n := range w.plan.Gateways {
		b.names = append(b.names, gatewayName(n))
		b.index[gatewayName(n)] = n
	}
	b.history = membershipcheck.NewHistory(b.names)
	if w.plan.Shares {
		b.history.ReportsLoad()
	}
	w.net.LoseDatagrams, w.net.DoubleDatagrams = w.plan.LoseData, w.plan.DoubleData
	w.net.CutDatagrams = func(from, to netip.AddrPort) bool { return b.cut(place4(from), place4(to)) }
	if w.plan.LoseData > 0 {
		for x := range b.names {
			for y := range b.names {
				b.history.Path(x, y, membershipcheck.PathState{Loss: w.plan.LoseData})
			}
		}
	}
	w.sim.After(lookEvery, b.observe)
	return b
}

// place4 is a gateway's number by its address.
func place4(a netip.AddrPort) int {
	raw := a.Addr().As4()
	return int(raw[3]-1)<<8 | int(raw[2])
}

func (b *viewChecker) cut(from, to int) bool {
	for _, c := range b.cuts {
		if c != nil && c(from, to) {
			return true
		}
	}
	return false
}

// path is where a gateway's fleet file lies; text is what it says.
func (b *viewChecker) path(n int) string { return b.names[n] + ".fleet.toml" }

func (b *viewChecker) text(n int) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "fleet = \"virtual\"\nlisten = %q\n", gossipAddr(n))
	if b.w.plan.Shares {
		fmt.Fprintf(&out, "[shares]\nwarm_rate = %.1f\n", warmRate)
	}
	for o, name := range b.names {
		if o != n {
			fmt.Fprintf(&out, "[[peer]]\nname = %q\naddr = %q\n", name, gossipAddr(o))
		}
	}
	return []byte(out.String())
}

func (b *viewChecker) file(n int) *gossipconfig.Config {
	f, err := gossipconfig.Parse(b.path(n), b.text(n), b.names[n])
	if err != nil {
		panic(err) // the text is ours
	}
	return f
}

// started notes a process.
func (b *viewChecker) started(m *gatewayNode, gw *gateway.Gateway) {
	b.pids++
	m.process = process{pid: b.pids, gw: gw}
	b.history.Started(m.n, b.pids, b.w.sim.Since(), false, m.predecessor != nil)
}

func (b *viewChecker) ended(pid int) { b.history.Ended(pid, b.w.sim.Since()) }

// observe notes what each process believes that speaks. Nobody wakes up for it.
func (b *viewChecker) observe() {
	if b.done {
		return
	}
	for _, m := range b.w.gateways {
		for _, p := range []*process{&m.process, &m.before} {
			if p.gw == nil || p.gw.Membership() == nil || p == &m.process && !m.up && m.predecessor == nil {
				continue
			}
			v := p.gw.Membership()
			if v != p.view {
				p.view, p.joined = v, p.joined+1
			}
			st := v.Status(b.w.sim.Now())
			l := membershipcheck.Observation{At: b.w.sim.Since(), Gateway: m.n, PID: p.pid, Speaking: true,
				Join: p.joined, Settled: st.Converged, Majority: st.Majority, DuplicateName: st.DuplicateName,
				Alive: st.Alive, Sent: v.Counts().SentBytes, Beliefs: make([]membershipcheck.Belief, len(b.names))}
			for _, o := range v.Members() {
				i, ok := b.index[o.Name]
				if !ok {
					l.Strangers++
				} else {
					l.Beliefs[i] = membershipcheck.Belief{State: o.State.String(), Start: o.Start,
						Incarnation: o.Incarnation, Since: o.StateSince - epoch,
						Previous: o.PreviousState.String(), SuspectedBy: o.SuspectedBy}
				}
			}
			b.history.Observe(l)
			break
		}
	}
	b.w.sim.After(lookEvery, b.observe)
}

// inject is a cut of datagrams: a part from the rest, one that is heard by none, or a single pair.
func (b *viewChecker) inject(f Fault) {
	n, who := len(b.names), f.Who
	var c func(from, to int) bool
	switch f.What {
	case "part":
		c = func(from, to int) bool { return (from <= who) != (to <= who) }
	case "one-way":
		c = func(from, _ int) bool { return from == who }
	default:
		c = func(from, to int) bool {
			return from == who && to == (who+1)%n || to == who && from == (who+1)%n
		}
	}
	at := len(b.cuts)
	b.change(func() { b.cuts = append(b.cuts, c) })
	b.w.sim.After(msec(f.ForMS), func() { b.change(func() { b.cuts[at] = nil }) })
}

// change notes which paths a change of the cuts concerns.
func (b *viewChecker) change(do func()) {
	was := make(map[[2]int]bool)
	for x := range b.names {
		for y := range b.names {
			was[[2]int{x, y}] = b.cut(x, y)
		}
	}
	do()
	for x := range b.names {
		for y := range b.names {
			if is := b.cut(x, y); x != y && is != was[[2]int{x, y}] {
				b.history.Path(x, y, membershipcheck.PathState{At: b.w.sim.Since(), Cut: is, Loss: b.w.plan.LoseData})
			}
		}
	}
}

// halt stops a gateway's process for a while, as SIGSTOP does.
func (b *viewChecker) halt(m *gatewayNode, length time.Duration) {
	now := b.w.sim.Now()
	m.halts = append(m.halts, [2]time.Duration{now, now + length})
	b.history.Stopped(m.n, b.w.sim.Since(), true)
	m.loop.Halt(length)
	pid := m.process.pid
	b.w.sim.After(length, func() {
		if m.process.pid == pid {
			b.history.Stopped(m.n, b.w.sim.Since(), false)
		}
	})
}

// check finds the rules on views that were broken.
func (b *viewChecker) check() {
	b.done = true
	for _, f := range membershipcheck.Check(b.history) {
		b.w.find(f.Rule, f.ID, "%s", f.Detail)
	}
}

// nonsense sends a gateway datagrams that nobody meant: of another fleet, spoilt, cut short, or from a
// stranger.
func (b *viewChecker) nonsense(n int) {
	r := b.w.sim.Rand
	from := &datagramSocket{addr: gossipAddr((n + 1) % len(b.names))}
	foreign := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "other",
		From: gatewayName((n + 1) % len(b.names)), Start: 1 << 45, Kind: gossipcodec.Gossip})
	noise := make([]byte, r.IntN(300))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	whole := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "virtual", From: "nobody", Start: 1 << 45,
		Kind: gossipcodec.Ping, Seq: 9})
	for _, data := range [][]byte{foreign, noise, whole, whole[:len(whole)/2]} {
		b.w.net.datagram(from, gossipAddr(n), data)
	}
}
