// Package load sends requests on schedule, whatever becomes of them: an open-loop generator with classes,
// phases, recorded traces and clients that wait, retry and leave. Latency counts from the time at which a
// request was due, so that what a stalled target delays shows as late requests, not as fewer.
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

// Class is one kind of request.
type Class struct {
	Name     string
	Share    float64       // of the requests; shares are relative
	Unsafe   bool          // sent by POST; must not run twice
	Keyed    bool          // sent by POST with a key; repeats stay in a cell
	Worth    float64       // of one served in time
	Aim      time.Duration // an answer is wanted within this
	Patience time.Duration // the client leaves after this
	Body     int           // bytes of a POST's body
}

// Phase is a stretch of time with a rate. The zero value of each field but For and Rate means that it
// does not apply.
type Phase struct {
	For   time.Duration
	Rate  float64 // requests a second at its begin
	To    float64 // the rate rises or falls evenly to this one
	Steps int     // with To: in so many steps instead

	Jump    float64       // times the rate, during the jump
	JumpAt  time.Duration // after the phase's begin
	JumpFor time.Duration

	Rush   string  // a class whose requests rise towards the phase's end and stop there, as before a closing time
	RushTo float64 // times as many at the end as at the begin; 10 if unset

	Poisson bool // at random times; otherwise evenly spaced
}

// Check names the first thing wrong with a phase.
func (p Phase) Check() error {
	switch {
	case p.For <= 0:
		return fmt.Errorf("for must be positive")
	case !(p.Rate >= 0 && p.Rate <= 1e6) || !(p.To >= 0 && p.To <= 1e6):
		return fmt.Errorf("rate must be 0 to 1000000 a second")
	case p.Steps < 0 || p.Steps > 1000 || p.Steps > 0 && p.To == 0:
		return fmt.Errorf("steps must be 1 to 1000 and goes with to")
	case p.Jump < 0 || p.Jump > 0 && (p.JumpFor <= 0 || p.JumpAt < 0 || p.JumpAt >= p.For):
		return fmt.Errorf("jump must be positive, with jump_for, and jump_at within the phase")
	case p.RushTo < 0 || p.RushTo > 0 && p.Rush == "":
		return fmt.Errorf("rush_to goes with rush")
	}
	return nil
}

// rate is that of all classes together, without a rush.
func (p Phase) rate(at time.Duration) float64 {
	r := p.Rate
	if part := at.Seconds() / p.For.Seconds(); p.To > 0 {
		if p.Steps > 0 {
			part = math.Floor(part*float64(p.Steps)) / float64(max(1, p.Steps-1))
			part = min(1, part)
		}
		r += (p.To - p.Rate) * part
	}
	if p.Jump > 0 && at >= p.JumpAt && at < p.JumpAt+p.JumpFor {
		r *= p.Jump
	}
	return r
}

// weight is that of a class beside the others.
func (p Phase) weight(c Class, at time.Duration) float64 {
	if p.Rush != c.Name {
		return c.Share
	}
	to := p.RushTo
	if to == 0 {
		to = 10
	}
	return c.Share * math.Pow(to, at.Seconds()/p.For.Seconds())
}

// Arrival is one request that falls due.
type Arrival struct {
	At       time.Duration // after the run's begin
	Class    int
	Patience time.Duration
	Body     int
}

// Schedule gives arrivals in the order in which they fall due.
type Schedule interface {
	Next() (Arrival, bool)
}

// scheduleStep is how finely a changing rate is followed.
const scheduleStep = time.Millisecond

type phases struct {
	classes []Class
	phases  []Phase
	rand    *rand.Rand
	from    time.Duration // where the present phase began
	at      time.Duration // within it
	gone    float64       // arrivals that were due up to at
	next    float64       // the count at which the next arrival is due
	total   float64       // the sum of shares
}

// Phases schedules one phase after another. The same seed gives the same arrivals.
func Phases(classes []Class, list []Phase, seed uint64) (Schedule, error) {
	p := &phases{classes: classes, phases: list, rand: rand.New(rand.NewPCG(seed, 2))}
	for i, c := range classes {
		if c.Name == "" || !(c.Share >= 0) || c.Patience <= 0 {
			return nil, fmt.Errorf("class %d: needs a name, a share of 0 or more and patience", i+1)
		}
		p.total += c.Share
	}
	if p.total <= 0 {
		return nil, fmt.Errorf("no class has a share")
	}
	for i, f := range list {
		if err := f.Check(); err != nil {
			return nil, fmt.Errorf("phase %d: %w", i+1, err)
		}
		known := f.Rush == ""
		for _, c := range classes {
			known = known || c.Name == f.Rush
		}
		if !known {
			return nil, fmt.Errorf("phase %d: rush names class %q, which is not there", i+1, f.Rush)
		}
	}
	return p, nil
}

