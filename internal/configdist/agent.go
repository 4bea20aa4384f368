package configdist

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
	"thymebend/internal/fielderror"
)

// Intervals and timeouts of an agent.
const (
	reportInterval = 2 * time.Second        // between reports without a change; they show that the gateway is alive
	answerTimeout  = 400 * time.Millisecond // wait for a control machine's answer before the message is sent again
	minBackoff     = 250 * time.Millisecond // first pause after no control machine has answered
	maxBackoff     = 2 * time.Second        // maximum of that pause, before jitter
	returnInterval = time.Minute            // stay with another control machine before the return to the first one
	stallThreshold = 4 * time.Second        // maximum gap between two calls; after a longer one a new session starts
)

// Limits of an agent.
const (
	maxSends            = 4        // times that one message is sent to a control machine; then the agent tries the next
	maxTransferBytes    = 32 << 20 // total size of the changes in one transfer
	maxServiceNameBytes = 96 << 10 // total size of service names; a gateway with more must subscribe to all
)

// noReason is reported for a rejection or failure whose reason is empty.
const noReason = "no reason given"

// ErrAgentConfig is returned when an agent's configuration or its list of services is invalid.
var ErrAgentConfig = errors.New("unusable configuration of an agent")

// ControlMachine identifies a control machine that an agent may subscribe to.
type ControlMachine struct {
	ID     uint64
	Region string
}

// LastGood is the last configuration that a gateway had in force. The gateway stores it across restarts.
type LastGood struct {
	Ref      content.Ref
	Services []string
	Tree     *content.Tree
}

// AgentConfig is the configuration that an agent starts with.
type AgentConfig struct {
	Gateway, Zone, Region string
	Services              []string // that the gateway serves; an empty list means all services
	Controllers           []ControlMachine
	LastGood              *LastGood // stored by the gateway's previous process, or nil
	Session               uint64    // greater than in any earlier process, such as Unix time in milliseconds
	Seed                  uint64
}

// ToController is a message to the control machine with the ID To.
type ToController struct {
	To      uint64
	Message codec.Message
}

// Install requests that the gateway put a configuration in force, completely or not at all. The gateway reports the
// outcome to Agent.Installed.
type Install struct {
	Ref  content.Ref
	Tree *content.Tree
}

// AgentOutput lists the effects that the caller must carry out now.
type AgentOutput struct {
	Messages []ToController
	Install  *Install
}

// AgentCounts counts events of an agent since it started.
type AgentCounts struct {
	Installed, Rejected uint64 // versions that the gateway put in force or rejected
	Sessions            uint64 // sessions started
	Snapshots           uint64 // versions that were transferred as a whole and not as a delta
	Stale               uint64 // messages dropped because they were of another session or control machine
	Fenced              uint64 // versions ignored because their number or term was lower than that of the one in force
	Forked              uint64 // versions ignored because they had the number of the one in force but differed from it
	Mismatched          uint64 // transfers whose content did not have the hash of the version
	Stalls              uint64 // gaps between two calls that exceeded stallThreshold
	Unreachable         uint64 // rounds in which no control machine served the agent
}

// Agent subscribes a gateway to a control machine, fetches new versions and reports which version is in force.
type Agent struct {
	cfg         AgentConfig
	rng         *rand.Rand
	controllers []uint64 // IDs, in the order in which the agent tries them
	current     int      // index in controllers of the control machine in use
	output      AgentOutput
	counts      AgentCounts

	now            time.Duration
	session        uint64
	subscribed     bool
	awaitingAnswer bool // the last message sent has not been answered
	sends          int  // times that the current message was sent
	unreachable    int  // consecutive control machines that did not serve the agent
	backoff        time.Duration
	nextSend       time.Duration // time of the next report or repeat
	returnAt       time.Duration // time to return to the first control machine

	inForce         content.Ref
	tree            *content.Tree
	services        []string    // that tree contains; empty means all
	servicesChanged bool        // tree was built for other services than cfg.Services
	attempt         uint64      // of the rollout that delivered the version in force
	lastVerdict     codec.State // last rejection or failure; its InForce is not set
	wantSnapshot    bool        // the last delta did not produce the hash of its version
	transfer        *transfer   // nil if no transfer is in progress
	installing      *installing // nil if no installation is in progress
}

// transfer is a version that the agent is fetching page by page.
type transfer struct {
	from, target content.Ref // from is zero for a snapshot
	attempt      uint64
	scope        content.Hash   // expected hash of the gateway's services at target
	after        content.Cursor // where the next page starts
	changes      []content.Change
	bytes        int // total size of the changes
}

// installing is a configuration that was passed to the gateway and whose outcome is not known yet.
type installing struct {
	ref      content.Ref
	attempt  uint64
	tree     *content.Tree
	services []string
}

