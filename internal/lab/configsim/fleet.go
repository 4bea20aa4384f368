// Package configsim puts control machines and the agents of gateways on a virtual clock and network, and holds them to the rules of a rollout. Play draws
// a run of some tens of gateways with troubles by a seed; Measure plays a whole fleet's size.
//
// A Fleet can be put on another Clock and Network: New, StartControl and StartGateway for each place, Submit for changes, InForce for how many have a
// version, Config.Installed to be told of each, and Sent, Received and Used of each place for what it cost.
package configsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

// Config is a fleet's size and ways.
type Config struct {
	Name      string
	Gateways  int
	Zones     int
	Regions   int
	Services  func(gateway int) []string // that a gateway serves; nil for all
	Policy    configdist.Policy
	PageBytes int // see rollout.ControllerConfig
	Snapshots int // entries between two of the log's; 0 for the default
	Seed      uint64
	Installed func(g *Gateway, ref content.Ref) // is told of each version in force, or nil
}

// machines is how many control machines there are: three voters and a standby.
const machines = 4

// Control is a control machine's place.
type Control struct {
	process
	ID         uint64
	Region     string
	Controller *configdist.Controller // nil while no process runs
	disk       *raft.MemoryStorage
	seen       seen
}

// Gateway is a gateway's place.
type Gateway struct {
	process
	Name, Zone, Region string
	Services           []string
	Agent              *configdist.Agent    // nil while no process runs
	Running            configdist.LastGood  // what its process has in force
	disk               *configdist.LastGood // the last good configuration
	fence              content.Ref          // the newest that was ever in force under this name
	born               int                  // how often the place was given to a new machine
}

// Fleet is control machines and gateways.
type Fleet struct {
	Controls []*Control
	Gateways []*Gateway
	Findings []string

	cfg    Config
	clock  Clock
	net    Network
	rng    *rand.Rand
	ledger ledger
	answer map[uint64]func(configdist.Result) // by the command's ID
	nextID uint64
}

// New makes a fleet. None of its processes runs yet.
func New(cfg Config, clock Clock, net Network) *Fleet {
	f := &Fleet{cfg: cfg, clock: clock, net: net, rng: rand.New(rand.NewPCG(cfg.Seed, 0x4011)), ledger: newLedger(), answer: make(map[uint64]func(configdist.Result))}
	for i := range machines {
		c := &Control{process: process{fleet: f, at: Endpoint{true, i}}, ID: uint64(i + 1), Region: regionName(i * cfg.Regions / machines), disk: &raft.MemoryStorage{}}
		f.Controls = append(f.Controls, c)
	}
	for i := range cfg.Gateways {
		zone := i % cfg.Zones
		g := &Gateway{process: process{fleet: f, at: Endpoint{false, i}}, Zone: fmt.Sprint("zone-", zone), Region: regionName(zone * cfg.Regions / cfg.Zones)}
		g.Name = fmt.Sprintf("g-%04d", i)
		if cfg.Services != nil {
			g.Services = slices.Sorted(slices.Values(cfg.Services(i)))
		}
		f.Gateways = append(f.Gateways, g)
	}
	return f
}

func regionName(i int) string { return fmt.Sprint("region-", i) }

// Find notes a broken rule.
func (f *Fleet) Find(format string, args ...any) {
	f.Findings = append(f.Findings, fmt.Sprintf("%.3f s: ", f.clock.Now().Seconds())+fmt.Sprintf(format, args...))
}

// InForce counts the gateways that are up, and those of them that have a version or a newer one in force.
func (f *Fleet) InForce(number uint64) (have, up int) {
	for _, g := range f.Gateways {
		if !g.up {
			continue
		}
		up++
		if g.Running.Ref.Number >= number {
			have++
		}
	}
	return have, up
}

// Newest is the highest version that was seen to be committed.
func (f *Fleet) Newest() uint64 { return f.ledger.newest }

// StartControl starts a control machine's process with what it has kept.
func (f *Fleet) StartControl(i int) {
	c := f.Controls[i]
	if c.up {
		return
	}
	c.start()
	controller, err := configdist.NewController(configdist.ControllerConfig{ID: c.ID, Voters: []uint64{1, 2, 3}, Standbys: []uint64{4}, Restored: c.disk.Load(),
		Seed: f.rng.Uint64(), Policy: f.cfg.Policy, PageBytes: f.cfg.PageBytes, SnapshotEvery: f.cfg.Snapshots}, f.clock.Now())
	if err != nil {
		panic(err) // the configuration is ours
	}
	c.Controller = controller
	c.called()
}

// KillControl ends a control machine's process without a word. What it kept stays.
func (f *Fleet) KillControl(i int) {
	f.Controls[i].end()
	f.Controls[i].Controller = nil
}

// StallControl has a control machine stand still for a while.
func (f *Fleet) StallControl(i int, length time.Duration) {
	c := f.Controls[i]
	c.stall(length, c.advance)
}

// Leader is a control machine that leads and is heard by most, or nil.
func (f *Fleet) Leader() *Control {
	for _, c := range f.Controls {
		if c.Controller != nil && !c.stalled {
			if s := c.Controller.Status(); s.IsLeader && s.Quorum {
				return c
			}
		}
	}
	return nil
}

