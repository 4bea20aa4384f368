package balancer

import (
	"slices"
	"testing"
	"time"
)

// A load report states the ejected endpoints and, at every age of the process from which reports are valid,
// the recent traffic.
func TestLoadReportMatchesTraffic(t *testing.T) {
	r := newRig(t, testConfig(), warmEndpoints(3)...)
	if r.b.LoadReport(r.now + time.Second).Valid {
		t.Error("the load report of a process of 1 s counts as valid")
	}
	for seconds := range 40 {
		r.playRequests(RequestID(1+seconds*25), 25, alwaysOK) // 35 ms each: 28 per second
		report := r.b.LoadReport(r.now)
		if seconds >= 3 && (!report.Valid || report.Demand < 24 || report.Demand > 33) {
			t.Fatalf("after %d rounds: %+v, want a demand of about 28 per second", seconds, report)
		}
	}
	r.playRequests(5000, 30, func(id EndpointID) Outcome {
		if id == 2 {
			return OutcomeError
		}
		return OutcomeOK
	})
	report := r.b.LoadReport(r.now)
	if !slices.Equal(report.Ejected, []EndpointID{2}) || report.FreeCapacity <= 0 || report.FreeCapacity > 1 ||
		report.Rejected > 0.2 {
		t.Errorf("load report %+v, want endpoint 2 ejected, free capacity above 0, at most 0.2 rejected", report)
	}
}