func (p *phases) Next() (Arrival, bool) {
	if p.next == 0 {
		p.next = p.gap() * 0.5
	}
	for len(p.phases) > 0 {
		f := p.phases[0]
		step := min(scheduleStep, f.For-p.at)
		if step <= 0 {
			p.from, p.at, p.phases = p.from+f.For, 0, p.phases[1:]
			continue
		}
		var weight float64
		for _, c := range p.classes {
			weight += f.weight(c, p.at)
		}
		due := f.rate(p.at) * weight / p.total * step.Seconds()
		if due <= 0 || p.gone+due < p.next {
			p.gone += due
			p.at += step
			continue
		}
		part := time.Duration((p.next - p.gone) / due * float64(step))
		a := Arrival{At: p.from + p.at + part, Class: p.class(f, weight)}
		a.Patience, a.Body = p.classes[a.Class].Patience, p.classes[a.Class].Body
		p.next += p.gap()
		return a, true
	}
	return Arrival{}, false
}

func (p *phases) gap() float64 {
	if len(p.phases) > 0 && p.phases[0].Poisson {
		return p.rand.ExpFloat64()
	}
	return 1
}

func (p *phases) class(f Phase, weight float64) int {
	at := p.rand.Float64() * weight
	for i, c := range p.classes {
		if at -= f.weight(c, p.at); at < 0 {
			return i
		}
	}
	return len(p.classes) - 1
}

// Length is how long phases last together.
func Length(list []Phase) time.Duration {
	var sum time.Duration
	for _, p := range list {
		sum += p.For
	}
	return sum
}

// traceHead is a trace's first line.
const traceHead = "# thymelab trace 1: due_us class patience_ms body_bytes"

// WriteTrace records arrivals, one a line: when it was due in microseconds after the begin, the class,
// the client's client timeout in milliseconds, the bytes of its body.
func WriteTrace(w io.Writer, classes []Class, s Schedule) error {
	out := bufio.NewWriter(w)
	fmt.Fprintln(out, traceHead)
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		fmt.Fprintf(out, "%d %s %d %d\n", a.At.Microseconds(), classes[a.Class].Name, a.Patience.Milliseconds(), a.Body)
	}
	return out.Flush()
}

type recorded struct{ arrivals []Arrival }

func (r *recorded) Next() (Arrival, bool) {
	if len(r.arrivals) == 0 {
		return Arrival{}, false
	}
	a := r.arrivals[0]
	r.arrivals = r.arrivals[1:]
	return a, true
}

// Record schedules arrivals that are at hand, in order.
func Record(arrivals []Arrival) Schedule { return &recorded{arrivals} }

// ReadTrace reads what WriteTrace wrote. Lines that begin with # and empty ones say nothing. Errors name the
// line.
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
		words := strings.Fields(text)
		if len(words) != 4 {
			return nil, fmt.Errorf("%s:%d: %d words, wanted 4: due_us class patience_ms body_bytes", name, n,
				len(words))
		}
		a := Arrival{Class: -1}
		for i, c := range classes {
			if c.Name == words[1] {
				a.Class = i
			}
		}
		due, err1 := strconv.ParseInt(words[0], 10, 64)
		patience, err2 := strconv.ParseInt(words[2], 10, 64)
		body, err3 := strconv.Atoi(words[3])
		a.At, a.Patience, a.Body = time.Duration(due)*time.Microsecond, time.Duration(patience)*time.Millisecond, body
		switch {
		case a.Class < 0:
			return nil, fmt.Errorf("%s:%d: class %q is not there", name, n, words[1])
		case err1 != nil || due < 0 || due > 1e12 || len(out) > 0 && a.At < out[len(out)-1].At:
			return nil, fmt.Errorf("%s:%d: due_us %q must be a whole number, not before the line above's", name,
				n, words[0])
		case err2 != nil || patience <= 0 || patience > 3600e3:
			return nil, fmt.Errorf("%s:%d: patience_ms %q must be 1 to 3600000", name, n, words[2])
		case err3 != nil || body < 0 || body > 64<<10:
			return nil, fmt.Errorf("%s:%d: body_bytes %q must be 0 to 65536", name, n, words[3])
		}
		out = append(out, a)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%s:%d: %w", name, n+1, err)
	}
	return Record(out), nil
}
