package loadreport

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a gateway that reports though nothing moved or more often than every few seconds, and against a last
// report that is off by more than moves in that time.
func TestReporterReportsChangedFigures(t *testing.T) {
	var reporter Reporter
	reported, last := 0, Report{}
	for ms := 0; ms < 60_000; ms += 10 {
		demand := 100.0
		if ms > 20_000 {
			demand *= 1 + 0.08*math.Sin(float64(ms)) // noise within a step
		}
		if ms > 40_000 {
			demand = 100 * math.Pow(10, float64(ms-40_000)/20_000) // tenfold in 20 s
		}
		report := Report{Demand: demand, Known: true}
		if b, due := reporter.Next(time.Duration(ms)*time.Millisecond, report, 5); due {
			reported++
			last, _ = Parse(b)
		}
		if ms == 40_000 && reported != 1 {
			t.Errorf("reported %d times while nothing moved", reported)
		}
		if last.Demand < demand/2.6 || last.Demand > demand*2.6 {
			t.Fatalf("at %d ms: reported %v of %v", ms, last.Demand, demand)
		}
	}
	if reported < 4 || reported > 7 {
		t.Errorf("reported %d times", reported)
	}
}

// Guards against demand that swings and is reported with each swing.
func TestReporterIsBoundedWhileDemandSwings(t *testing.T) {
	var reporter Reporter
	reported := 0
	for ms := 0; ms < 10_000; ms += 10 { // from nothing to much and back, each time
		report := Report{Demand: float64(ms / 10 % 2 * 100), Known: true}
		if _, due := reporter.Next(time.Duration(ms)*time.Millisecond, report, 5); due {
			reported++
		}
	}
	if reported > 3 {
		t.Errorf("reported %d times in 10 s", reported)
	}
}

// Guards against a large cluster in which all reports together are too many, and against an ejection that waits for
// long.
func TestReportIntervalGrowsWithClusterSize(t *testing.T) {
	for _, test := range []struct {
		gateways   int
		urgent     bool
		maxReports int // in 100 s; half of them at least
	}{{5, false, 30}, {5, true, 104}, {300, false, 2}, {300, true, 18}} {
		t.Run(fmt.Sprintf("%d gateways, urgent %v", test.gateways, test.urgent), func(t *testing.T) {
			var reporter Reporter
			reported := 0
			for ms := 0; ms < 100_000; ms += 250 {
				report := Report{Demand: float64(1 + ms/250%2*100), Known: true}
				if test.urgent {
					report.Ejected = []uint32{uint32(ms)}
				}
				if _, due := reporter.Next(time.Duration(ms)*time.Millisecond, report, test.gateways); due {
					reported++
				}
			}
			if reported > test.maxReports || reported < test.maxReports/2 {
				t.Errorf("reported %d times in 100 s, wanted %d at most", reported, test.maxReports)
			}
		})
	}
}

// Guards against an endpoint that is good again and is not reported so, and against reports though nothing moved.
func TestReporterReportsAnEndedEjection(t *testing.T) {
	var endpoints []uint64 // as many as a report holds, and more
	for i := range 20 {
		endpoints = append(endpoints, uint64(i+1)<<33, uint64(i+1)<<33)
	}
	report := Report{Zone: 70, Demand: 10, Known: true, ConfigHash: 7, Ejected: EndpointHashes(endpoints)}
	var reporter Reporter
	reporter.Next(time.Second, report, 5)
	if _, due := reporter.Next(3*time.Second, report, 5); due {
		t.Error("reported again though nothing moved")
	}
	report.Ejected = report.Ejected[1:]
	if _, due := reporter.Next(3*time.Second, report, 5); !due {
		t.Error("not reported though an endpoint is good again")
	}
}
