// Package load is an open-loop load generator: it sends requests on schedule, independent of the responses to
// earlier ones. It supports request classes, load phases, recorded traces, and clients that wait, retry and time
// out. Latency is measured from the time at which a request was due, so that a stalled target results in late
// requests and not in fewer requests.
package load

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// Class is a class of requests. A cell, in the comment of Keyed, is a group of hosts that share a record of the keys
// that they have executed, so that they drop repeats.
type Class struct {
	Name             string
	Share            float64       // share of the requests, relative to the sum of all classes' shares
	Unsafe           bool          // sent by POST; must not be executed twice
	Keyed            bool          // sent by POST with an idempotency key; may run again in the same cell only
	Weight           float64       // weight in the goodput of a request that is served within LatencyObjective
	LatencyObjective time.Duration // latency objective, measured from the due time
	ClientTimeout    time.Duration // client timeout
	Body             int           // bytes of a POST's body
}

// Phase is a period of time with a request rate. For each field except Duration and Rate, the zero value means that
// the field does not apply.
type Phase struct {
	Duration time.Duration // length of the phase
	Rate     float64       // requests per second at the start of the phase
	EndRate  float64       // the rate changes linearly to this value until the end of the phase
	Steps    int           // with EndRate: the rate changes in this number of equal steps instead

	JumpFactor float64       // the rate is multiplied by this during the jump
	JumpAt     time.Duration // start of the jump, counted from the start of the phase
	JumpFor    time.Duration // length of the jump

	RushClass  string  // a class whose rate grows exponentially until the end of the phase, as before a closing time
	RushFactor float64 // ratio of that class's rate at the end to the rate at the start; 10 if unset

	Poisson bool // random exponential intervals between requests; otherwise equal intervals
}

// Check returns an error for the first invalid field of a phase.
func (p Phase) Check() error {
	switch {
	case p.Duration <= 0:
		return fmt.Errorf("for must be positive")
	case !(p.Rate >= 0 && p.Rate <= 1e6) || !(p.EndRate >= 0 && p.EndRate <= 1e6):
		return fmt.Errorf("rate must be 0 to 1000000 a second")
	case p.Steps < 0 || p.Steps > 1000 || p.Steps > 0 && p.EndRate == 0:
		return fmt.Errorf("steps must be 1 to 1000 and goes with to")
	case p.JumpFactor < 0 || p.JumpFactor > 0 && (p.JumpFor <= 0 || p.JumpAt < 0 || p.JumpAt >= p.Duration):
		return fmt.Errorf("jump must be positive, with jump_for, and jump_at within the phase")
	case p.RushFactor < 0 || p.RushFactor > 0 && p.RushClass == "":
		return fmt.Errorf("rush_to goes with rush")
	}
	return nil
}

// rate returns the rate of all classes together, in requests per second, without the rush of RushClass. at is the
// time since the start of the phase.
func (p Phase) rate(at time.Duration) float64 {
	r := p.Rate
	if progress := at.Seconds() / p.Duration.Seconds(); p.EndRate > 0 {
		if p.Steps > 0 {
			progress = math.Floor(progress*float64(p.Steps)) / float64(max(1, p.Steps-1))
			progress = min(1, progress)
		}
		r += (p.EndRate - p.Rate) * progress
	}
	if p.JumpFactor > 0 && at >= p.JumpAt && at < p.JumpAt+p.JumpFor {
		r *= p.JumpFactor
	}
	return r
}

// weight returns the share of a class relative to the other classes, including the rush of RushClass. at is the
// time since the start of the phase.
func (p Phase) weight(c Class, at time.Duration) float64 {
	if p.RushClass != c.Name {
		return c.Share
	}
	factor := p.RushFactor
	if factor == 0 {
		factor = 10
	}
	return c.Share * math.Pow(factor, at.Seconds()/p.Duration.Seconds())
}

// Arrival is one request of a schedule.
type Arrival struct {
	At            time.Duration // due time, counted from the start of the run
	Class         int           // index into the classes
	ClientTimeout time.Duration // client timeout
	Body          int           // bytes
}

// Schedule produces arrivals in the order of their due times.
type Schedule interface {
	// Next returns the next arrival, or false at the end.
	Next() (Arrival, bool)
}

// scheduleStep is the time step in which a changing rate is integrated.
const scheduleStep = time.Millisecond

// phases is the Schedule that Phases returns.
type phases struct {
	classes     []Class
	phases      []Phase // the current phase and those after it
	rand        *rand.Rand
	phaseStart  time.Duration // start of the current phase, after the start of the run
	elapsed     time.Duration // time since phaseStart
	arrivalsDue float64       // expected number of arrivals up to now, with fractions
	nextArrival float64       // the value of arrivalsDue at which the next arrival is due; 0 before the first
	totalShare  float64       // the sum of the classes' shares
}

// Phases returns a schedule of the phases in list, one after another. The same seed gives the same arrivals. It
// returns an error if a class or a phase is invalid.
func Phases(classes []Class, list []Phase, seed uint64) (Schedule, error) {
	p := &phases{classes: classes, phases: list, rand: rand.New(rand.NewPCG(seed, 2))}
	for i, c := range classes {
		if c.Name == "" || !(c.Share >= 0) || c.ClientTimeout <= 0 {
			return nil, fmt.Errorf("class %d: needs a name, a share of 0 or more and a positive patience", i+1)
		}
		p.totalShare += c.Share
	}
	if p.totalShare <= 0 {
		return nil, fmt.Errorf("no class has a share")
	}
	for i, f := range list {
		if err := f.Check(); err != nil {
			return nil, fmt.Errorf("phase %d: %w", i+1, err)
		}
		defined := f.RushClass == ""
		for _, c := range classes {
			defined = defined || c.Name == f.RushClass
		}
		if !defined {
			return nil, fmt.Errorf("phase %d: rush names class %q, which is not defined", i+1, f.RushClass)
		}
	}
	return p, nil
}

