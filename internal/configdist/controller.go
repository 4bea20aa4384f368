package configdist

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/raft"
)

// Times of a control machine.
const (
	leaderTimeout      = time.Second            // without the leader's messages: then no staged version is offered
	quietAfterStall    = 500 * time.Millisecond // in which no staged version is offered
	minOfferBackoff    = 500 * time.Millisecond // where no acknowledgement came
	maxOfferBackoff    = 4 * time.Second
	silenceTimeout     = 5 * time.Second  // without a gateway's message: then it is silent
	forgetTimeout      = 30 * time.Second // the same: then it is no subscriber any more
	fullReportInterval = 2 * time.Second  // between reports of all gateways to the leader
)

// Sizes of a control machine.
const (
	reportRepeats         = 3        // of each change to the leader, a tick apart: one may get lost
	defaultPageBytes      = 32 << 10 // of changes
	pushedPageShare       = 4        // a page over what is sent with an offer
	defaultMaxSubscribers = 2048
	maxSnapshotBytes      = 32 << 20 // of the log
	maxPendingResults     = 1000     // commands of this control machine that have no result yet
)

// ErrUnexpectedMessage is a message from one that does not send such messages.
var ErrUnexpectedMessage = errors.New("configdist: a message of another sender's kind")

// ControllerConfig is what a control machine starts from.
type ControllerConfig struct {
	ID             uint64
	Voters         []uint64              // of the first start of all
	Standbys       []uint64              // they have the log, serve gateways and do not vote
	Restored       *raft.PersistentState // of the process before, or nil
	Seed           uint64
	MaxSubscribers int // 0 is 2,048
	PageBytes      int // of changes in a page, of which a quarter is sent with an offer; 0 is 32 KiB
	SnapshotEvery  int // entries of the log between two snapshots; 0 is 1,000
	Policy         Policy
}

// ToGateway is a message to the gateway at a link.
type ToGateway struct {
	Link    uint64
	Message codec.Message
}

// ToPeer is a message to another control machine.
type ToPeer struct {
	To      uint64
	Message codec.Message
}

// ControllerOutput is what is to be done now.
type ControllerOutput struct {
	Peers    []ToPeer
	Gateways []ToGateway
	Results  []Result // of commands that were proposed here
}

// Controller is a control machine: a voter or standby of the replicated log that serves subscribed gateways, and
// moves rollouts on while it leads.
type Controller struct {
	cfg     ControllerConfig
	log     *raft.Replica
	machine *stateMachine
	output  ControllerOutput

	now            time.Duration
	nextTick       time.Duration
	leaderLastSeen time.Duration // the leader's last message
	quietUntil     time.Duration // no staged version is offered: it stood still
	subscribers    map[string]*subscriber
	names          []string // of the subscribers, sorted
	impact         impact
	reportedTo     uint64 // the leader that has had a full report; 0 is none
	nextFullReport time.Duration
	coordinator    coordinator
}

// NewController starts a control machine.
func NewController(cfg ControllerConfig, now time.Duration) (*Controller, error) {
	cfg.MaxSubscribers = cmp.Or(cfg.MaxSubscribers, defaultMaxSubscribers)
	cfg.PageBytes = cmp.Or(cfg.PageBytes, defaultPageBytes)
	m := &stateMachine{store: NewStore(), pending: make(map[uint64]bool)}
	log, err := raft.NewReplica(raft.Config{
		ID: cfg.ID, Voters: cfg.Voters, Learners: cfg.Standbys, Restored: cfg.Restored, Seed: cfg.Seed,
		MaxSnapshot: maxSnapshotBytes, SnapshotEvery: cfg.SnapshotEvery,
	}, m, now)
	if err != nil {
		return nil, err
	}
	return &Controller{
		cfg:         cfg,
		log:         log,
		machine:     m,
		now:         now,
		nextTick:    now + raft.TickInterval,
		quietUntil:  now + quietAfterStall,
		subscribers: make(map[string]*subscriber),
		coordinator: newCoordinator(cfg.Policy),
	}, nil
}

// Store is the state as far as this control machine has applied the log. It is not to be changed.
func (c *Controller) Store() *Store { return c.machine.store }

