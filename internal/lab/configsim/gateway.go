package configsim

import (
	"fmt"
	"time"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// Gateway is a gateway, whose process may be stopped and started again, also on a new machine.
type Gateway struct {
	process
	Name, Zone, Region string
	Services           []string
	Agent              *configdist.Agent    // nil while no process runs
	Running            configdist.LastGood  // configuration that its process has in force
	disk               *configdist.LastGood // last good configuration, stored across restarts
	newestInForce      content.Ref          // last version that was in force under this name
	replacements       int                  // number of times that a new machine replaced it
}

// StartGateway starts a gateway's process from its last good configuration, unless it runs.
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
		panic(err) // a fault of this package: it made the configuration
	}
	g.Agent, g.Running = agent, agent.InForce()
	g.processOutput()
}

// KillGateway ends a gateway's process abruptly.
func (cl *Cluster) KillGateway(i int) {
	cl.Gateways[i].end()
	cl.Gateways[i].Agent = nil
}

// ReplaceGateway replaces a gateway by a new machine, which has another name and no stored configuration.
func (cl *Cluster) ReplaceGateway(i int) {
	g := cl.Gateways[i]
	cl.KillGateway(i)
	g.disk, g.newestInForce = nil, content.Ref{}
	g.replacements++
	g.Name = fmt.Sprintf("g-%04d-%d", i, g.replacements)
	cl.StartGateway(i)
}

// StallGateway stalls a gateway's process for a time.
func (cl *Cluster) StallGateway(i int, length time.Duration) {
	g := cl.Gateways[i]
	g.stall(length, g.advance)
}

func (g *Gateway) advance() {
	g.measureCPU(func() { g.Agent.Advance(g.cluster.clock.Now()) })
	g.processOutput()
}

// processOutput sends an agent's messages, starts the installation that it requests, and schedules its next wake-up.
func (g *Gateway) processOutput() {
	cl := g.cluster
	out := g.Agent.Take()
	for _, m := range out.Messages {
		to := cl.ControlMachines[m.To-1]
		link := uint64(g.endpoint.Index)
		g.send(&to.process, m.Message, func(received codec.Message) {
			// the error is impossible: agents send only messages that gateways send
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

// install validates a configuration, puts it in force after a delay of 1 to 20 ms, and reports the outcome to the
// agent. A process that ends meanwhile does not complete it.
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