// Next implements Schedule.
func (p *phases) Next() (Arrival, bool) {
	if p.nextArrival == 0 {
		p.nextArrival = p.drawInterval() * 0.5
	}
	for len(p.phases) > 0 {
		f := p.phases[0]
		step := min(scheduleStep, f.Duration-p.elapsed)
		if step <= 0 {
			p.phaseStart, p.elapsed, p.phases = p.phaseStart+f.Duration, 0, p.phases[1:]
			continue
		}
		var weight float64
		for _, c := range p.classes {
			weight += f.weight(c, p.elapsed)
		}
		due := f.rate(p.elapsed) * weight / p.totalShare * step.Seconds()
		if due <= 0 || p.arrivalsDue+due < p.nextArrival {
			p.arrivalsDue += due
			p.elapsed += step
			continue
		}
		offset := time.Duration((p.nextArrival - p.arrivalsDue) / due * float64(step))
		a := Arrival{At: p.phaseStart + p.elapsed + offset, Class: p.drawClass(f, weight)}
		a.ClientTimeout, a.Body = p.classes[a.Class].ClientTimeout, p.classes[a.Class].Body
		p.nextArrival += p.drawInterval()
		return a, true
	}
	return Arrival{}, false
}

// drawInterval returns the distance to the next arrival, in units of the mean interval.
func (p *phases) drawInterval() float64 {
	if len(p.phases) > 0 && p.phases[0].Poisson {
		return p.rand.ExpFloat64()
	}
	return 1
}

// drawClass draws the class of an arrival by the classes' present weights, whose sum is weight.
func (p *phases) drawClass(f Phase, weight float64) int {
	point := p.rand.Float64() * weight
	for i, c := range p.classes {
		if point -= f.weight(c, p.elapsed); point < 0 {
			return i
		}
	}
	return len(p.classes) - 1
}

// TotalDuration returns the total length of the phases in list.
func TotalDuration(list []Phase) time.Duration {
	var sum time.Duration
	for _, p := range list {
		sum += p.Duration
	}
	return sum
}

// traceHeader is the first line of a trace.
const traceHeader = "# thymelab trace 1: due_us class patience_ms body_bytes"

// WriteTrace writes the arrivals of s to w, one per line: the due time in microseconds after the start, the
// class, the client timeout in milliseconds and the bytes of the body.
func WriteTrace(w io.Writer, classes []Class, s Schedule) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, traceHeader)
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		fmt.Fprintf(out, "%d %s %d %d\n", a.At.Microseconds(), classes[a.Class].Name, a.ClientTimeout.Milliseconds(), a.Body)
	}
	return out.Flush()
}

// arrivalList is a Schedule of given arrivals.
type arrivalList struct{ arrivals []Arrival }

// Next implements Schedule.
func (r *arrivalList) Next() (Arrival, bool) {
	if len(r.arrivals) == 0 {
		return Arrival{}, false
	}
	a := r.arrivals[0]
	r.arrivals = r.arrivals[1:]
	return a, true
}

// FromArrivals returns a Schedule of the given arrivals, in their order.
func FromArrivals(arrivals []Arrival) Schedule { return &arrivalList{arrivals} }

// ReadTrace reads a trace that WriteTrace wrote. It skips empty lines and lines that start with #. Errors contain
// name and the number of the line.
func ReadTrace(name string, r io.Reader, classes []Class) (Schedule, error) {
	var out []Arrival
	lines := bufio.NewScanner(r)
	n := 0
	for lines.Scan() {
		n++
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		if len(fields) != 4 {
			return nil, fmt.Errorf("%s:%d: %d words, wanted 4: due_us class patience_ms body_bytes", name, n,
				len(fields))
		}
		a := Arrival{Class: -1}
		for i, c := range classes {
			if c.Name == fields[1] {
				a.Class = i
			}
		}
		due, err1 := strconv.ParseInt(fields[0], 10, 64)
		patience, err2 := strconv.ParseInt(fields[2], 10, 64)
		body, err3 := strconv.Atoi(fields[3])
		a.At, a.ClientTimeout, a.Body = time.Duration(due)*time.Microsecond, time.Duration(patience)*time.Millisecond, body
		switch {
		case a.Class < 0:
			return nil, fmt.Errorf("%s:%d: class %q is not defined", name, n, fields[1])
		case err1 != nil || due < 0 || due > 1e12 || len(out) > 0 && a.At < out[len(out)-1].At:
			return nil, fmt.Errorf("%s:%d: due_us %q must be a whole number, not before the line above's", name,
				n, fields[0])
		case err2 != nil || patience <= 0 || patience > 3600e3:
			return nil, fmt.Errorf("%s:%d: patience_ms %q must be 1 to 3600000", name, n, fields[2])
		case err3 != nil || body < 0 || body > 64<<10:
			return nil, fmt.Errorf("%s:%d: body_bytes %q must be 0 to 65536", name, n, fields[3])
		}
		out = append(out, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, n+1, err)
	}
	return FromArrivals(out), nil
}
