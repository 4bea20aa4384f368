package configsim

import (
	"fmt"
	"slices"
	"time"
)

// Scenario describes a cluster and the events of a run that Measure performs.
type Scenario struct {
	Gateways, Zones, Regions int
	Size                     ConfigurationSize
	ServicesPerGateway       int // services of one gateway; 0 means all
	Changes                  int // number of changes in the run
	// Restarts and Failures are numbers of gateways in the run. A tenth of the restarts and all failures are followed
	// by a replacement machine without stored data.
	Restarts, Failures int
	Duration           time.Duration // of the run
	Loss               float64
	Seed               uint64
}

// FullSizeScenario returns a scenario with the cluster size expected in two years, and a day's events in one run.
func FullSizeScenario(length time.Duration, loss float64, seed uint64) Scenario {
	return Scenario{
		Gateways: 870, Zones: 7, Regions: 2, Size: ConfigurationSize{Services: 390, Routes: 4100, Tenants: 44_000},
		ServicesPerGateway: 40, Changes: 720, Restarts: 490, Failures: 21, Duration: length, Loss: loss, Seed: seed,
	}
}

// Distribution summarizes durations by their median, 99th percentile and maximum.
type Distribution struct{ Median, P99, Max time.Duration }

// distributionOf sorts the durations and summarizes them; an empty list gives zeros.
func distributionOf(list []time.Duration) (d Distribution) {
	if len(list) == 0 {
		return d
	}
	slices.Sort(list)
	return Distribution{list[len(list)/2], list[min(len(list)-1, len(list)*99/100)], list[len(list)-1]}
}

// String formats the three durations in seconds.
func (d Distribution) String() string {
	return fmt.Sprintf("%.2f / %.2f / %.2f s", d.Median.Seconds(), d.P99.Seconds(), d.Max.Seconds())
}

// Figures are the results of a measured run.
type Figures struct {
	Scenario
	InitialDistribution time.Duration // from the start of all gateways until all have the complete configuration in force
	IdleRate            float64       // bytes per second that a gateway sent and received without changes: mean
	// SingleChange is the time of one change alone until it is in force at half, 99% and all of the gateways.
	SingleChange [3]time.Duration
	// TimeToHalf, TimeTo99Percent and TimeToAll are the times from the submission of a change until it is in force at
	// half, 99% and all of the gateways that have run since the submission.
	TimeToHalf, TimeTo99Percent, TimeToAll Distribution
	TimeToAllFromCommit                    Distribution // as TimeToAll, but from the commit of the change
	LateChanges                            int          // changes that took over 8 s to be in force at all gateways
	UnfinishedChanges                      int          // changes not in force at all gateways at the end of the run
	StoppedVersions                        int          // versions whose rollout was stopped
	MeanRate, MaxRate                      float64      // bytes/s that a gateway sent and received: mean and maximum
	ControlRate, MaxControlRate            float64      // bytes per second that a control machine sent: mean and maximum
	GatewayCPU                             float64      // real time of an agent's calls / length of the run: mean
	ControlCPU                             float64      // the same for a control machine: maximum
	HeapPerGateway                         uint64       // bytes of heap in use by the whole cluster per gateway
	Subscribers                            int          // gateways subscribed to one control machine, maximum
	Violations                             []string
}
