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

// Times of an agent.
const (
	reportInterval = 2 * time.Second        // between reports without news, which are a sign of life
	answerTimeout  = 400 * time.Millisecond // of a control machine, before the same is sent again
	minBackoff     = 250 * time.Millisecond // after all control machines were tried in vain
	maxBackoff     = 2 * time.Second
	returnInterval = time.Minute     // after which the first control machine of the agent's order is tried again
	stallThreshold = 4 * time.Second // between two calls: what has waited meanwhile is dropped
)

// Bounds of an agent.
const (
	maxSends            = 4        // of the same, before the next control machine is tried
	maxTransferBytes    = 32 << 20 // of changes that are collected
	maxServiceNameBytes = 96 << 10 // of all names of services; a gateway that serves more takes all services
)

// noReason stands for the reason of a rejection or failure that has none.
const noReason = "no reason given"

// ErrAgentConfig is an agent's configuration, or a list of services, that cannot be.
var ErrAgentConfig = errors.New("unusable configuration of an agent")

// ControlMachine is one that an agent may subscribe to.
type ControlMachine struct {
	ID     uint64
	Region string
}

// LastGood is the last good configuration, as a gateway keeps it over its restarts.
type LastGood struct {
	Ref      content.Ref
	Services []string
	Tree     *content.Tree
}

// AgentConfig is what an agent starts from.
type AgentConfig struct {
	Gateway, Zone, Region string
	Services              []string // that the gateway serves; none is all
	Controllers           []ControlMachine
	LastGood              *LastGood // of the process before, or nil
	Session               uint64    // above that of any process before, as Unix time in milliseconds is
	Seed                  uint64
}

// ToController is a message to a control machine.
type ToController struct {
	To      uint64
	Message codec.Message
}

// Install is a configuration to be put in force, whole or not at all. Agent.Installed takes how it went.
type Install struct {
	Ref  content.Ref
	Tree *content.Tree
}

// AgentOutput is what is to be done now.
type AgentOutput struct {
	Messages []ToController
	Install  *Install
}

// AgentCounts are what has happened to an agent.
type AgentCounts struct {
	Installed, Rejected uint64 // versions
	Sessions            uint64 // begun
	Snapshots           uint64 // versions that were collected without a delta
	Stale               uint64 // messages of another session or control machine, dropped
	Fenced              uint64 // versions that were older than the one in force, or of an older term
	Forked              uint64 // versions of the number in force with other content
	Mismatched          uint64 // contents whose hash was not their version's
	Stalls              uint64 // times that the agent stood still
	Unreachable         uint64 // times that all control machines were tried in vain
}

// Agent is a gateway's part.
type Agent struct {
	cfg         AgentConfig
	rng         *rand.Rand
	controllers []uint64 // in the order in which they are tried
	current     int      // index of the one that the agent speaks to
	output      AgentOutput
	counts      AgentCounts

	now            time.Duration
	session        uint64
	subscribed     bool
	awaitingAnswer bool // to what was sent last
	sends          int  // of the same
	unreachable    int  // control machines tried in vain, one after another
	backoff        time.Duration
	nextSend       time.Duration // of the next report, or of the same again
	returnAt       time.Duration // to the first control machine

	inForce         content.Ref
	tree            *content.Tree
	services        []string    // of the tree
	servicesChanged bool        // they are not those that are served now
	attempt         uint64      // of the rollout that brought what is in force
	lastVerdict     codec.State // without InForce
	wantSnapshot    bool        // a delta did not come to what its version says
	transfer        *transfer   // nil where nothing is collected
	installing      *installing // nil where the gateway has been handed nothing
}

// transfer is a configuration that is being collected.
type transfer struct {
	from, target content.Ref // from is zero for a snapshot
	attempt      uint64
	scope        content.Hash   // of the gateway's services at target
	after        content.Cursor // of the last page
	changes      []content.Change
	bytes        int // of the changes
}

// installing is a configuration that the gateway has been handed.
type installing struct {
	ref      content.Ref
	attempt  uint64
	tree     *content.Tree
	services []string
}

// NewAgent starts an agent. It subscribes at once.
func NewAgent(cfg AgentConfig, now time.Duration) (*Agent, error) {
	if len(cfg.Controllers) == 0 || cfg.Gateway == "" || len(cfg.Gateway) > content.MaxNameBytes ||
		len(cfg.Zone) > content.MaxNameBytes {
		return nil, agentError("gateway %q of zone %q with %d control machines",
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

// Advance is to be called at NextWake.
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

// NextWake is when Advance is to be called.
func (a *Agent) NextWake() time.Duration {
	if a.subscribed && a.current != 0 {
		return min(a.nextSend, a.returnAt)
	}
	return a.nextSend
}

// Receive takes a message of a control machine.
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

// sessionOf is the session that a control machine's message belongs to.
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

// SetServices has the agent take other services. The ones in force stay until the new ones are there.
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

// Take returns what is to be done now.
func (a *Agent) Take() AgentOutput {
	out := a.output
	a.output = AgentOutput{}
	return out
}

// InForce is the configuration that is in force, to be kept for the next process.
func (a *Agent) InForce() LastGood {
	return LastGood{Ref: a.inForce, Services: a.services, Tree: a.tree}
}

// Controller is the control machine that the agent speaks to, and whether that one has answered.
func (a *Agent) Controller() (id uint64, subscribed bool) {
	return a.controllers[a.current], a.subscribed
}

// Counts are what has happened so far.
func (a *Agent) Counts() AgentCounts { return a.counts }

// serviceList sorts the names of services, each once, and refuses more than a subscription can hold.
func serviceList(names []string) ([]string, error) {
	names = slices.Compact(slices.Sorted(slices.Values(names)))
	bytes := 0
	for _, name := range names {
		bytes += len(name) + 1
	}
	if bytes > maxServiceNameBytes {
		return nil, agentError("services: %d names of %d bytes, %d bytes at most; name none to take all",
			len(names), bytes, maxServiceNameBytes)
	}
	return names, nil
}

func agentError(format string, args ...any) error {
	return fielderror.CauseWithText(ErrAgentConfig, "configdist: "+format, args...)
}
