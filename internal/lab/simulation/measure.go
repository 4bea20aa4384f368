package simulation

import (
	"context"
	"fmt"
	"slices"
	"time"

	"thymebend/internal/discovery"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/loadreport"
	"thymebend/internal/loop"
)

// PortionFigures are what a division of hosts by the fleet's view comes to in a run without other troubles.
type PortionFigures struct {
	Known  []time.Duration // from a host's going bad until 95% of the gateways that use it have ejected it or doubt it, by host; 0: never
	Asked  int             // requests asked of hosts while they were bad
	Bytes  float64         // a gateway sends in datagrams, a second, from the eighth second on
	Cold   float64         // what cold hosts were sent, over what they may get
	Refuse float64         // share of the tries
	Broken []Finding
}

// Times of the run that is measured.
const (
	badFrom  = 9 * time.Second
	badFor   = 8 * time.Second
	lookBad  = 50 * time.Millisecond
	restFrom = 8 * time.Second
	badHosts = 5
)

// MeasurePortions plays gateways that divide hosts. Some hosts fail all requests from the ninth second on, and as many are replaced
// with cold ones; without hearsay nobody tells of hosts found bad. Once ctx is done it ends with ctx's error.
func MeasurePortions(ctx context.Context, seed uint64, gateways, hosts int, hearsay bool) (PortionFigures, error) {
	p, err := DrawSized(seed, sharesProfile, Size{Gateways: gateways, Hosts: hosts})
	if err != nil {
		return PortionFigures{}, err
	}
	if hosts < 4*badHosts {
		return PortionFigures{}, fmt.Errorf("%d hosts, %d at least", hosts, 4*badHosts)
	}
	p.LoseData, p.DoubleData, p.JitterUS, p.Cold, p.Faults = 0, 0, 0, false, nil
	for who := range badHosts {
		p.Faults = append(p.Faults, Fault{AtMS: int(badFrom.Milliseconds()), Do: "host-errors", Who: who, ForMS: int(badFor.Milliseconds()), Share: 1},
			Fault{AtMS: int(badFrom.Milliseconds()), Do: "host-cold", Who: hosts - 1 - who})
	}
	var out PortionFigures
	var sent, resting int
	var w *world
	w = newWorld(p, nil, func(r loop.Reducer) loop.Reducer {
		return eavesdropper{r, func(f *loop.Effect) {
			if f.Op != loop.SendTo {
				return
			}
			if !hearsay {
				f.Data = withoutBad(f.Data)
			}
			if sent++; w.sim.Since() >= restFrom && w.sim.Since() < badFrom+badFor {
				resting += len(f.Data)
			}
		}}
	})
	start := epoch + 300*time.Millisecond
	out.Known = make([]time.Duration, badHosts)
	counted := func(sign int) func() {
		return func() {
			for who := range badHosts {
				out.Asked += sign * w.hosts[who].ledger.Len()
			}
		}
	}
	w.sim.At(start+badFrom, counted(-1))
	w.sim.At(start+badFrom+badFor, counted(1))
	for at := lookBad; at < badFor; at += lookBad {
		w.sim.At(start+badFrom+at, func() {
			for who := range badHosts {
				if out.Known[who] == 0 && w.known(w.hosts[who]) >= 0.95 {
					out.Known[who] = at
				}
			}
		})
	}
	used, allowed := 0.0, 0.0
	w.sim.At(start+badFrom+badFor+5*time.Second, func() {
		for who := range badHosts {
			h := w.hosts[hosts-1-who]
			cold := h.spec.Cold
			used += float64(h.budget.all)
			allowed += cold.FallMultiple * warmRate * (1 + cold.From) / 2 * cold.For.Seconds()
		}
	})
	w.sim.ctx = ctx
	o := w.run()
	if o.Partial {
		return out, ctx.Err()
	}
	out.Cold, out.Refuse, out.Broken = used/allowed, float64(o.Refused)/float64(max(1, o.Tries)), o.Findings
	out.Bytes = float64(resting) / (badFrom + badFor - restFrom).Seconds() / float64(gateways)
	return out, nil
}

// known is the share of the gateways that use a host which have ejected it themselves, or are told to doubt it.
func (w *world) known(h *host) float64 {
	id := discovery.Identity(h.name)
	users, know := 0, 0
	for _, m := range w.gateways {
		if !m.up || m.process.gw == nil || m.process.gw.AssignmentTracker() == nil {
			continue
		}
		bad, doubted, uses := m.process.gw.EndpointKnowledge(id)
		if !uses {
			continue
		}
		users++
		if bad || doubted {
			know++
		}
	}
	if users == 0 {
		return 0
	}
	return float64(know) / float64(users)
}

// eavesdropper sees each effect before it is carried out.
type eavesdropper struct {
	loop.Reducer
	see func(*loop.Effect)
}

// Step implements loop.Reducer.
func (d eavesdropper) Step(now time.Duration, e loop.Event) []loop.Effect {
	list := d.Reducer.Step(now, e)
	for i := range list {
		d.see(&list[i])
	}
	return list
}

// withoutBad is a datagram in which nobody names bad hosts.
func withoutBad(data []byte) []byte {
	return reword(data, func(c *gossipcodec.Claim) {
		if s, err := loadreport.Parse(c.Payload); err == nil && len(s.Ejected) > 0 {
			s.Ejected = nil
			c.Payload = loadreport.Append(nil, s)
		}
	})
}

// reword changes the claims of a datagram. One that no longer fits is left out.
func reword(data []byte, change func(*gossipcodec.Claim)) []byte {
	m, err := gossipcodec.Parse(data)
	if err != nil {
		return data
	}
	out := gossipcodec.Append(nil, m)
	for i := range m.Claims {
		change(&m.Claims[i])
		out, _ = gossipcodec.AppendClaim(out, &m.Claims[i])
	}
	return out
}

// Median is the middle of the times, with those that never came last.
func (f PortionFigures) Median() (time.Duration, bool) {
	list := slices.Clone(f.Known)
	slices.SortFunc(list, func(a, b time.Duration) int {
		switch {
		case a == b:
			return 0
		case a == 0 || b != 0 && a > b:
			return 1
		}
		return -1
	})
	mid := list[len(list)/2]
	return mid, mid > 0
}
