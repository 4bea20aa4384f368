package gateway

// rejectionReason is why this gateway turned a request away. The first is the balancer's word, the others are
// this package's own.
type rejectionReason uint8

const (
	rejectedByBalancer   rejectionReason = iota
	rejectedTooManyOpen                  // as many requests are open as the settings allow
	rejectedOverloaded                   // requests hold nearly all downstream connections
	rejectedTooLate                      // it could still be in work at SIGKILL
	rejectedExpired                      // its client's time was over before it was taken
	rejectionReasonCount                 // how many there are
)

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