// NewAgent starts an agent. Its first output subscribes to the first control machine of its order.
func NewAgent(cfg AgentConfig, now time.Duration) (*Agent, error) {
	if len(cfg.Controllers) == 0 || cfg.Gateway == "" || len(cfg.Gateway) > content.MaxNameBytes ||
		len(cfg.Zone) > content.MaxNameBytes {
		return nil, agentError("gateway %q in zone %q with %d control machines: "+
			"a name is empty or too long, or no control machine is given",
			cfg.Gateway, cfg.Zone, len(cfg.Controllers))
	}
	var err error
	if cfg.Services, err = serviceList(cfg.Services); err != nil {
		return nil, err
	}
	a := &Agent{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, xxh3.HashString(cfg.Gateway))),
		controllers: controllerOrder(cfg),
		now:         now,
		session:     cfg.Session,
		tree:        content.EmptyTree(),
		backoff:     minBackoff,
	}
	if cfg.LastGood != nil {
		a.inForce, a.tree, a.services = cfg.LastGood.Ref, cfg.LastGood.Tree, cfg.LastGood.Services
		a.servicesChanged = !slices.Equal(cfg.LastGood.Services, cfg.Services)
	}
	a.startSession(0)
	return a, nil
}

// Advance handles timers that are due. The caller calls it at the time that NextWake returns.
func (a *Agent) Advance(now time.Duration) {
	a.advanceClock(now)
	switch {
	case a.subscribed && a.current != 0 && a.now >= a.returnAt:
		a.current = 0
		a.startSession(0)
	case a.now < a.nextSend:
	case a.awaitingAnswer && a.sends >= maxSends:
		a.nextController()
	default:
		a.send()
	}
}

// NextWake returns the time at which Advance must be called next.
func (a *Agent) NextWake() time.Duration {
	if a.subscribed && a.current != 0 {
		return min(a.nextSend, a.returnAt)
	}
	return a.nextSend
}

// Receive handles a message of the control machine with the ID from. Messages of another session, or of a control
// machine that the agent does not use now, are dropped.
func (a *Agent) Receive(now time.Duration, from uint64, m codec.Message) {
	a.advanceClock(now)
	if from != a.controllers[a.current] || sessionOf(m) != a.session {
		a.counts.Stale++
		return
	}
	switch m.(type) {
	case *codec.UnknownSession:
		a.startSession(0)
		return
	case *codec.Busy:
		a.nextController()
		return
	}
	solicited := a.awaitingAnswer
	a.subscribed, a.awaitingAnswer, a.sends, a.unreachable, a.backoff = true, false, 0, 0, minBackoff
	a.nextSend = a.now + a.jitter(reportInterval)
	switch m := m.(type) {
	case *codec.Offer:
		a.receiveOffer(m, solicited)
	case *codec.Page:
		a.receivePage(m, solicited)
	}
}

// sessionOf returns the session that a control machine's message belongs to, or 0.
func sessionOf(m codec.Message) uint64 {
	switch m := m.(type) {
	case *codec.Offer:
		return m.Session
	case *codec.Page:
		return m.Session
	case *codec.UnknownSession:
		return m.Session
	case *codec.Busy:
		return m.Session
	}
	return 0
}

// SetServices changes the services that the agent subscribes to; an empty list means all. The configuration in force
// stays until that of the new services is installed. A list that is too long is an ErrAgentConfig.
func (a *Agent) SetServices(now time.Duration, services []string) error {
	a.advanceClock(now)
	services, err := serviceList(services)
	if err != nil || slices.Equal(services, a.cfg.Services) {
		return err
	}
	a.cfg.Services, a.servicesChanged = services, !slices.Equal(a.services, services)
	a.startSession(0)
	return nil
}

// Take returns the pending effects and removes them from the agent.
func (a *Agent) Take() AgentOutput {
	out := a.output
	a.output = AgentOutput{}
	return out
}

// InForce returns the configuration that is in force. The caller stores it for the gateway's next process.
func (a *Agent) InForce() LastGood {
	return LastGood{Ref: a.inForce, Services: a.services, Tree: a.tree}
}

// Controller returns the ID of the control machine that the agent uses, and whether that one has answered.
func (a *Agent) Controller() (id uint64, subscribed bool) {
	return a.controllers[a.current], a.subscribed
}

// Counts returns the event counts since the agent started.
func (a *Agent) Counts() AgentCounts { return a.counts }

// serviceList sorts the names of services and removes duplicates. Names that do not fit into a subscription are an
// error.
func serviceList(names []string) ([]string, error) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	bytes := 0
	for _, name := range names {
		bytes += len(name) + 1
	}
	if bytes > maxServiceNameBytes {
		return nil, agentError("services: %d names take %d bytes, the limit is %d; "+
			"give an empty list to subscribe to all services",
			len(names), bytes, maxServiceNameBytes)
	}
	return names, nil
}

func agentError(format string, args ...any) error {
	return fielderror.CauseWithText(ErrAgentConfig, "configdist: "+format, args...)
}
