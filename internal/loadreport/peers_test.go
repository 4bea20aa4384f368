package loadreport

import (
	"slices"
	"testing"
	"time"
)

// known returns the report of a gateway that is alive and has reported its demand.
func known(demand float64) PeerReport {
	return PeerReport{Report: Report{Demand: demand, HasFigures: true}}
}

// Guards against a gateway that reports a wrong demand and gets more than eight times the median, and against an
// expired report that counts as no demand instead of as unknown demand.
func TestReportedDemandIsBounded(t *testing.T) {
	notAlive := func(demand float64, d time.Duration) PeerReport {
		peer := known(demand)
		peer.NotAliveFor = d
		return peer
	}
	for _, test := range []struct {
		name    string
		reports []PeerReport
		want    []float64
	}{
		{"wrong, idle, unknown and expired reports",
			append(slices.Repeat([]PeerReport{known(10)}, 9), known(1e9), known(0), PeerReport{},
				notAlive(30, 9*time.Second), notAlive(30, 10*time.Second)),
			append(slices.Repeat([]float64{10}, 9), 80, 10.0/64, 0, 30, 0)},
		{"half idle", []PeerReport{known(0), known(0), known(5)}, []float64{5.0 / 64, 5.0 / 64, 5}},
		{"all idle", []PeerReport{{}, known(0)}, []float64{0, 0}},
		{"not known yet", []PeerReport{known(-1), known(8)}, []float64{0, 8}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Demands(test.reports); !slices.Equal(got, test.want) {
				t.Errorf("Demands() = %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against an endpoint that is suspected because a single gateway reports every endpoint as ejected, and
// against counting the reports of gateways that are unhealthy themselves or no longer alive.
func TestOneReporterSuspectsNoEndpoint(t *testing.T) {
	all := EndpointHashes([]uint64{1, 2, 3, 4, 5, 6, 7, 8})
	allEjected := PeerReport{Report: Report{HasFigures: true, Ejected: append(slices.Clone(all), all...)}}
	unhealthy := PeerReport{Report: Report{HasFigures: true, Ejected: all, LocalHealth: 5}}
	gone := PeerReport{Report: Report{HasFigures: true, Ejected: all}, NotAliveFor: time.Second}
	if suspected := SuspectedByPeers([]PeerReport{allEjected, unhealthy, gone, known(0)}); len(suspected) > 0 {
		t.Errorf("%v are suspected, but only one report counts", suspected)
	}
	oneEjected := PeerReport{Report: Report{HasFigures: true, Ejected: all[2:3]}}
	if suspected := SuspectedByPeers([]PeerReport{allEjected, oneEjected}); len(suspected) != 1 || !suspected[all[2]] {
		t.Errorf("suspected: %v, want only the endpoint that two gateways report", suspected)
	}
}
