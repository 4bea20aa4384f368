// Package retrybudget limits the retries of requests that may have run to a share of the requests received.
// Without the limit, such retries could sustain an overload where endpoints continue to work on cancelled
// attempts.
package retrybudget

// Constants of the budget, in retries.
const (
	PerRequest = 0.1  // added to the budget for each request received
	MaxSaved   = 20.0 // capacity of the budget
)

// Budget counts the retries that may still start. It is not safe for concurrent use.
type Budget struct{ retries float64 }

// New returns a full budget.
func New() Budget { return Budget{retries: MaxSaved} }

// RecordRequest adds PerRequest to the budget, up to MaxSaved. It is called for each request received.
func (b *Budget) RecordRequest() { b.retries = min(b.retries+PerRequest, MaxSaved) }

// Available reports whether the budget allows a retry.
func (b *Budget) Available() bool { return b.retries >= 1 }

// Spend deducts a retry that starts. The budget may become negative, as several retries may have been found
// available before the first of them started.
func (b *Budget) Spend() { b.retries-- }
