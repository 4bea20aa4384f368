package gateway

// rejectionReason is why a request was rejected: by the balancer, or by this package before the balancer
// heard of it.
type rejectionReason uint8

const (
	rejectedByBalancer  rejectionReason = iota
	rejectedTooManyOpen                 // as many requests are open as the settings allow
	rejectedOverloaded                  // requests hold nearly all downstream connections
	rejectedTooLate                     // it could still be in work at SIGKILL
	rejectedExpired                     // its client's time was over before it was taken
	rejectionReasonCount
)

// String is the reason in log lines and in /ops/stats, whose texts are fixed.
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
	}
	return "unknown"
}
