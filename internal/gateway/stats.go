package gateway

import "thymebend/internal/balancer"

// maxCountedClasses bounds the classes counted, with those that have left the settings.
const maxCountedClasses = 256

// statistics are the counters of /ops/stats.
type statistics struct {
	classes         map[string]*classCounts
	forwarded       int64 // requests written completely to endpoints
	configsAccepted int   // at reloads
	configsRejected int
	ends            [reasonCount]uint64 // of attempts and of downstream connections
	rejections      [rejectionReasonCount]uint64
	retries         uint64 // attempts beyond a request's first
}

// classCounts are the final answers of one class.
type classCounts struct{ served, rejected, failed int64 }

// finalResult is how a request ended for its client.
type finalResult uint8

const (
	outcomeServed finalResult = iota
	outcomeRejected
	outcomeFailed
)

// String is for log lines.
func (r finalResult) String() string {
	switch r {
	case outcomeServed:
		return "served"
	case outcomeRejected:
		return "rejected"
	case outcomeFailed:
		return "failed"
	}
	return "unknown"
}

// countResult counts the end of a request. Every final answer passes here, once.
func (s *statistics) countResult(class string, r finalResult) {
	t := s.class(class)
	switch r {
	case outcomeServed:
		t.served++
	case outcomeRejected:
		t.rejected++
	default:
		t.failed++
	}
}

// class returns the counts of a class.
func (s *statistics) class(class string) *classCounts {
	t := s.classes[class]
	if t == nil {
		t = &classCounts{}
		s.classes[class] = t
	}
	return t
}

// countClasses makes every class of the settings count from its first moment. Guards against memory that
// grows with reloads: with too many names, those that have left are forgotten.
func (s *statistics) countClasses(classes []balancer.Class) {
	if len(s.classes) > maxCountedClasses {
		kept := make(map[string]*classCounts)
		for _, c := range classes {
			kept[c.Name] = s.class(c.Name)
		}
		s.classes = kept
	}
	for _, c := range classes {
		s.class(c.Name)
	}
}

// countEnd counts how connections and attempts ended, for the figures.
func (s *statistics) countEnd(end TerminationReason) { s.ends[end]++ }
