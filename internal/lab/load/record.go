package load

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the largest value of a histogram, two minutes in microseconds.
const maxLatency = int64(2 * time.Minute / time.Microsecond)

// histogram returns an empty histogram of microseconds with a number of significant decimal digits.
func histogram(digits int) *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, digits) }

// recordValue adds d to a histogram, limited to 1 µs and maxLatency.
func recordValue(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(maxLatency, max(1, d.Microseconds()))) // within the range, so it cannot fail
}

// Outcome is how a request ended for its client, after its retries.
type Outcome uint8

// The outcomes of a request.
const (
	OK         Outcome = iota // 200 within the client timeout
	Refused                   // 429 or 503
	Failed                    // another status, a response after the client timeout, or a failed connection
	Unanswered                // no response until the client timeout
	Unsent                    // the generator had no descriptor to send it
)

// Counts are numbers of requests by outcome, of retries and of connections.
type Counts struct {
	Scheduled   int `json:"scheduled"`  // requests that were due
	Sent        int `json:"sent"`       // requests whose first attempt was written whole to a connection
	Answered    int `json:"answered"`   // requests whose last attempt got a whole response within the client timeout
	OK          int `json:"ok"`         // 200 within the client timeout
	InObjective int `json:"in_aim"`     // part of OK: within the class's latency objective, measured from the due time
	Refused     int `json:"refused"`    // 429 or 503
	Failed      int `json:"failed"`     // any other status, a late response, or a failed connection
	Unanswered  int `json:"unanswered"` // sent, and no response until the client timeout
	Unsent      int `json:"unsent"`     // a fault of the generator: it had no descriptor left, or no time
	Retries     int `json:"retries"`    // attempts after the first
	Connects    int `json:"connects"`   // connections opened
}

// add adds the counts of o.
func (c *Counts) add(o Counts) {
	c.Scheduled += o.Scheduled
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.OK += o.OK
	c.InObjective += o.InObjective
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.Unanswered += o.Unanswered
	c.Unsent += o.Unsent
	c.Retries += o.Retries
	c.Connects += o.Connects
}

// Second has the counts of one class's requests that were due within one second of the run.
type Second struct {
	Counts
	Attempts  int // first attempts and retries, counted in the second in which they were sent
	latencies *hdrhistogram.Histogram
}

// Latency has the number of measured latencies and their percentiles in milliseconds. All are 0 if there were
// none.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// latency returns the percentiles of a histogram.
func latency(h *hdrhistogram.Histogram) Latency {
	if h == nil || h.TotalCount() == 0 {
		return Latency{}
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	p := h.ValueAtPercentiles([]float64{50, 90, 99, 99.9})
	return Latency{Count: h.TotalCount(), P50: ms(p[50]), P90: ms(p[90]), P99: ms(p[99]), P999: ms(p[99.9]),
		Max: ms(h.Max())}
}

// Percentile is a point of a latency curve.
type Percentile struct {
	Percentile float64 `json:"percentile"`
	MS         float64 `json:"ms"`
	Count      int64   `json:"count"` // number of latencies up to this percentile
}

// recorder counts the outcomes and latencies of requests. Its methods may be called from several goroutines.
type recorder struct {
	mu       sync.Mutex
	classes  []Class
	byClass  []*hdrhistogram.Histogram // latencies in µs by class
	overall  *hdrhistogram.Histogram   // latencies of all classes
	lateness *hdrhistogram.Histogram   // how late the generator started requests
	seconds  [][]Second                // by class and second of the run
	causes   map[string]int            // number of requests by cause
}

func newRecorder(classes []Class) *recorder {
	r := &recorder{classes: classes, overall: histogram(3), lateness: histogram(3),
		seconds: make([][]Second, len(classes)),
		causes:  make(map[string]int)}
	for range classes {
		r.byClass = append(r.byClass, histogram(3))
	}
	return r
}

// secondAt returns the counts of the second in which due lies. r.mu must be held.
func (r *recorder) secondAt(class int, due time.Duration) *Second {
	s := max(0, int(due/time.Second))
	for len(r.seconds[class]) <= s {
		r.seconds[class] = append(r.seconds[class], Second{})
	}
	return &r.seconds[class][s]
}

// count applies change to the counts of the second in which due lies.
func (r *recorder) count(class int, due time.Duration, change func(*Second)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.secondAt(class, due))
}

// recordLateness records how late the generator started a request.
func (r *recorder) recordLateness(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recordValue(r.lateness, d)
}

