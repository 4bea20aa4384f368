package membership

import (
	"testing"
)

func TestProbeResultsKeepARollingWindow(t *testing.T) {
	var r probeResults
	if r.answeredShare() != 1 {
		t.Errorf("without a probe: %v", r.answeredShare())
	}
	r.add(false)
	r.add(true)
	if r.answeredShare() != 0.5 {
		t.Errorf("one of two: %v", r.answeredShare())
	}
	for range resultWindow {
		r.add(true)
	}
	if r.answeredShare() != 1 {
		t.Errorf("the last ones: %v", r.answeredShare())
	}
}
