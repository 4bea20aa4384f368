package configsim

import (
	"fmt"
	"slices"
	"time"
)

// Scenario is a cluster to be measured.
type Scenario struct {
	Gateways, Zones, Regions int
	Size                     Size
	ServicesEach             int // that a gateway serves; 0 for all
	Changes                  int // pressed into the run
	// of gateways, pressed into the run; a tenth of the restarts are replacements by machines that have kept nothing
	Restarts, Failures int
	Length             time.Duration // of the run
	Loss               float64
	Seed               uint64
}

// FleetSize is the size that the cluster is to have in two years, with a day of it pressed into a run.
func FleetSize(length time.Duration, loss float64, seed uint64) Scenario {
	return Scenario{
		Gateways: 870, Zones: 7, Regions: 2, Size: Size{Services: 390, Routes: 4100, Tenants: 44_000},
		ServicesEach: 40, Changes: 720, Restarts: 490, Failures: 21, Length: length, Loss: loss, Seed: seed,
	}
}

// Distribution is how long something took, over many of it.
type Distribution struct{ Median, P99, Max time.Duration }

func distributionOf(list []time.Duration) (s Distribution) {
	if len(list) == 0 {
		return s
	}
	slices.Sort(list)
	return Distribution{list[len(list)/2], list[min(len(list)-1, len(list)*99/100)], list[len(list)-1]}
}

// String words it.
func (s Distribution) String() string {
	return fmt.Sprintf("%.2f / %.2f / %.2f s", s.Median.Seconds(), s.P99.Seconds(), s.Max.Seconds())
}

// Figures are what a cluster came to.
type Figures struct {
	Scenario
	First    time.Duration // until all have the first whole configuration, from the start of all
	IdleRate float64       // bytes a second and gateway without changes
	Single   [3]time.Duration
	// of the changes, from their submission until in force at half, 99% and all of the gateways that lived all the
	// while
	Half, Most, All             Distribution
	FromCommit                  Distribution // the last of these from the commitment
	Late                        int          // changes not in force at all of them 8 s after their submission
	Unfinished                  int          // at the end of the run
	Stopped                     int
	MeanRate, MaxRate           float64 // bytes a second and gateway over the run, and those of the gateway with most
	ControlRate, MaxControlRate float64 // bytes a second that a control machine sent, mean and most
	GatewayCPU                  float64 // share of a core of an agent, by this machine's clock
	ControlCPU                  float64 // of the control machine that used most
	HeapEach                    uint64  // bytes of heap in use over the number of gateways, control machines included
	Subscribers                 int     // of the control machine with most
	Violations                  []string
}
