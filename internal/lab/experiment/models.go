package experiment

import (
	"fmt"
	"os"
	"slices"

	"thymebend/internal/lab/hostmodel"
	"thymebend/internal/lab/load"
	"thymebend/internal/tomlfile"
)

// loadPhases returns the phases in the form of the load generator.
func (f *File) loadPhases() []load.Phase {
	var out []load.Phase
	for _, p := range f.Phases {
		out = append(out, p.loadPhase())
	}
	return out
}

// loadClasses returns the classes in the form of the load generator.
func (f *File) loadClasses() []load.Class {
	var out []load.Class
	for _, c := range f.Classes {
		out = append(out, load.Class{Name: c.Name, Share: c.Share, Unsafe: c.Unsafe, Keyed: c.Keyed, Weight: c.Weight,
			LatencyObjective: c.LatencyObjective.Duration, ClientTimeout: c.Timeout.Duration, Body: c.Body})
	}
	return out
}

func (p Phase) loadPhase() load.Phase {
	return load.Phase{Duration: p.For.Duration, Rate: p.Rate, EndRate: p.To, Steps: p.Steps, JumpFactor: p.Jump,
		JumpAt:  p.JumpAt.Duration,
		JumpFor: p.JumpFor.Duration, RushClass: p.Rush, RushFactor: p.RushTo, Poisson: p.Arrivals != "even"}
}

func (w Work) workModel() hostmodel.Work {
	return hostmodel.Work{Distribution: w.Dist, Mean: w.Mean.Duration, CV: w.CV}
}

func (c Clients) loadClients() load.Clients {
	return load.Clients{Retries: c.Retries, Backoff: c.Backoff, RetryDelay: c.Wait.Duration, HonourShare: c.Honour,
		MaxRetryAfter: c.MaxRetryAfter.Duration, MinTimeoutShare: c.TryShare, MarkRetries: c.MarksRetries, Connections: c.Connections,
		RequestsPerConn: c.RequestsPerConnection, SlowShare: c.SlowShare, SlowDuration: c.SlowFor.Duration, SilentConns: c.Silent}
}

// cellNumber returns the cell of the n-th host of a kind. Cells are numbered over all kinds in the order of the file.
// A host that replaces another has a number of Count or more, which is taken modulo Count to find its cell.
func (f *File) cellNumber(h Hosts, n int) int {
	cellsBefore := 0
	for _, other := range f.Hosts {
		size := other.Cell
		if size == 0 {
			size = max(1, other.Count)
		}
		if other.Kind == h.Kind {
			return cellsBefore + n%max(1, other.Count)/size
		}
		cellsBefore += (other.Count + size - 1) / size
	}
	return cellsBefore
}

// Spec returns the parameters of the host model for the n-th host of h.
func (f *File) Spec(h Hosts, n int) hostmodel.Spec {
	work := make(map[string]hostmodel.Work)
	for _, c := range f.Classes {
		work[c.Name] = c.Work.workModel()
	}
	return hostmodel.Spec{Name: HostName(h.Kind, n), Site: h.Site, Kind: h.Kind, Cores: h.Cores, Speed: h.Speed,
		Slots: h.Slots,
		Queue: h.Queue, ThrashThreshold: h.ThrashAt, ThrashFactor: h.Thrash,
		SlowStart: hostmodel.SlowStart{InitialShare: h.ColdFrom, Duration: h.ColdFor.Duration, ByWork: h.WarmBy == "work",
			CrashMultiple: h.CrashMultiple,
			CrashWindow:   h.CrashAfter.Duration},
		Pause:     hostmodel.Pause{MeanInterval: h.PauseEvery.Duration, MeanDuration: h.PauseFor.Duration, GrowthPerRequest: h.PauseGrowth},
		ErrorRate: h.ErrorRate, MaxConns: h.Connections, FullTableTax: h.FullTax, HandshakeWork: h.HandshakeWork.Duration,
		Report: hostmodel.Report{MinInterval: h.ReportMin.Duration, MaxInterval: h.ReportMax.Duration,
			Delay: h.ReportDelay.Duration, Noise: h.ReportNoise},
		Body: h.Body, Work: work}
}

// HostName returns the name of a host of a kind by its number, counted from 0.
func HostName(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n) }

// Shape is the content of a file that describes load only: its phases and, optionally, the behaviour of clients.
type Shape struct {
	Clients Clients `toml:"clients"`
	Phases  []Phase `toml:"phase"`
}

// LoadShape reads and checks a load shape for the given classes. The clients are nil if the file does not describe
// them. The error lists every fault of the file.
func LoadShape(path string, classes []load.Class) ([]load.Phase, *load.Clients, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var s Shape
	input := tomlfile.Read(path, text, &s)
	if err := input.Err(); err != nil {
		return nil, nil, err
	}
	if len(s.Phases) == 0 {
		input.AddFault("phase", "at least one is needed")
	}
	var out []load.Phase
	for i, p := range s.Phases {
		fieldPath := fmt.Sprintf("phase.%d", i)
		if err := p.loadPhase().Check(); err != nil {
			input.AddFault(fieldPath, "%v", err)
		}
		if p.Rush != "" && !slices.ContainsFunc(classes, func(c load.Class) bool { return c.Name == p.Rush }) {
			input.AddFault(fieldPath+".rush", "%q is no class of this run", p.Rush)
		}
		if p.Arrivals != "" && p.Arrivals != "poisson" && p.Arrivals != "even" {
			input.AddFault(fieldPath+".arrivals", "%q is none of poisson, even", p.Arrivals)
		}
		out = append(out, p.loadPhase())
	}
	var clients *load.Clients
	if input.Has("clients") {
		c := s.Clients.loadClients()
		clients = &c
	}
	return out, clients, input.Err()
}