// Propose proposes a command to a control machine, under a new ID if it has none. answer is told how it went, if that is ever known.
func (f *Fleet) Propose(c *Control, command *configdist.Command, answer func(configdist.Result)) error {
	if c.Controller == nil || c.stalled {
		return raft.ErrNotLeader
	}
	if command.ID == 0 {
		f.nextID++
		command.ID = f.nextID
	}
	if answer != nil {
		f.answer[command.ID] = answer
	}
	err := c.Controller.Propose(f.clock.Now(), *command)
	c.called()
	return err
}

func (c *Control) advance() {
	c.spend(func() { c.Controller.Advance(c.fleet.clock.Now()) })
	c.called()
}

// called sends what a control machine wants sent, looks at its store, and has it called when it wants.
func (c *Control) called() {
	f := c.fleet
	var out configdist.ControllerOutput
	var err error
	c.spend(func() { out, err = c.Controller.Take(c.disk.Save) })
	if err != nil {
		f.Find("control machine %d: %v", c.ID, err)
	}
	f.ledger.look(f, c)
	for _, m := range out.Peers {
		to := f.Controls[m.To-1]
		c.post(&to.process, m.Message, func(heard codec.Message) {
			to.spend(func() { _ = to.Controller.ReceivePeer(f.clock.Now(), c.ID, heard) }) // one that has just failed says so; Take does too
			to.called()
		})
	}
	for _, m := range out.Gateways {
		to := f.Gateways[m.Link]
		c.post(&to.process, m.Message, func(heard codec.Message) {
			to.spend(func() { to.Agent.Receive(f.clock.Now(), c.ID, heard) })
			to.called()
		})
	}
	for _, r := range out.Results {
		if answer := f.answer[r.ID]; answer != nil {
			delete(f.answer, r.ID)
			answer(r)
		}
	}
	c.wake(c.Controller.NextWake(), c.advance)
}

// StartGateway starts a gateway's process with its last good configuration.
func (f *Fleet) StartGateway(i int) {
	g := f.Gateways[i]
	if g.up {
		return
	}
	g.start()
	var list []configdist.ControlMachine
	for _, c := range f.Controls {
		list = append(list, configdist.ControlMachine{ID: c.ID, Region: c.Region})
	}
	agent, err := configdist.NewAgent(configdist.AgentConfig{Gateway: g.Name, Zone: g.Zone, Region: g.Region, Services: g.Services, Controllers: list,
		LastGood: g.disk, Session: uint64(g.life) << 20, Seed: f.rng.Uint64()}, f.clock.Now())
	if err != nil {
		panic(err) // the configuration is ours
	}
	g.Agent, g.Running = agent, agent.InForce()
	g.called()
}

// KillGateway ends a gateway's process without a word.
func (f *Fleet) KillGateway(i int) {
	f.Gateways[i].end()
	f.Gateways[i].Agent = nil
}

// ReplaceGateway has another machine, which has kept nothing, take a gateway's place.
func (f *Fleet) ReplaceGateway(i int) {
	g := f.Gateways[i]
	f.KillGateway(i)
	g.disk, g.fence = nil, content.Ref{}
	g.born++
	g.Name = fmt.Sprintf("g-%04d-%d", i, g.born)
	f.StartGateway(i)
}

// StallGateway has a gateway stand still for a while.
func (f *Fleet) StallGateway(i int, length time.Duration) {
	g := f.Gateways[i]
	g.stall(length, g.advance)
}

func (g *Gateway) advance() {
	g.spend(func() { g.Agent.Advance(g.fleet.clock.Now()) })
	g.called()
}

// called sends what an agent wants sent, has the gateway install what it is handed, and has the agent called when it wants.
func (g *Gateway) called() {
	f := g.fleet
	out := g.Agent.Take()
	for _, m := range out.Messages {
		to := f.Controls[m.To-1]
		link := uint64(g.at.Index)
		g.post(&to.process, m.Message, func(heard codec.Message) {
			to.spend(func() { _ = to.Controller.Receive(f.clock.Now(), link, heard) }) // a gateway's messages are none of a control machine's
			to.called()
		})
	}
	if out.Install != nil {
		g.install(*out.Install)
	}
	if has := g.Agent.InForce(); has.Ref != g.Running.Ref {
		f.Find("%s: its agent has %v in force, the gateway %v", g.Name, has.Ref, g.Running.Ref)
	}
	g.wake(g.Agent.NextWake(), g.advance)
}

// install validates and installs a configuration after the time that this takes, and tells the agent.
func (g *Gateway) install(next configdist.Install) {
	f := g.fleet
	life := g.life
	f.clock.At(f.clock.Now()+time.Duration(1+f.rng.IntN(20))*time.Millisecond, func() {
		if g.life != life {
			return
		}
		g.run(func() {
			if g.life != life {
				return
			}
			err := refusal(g, next)
			if err == nil {
				f.ledger.installed(f, g, next)
				g.Running = configdist.LastGood{Ref: next.Ref, Services: g.Services, Tree: next.Tree}
			}
			g.Agent.Installed(f.clock.Now(), next.Ref, err)
			if err == nil {
				kept := g.Agent.InForce()
				g.disk = &kept
				if f.cfg.Installed != nil {
					f.cfg.Installed(g, next.Ref)
				}
			}
			if reason := failure(g, next); err == nil && reason != "" {
				g.Agent.Fail(f.clock.Now(), reason)
			}
			g.called()
		})
	})
}