// recordOutcome records how a request ended. The latencies include unanswered requests as well as served ones:
// without them, a target that does not answer would look better than it is.
func (r *recorder) recordOutcome(class int, due time.Duration, outcome Outcome, took time.Duration, answered bool,
	cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.secondAt(class, due)
	if answered {
		s.Answered++
	}
	if cause != "" {
		r.causes[cause]++
	}
	switch outcome {
	case OK:
		s.OK++
		if took <= r.classes[class].LatencyObjective {
			s.InObjective++
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
	if outcome == OK || outcome == Unanswered {
		if s.latencies == nil {
			s.latencies = histogram(2)
		}
		recordValue(s.latencies, took)
		recordValue(r.byClass[class], took)
		recordValue(r.overall, took)
	}
}

// SecondResult is the result of one second of the run. Requests count in the second in which they were due.
type SecondResult struct {
	Second int `json:"second"`
	Counts
	Attempts int     `json:"tries"` // counted in the second in which they were sent
	Goodput  float64 `json:"goodput"`
	Latency  Latency `json:"latency_ms"`
}

// ClassResult is the result of one class over the whole run.
type ClassResult struct {
	Name               string  `json:"name"`
	Unsafe             bool    `json:"unsafe"`
	Weight             float64 `json:"worth"`
	LatencyObjectiveMS float64 `json:"aim_ms"`
	Counts
	Goodput float64        `json:"goodput"` // InObjective divided by Scheduled
	Latency Latency        `json:"latency_ms"`
	Curve   []Percentile   `json:"curve"`
	Seconds []SecondResult `json:"seconds"`
}

// Result is what a run measured.
type Result struct {
	Counts
	GeneratorLateness Latency        `json:"self_late_ms"` // how late the generator started requests
	Latency           Latency        `json:"latency_ms"`   // of OK and unanswered requests, from due time to end
	FellBehind        bool           `json:"fell_behind"`
	BehindReason      string         `json:"behind,omitempty"` // the reason for FellBehind; empty without it
	Goodput           float64        `json:"goodput"`          // weight of InObjective / weight of Scheduled
	WorstWindow       float64        `json:"goodput_worst_10s"`
	Attempts          int            `json:"tries"`
	PeakOpenConns     int            `json:"most_open"` // most connections open at the same time
	DurationSeconds   float64        `json:"lasted_s"`
	CPU               float64        `json:"cpu_cores"` // this process's processor time divided by the length of the run
	Classes           []ClassResult  `json:"classes"`
	Causes            map[string]int `json:"causes"` // number of requests by the reason why they had no good response
	UnsolicitedIDs    []string       `json:"stray"`  // of the last request on each connection with unexpected bytes
	StoppedEarly      bool           `json:"stopped_early"`
}

// The generator has fallen behind if the 99.9th percentile of its lateness is over maxLatenessP999 or the 99th
// percentile is over maxLatenessP99. The latencies then include its own delay as well as the target's.
const (
	maxLatenessP99  = 25 * time.Millisecond
	maxLatenessP999 = 250 * time.Millisecond
)

// result returns the counts and latencies of the run. The caller adds what the recorder does not know:
// connections, unsolicited responses, duration and processor time.
func (r *recorder) result() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Result{GeneratorLateness: latency(r.lateness), Latency: latency(r.overall), Causes: r.causes,
		UnsolicitedIDs: []string{}}
	var offered, good float64
	longest := 0
	for i, c := range r.classes {
		cr := ClassResult{Name: c.Name, Unsafe: c.Unsafe, Weight: c.Weight,
			LatencyObjectiveMS: float64(c.LatencyObjective.Microseconds()) / 1000, Latency: latency(r.byClass[i]),
			Curve: []Percentile{}, Seconds: []SecondResult{}}
		for n := range r.seconds[i] {
			s := &r.seconds[i][n]
			cr.add(s.Counts)
			cr.Seconds = append(cr.Seconds, SecondResult{Second: n, Counts: s.Counts, Attempts: s.Attempts,
				Latency: latency(s.latencies),
				Goodput: share(s.InObjective, s.Scheduled)})
			out.Attempts += s.Attempts
		}
		if r.byClass[i].TotalCount() > 0 {
			for _, b := range r.byClass[i].CumulativeDistribution() {
				cr.Curve = append(cr.Curve, Percentile{b.Quantile, float64(b.ValueAt) / 1000, b.Count})
			}
		}
		longest = max(longest, len(cr.Seconds))
		cr.Goodput = share(cr.InObjective, cr.Scheduled)
		offered += c.Weight * float64(cr.Scheduled)
		good += c.Weight * float64(cr.InObjective)
		out.add(cr.Counts)
		out.Classes = append(out.Classes, cr)
	}
	if offered > 0 {
		out.Goodput = good / offered
	}
	out.WorstWindow = out.worstWindowGoodput(longest)
	switch tail := r.lateness.ValueAtPercentile(99.9); {
	case out.Unsent > 0:
		out.BehindReason = fmt.Sprintf("%d requests could not be sent", out.Unsent)
	case out.GeneratorLateness.P99 > float64(maxLatenessP99.Milliseconds()):
		out.BehindReason = fmt.Sprintf("a hundredth of the requests left over %.1f ms late", out.GeneratorLateness.P99)
	case tail > maxLatenessP999.Microseconds():
		out.BehindReason = fmt.Sprintf("a thousandth of the requests left over %.1f ms late", float64(tail)/1000)
	}
	out.FellBehind = out.BehindReason != ""
	return out
}

// share returns part/whole, or 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// worstWindowGoodput returns the lowest weighted goodput of any ten consecutive seconds, or that of the whole run
// if it is shorter. seconds is the length of the run.
func (r *Result) worstWindowGoodput(seconds int) float64 {
	const window = 10
	lowest := 1.0
	for from := 0; from == 0 || from+window <= seconds; from++ {
		var offered, good float64
		for _, c := range r.Classes {
			for n := from; n < min(from+window, len(c.Seconds)); n++ {
				offered += c.Weight * float64(c.Seconds[n].Scheduled)
				good += c.Weight * float64(c.Seconds[n].InObjective)
			}
		}
		if offered > 0 {
			lowest = min(lowest, good/offered)
		}
	}
	return lowest
}
