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

// Checks of gateways with a membership view, a list of all gateways and their states. Each gateway has a gossip
// file, which names the other gateways, and the network carries the gateways' datagrams. The states that a
// gateway has in the views of the others are compared with the faults that were injected.

// viewsProfile plays gateways with a gossip file, with ordinary faults and faults of datagrams.
const viewsProfile = "views"

// Times and limits of the checks on views.
const (
	observeInterval   = 500 * time.Millisecond
	convergencePeriod = 16 * time.Second       // without faults at the end of the run, before all views must agree
	membershipWakeups = 240                    // further wake-ups allowed for the membership in half of quietPeriod
	excuseAfter       = 500 * time.Millisecond // how long after a halt a request may be sent and still go unanswered
)

// viewChecker records the processes, faults and views of a run's gateways. It is nil if they have no views.
type viewChecker struct {
	run     *simulator
	history *membershipcheck.History
	names   []string
	index   map[string]int
	cuts    []func(from, to int) bool // by order of their start; nil once a cut has ended
	pids    int                       // last process number
	done    bool                      // observation has ended
}

// process is one process of a gateway, with its view.
type process struct {
	pid int
	gw  *gateway.Gateway

	lastView *membership.Membership // its view at the last observation
	joined   int                    // number of views that the process has had, one after another
}

func gossipAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n), 1 + byte(n>>8)}), 7946)
}

func newViewChecker(s *simulator) *viewChecker {
	v := &viewChecker{run: s, index: make(map[string]int)}
	for n := range s.plan.Gateways {
		v.names = append(v.names, gatewayName(n))
		v.index[gatewayName(n)] = n
	}
	v.history = membershipcheck.NewHistory(v.names)
	if s.plan.Shares {
		v.history.SetReportsLoad()
	}
	s.net.LoseDatagramChance, s.net.DuplicateDatagramChance = s.plan.LoseDatagrams, s.plan.DuplicateDatagrams
	s.net.CutDatagrams = func(from, to netip.AddrPort) bool { return v.cut(gatewayByAddr(from), gatewayByAddr(to)) }
	if s.plan.LoseDatagrams > 0 {
		for x := range v.names {
			for y := range v.names {
				v.history.RecordPath(x, y, membershipcheck.PathState{Loss: s.plan.LoseDatagrams})
			}
		}
	}
	s.sim.After(observeInterval, v.observe)
	return v
}

// gatewayByAddr returns the index of the gateway with the given address.
func gatewayByAddr(a netip.AddrPort) int {
	raw := a.Addr().As4()
	return int(raw[3]-1)<<8 | int(raw[2])
}

func (v *viewChecker) cut(from, to int) bool {
	for _, c := range v.cuts {
		if c != nil && c(from, to) {
			return true
		}
	}
	return false
}

// gossipPath returns the path of a gateway's gossip file; gossipText returns its contents.
func (v *viewChecker) gossipPath(n int) string { return v.names[n] + ".fleet.toml" }

func (v *viewChecker) gossipText(n int) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "fleet = \"virtual\"\nlisten = %q\n", gossipAddr(n))
	if v.run.plan.Shares {
		fmt.Fprintf(&out, "[shares]\nwarm_rate = %.1f\n", warmRate)
	}
	for o, name := range v.names {
		if o != n {
			fmt.Fprintf(&out, "[[peer]]\nname = %q\naddr = %q\n", name, gossipAddr(o))
		}
	}
	return []byte(out.String())
}

func (v *viewChecker) gossipConfig(n int) *gossipconfig.Config {
	f, err := gossipconfig.Parse(v.gossipPath(n), v.gossipText(n), v.names[n])
	if err != nil {
		panic(err) // the text is generated above
	}
	return f
}

// started records the start of a process.
func (v *viewChecker) started(g *gatewayNode, gw *gateway.Gateway) {
	v.pids++
	g.process = process{pid: v.pids, gw: gw}
	v.history.RecordStart(g.index, v.pids, v.run.sim.Elapsed(), false, g.predecessor != nil)
}

func (v *viewChecker) ended(pid int) { v.history.RecordEnd(pid, v.run.sim.Elapsed()) }

