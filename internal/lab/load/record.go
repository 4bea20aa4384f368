package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds, up to two minutes.
const mostLatency = int64(2 * time.Minute / time.Microsecond)

func histogram(digits int) *hdrhistogram.Histogram { return hdrhistogram.New(1, mostLatency, digits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(mostLatency, max(1, d.Microseconds()))) // clamped, so it cannot fail
}

// Fate is how a request ended for its client, its retries included.
type Fate uint8

// The fates.
const (
	OK         Fate = iota // 200 in the client's time
	Refused                // 429 or 503
	Failed                 // another answer, an answer past the client's time, or none because the connection failed
	Unanswered             // nothing came until the client's time was over
	Unsent                 // the generator could not send it
)

// Counts are requests by fate, and tries.
type Counts struct {
	Scheduled  int `json:"scheduled"`  // first tries that fell due
	Sent       int `json:"sent"`       // of those, written whole to a connection
	Answered   int `json:"answered"`   // requests whose last try got a whole answer in its time
	OK         int `json:"ok"`         // 200 in the client's time
	InAim      int `json:"in_aim"`     // of those, within the class's aim, counted from the due time
	Refused    int `json:"refused"`    // 429 or 503
	Failed     int `json:"failed"`     // any other answer, a late one, or a failed connection
	Unanswered int `json:"unanswered"` // sent, and silence until the client's time was over
	Unsent     int `json:"unsent"`     // the generator's own fault: it had no descriptor or no time
	Retries    int `json:"retries"`    // further tries
	Connects   int `json:"connects"`   // connections opened
}

func (c *Counts) add(o Counts) {
	c.Scheduled += o.Scheduled
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.OK += o.OK
	c.InAim += o.InAim
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Unanswered += o.Unanswered
	c.Unsent += o.Unsent
	c.Retries += o.Retries
	c.Connects += o.Connects
}

// Second is what fell due within one second of the run, of one class.
type Second struct {
	Counts
	Tries int // first tries and retries, by the time they were sent
	hist  *hdrhistogram.Histogram
}

// Latency are percentiles in milliseconds. All are zero where nothing was counted.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

func latency(h *hdrhistogram.Histogram) Latency {
	if h == nil || h.TotalCount() == 0 {
		return Latency{}
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	p := h.ValueAtPercentiles([]float64{50, 90, 99, 99.9})
	return Latency{Count: h.TotalCount(), P50: ms(p[50]), P90: ms(p[90]), P99: ms(p[99]), P999: ms(p[99.9]),
		Max: ms(h.Max())}
}

// Percentile of a latency curve.
type Percentile struct {
	Percentile float64 `json:"percentile"`
	MS         float64 `json:"ms"`
	Count      int64   `json:"count"` // of values up to there
}

// recorder takes what happens to requests, from many goroutines.
type recorder struct {
	mu      sync.Mutex
	classes []Class
	all     []*hdrhistogram.Histogram // by class
	whole   *hdrhistogram.Histogram
	late    *hdrhistogram.Histogram // the generator's own lateness
	seconds [][]Second              // by class, by second
	causes  map[string]int
}

func newRecorder(classes []Class) *recorder {
	r := &recorder{classes: classes, whole: histogram(3), late: histogram(3), seconds: make([][]Second, len(classes)),
		causes: make(map[string]int)}
	for range classes {
		r.all = append(r.all, histogram(3))
	}
	return r
}

func (r *recorder) at(class int, due time.Duration) *Second {
	s := max(0, int(due/time.Second))
	for len(r.seconds[class]) <= s {
		r.seconds[class] = append(r.seconds[class], Second{})
	}
	return &r.seconds[class][s]
}

func (r *recorder) count(class int, due time.Duration, change func(*Second)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.at(class, due))
}

func (r *recorder) lateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.late, d)
}

// end enters a request's end. What was served and what stayed unanswered is counted in the latencies: leaving
// out the latter would flatter the target.
func (r *recorder) end(class int, due time.Duration, f Fate, took time.Duration, answered bool, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.at(class, due)
	if answered {
		s.Answered++
	}
	if cause != "" {
		r.causes[cause]++
	}
	switch f {
	case OK:
		s.OK++
		if took <= r.classes[class].Aim {
			s.InAim++
		}
	case Refused:
		s.Refused++
	case Failed:
		s.Failed++
	case Unanswered:
		s.Unanswered++
	case Unsent:
		s.Unsent++
	}
	if f == OK || f == Unanswered {
		if s.hist == nil {
			s.hist = histogram(2)
		}
		record(s.hist, took)
		record(r.all[class], took)
		record(r.whole, took)
	}
}

