package configsim

import (
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/codec"
	"thymebend/internal/raft"
)

// ControlMachine is a control machine, whose process may be stopped and started again.
type ControlMachine struct {
	process
	ID         uint64
	Region     string
	Controller *configdist.Controller // nil while no process runs
	disk       *raft.MemoryStorage
	lastView   storeView
}

// StartControl starts a control machine's process from its persisted state, unless it runs.
func (cl *Cluster) StartControl(i int) {
	c := cl.ControlMachines[i]
	if c.up {
		return
	}
	c.start()
	controller, err := configdist.NewController(configdist.ControllerConfig{
		ID:            c.ID,
		Voters:        []uint64{1, 2, 3},
		Standbys:      []uint64{4},
		Restored:      c.disk.Load(),
		Seed:          cl.rng.Uint64(),
		Policy:        cl.cfg.Policy,
		PageBytes:     cl.cfg.PageBytes,
		SnapshotEvery: cl.cfg.Snapshots,
	}, cl.clock.Now())
	if err != nil {
		panic(err) // a fault of this package: it made the configuration
	}
	c.Controller = controller
	c.processOutput()
}

// KillControl ends a control machine's process abruptly. Its persisted state is preserved.
func (cl *Cluster) KillControl(i int) {
	cl.ControlMachines[i].end()
	cl.ControlMachines[i].Controller = nil
}

// StallControl stalls a control machine's process for a time.
func (cl *Cluster) StallControl(i int, length time.Duration) {
	c := cl.ControlMachines[i]
	c.stall(length, c.advance)
}

// Leader returns a control machine that leads and is in contact with a quorum, or nil.
func (cl *Cluster) Leader() *ControlMachine {
	for _, c := range cl.ControlMachines {
		if c.Controller != nil && !c.stalled {
			if s := c.Controller.Status(); s.IsLeader && s.Quorum {
				return c
			}
		}
	}
	return nil
}

// Propose proposes a command to a control machine, and assigns it a new ID if it has none. answer is called with the
// result once it is known, which may be never.
func (cl *Cluster) Propose(c *ControlMachine, command *configdist.Command, answer func(configdist.Result)) error {
	if c.Controller == nil || c.stalled {
		return raft.ErrNotLeader
	}
	if command.ID == 0 {
		cl.nextID++
		command.ID = cl.nextID
	}
	if answer != nil {
		cl.onResult[command.ID] = answer
	}
	err := c.Controller.Propose(cl.clock.Now(), *command)
	c.processOutput()
	return err
}

func (c *ControlMachine) advance() {
	c.measureCPU(func() { c.Controller.Advance(c.cluster.clock.Now()) })
	c.processOutput()
}

// processOutput sends a control machine's messages, checks its store, reports results and schedules its next wake-up.
func (c *ControlMachine) processOutput() {
	cl := c.cluster
	var out configdist.ControllerOutput
	var err error
	c.measureCPU(func() { out, err = c.Controller.Take(c.disk.Save) })
	if err != nil {
		cl.ReportViolation("control machine %d: %v", c.ID, err)
	}
	cl.invariants.observe(cl, c)
	for _, m := range out.Peers {
		to := cl.ControlMachines[m.To-1]
		c.send(&to.process, m.Message, func(received codec.Message) {
			// The error is not lost: Take, which processOutput calls, returns it too
			to.measureCPU(func() { _ = to.Controller.ReceivePeer(cl.clock.Now(), c.ID, received) })
			to.processOutput()
		})
	}
	for _, m := range out.Gateways {
		to := cl.Gateways[m.Link]
		c.send(&to.process, m.Message, func(received codec.Message) {
			to.measureCPU(func() { to.Agent.Receive(cl.clock.Now(), c.ID, received) })
			to.processOutput()
		})
	}
	for _, r := range out.Results {
		if answer := cl.onResult[r.ID]; answer != nil {
			delete(cl.onResult, r.ID)
			answer(r)
		}
	}
	c.wake(c.Controller.NextWake(), c.advance)
}
