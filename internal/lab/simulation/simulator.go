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

// Rules in addition to those of requestrecord.
const (
	Panicked                = "panic"
	Stuck                   = "stuck"              // a gateway did not exit after SIGTERM though it had no request to answer
	WokeUpIdle              = "not asleep"         // an idle gateway woke up too often
	Leaked                  = "leaked"             // more timers than idle connections need at the end of the run
	ValidRequestRefused     = "wronged"            // a valid request was answered as an invalid one
	DescriptorsExceeded     = "overspent"          // two processes of one gateway had more descriptors than its limit
	BadExit                 = "bad exit"           // a process ended with an error
	HostConnectionsExceeded = "crowded"            // more connections to one host than the assignments of a cluster allow
	IdleClosedDuringUpgrade = "shut door"          // an upgrade closed an idle client connection
	StoppedClientUnanswered = "not heard"          // a client that stopped in mid-request got no error or close in time
	AnswerCutOff            = "cut off"            // an answer ended before its last byte though host and network were well
	MemoryOverBudget        = "memory over budget" // a gateway's connections use more memory than they may together
	LeftClientServed        = "ran for nobody"     // a host got the whole request of a client that had left before the attempt
	EffectSuppressed        = "held back"          // an invariant checker suppressed an effect that would have broken a rule
)

// Limits of the rules.
const (
	drainGrace       = 300 * time.Millisecond // from a notice that a host leaves to the last send to the host
	withdrawDelay    = 300 * time.Millisecond // from SIGTERM until the front load balancer avoids the gateway
	killNoticeMargin = 5 * time.Millisecond   // uncertainty about the time of a kill
	quietPeriod      = 8 * time.Second        // without requests and faults, at the end of the run
	maxIdleWakeups   = 40                     // of a gateway in the second half of quietPeriod, by heartbeats and timers
	shutdownLimit    = 12 * time.Second       // from SIGTERM to the end of the process
)

// Finding is a broken rule: its name, the request, host or gateway concerned, and details.
type Finding struct {
	Rule   string `json:"rule"`
	ID     string `json:"id"`
	Detail string `json:"detail"`
}

// Outcome is the result of a run.
type Outcome struct {
	Hash      uint64
	Findings  []Finding
	Attempts  int
	Served    int
	Rejected  int
	Failed    int
	Steps     uint64
	Duration  time.Duration // virtual duration
	PeakRates string        // of a run with zones: the highest rates in one second, as text
	Partial   bool          // the run was interrupted before its end
}

// simulator holds the state of one run.
type simulator struct {
	plan        Plan
	file        *experiment.File
	sim         *Sim
	net         *Net
	discovery   *discoveryServer
	hosts       []*host
	formerHosts []*requestrecord.EndpointRecord // records of hosts that have been replaced
	gateways    []*gatewayNode
	clients     *requestrecord.ClientRecord
	idle        []*idleLink
	findings    []Finding
	statuses    map[int]int // number of responses by status
	attempts    int
	lastID      uint64
	lastPicked  int
	replaced    int  // number of hosts replaced so far
	unsafeViews bool // clients currently use settings in which the class tender-view is unsafe (not idempotent)
	views       *viewChecker
	rates       *clusterRates // in a run with zones and without Shares; else nil
	wrap        func(loop.Reducer) loop.Reducer
	checkers    []checkedGateway
	slowReaders []*client
	leftAt      map[string]time.Duration // when clients left, by id
	slowAnswers map[string]time.Duration // when hosts began answers that they write slowly, by id
}

// Play runs a plan. trace receives a line for each note; it may be nil.
func Play(p Plan, trace io.Writer) Outcome { return PlayContext(context.Background(), p, trace) }

// PlayContext runs a plan until it ends or ctx is done. If ctx is done first, the outcome is Partial: it holds
// the findings until then, without those of the checks at the end of a run.
func PlayContext(ctx context.Context, p Plan, trace io.Writer) Outcome {
	s := newSimulator(p, trace, func(r loop.Reducer) loop.Reducer { return r })
	s.sim.ctx = ctx
	return s.run()
}

// play runs a plan with each gateway's reducer wrapped, so that tests can plant defects.
func play(p Plan, trace io.Writer, wrap func(loop.Reducer) loop.Reducer) Outcome {
	return newSimulator(p, trace, wrap).run()
}

func newSimulator(p Plan, trace io.Writer, wrap func(loop.Reducer) loop.Reducer) *simulator {
	sim := NewSim(p.Seed, trace)
	s := &simulator{plan: p, sim: sim, net: NewNet(sim), clients: requestrecord.NewClientRecord(),
		statuses: make(map[int]int), file: buildExperiment(p), wrap: wrap, leftAt: make(map[string]time.Duration),
		slowAnswers: make(map[string]time.Duration)}
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
		s.rates = newClusterRates(s) // its bounds assume that gateways divide the hosts by gateway count and rank
	}
	s.build()
	// The faults of the network begin once everything is started.
	sim.Run(epoch + 300*time.Millisecond)
	s.net.SplitChance, s.net.ResetChance, s.net.LoseDialChance = p.Split, p.Resets, p.LoseDials
	s.watchMemory()
	start := sim.Now()
	end := 0
	for i, r := range p.Requests {
		sim.At(start+msec(r.AtMS), func() { s.startRequest(i, r, 0) })
		end = max(end, r.AtMS+2*(r.TimeoutMS+400), r.AtMS+r.slowMS())
	}
	for _, f := range p.Faults {
		sim.At(start+msec(f.AtMS), func() { s.inject(f) })
		end = max(end, f.AtMS+f.ForMS+1000)
	}
	sim.Run(start + msec(end) + 3*time.Second)
	if s.views != nil {
		sim.Run(sim.Now() + convergencePeriod)
	}
	found := len(s.findings) // findings after an interruption are discarded
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

// panicLocation returns the file and line at which a panic occurred: the first frame of this project below the
// panic call in a stack trace.
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
