package pacing

import (
	"testing"
	"time"
)

// longest is the longest delay after each of a number of failures in a row.
func longest(kind Failure, callers, failures int) []time.Duration {
	var p Pacer
	delays := make([]time.Duration, failures)
	for i := range delays {
		delays[i] = p.Failed(kind, callers, 0, 1, 1)
	}
	return delays
}

func TestFailedCallsComeFurtherApart(t *testing.T) {
	for _, c := range []struct {
		name    string
		kind    Failure
		callers int
		want    []time.Duration // in units of 50 ms
	}{
		{"a small fleet stays within 1.5 s", Overloaded, 3, []time.Duration{15, 30, 30, 30, 30, 30, 30, 30}},
		{"nobody is met", Unreachable, 350, []time.Duration{15, 30, 30, 30, 30, 30, 30, 30}},
		{"thirty gateways", Overloaded, 32, []time.Duration{55, 110, 110, 110, 110, 110, 128, 128}},
		{"a large fleet", Overloaded, 350, []time.Duration{55, 110, 110, 110, 110, 110, 220, 440, 880, 1200, 1200}},
	} {
		for i, got := range longest(c.kind, c.callers, len(c.want)) {
			if want := c.want[i] * 50 * time.Millisecond; got != want {
				t.Errorf("%s: failure %d puts the next call off by %v, want %v", c.name, i+1, got, want)
			}
		}
	}
}

func TestTimeThatACallTookCounts(t *testing.T) {
	var p Pacer
	if got := p.Failed(Overloaded, 32, 2*time.Second, 1, 1); got != 750*time.Millisecond {
		t.Errorf("after a call of 2 s the next comes %v later, want 750 ms", got)
	}
	if got := p.Failed(Overloaded, 32, time.Minute, 0.5, 1); got != failedSpread/2 {
		t.Errorf("after a call of a minute the next comes %v later, want %v", got, failedSpread/2)
	}
}

func TestAnAnswerAndItsEndBeginAnew(t *testing.T) {
	p := Pacer{First: 200 * time.Millisecond}
	for range 4 {
		p.Failed(Overloaded, 32, 0, 0, 1)
	}
	p.Succeeded()
	if got := p.Failed(Ended, 32, time.Hour, 1, 1); got != endedSpread {
		t.Errorf("the call after an answer's end comes %v later, want %v", got, endedSpread)
	}
	if got := p.Failed(Overloaded, 32, 0, 0, 1); got != p.First {
		t.Errorf("the first failure after an answer puts the next call off by %v, want %v", got, p.First)
	}
}