// observe records the view of each process that sends datagrams. It wakes up no gateway.
func (v *viewChecker) observe() {
	if v.done {
		return
	}
	for _, g := range v.run.gateways {
		for _, p := range []*process{&g.process, &g.previous} {
			if p.gw == nil || p.gw.Membership() == nil || p == &g.process && !g.up && g.predecessor == nil {
				continue
			}
			view := p.gw.Membership()
			if view != p.lastView {
				p.lastView, p.joined = view, p.joined+1
			}
			st := view.Status(v.run.sim.Now())
			l := membershipcheck.Observation{At: v.run.sim.Elapsed(), Gateway: g.index, PID: p.pid, Active: true,
				JoinCount: p.joined, Converged: st.Converged, Majority: st.Majority, DuplicateName: st.DuplicateName,
				Alive: st.Alive, SentBytes: view.Counts().SentBytes, Members: make([]membershipcheck.MemberView, len(v.names))}
			for _, o := range view.Members() {
				i, ok := v.index[o.Name]
				if !ok {
					l.UnknownMembers++
				} else {
					l.Members[i] = membershipcheck.MemberView{State: o.State.String(), Start: o.Start,
						Incarnation: o.Incarnation, Since: o.StateSince - epoch,
						Previous: o.PreviousState.String(), SuspectedBy: o.SuspectedBy}
				}
			}
			v.history.Observe(l)
			break
		}
	}
	v.run.sim.After(observeInterval, v.observe)
}

// inject cuts datagrams: between one part of the gateways and the rest, from one gateway to all others, or between
// two gateways.
func (v *viewChecker) inject(f Fault) {
	n, who := len(v.names), f.Target
	var c func(from, to int) bool
	switch f.Variant {
	case "part":
		c = func(from, to int) bool { return (from <= who) != (to <= who) }
	case "one-way":
		c = func(from, _ int) bool { return from == who }
	default:
		c = func(from, to int) bool {
			return from == who && to == (who+1)%n || to == who && from == (who+1)%n
		}
	}
	at := len(v.cuts)
	v.recordPathChanges(func() { v.cuts = append(v.cuts, c) })
	v.run.sim.After(msec(f.ForMS), func() { v.recordPathChanges(func() { v.cuts[at] = nil }) })
}

// recordPathChanges calls do, and records which paths between gateways do has cut or restored.
func (v *viewChecker) recordPathChanges(do func()) {
	before := make(map[[2]int]bool)
	for x := range v.names {
		for y := range v.names {
			before[[2]int{x, y}] = v.cut(x, y)
		}
	}
	do()
	for x := range v.names {
		for y := range v.names {
			if cut := v.cut(x, y); x != y && cut != before[[2]int{x, y}] {
				v.history.RecordPath(x, y,
					membershipcheck.PathState{At: v.run.sim.Elapsed(), Cut: cut, Loss: v.run.plan.LoseDatagrams})
			}
		}
	}
}

// halt stops a gateway's process for the given time, as SIGSTOP does.
func (v *viewChecker) halt(g *gatewayNode, length time.Duration) {
	now := v.run.sim.Now()
	g.halts = append(g.halts, [2]time.Duration{now, now + length})
	v.history.RecordStop(g.index, v.run.sim.Elapsed(), true)
	g.loop.Halt(length)
	pid := g.process.pid
	v.run.sim.After(length, func() {
		if g.process.pid == pid {
			v.history.RecordStop(g.index, v.run.sim.Elapsed(), false)
		}
	})
}

// check records a finding for each broken rule about views.
func (v *viewChecker) check() {
	v.done = true
	for _, f := range membershipcheck.Check(v.history) {
		v.run.addFinding(f.Rule, f.ID, "%s", f.Detail)
	}
}

// sendMalformed sends a gateway datagrams that it must ignore: from another cluster, random bytes, truncated, or
// from an unknown member.
func (v *viewChecker) sendMalformed(n int) {
	r := v.run.sim.Rand
	from := &datagramSocket{addr: gossipAddr((n + 1) % len(v.names))}
	foreign := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "other",
		From: gatewayName((n + 1) % len(v.names)), Start: 1 << 45, Kind: gossipcodec.Gossip})
	noise := make([]byte, r.IntN(300))
	for i := range noise {
		noise[i] = byte(r.Uint32())
	}
	whole := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "virtual", From: "nobody", Start: 1 << 45,
		Kind: gossipcodec.Ping, Seq: 9})
	for _, data := range [][]byte{foreign, noise, whole, whole[:len(whole)/2]} {
		v.run.net.datagram(from, gossipAddr(n), data)
	}
}
