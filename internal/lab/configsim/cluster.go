package configsim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
	"thymebend/internal/raft"
)

// Config sets a cluster's size and behaviour.
type Config struct {
	Name      string
	Gateways  int
	Zones     int
	Regions   int
	Services  func(gateway int) []string // returns the services of a gateway; nil means all
	Policy    configdist.Policy
	PageBytes int // see configdist.ControllerConfig
	Snapshots int // log entries between two snapshots; 0 means the default
	Seed      uint64
	Installed func(g *Gateway, ref content.Ref) // is called after each installation, unless nil
}

// controlMachineCount is the number of control machines: three voters and a standby.
const controlMachineCount = 4

// Cluster is a set of control machines and gateways, with the violations of invariants found so far.
type Cluster struct {
	ControlMachines []*ControlMachine
	Gateways        []*Gateway
	Violations      []string

	cfg        Config
	clock      Clock
	net        Network
	rng        *rand.Rand
	invariants invariants
	onResult   map[uint64]func(configdist.Result) // by command ID: called with the command's result
	nextID     uint64
}

// New returns a cluster. None of its processes runs yet.
func New(cfg Config, clock Clock, net Network) *Cluster {
	cl := &Cluster{
		cfg:        cfg,
		clock:      clock,
		net:        net,
		rng:        rand.New(rand.NewPCG(cfg.Seed, 0x4011)),
		invariants: newInvariants(),
		onResult:   make(map[uint64]func(configdist.Result)),
	}
	for i := range controlMachineCount {
		cl.ControlMachines = append(cl.ControlMachines, &ControlMachine{
			process: process{cluster: cl, endpoint: Endpoint{true, i}},
			ID:      uint64(i + 1),
			Region:  regionName(i * cfg.Regions / controlMachineCount),
			disk:    &raft.MemoryStorage{},
		})
	}
	for i := range cfg.Gateways {
		zone := i % cfg.Zones
		g := &Gateway{
			process: process{cluster: cl, endpoint: Endpoint{false, i}},
			Name:    fmt.Sprintf("g-%04d", i),
			Zone:    fmt.Sprint("zone-", zone),
			Region:  regionName(zone * cfg.Regions / cfg.Zones),
		}
		if cfg.Services != nil {
			g.Services = slices.Sorted(slices.Values(cfg.Services(i)))
		}
		cl.Gateways = append(cl.Gateways, g)
	}
	return cl
}

func regionName(i int) string { return fmt.Sprint("region-", i) }

// RegionOf returns the region of an endpoint.
func (cl *Cluster) RegionOf(e Endpoint) string {
	if e.Control {
		return cl.ControlMachines[e.Index].Region
	}
	return cl.Gateways[e.Index].Region
}

// ReportViolation records the violation of an invariant, with the virtual time.
func (cl *Cluster) ReportViolation(format string, args ...any) {
	cl.Violations = append(cl.Violations, fmt.Sprintf("%.3f s: ", cl.clock.Now().Seconds())+fmt.Sprintf(format,
		args...))
}

// InForce returns the number of running gateways (up), and how many of them have the version with the given number or
// a newer one in force (updated).
func (cl *Cluster) InForce(number uint64) (updated, up int) {
	for _, g := range cl.Gateways {
		if !g.up {
			continue
		}
		up++
		if g.Running.Ref.Number >= number {
			updated++
		}
	}
	return updated, up
}

// Newest returns the number of the newest version that any control machine has shown as committed.
func (cl *Cluster) Newest() uint64 { return cl.invariants.newest }

// laggingGateway looks for a running gateway in which an older version than the given one is in force, although the
// gateway would reject neither the given version nor any later one. It describes one such gateway, or returns an
// empty text if there is none.
func (cl *Cluster) laggingGateway(number uint64) string {
	for _, g := range cl.Gateways {
		if g.up && g.Running.Ref.Number < number && !cl.invariants.rejects(g, number) {
			return fmt.Sprintf("%s has version %v in force, not %d", g.Name, g.Running.Ref, number)
		}
	}
	return ""
}
