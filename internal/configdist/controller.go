package configdist

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/raft"
)

// Intervals and timeouts of a control machine. "Rollouts are not offered" means that gateways are not offered the
// version of a rollout in progress.
const (
	leaderTimeout      = time.Second            // after the leader's last message; then rollouts are not offered
	quietAfterStall    = 500 * time.Millisecond // after a start or stall; meanwhile rollouts are not offered
	minOfferBackoff    = 500 * time.Millisecond // until an unacknowledged offer is repeated; doubles each time
	maxOfferBackoff    = 4 * time.Second
	silenceTimeout     = 5 * time.Second  // since a gateway's last message; then it counts as silent
	forgetTimeout      = 30 * time.Second // since a gateway's last message; then its subscription ends
	fullReportInterval = 2 * time.Second  // between full reports, which list all gateways, to the leader
)

// Limits of a control machine.
const (
	reportRepeats         = 3        // reports of each change to the leader, one per tick, because one may be lost
	defaultPageBytes      = 32 << 10 // size of the changes in a page
	pushedPageShare       = 4        // a page sent in place of an offer is limited to PageBytes divided by this
	defaultMaxSubscribers = 2048
	maxSnapshotBytes      = 32 << 20 // size of a snapshot of the log
	maxPendingResults     = 1000     // commands proposed at this control machine that have no result yet
)

// ErrUnexpectedMessage is returned for a message that this kind of sender does not send.
var ErrUnexpectedMessage = errors.New("configdist: unexpected message for this kind of sender")

// ControllerConfig is the configuration that a control machine starts with.
type ControllerConfig struct {
	ID             uint64
	Voters         []uint64              // IDs, as of the first start of the cluster
	Standbys       []uint64              // IDs of machines that replicate the log and serve gateways, but do not vote
	Restored       *raft.PersistentState // persisted by this machine's previous process, or nil
	Seed           uint64
	MaxSubscribers int // limit of subscribed gateways; 0 means 2,048
	PageBytes      int // limit of the changes in a page; a page sent as an offer has a quarter; 0 means 32 KiB
	SnapshotEvery  int // entries of the log between two snapshots; 0 means 1,000
	Policy         Policy
}

// ToGateway is a message to the gateway that is connected by a link.
type ToGateway struct {
	Link    uint64
	Message codec.Message
}

// ToPeer is a message to the control machine with the ID To.
type ToPeer struct {
	To      uint64
	Message codec.Message
}

// ControllerOutput lists the effects that the caller must carry out now.
type ControllerOutput struct {
	Peers    []ToPeer
	Gateways []ToGateway
	Results  []Result // of commands that were proposed at this control machine
}

// Controller is the state of a control machine: a voter or standby of the replicated log that serves subscribed
// gateways. While it is the leader, it also advances rollouts.
type Controller struct {
	cfg     ControllerConfig
	log     *raft.Replica
	machine *stateMachine
	output  ControllerOutput

	now            time.Duration
	nextTick       time.Duration
	leaderLastSeen time.Duration // time of the leader's last message
	quietUntil     time.Duration // until then no version in a rollout is offered, after a start or stall
	subscribers    map[string]*subscriber
	names          []string // of the subscribed gateways, sorted
	impact         impact
	reportedTo     uint64 // ID of the leader that received the last full report; 0 means none
	nextFullReport time.Duration
	coordinator    coordinator
}

// NewController starts a control machine, from its persisted state if there is one.
func NewController(cfg ControllerConfig, now time.Duration) (*Controller, error) {
	cfg.MaxSubscribers = cmp.Or(cfg.MaxSubscribers, defaultMaxSubscribers)
	cfg.PageBytes = cmp.Or(cfg.PageBytes, defaultPageBytes)
	m := &stateMachine{store: NewStore(), pending: make(map[uint64]bool)}
	log, err := raft.NewReplica(raft.Config{
		ID: cfg.ID, Voters: cfg.Voters, Learners: cfg.Standbys, Restored: cfg.Restored, Seed: cfg.Seed,
		MaxSnapshotBytes: maxSnapshotBytes, SnapshotInterval: cfg.SnapshotEvery,
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

// Store returns the state as of the last log entry applied here. Callers must not change it.
func (c *Controller) Store() *Store { return c.machine.store }

// Status returns the status of the replicated log.
func (c *Controller) Status() raft.Status { return c.log.Status() }

// Subscribers returns the number of gateways that are subscribed to this control machine.
func (c *Controller) Subscribers() int { return len(c.subscribers) }

// Propose proposes a command for the log. Take returns its result once a majority of the voters have stored it; if
// the command is lost, there is no result, and the caller proposes it again with the same ID, which must not be 0. It
// returns an error if the current store would reject the command or this machine cannot propose now.
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

// propose proposes a command for the log, provided that ParseCommand accepts its encoding.
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

// ReplaceVoter makes a standby the replacement of a voter that is permanently lost.
func (c *Controller) ReplaceVoter(now time.Duration, standby, lost uint64) error {
	c.advanceClock(now)
	return c.log.AddLearner(now, standby, lost)
}

// advanceClock sets the current time. If it advances by more than leaderTimeout, the control machine was stalled and
// its knowledge of the leader may be outdated; it then offers no version in a rollout for quietAfterStall.
func (c *Controller) advanceClock(now time.Duration) {
	if now-c.now > leaderTimeout {
		c.quietUntil = now + quietAfterStall
	}
	c.now = max(c.now, now)
}

// NextWake returns the time at which Advance must be called next.
func (c *Controller) NextWake() time.Duration { return c.nextTick }

// Advance handles the next tick, if it is due. The caller calls it at the time that NextWake returns.
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

// ReceivePeer handles a message of another control machine. A message that cannot be used is an error and changes
// nothing.
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
		return fmt.Errorf("%w: a control machine sent a message that control machines do not exchange",
			ErrUnexpectedMessage)
	}
	return nil
}

// Receive handles a message of a gateway that arrived on a link. A message that gateways do not send is an error.
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
		return fmt.Errorf("%w: a gateway sent a message that gateways do not send", ErrUnexpectedMessage)
	}
	return nil
}

// Take processes what is ready, and returns the pending effects and removes them from the controller. It passes the
// state that must be persisted to persist before it returns effects that depend on that state.
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
