package membership

import (
	"testing"
	"time"
)

func TestAwarenessScoreIsBoundedAndStretchesTimeouts(t *testing.T) {
	var a awareness
	a.improve()
	if a.score != 0 || a.stretch(time.Second) != time.Second {
		t.Errorf("well: %+v", a)
	}
	a.degrade(2)
	if a.stretch(time.Second) != 1500*time.Millisecond {
		t.Errorf("score 2: %v", a.stretch(time.Second))
	}
	if a.degrade(100); a.score != maxHealthScore {
		t.Errorf("worst: %+v", a)
	}
}
