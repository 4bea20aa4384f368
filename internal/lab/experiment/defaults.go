package experiment

import (
	"fmt"

	"thymebend/internal/tomlfile"
)

// setDefault sets a field that has the zero value, which means that the file omits it, to value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// applyDefaults fills in every field that the file omits. For a field in which zero is a valid value, it looks up in
// the parsed file in whether the field is present.
func (f *File) applyDefaults(in *tomlfile.File) {
	f.applyGatewayDefaults(in)
	f.applyClientDefaults(in)
	for i := range f.Classes {
		f.Classes[i].applyDefaults(in, fmt.Sprintf("class.%d", i))
	}
	for i := range f.Hosts {
		f.Hosts[i].applyDefaults(in, fmt.Sprintf("hosts.%d", i))
	}
}

func (f *File) applyGatewayDefaults(in *tomlfile.File) {
	g := &f.Gateways
	if !in.Has("gateways.count") {
		g.Count = 1
	}
	setDefault(&g.Cores, 1)
	setDefault(&g.MemoryMB, 64)
	setDefault(&g.Sockets, 1024)
	setDefault(&g.Log, "info")
	setDefault(&f.Seed, 1)
	setDefault(&f.Front.Notice, ms(1000))
}

func (f *File) applyClientDefaults(in *tomlfile.File) {
	setDefault(&f.Clients.Backoff, "fixed")
	setDefault(&f.Clients.Wait, ms(100))
	setDefault(&f.Clients.MaxRetryAfter, ms(2000))
	if !in.Has("clients.honour") {
		f.Clients.Honour = 1
	}
}

func (c *Class) applyDefaults(in *tomlfile.File, path string) {
	if !in.Has(path + ".worth") {
		c.Weight = 1
	}
	setDefault(&c.LatencyObjective, ms(800))
	setDefault(&c.Timeout, ms(2000))
	setDefault(&c.Work.Dist, "fixed")
	if c.Keyed {
		setDefault(&c.Window, ms(1500))
	}
	if (c.Unsafe || c.Keyed) && !in.Has(path+".body") {
		c.Body = 200
	}
}

func (h *Hosts) applyDefaults(in *tomlfile.File, path string) {
	setDefault(&h.Count, 1)
	setDefault(&h.Site, "suva")
	setDefault(&h.Cores, 1)
	setDefault(&h.Speed, 1)
	setDefault(&h.Slots, h.Cores)
	if !in.Has(path + ".queue") {
		h.Queue = 12 * h.Cores
	}
	setDefault(&h.WarmBy, "time")
	setDefault(&h.CrashAfter, ms(1000))
	setDefault(&h.Body, 200)
	setDefault(&h.IdleTimeout, ms(30000))
	if !in.Has(path + ".report_most") {
		h.ReportMin, h.ReportMax, h.ReportDelay = ms(50), ms(250), ms(20)
	}
}