// SecondResult is one second of the run, by when requests were due.
type SecondResult struct {
	Second int `json:"second"`
	Counts
	Tries   int     `json:"tries"` // by the time they were sent
	Goodput float64 `json:"goodput"`
	Latency Latency `json:"latency_ms"`
}

// ClassResult is one class over the whole run.
type ClassResult struct {
	Name   string  `json:"name"`
	Unsafe bool    `json:"unsafe"`
	Worth  float64 `json:"worth"`
	AimMS  float64 `json:"aim_ms"`
	Counts
	Goodput float64        `json:"goodput"` // in_aim over scheduled
	Latency Latency        `json:"latency_ms"`
	Curve   []Percentile   `json:"curve"`
	Seconds []SecondResult `json:"seconds"`
}

// Result is what a run measured.
type Result struct {
	Counts
	SelfLate     Latency        `json:"self_late_ms"` // how late the generator itself was
	Latency      Latency        `json:"latency_ms"`   // from the due time to the end, of ok and unanswered requests
	FellBehind   bool           `json:"fell_behind"`
	Behind       string         `json:"behind,omitempty"` // why
	Goodput      float64        `json:"goodput"`          // worth served within the aim over worth asked for
	WorstWindow  float64        `json:"goodput_worst_10s"`
	Tries        int            `json:"tries"`
	MostOpen     int            `json:"most_open"` // connections
	Lasted       float64        `json:"lasted_s"`
	CPU          float64        `json:"cpu_cores"` // this process's processor time over the run's length
	Classes      []ClassResult  `json:"classes"`
	Causes       map[string]int `json:"causes"` // why requests had no good answer
	Stray        []string       `json:"stray"`  // ids of links on which bytes came unasked
	PartialInput bool           `json:"stopped_early"`
}

// The generator has fallen behind when a tenth of a percent of its requests left later than behindMost,
// or the 99th percentile is over behindP99. What it then measures is its own delay as much as the
// target's.
const (
	behindP99  = 25 * time.Millisecond
	behindMost = 250 * time.Millisecond
)

func (r *recorder) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Result{SelfLate: latency(r.late), Latency: latency(r.whole), Causes: r.causes, Stray: []string{}}
	var asked, good float64
	longest := 0
	for i, c := range r.classes {
		cr := ClassResult{Name: c.Name, Unsafe: c.Unsafe, Worth: c.Worth, AimMS: float64(c.Aim.Microseconds()) / 1000,
			Latency: latency(r.all[i]), Curve: []Percentile{}, Seconds: []SecondResult{}}
		for n := range r.seconds[i] {
			s := &r.seconds[i][n]
			cr.add(s.Counts)
			cr.Seconds = append(cr.Seconds, SecondResult{Second: n, Counts: s.Counts, Tries: s.Tries,
				Latency: latency(s.hist),
				Goodput: share(s.InAim, s.Scheduled)})
			out.Tries += s.Tries
		}
		if r.all[i].TotalCount() > 0 {
			for _, b := range r.all[i].CumulativeDistribution() {
				cr.Curve = append(cr.Curve, Percentile{b.Quantile, float64(b.ValueAt) / 1000, b.Count})
			}
		}
		longest = max(longest, len(cr.Seconds))
		cr.Goodput = share(cr.InAim, cr.Scheduled)
		asked += c.Worth * float64(cr.Scheduled)
		good += c.Worth * float64(cr.InAim)
		out.add(cr.Counts)
		out.Classes = append(out.Classes, cr)
	}
	if asked > 0 {
		out.Goodput = good / asked
	}
	out.WorstWindow = out.worst(longest)
	switch tail := r.late.ValueAtPercentile(99.9); {
	case out.Unsent > 0:
		out.Behind = fmt.Sprintf("%d requests could not be sent", out.Unsent)
	case out.SelfLate.P99 > float64(behindP99.Milliseconds()):
		out.Behind = fmt.Sprintf("a hundredth of the requests left over %.1f ms late", out.SelfLate.P99)
	case tail > behindMost.Microseconds():
		out.Behind = fmt.Sprintf("a thousandth of the requests left over %.1f ms late", float64(tail)/1000)
	}
	out.FellBehind = out.Behind != ""
	return out
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// worst is the goodput by worth of the worst ten seconds in a row, or of the whole run if it is shorter.
func (r *Result) worst(seconds int) float64 {
	const window = 10
	least := 1.0
	for from := 0; from == 0 || from+window <= seconds; from++ {
		var asked, good float64
		for _, c := range r.Classes {
			for n := from; n < min(from+window, len(c.Seconds)); n++ {
				asked += c.Worth * float64(c.Seconds[n].Scheduled)
				good += c.Worth * float64(c.Seconds[n].InAim)
			}
		}
		if asked > 0 {
			least = min(least, good/asked)
		}
	}
	return least
}
