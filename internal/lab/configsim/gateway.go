package configsim

import (
	"fmt"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// Gateway is a gateway's place.
type Gateway struct {
	process
	Name, Zone, Region string
	Services           []string
	Agent              *configdist.Agent    // nil while no process runs
	Running            configdist.LastGood  // what its process has in force
	disk               *configdist.LastGood // the last good configuration
	newestInForce      content.Ref          // the newest that was ever in force under this name
	replacements       int                  // how often the place was given to a new machine
}

// StartGateway starts a gateway's process with its last good configuration.
func (cl *Cluster) StartGateway(i int) {
	g := cl.Gateways[i]
	if g.up {
		return
	}
	g.start()
	var list []configdist.ControlMachine
	for _, c := range cl.ControlMachines {
		list = append(list, configdist.ControlMachine{ID: c.ID, Region: c.Region})
	}
	agent, err := configdist.NewAgent(configdist.AgentConfig{
		Gateway:     g.Name,
		Zone:        g.Zone,
		Region:      g.Region,
		Services:    g.Services,
		Controllers: list,
		LastGood:    g.disk,
		Session:     uint64(g.incarnation) << 20,
		Seed:        cl.rng.Uint64(),
	}, cl.clock.Now())
	if err != nil {
		panic(err) // the configuration is ours
	}
	g.Agent, g.Running = agent, agent.InForce()
	g.processOutput()
}

// KillGateway ends a gateway's process without a word.
func (cl *Cluster) KillGateway(i int) {
	cl.Gateways[i].end()
	cl.Gateways[i].Agent = nil
}

// ReplaceGateway has another machine, which has kept nothing, take a gateway's place.
func (cl *Cluster) ReplaceGateway(i int) {
	g := cl.Gateways[i]
	cl.KillGateway(i)
	g.disk, g.newestInForce = nil, content.Ref{}
	g.replacements++
	g.Name = fmt.Sprintf("g-%04d-%d", i, g.replacements)
	cl.StartGateway(i)
}

// StallGateway has a gateway stand still for a while.
func (cl *Cluster) StallGateway(i int, length time.Duration) {
	g := cl.Gateways[i]
	g.stall(length, g.advance)
}

func (g *Gateway) advance() {
	g.measureCPU(func() { g.Agent.Advance(g.cluster.clock.Now()) })
	g.processOutput()
}

// processOutput sends what an agent wants sent, has the gateway install what it is handed, and has the agent called when it
// wants.
func (g *Gateway) processOutput() {
	cl := g.cluster
	out := g.Agent.Take()
	for _, m := range out.Messages {
		to := cl.ControlMachines[m.To-1]
		link := uint64(g.endpoint.Index)
		g.send(&to.process, m.Message, func(received codec.Message) {
			// a gateway's messages are none of a control machine's
			to.measureCPU(func() { _ = to.Controller.Receive(cl.clock.Now(), link, received) })
			to.processOutput()
		})
	}
	if out.Install != nil {
		g.install(*out.Install)
	}
	if agent := g.Agent.InForce(); agent.Ref != g.Running.Ref {
		cl.ReportViolation("%s: its agent has %v in force, the gateway %v", g.Name, agent.Ref, g.Running.Ref)
	}
	g.wake(g.Agent.NextWake(), g.advance)
}

// install validates and installs a configuration after the time that this takes, and tells the agent.
func (g *Gateway) install(next configdist.Install) {
	cl := g.cluster
	incarnation := g.incarnation
	cl.clock.At(cl.clock.Now()+time.Duration(1+cl.rng.IntN(20))*time.Millisecond, func() {
		if g.incarnation != incarnation {
			return
		}
		g.runOrQueue(func() {
			if g.incarnation != incarnation {
				return
			}
			err := rejectionError(g, next)
			if err == nil {
				cl.invariants.checkInstalled(cl, g, next)
				g.Running = configdist.LastGood{Ref: next.Ref, Services: g.Services, Tree: next.Tree}
			}
			g.Agent.Installed(cl.clock.Now(), next.Ref, err)
			if err == nil {
				lastGood := g.Agent.InForce()
				g.disk = &lastGood
				if cl.cfg.Installed != nil {
					cl.cfg.Installed(g, next.Ref)
				}
			}
			if reason := failureReason(g, next); err == nil && reason != "" {
				g.Agent.Fail(cl.clock.Now(), reason)
			}
			g.processOutput()
		})
	})
}
