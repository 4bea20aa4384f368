package concurrency

import "testing"

func TestQueueThresholdTracksMeanWait(t *testing.T) {
	for _, c := range []struct {
		name            string
		threshold, wait float64
		n               int
		response, want  float64
	}{
		{"rises", 0.9, 0.5, 3, 1, 0.9 + 0.07*0.4},
		{"falls", 0.9, 1.5, 3, 1, 0.9 - 0.07*0.6},
		{"no request left the queue", 0.9, 0, 0, 1, 0.9},
		{"at most twice the setpoint", 1.79, 0, 1, 1, 1.8},
		{"at least zero", 0.1, 5, 1, 1, 0},
		{"lower response setpoint", 0.9, 0.45, 1, 0.5, 0.9}, // clamped to 2 x 0.9 x 0.5
	} {
		t.Run(c.name, func(t *testing.T) {
			q := QueueThreshold{Value: c.threshold}
			for range c.n {
				q.RecordWait(c.wait)
			}
			q.CloseSample(c.response)
			checkNear(t, "threshold", q.Value, c.want)
			before := q.Value
			q.CloseSample(c.response)
			checkNear(t, "threshold after a sample without waits", q.Value, before)
		})
	}
}

func TestResponseSetpointTracksPercentile(t *testing.T) {
	for _, c := range []struct {
		name                     string
		setpoint, response, want float64
		answers                  int
	}{
		{"above the objective", 1, 1.5, 0.995, 64},
		{"rises below the objective", 0.9, 0.5, 0.905, 64},
		{"at most the objective", 1, 0.2, 1, 64},
		{"at least half the objective", 0.5, 4, 0.5, 64},
		{"fewer than 64 answers", 0.8, 4, 0.8, 63},
		{"more than 64 answers", 1, 1.5, 0.995, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := ResponseSetpoint{Value: c.setpoint}
			for range c.answers {
				s.Record(c.response)
			}
			s.CloseSample()
			checkNear(t, "setpoint", s.Value, c.want)
		})
	}
}
