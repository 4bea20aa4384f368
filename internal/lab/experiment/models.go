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
		out = append(out, load.Class{Name: c.Name, Share: c.Share, Unsafe: c.Unsafe, Keyed: c.Keyed, Worth: c.Worth,
			Aim: c.Aim.Duration, Patience: c.Patience.Duration, Body: c.Body})
	}
	return out
}

func (p Phase) loadPhase() load.Phase {
	return load.Phase{For: p.For.Duration, Rate: p.Rate, To: p.To, Steps: p.Steps, Jump: p.Jump,
		JumpAt:  p.JumpAt.Duration,
		JumpFor: p.JumpFor.Duration, Rush: p.Rush, RushTo: p.RushTo, Poisson: p.Arrivals != "even"}
}

func (w Work) workModel() hostmodel.Work {
	return hostmodel.Work{Dist: w.Dist, Mean: w.Mean.Duration, CV: w.CV}
}

func (c Clients) loadClients() load.Clients {
	return load.Clients{Retries: c.Retries, Backoff: c.Backoff, Wait: c.Wait.Duration, Honour: c.Honour,
		MostAfter: c.MostAfter.Duration, TryShare: c.TryShare, Marks: c.Marks, Connections: c.Connections,
		KeepFor: c.RequestsPerConnection, SlowShare: c.SlowShare, SlowFor: c.SlowFor.Duration, Silent: c.Silent}
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
		Queue: h.Queue, ThrashAt: h.ThrashAt, Thrash: h.Thrash,
		Cold: hostmodel.Cold{From: h.ColdFrom, For: h.ColdFor.Duration, ByWork: h.WarmBy == "work",
			FallMultiple: h.Fall,
			FallFor:      h.FallFor.Duration},
		Pause:     hostmodel.Pause{Every: h.PauseEvery.Duration, For: h.PauseFor.Duration, Grow: h.PauseGrowth},
		ErrorRate: h.ErrorRate, Conns: h.Conns, FullTax: h.FullTax, HandshakeWork: h.Handshake.Duration,
		Report: hostmodel.Report{Least: h.ReportMin.Duration, Most: h.ReportMax.Duration,
			Delay: h.ReportLate.Duration, Noise: h.Noise},
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
