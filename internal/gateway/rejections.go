package gateway

// rejectionReason is why a request was rejected, either by the balancer or by this package before the balancer
// was notified of the request.
type rejectionReason uint8

const (
	rejectedByBalancer  rejectionReason = iota
	rejectedTooManyOpen                 // the number of open requests has reached the limit of the settings
	rejectedOverloaded                  // requests occupy nearly all downstream connections
	rejectedTooLate                     // it could still be in progress at SIGKILL
	rejectedExpired                     // the client's timeout expired before the request was accepted
	rejectedNoMemory                    // it was incomplete, and the memory for buffers was used up
	rejectionReasonCount
)

// String returns the reason as it appears in log lines and in /ops/stats, whose texts are fixed.
func (r rejectionReason) String() string {
	switch r {
	case rejectedByBalancer:
		return "module"
	case rejectedTooManyOpen:
		return "too many open"
	case rejectedOverloaded:
		return "crowded"
	case rejectedTooLate:
		return "too late in a stop"
	case rejectedExpired:
		return "over"
	case rejectedNoMemory:
		return "no memory"
	}
	return "unknown"
}
