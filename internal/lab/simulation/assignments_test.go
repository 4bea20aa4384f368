package simulation

import (
	"math/rand/v2"
	"testing"

	"thymebend/internal/discovery"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/loadreport"
	"thymebend/internal/loop"
)

// alterPayload wraps the gateways' reducers so that one gateway changes the payload about itself in every
// datagram that it sends.
func alterPayload(gateway int, change func(payload []byte) []byte) func(loop.Reducer) loop.Reducer {
	started := 0
	name := gatewayName(gateway)
	return func(r loop.Reducer) loop.Reducer {
		started++
		if started != gateway+1 {
			return r
		}
		return &defect{Reducer: r, effects: rewrite(func(_ *defect, f loop.Effect) []loop.Effect {
			if f.Op != loop.SendTo {
				return []loop.Effect{f}
			}
			f.Data = rewriteClaims(f.Data, func(c *gossipcodec.Claim) {
				if c.Name == name && c.State == gossipcodec.Alive {
					c.Payload = change(c.Payload)
				}
			})
			return []loop.Effect{f}
		})}
	}
}

// steadyPlan is a plan of gateways that divide hosts; one host fails half of its requests for 4 s, another is
// replaced.
func steadyPlan(t *testing.T) Plan {
	t.Helper()
	p, err := DrawSized(3, sharesProfile, Size{Gateways: 6, Hosts: 12})
	if err != nil {
		t.Fatal(err)
	}
	p.LoseDatagrams, p.DuplicateDatagrams, p.JitterUS, p.Cold, p.Zones = 0, 0, 0, false, 0
	calm := p.Requests[:0]
	for i, r := range p.Requests { // at half load, losses are due to the false reports
		if i%2 == 0 {
			calm = append(calm, r)
		}
	}
	p.Requests = calm
	p.Faults = []Fault{{AtMS: 9000, Kind: "host-errors", Target: 4, ForMS: 4000, Share: 0.5},
		{AtMS: 10000, Kind: "host-replace", Target: 2}}
	return p
}

// One gateway falsely reports that every host is bad, that it is idle without traffic, that it has all traffic,
// that it has other settings, or sends random payloads. The others lose almost nothing (at most 5% of the served
// requests) and break no rule.
func TestOneFalseReporterHasLittleEffect(t *testing.T) {
	p := steadyPlan(t)
	var all []uint64
	for n := range p.Hosts {
		all = append(all, uint64(discovery.EndpointIDFromName(buildExperiment(p).Spec(buildExperiment(p).Hosts[0], n).Name)))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	reporting := func(s loadreport.Report) func([]byte) []byte {
		return func(was []byte) []byte {
			if report, err := loadreport.Parse(was); err == nil {
				s.ConfigHash = report.ConfigHash
			}
			s.HasFigures = true
			return loadreport.Append(nil, s)
		}
	}
	honest := Play(p, nil)
	if len(honest.Findings) > 0 || honest.Served < honest.Attempts*3/4 {
		t.Fatalf("without false reports: %+v", honest)
	}
	for name, lie := range map[string]func([]byte) []byte{
		"every host is bad":  reporting(loadreport.Report{Demand: 50, Ejected: loadreport.EndpointHashes(all)}),
		"every host is idle": reporting(loadreport.Report{FreeCapacity: 1}),
		"all traffic":        reporting(loadreport.Report{Demand: 1e9, Rejected: 1}),
		"other settings":     reporting(loadreport.Report{Demand: 50, ConfigHash: 1}),
		"random bytes": func([]byte) []byte {
			b := make([]byte, rng.IntN(gossipcodec.MaxPayload))
			for i := range b {
				b[i] = byte(rng.Uint32())
			}
			return b
		},
	} {
		o := play(p, nil, alterPayload(1, lie))
		for _, f := range o.Findings {
			if f.Rule != SharesDisagree { // the false reporter divides the hosts by other figures than the other gateways
				t.Errorf("%s: %+v", name, f)
			}
		}
		if o.Served < honest.Served*95/100 {
			t.Errorf("%s: %d of %d served, %d of %d without false reports", name, o.Served, o.Attempts, honest.Served, honest.Attempts)
		}
	}
}
