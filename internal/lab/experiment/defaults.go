package experiment

import (
	"fmt"

	"thymebend/internal/tomlfile"
)

func either[T comparable](v *T, unset T) {
	var zero T
	if *v == zero {
		*v = unset
	}
}

func (f *File) defaults(in *tomlfile.File) {
	f.gatewayDefaults(in)
	f.clientDefaults(in)
	for i := range f.Classes {
		f.Classes[i].defaults(in, fmt.Sprintf("class.%d", i))
	}
	for i := range f.Hosts {
		f.Hosts[i].defaults(in, fmt.Sprintf("hosts.%d", i))
	}
}

func (f *File) gatewayDefaults(in *tomlfile.File) {
	g := &f.Gateways
	if !in.Has("gateways.count") {
		g.Count = 1
	}
	either(&g.Cores, 1)
	either(&g.MemoryMB, 64)
	either(&g.Sockets, 1024)
	either(&g.Log, "info")
	either(&f.Seed, 1)
	either(&f.Front.Notice, ms(1000))
}

func (f *File) clientDefaults(in *tomlfile.File) {
	either(&f.Clients.Backoff, "fixed")
	either(&f.Clients.Wait, ms(100))
	either(&f.Clients.MostAfter, ms(2000))
	if !in.Has("clients.honour") {
		f.Clients.Honour = 1
	}
}

func (c *Class) defaults(in *tomlfile.File, path string) {
	if !in.Has(path + ".worth") {
		c.Worth = 1
	}
	either(&c.Aim, ms(800))
	either(&c.Patience, ms(2000))
	either(&c.Work.Dist, "fixed")
	if c.Keyed {
		either(&c.Window, ms(1500))
	}
	if (c.Unsafe || c.Keyed) && !in.Has(path+".body") {
		c.Body = 200
	}
}

func (h *Hosts) defaults(in *tomlfile.File, path string) {
	either(&h.Count, 1)
	either(&h.Site, "suva")
	either(&h.Cores, 1)
	either(&h.Speed, 1)
	either(&h.Slots, h.Cores)
	if !in.Has(path + ".queue") {
		h.Queue = 12 * h.Cores
	}
	either(&h.WarmBy, "time")
	either(&h.FallFor, ms(1000))
	either(&h.Body, 200)
	either(&h.Idle, ms(30000))
	if !in.Has(path + ".report_most") {
		h.ReportMin, h.ReportMax, h.ReportLate = ms(50), ms(250), ms(20)
	}
}
