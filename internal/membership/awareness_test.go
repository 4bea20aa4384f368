package membership

import (
	"testing"
	"time"
)

func TestAwarenessScoreIsBoundedAndStretchesTimeouts(t *testing.T) {
	var a awareness
	a.improve()
	if a.score != 0 || a.stretch(time.Second) != time.Second {
		t.Errorf("healthy: %+v stretches 1 s to %v, want score 0 and 1 s", a, a.stretch(time.Second))
	}
	a.degrade(2)
	if a.stretch(time.Second) != 1500*time.Millisecond {
		t.Errorf("score 2 stretches 1 s to %v, want 1.5 s", a.stretch(time.Second))
	}
	if a.degrade(100); a.score != maxHealthScore {
		t.Errorf("worst health: %+v, want score %d", a, maxHealthScore)
	}
}
