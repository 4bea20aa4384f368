package experiment

import (
	"fmt"
	"os"
	"slices"

	"thymebend/internal/lab/hostmodel"
	"thymebend/internal/lab/load"
	"thymebend/internal/tomlfile"
)

func (f *File) phases() []load.Phase {
	var out []load.Phase
	for _, p := range f.Phases {
		out = append(out, p.model())
	}
	return out
}

func (f *File) classes() []load.Class {
	var out []load.Class
	for _, c := range f.Classes {
		out = append(out, load.Class{Name: c.Name, Share: c.Share, Unsafe: c.Unsafe, Keyed: c.Keyed, Worth: c.Worth,
			Aim: c.Aim.Duration, Patience: c.Patience.Duration, Body: c.Body})
	}
	return out
}

func (p Phase) model() load.Phase {
	return load.Phase{For: p.For.Duration, Rate: p.Rate, To: p.To, Steps: p.Steps, Jump: p.Jump,
		JumpAt:  p.JumpAt.Duration,
		JumpFor: p.JumpFor.Duration, Rush: p.Rush, RushTo: p.RushTo, Poisson: p.Arrive != "even"}
}

func (w Work) model() hostmodel.Work {
	return hostmodel.Work{Dist: w.Dist, Mean: w.Mean.Duration, CV: w.CV}
}

func (c Clients) model() load.Clients {
	return load.Clients{Retries: c.Retries, Backoff: c.Backoff, Wait: c.Wait.Duration, Honour: c.Honour,
		MostAfter: c.MostAfter.Duration, TryShare: c.TryShare, Marks: c.Marks, Connections: c.Connections,
		KeepFor: c.KeepFor, SlowShare: c.SlowShare, SlowFor: c.SlowFor.Duration, Silent: c.Silent}
}

// cell is the number of a host's cell over the whole fleet. A host that replaces another gets the cell
// that its number falls into.
func (f *File) cell(h Hosts, n int) int {
	before := 0
	for _, other := range f.Hosts {
		size := other.Cell
		if size == 0 {
			size = max(1, other.Count)
		}
		if other.Kind == h.Kind {
			return before + n%max(1, other.Count)/size
		}
		before += (other.Count + size - 1) / size
	}
	return before
}

// Spec is the model of one host.
func (f *File) Spec(h Hosts, n int) hostmodel.Spec {
	work := make(map[string]hostmodel.Work)
	for _, c := range f.Classes {
		work[c.Name] = c.Work.model()
	}
	return hostmodel.Spec{Name: HostName(h.Kind, n), Site: h.Site, Kind: h.Kind, Cores: h.Cores, Speed: h.Speed,
		Slots: h.Slots,
		Queue: h.Queue, ThrashAt: h.ThrashAt, Thrash: h.Thrash,
		Cold: hostmodel.Cold{From: h.ColdFrom, For: h.ColdFor.Duration, ByWork: h.WarmBy == "work",
			FallMultiple: h.Fall,
			FallFor:      h.FallFor.Duration},
		Pause:     hostmodel.Pause{Every: h.PauseEvery.Duration, For: h.PauseFor.Duration, Grow: h.PauseGrow},
		ErrorRate: h.ErrorRate, Conns: h.Conns, FullTax: h.FullTax, HandshakeWork: h.Handshake.Duration,
		Report: hostmodel.Report{Least: h.ReportMin.Duration, Most: h.ReportMax.Duration,
			Delay: h.ReportLate.Duration, Noise: h.Noise},
		Body: h.Body, Work: work}
}

// HostName names a host of a kind by its number.
func HostName(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n) }

// Shape is a load's course in a file of its own: phases and, if stated, how clients act.
type Shape struct {
	Clients Clients `toml:"clients"`
	Phases  []Phase `toml:"phase"`
}

// LoadShape reads a shape for the given classes. The error holds everything that is wrong.
func LoadShape(path string, classes []load.Class) ([]load.Phase, *load.Clients, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var s Shape
	in := tomlfile.Read(path, text, &s)
	if err := in.Err(); err != nil {
		return nil, nil, err
	}
	if len(s.Phases) == 0 {
		in.AddFault("phase", "at least one is needed")
	}
	var out []load.Phase
	for i, p := range s.Phases {
		at := fmt.Sprintf("phase.%d", i)
		if err := p.model().Check(); err != nil {
			in.AddFault(at, "%v", err)
		}
		if p.Rush != "" && !slices.ContainsFunc(classes, func(c load.Class) bool { return c.Name == p.Rush }) {
			in.AddFault(at+".rush", "%q is no class of this run", p.Rush)
		}
		if p.Arrive != "" && p.Arrive != "poisson" && p.Arrive != "even" {
			in.AddFault(at+".arrivals", "%q is none of poisson, even", p.Arrive)
		}
		out = append(out, p.model())
	}
	var clients *load.Clients
	if in.Has("clients") {
		c := s.Clients.model()
		clients = &c
	}
	return out, clients, in.Err()
}
