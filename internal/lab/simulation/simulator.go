package simulation

import (
	"context"
	"io"
	"runtime/debug"
	"strings"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/loop"
)

// Rules beyond those of the records.
const (
	Panicked                = "panic"
	Stuck                   = "stuck"      // a gateway did not end after SIGTERM though nothing was left to answer
	WokeUpIdle              = "not asleep" // a gateway woke up though nothing happened
	Leaked                  = "leaked"     // links or timers beyond those that rest at the end of the day
	ValidRequestRefused     = "wronged"    // a good request was answered as a faulty one
	DescriptorsExceeded     = "overspent"  // two processes of one gateway had more descriptors than it may
	BadExit                 = "bad exit"   // a process ended with an error
	HostConnectionsExceeded = "crowded"    // more connections at one host than the parts of a fleet come to
	IdleClosedDuringUpgrade = "shut door"  // an upgrade closed a link under its client
	StoppedClientUnanswered = "not heard"  // a client that stopped in the middle of a request was not told in time
	EffectSuppressed        = "held back"  // a gateway's invariant checker suppressed an effect that would have broken a rule
)

// The rules in figures; see the operators' pages.
const (
	drainGrace       = 300 * time.Millisecond
	withdrawDelay    = 300 * time.Millisecond
	killNoticeMargin = 5 * time.Millisecond // what news of a kill may take
	quietPeriod      = 8 * time.Second      // of nothing at the end of the day
	maxIdleWakeups   = 40                   // of a gateway in the last half of that: heartbeats, and the balancer's own
	shutdownLimit    = 12 * time.Second     // of SIGTERM
)

// Finding is a broken rule.
type Finding struct {
	Rule   string `json:"rule"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// Outcome is what a run came to.
type Outcome struct {
	Hash     uint64
	Findings []Finding
	Tries    int
	Served   int
	Refused  int
	Failed   int
	Steps    uint64
	Lasted   time.Duration // of virtual time
	Sums     string        // of a fleet: the most in a second
	Partial  bool          // the run was interrupted
}

type simulator struct {
	plan        Plan
	file        *experiment.File
	sim         *Sim
	net         *Net
	discovery   *discoveryServer
	hosts       []*host
	formerHosts []*requestrecord.EndpointRecord
	gateways    []*gatewayNode
	clients     *requestrecord.ClientRecord
	idle        []*idleLink
	findings    []Finding
	statuses    map[int]int
	attempts    int
	lastID      uint64
	lastPicked  int
	replaced    int
	unsafeViews bool // views are unsafe now, as clients know it
	views       *viewChecker
	rates       *clusterRates // of a fleet; nil elsewhere
	wrap        func(loop.Reducer) loop.Reducer
	checkers    []checkedGateway
}

// Play runs a plan. trace gets a line for each thing that happens; it may be nil.
func Play(p Plan, trace io.Writer) Outcome { return PlayContext(context.Background(), p, trace) }

// PlayContext runs a plan until it is over or ctx is done. In the second case the outcome is Partial:
// it holds what was found until then, and nothing was compared at the end.
func PlayContext(ctx context.Context, p Plan, trace io.Writer) Outcome {
	s := newSimulator(p, trace, func(r loop.Reducer) loop.Reducer { return r })
	s.sim.ctx = ctx
	return s.run()
}

// play runs a plan with each gateway wrapped; tests plant defects so.
func play(p Plan, trace io.Writer, wrap func(loop.Reducer) loop.Reducer) Outcome {
	return newSimulator(p, trace, wrap).run()
}

func newSimulator(p Plan, trace io.Writer, wrap func(loop.Reducer) loop.Reducer) *simulator {
	sim := NewSim(p.Seed, trace)
	s := &simulator{plan: p, sim: sim, net: NewNet(sim), clients: requestrecord.NewClients(),
		statuses: make(map[int]int), file: buildExperiment(p), wrap: wrap}
	s.net.Latency, s.net.Jitter = time.Duration(p.LatencyUS)*time.Microsecond,
		time.Duration(p.JitterUS)*time.Microsecond
	return s
}

func (s *simulator) run() (out Outcome) {
	p, sim := s.plan, s.sim
	defer func() {
		if r := recover(); r != nil {
			s.addFinding(Panicked, "gateway", "%v at %s", r, panicLocation(string(debug.Stack())))
			out = s.outcome()
		}
	}()
	if p.Zones > 0 && !p.Shares {
		s.rates = newClusterRates(s) // its bounds are those of parts by count and number
	}
	s.build()
	// Faults of the network begin once everything stands.
	sim.Run(epoch + 300*time.Millisecond)
	s.net.SplitChance, s.net.ResetChance, s.net.LoseDialChance = p.Split, p.Resets, p.LoseDials
	start := sim.Now()
	end := 0
	for i, r := range p.Requests {
		sim.At(start+msec(r.AtMS), func() { s.startRequest(i, r, 0) })
		end = max(end, r.AtMS+2*(r.TimeoutMS+400))
	}
	for _, f := range p.Faults {
		sim.At(start+msec(f.AtMS), func() { s.inject(f) })
		end = max(end, f.AtMS+f.ForMS+1000)
	}
	sim.Run(start + msec(end) + 3*time.Second)
	if s.views != nil {
		sim.Run(sim.Now() + convergencePeriod)
	}
	found := len(s.findings) // what an interrupted run shows afterwards is no finding
	s.checkIdle()
	if s.views != nil {
		s.checkAssignments()
		s.views.check()
	}
	s.stopAll()
	s.compareRecords()
	s.checkSuppressed()
	if sim.interrupted() {
		s.findings = s.findings[:found]
	}
	return s.outcome()
}

// panicLocation is where a panic came from: the first line of this project's in a stack, below the panic itself.
func panicLocation(stack string) string {
	lines := strings.Split(stack, "\n")
	seen := false
	for _, l := range lines {
		seen = seen || strings.HasPrefix(l, "panic(")
		if at := strings.LastIndex(l, "/"); seen && strings.HasPrefix(l, "\t") && strings.Contains(l, ".go:") &&
			!strings.Contains(l, "/runtime/") {
			return strings.Fields(l[at+1:])[0]
		}
	}
	return "unknown"
}
