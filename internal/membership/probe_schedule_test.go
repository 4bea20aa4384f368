package membership

import (
	"testing"
)

func TestOutcomesKeepTheLastOnes(t *testing.T) {
	var o probeResults
	if o.answering() != 1 {
		t.Errorf("without a probe: %v", o.answering())
	}
	o.add(false)
	o.add(true)
	if o.answering() != 0.5 {
		t.Errorf("one of two: %v", o.answering())
	}
	for range outcomeWindow {
		o.add(true)
	}
	if o.answering() != 1 {
		t.Errorf("the last ones: %v", o.answering())
	}
}
