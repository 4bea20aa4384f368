package membership

import (
	"testing"
)

func TestProbeResultsKeepARollingWindow(t *testing.T) {
	var r probeResults
	if r.answeredShare() != 1 {
		t.Errorf("answered share without a probe is %v, want 1", r.answeredShare())
	}
	r.add(false)
	r.add(true)
	if r.answeredShare() != 0.5 {
		t.Errorf("answered share after one answer of two probes is %v, want 0.5", r.answeredShare())
	}
	for range resultWindow {
		r.add(true)
	}
	if r.answeredShare() != 1 {
		t.Errorf("answered share after a window of answers is %v, want 1", r.answeredShare())
	}
}