// Status tells how the replicated log stands.
func (c *Controller) Status() raft.Status { return c.log.Status() }

// Subscribers counts the gateways that have subscribed here.
func (c *Controller) Subscribers() int { return len(c.subscribers) }

// Propose puts a command into the log. Its result comes out of Take once most voters have it, or never: then it is
// proposed again, with the same ID, which must not be 0. What can be rejected at once is.
func (c *Controller) Propose(now time.Duration, command Command) error {
	c.advanceClock(now)
	if err := c.log.CheckLeader(now); err != nil {
		return err
	}
	if len(c.machine.pending) >= maxPendingResults {
		return raft.ErrBusy
	}
	if r := c.machine.store.dryRun(&command); r.Err != nil {
		return r.Err
	}
	return c.propose(command)
}

// propose puts a command into the log that its own parser reads back.
func (c *Controller) propose(command Command) error {
	data := command.AppendTo(nil)
	if _, err := ParseCommand(data); err != nil {
		return err
	}
	if err := c.log.Propose(c.now, data); err != nil {
		return err
	}
	if command.ID != 0 {
		c.machine.pending[command.ID] = true
	}
	return nil
}

// ReplaceVoter has a standby take the place of a voter that is lost for good.
func (c *Controller) ReplaceVoter(now time.Duration, standby, lost uint64) error {
	c.advanceClock(now)
	return c.log.AddLearner(now, standby, lost)
}

// advanceClock lets time pass, and notes that the control machine stood still: what it believes of its leader may be
// old.
func (c *Controller) advanceClock(now time.Duration) {
	if now-c.now > leaderTimeout {
		c.quietUntil = now + quietAfterStall
	}
	c.now = max(c.now, now)
}

// NextWake is when Advance is to be called.
func (c *Controller) NextWake() time.Duration { return c.nextTick }

// Advance is to be called at NextWake.
func (c *Controller) Advance(now time.Duration) {
	c.advanceClock(now)
	if c.now < c.nextTick {
		return
	}
	c.nextTick = c.now + raft.TickInterval
	c.log.Tick(c.now)
	c.serve()
	c.reportToLeader()
	c.coordinate()
}

// ReceivePeer takes a message of another control machine. One that cannot be used is an error and changes nothing.
func (c *Controller) ReceivePeer(now time.Duration, from uint64, m codec.Message) error {
	c.advanceClock(now)
	switch m := m.(type) {
	case *codec.RaftMessage:
		if err := c.log.Step(now, from, m.Data); err != nil {
			return err
		}
		if c.log.Status().Leader == from {
			c.leaderLastSeen = c.now
		}
	case *codec.GatewayReports:
		c.coordinator.receive(c.now, from, m)
	default:
		return fmt.Errorf("%w: a gateway's message from a control machine", ErrUnexpectedMessage)
	}
	return nil
}

// Receive takes a message of a gateway.
func (c *Controller) Receive(now time.Duration, link uint64, m codec.Message) error {
	c.advanceClock(now)
	switch m := m.(type) {
	case *codec.Subscribe:
		c.receiveSubscribe(link, m)
	case *codec.Report:
		if s := c.session(link, m.Gateway, m.Session); s != nil {
			c.acknowledge(s, m.State)
			c.offer(s)
		}
	case *codec.Fetch:
		if s := c.session(link, m.Gateway, m.Session); s != nil {
			c.sendPage(s, m)
		}
	default:
		return fmt.Errorf("%w: a control machine's message from a gateway", ErrUnexpectedMessage)
	}
	return nil
}

// Take does all that is ready. What has to be persisted is given to persist before anything that rests on it comes
// out.
func (c *Controller) Take(persist func(raft.PersistentState) error) (ControllerOutput, error) {
	messages, err := c.log.Ready(persist)
	for _, m := range messages {
		c.output.Peers = append(c.output.Peers, ToPeer{m.To, &codec.RaftMessage{Data: m.Data}})
	}
	if c.machine.changed {
		c.machine.changed = false
		c.updateImpact()
		c.serve()
		c.reportToLeader()
		c.coordinate()
	}
	out := c.output
	out.Results = c.machine.results
	c.output, c.machine.results = ControllerOutput{}, nil
	return out, err
}
