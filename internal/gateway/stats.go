package gateway

import (
	"time"

	"thymebend/internal/balancer"
)

// maxCountedClasses limits the number of classes with counters, including classes that are no longer in the
// settings.
const maxCountedClasses = 256

// statistics holds the counters of /ops/stats.
type statistics struct {
	classes         map[string]*classCounts
	forwarded       int64               // requests written completely to endpoints
	configsAccepted int                 // configurations applied at reloads
	configsRejected int                 // configurations rejected at reloads
	ends            [reasonCount]uint64 // ends of attempts and of downstream connections, by reason
	rejections      [rejectionReasonCount]uint64
	retries         uint64 // attempts beyond a request's first
	upstream        upstreamCounts
}

// upstreamCounts counts how upstream connections are used.
type upstreamCounts struct {
	opened uint64        // connections dialled
	reused uint64        // attempts that were written on a connection that had carried another one
	waited uint64        // attempts that waited for the end of a connection's quiet time
	latest time.Duration // longest time between a connection's last byte and unsolicited bytes after it
}

// classCounts counts the final results of the requests of one class.
type classCounts struct{ served, rejected, failed int64 }

// finalResult is how a request ended for its client.
type finalResult uint8

const (
	resultServed finalResult = iota
	resultRejected
	resultFailed
)

// String returns the result as it appears in log lines.
func (r finalResult) String() string {
	switch r {
	case resultServed:
		return "served"
	case resultRejected:
		return "rejected"
	case resultFailed:
		return "failed"
	}
	return "unknown"
}

// countResult counts the final result of a request. It is called exactly once per request.
func (s *statistics) countResult(class string, r finalResult) {
	counts := s.class(class)
	switch r {
	case resultServed:
		counts.served++
	case resultRejected:
		counts.rejected++
	default:
		counts.failed++
	}
}

// class returns the counters of a class, which it creates if necessary.
func (s *statistics) class(class string) *classCounts {
	counts := s.classes[class]
	if counts == nil {
		counts = &classCounts{}
		s.classes[class] = counts
	}
	return counts
}

// countClasses creates counters for every class of the settings, so that the classes are reported before their
// first request. If there are more than maxCountedClasses, the counters of classes that are no longer in the
// settings are dropped, so that memory does not grow with reloads.
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

// countEnd counts the end of a connection or an attempt by its reason.
func (s *statistics) countEnd(end TerminationReason) { s.ends[end]++ }
