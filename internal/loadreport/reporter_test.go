package loadreport

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a gateway that reports although no figure has changed or more often than every few seconds, and
// against a last report that differs from the present figures by more than they can change in that time.
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
		report := Report{Demand: demand, HasFigures: true}
		if b, due := reporter.Next(time.Duration(ms)*time.Millisecond, report, 5); due {
			reported++
			last, _ = Parse(b)
		}
		if ms == 40_000 && reported != 1 {
			t.Errorf("reported %d times while no figure changed, want once", reported)
		}
		if last.Demand < demand/2.6 || last.Demand > demand*2.6 {
			t.Fatalf("at %d ms: last reported demand %v, present demand %v", ms, last.Demand, demand)
		}
	}
	if reported < 4 || reported > 7 {
		t.Errorf("reported %d times, want 4 to 7", reported)
	}
}

// Guards against an oscillating demand that is reported at every change.
func TestReporterIsBoundedWhileDemandSwings(t *testing.T) {
	var reporter Reporter
	reported := 0
	for ms := 0; ms < 10_000; ms += 10 { // demand alternates between 0 and 100
		report := Report{Demand: float64(ms / 10 % 2 * 100), HasFigures: true}
		if _, due := reporter.Next(time.Duration(ms)*time.Millisecond, report, 5); due {
			reported++
		}
	}
	if reported > 3 {
		t.Errorf("reported %d times in 10 s, want at most 3", reported)
	}
}

// Guards against too many reports in total in a large cluster, and against an ejection that is reported late.
func TestReportIntervalGrowsWithClusterSize(t *testing.T) {
	for _, test := range []struct {
		gateways   int
		urgent     bool
		maxReports int // in 100 s; the minimum is half of it
	}{{5, false, 30}, {5, true, 104}, {300, false, 2}, {300, true, 18}} {
		t.Run(fmt.Sprintf("%d gateways, urgent %v", test.gateways, test.urgent), func(t *testing.T) {
			var reporter Reporter
			reported := 0
			for ms := 0; ms < 100_000; ms += 250 {
				report := Report{Demand: float64(1 + ms/250%2*100), HasFigures: true}
				if test.urgent {
					report.Ejected = []uint32{uint32(ms)}
				}
				if _, due := reporter.Next(time.Duration(ms)*time.Millisecond, report, test.gateways); due {
					reported++
				}
			}
			if reported > test.maxReports || reported < test.maxReports/2 {
				t.Errorf("reported %d times in 100 s, want %d to %d", reported, test.maxReports/2, test.maxReports)
			}
		})
	}
}

// Guards against the end of an ejection that is not reported, and against a report although nothing has changed.
func TestReporterReportsAnEndedEjection(t *testing.T) {
	var endpoints []uint64 // more than a report holds
	for i := range 20 {
		endpoints = append(endpoints, uint64(i+1)<<33, uint64(i+1)<<33)
	}
	report := Report{Zone: 70, Demand: 10, HasFigures: true, ConfigHash: 7, Ejected: EndpointHashes(endpoints)}
	var reporter Reporter
	reporter.Next(time.Second, report, 5)
	if _, due := reporter.Next(3*time.Second, report, 5); due {
		t.Error("reported again although nothing changed")
	}
	report.Ejected = report.Ejected[1:]
	if _, due := reporter.Next(3*time.Second, report, 5); !due {
		t.Error("did not report the end of an ejection")
	}
}
