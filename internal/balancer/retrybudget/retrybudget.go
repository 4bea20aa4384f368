// Package retrybudget bounds the retries of requests that may have run as a share of the requests taken.
// Guards against a collapse that such retries feed where a cancelled attempt goes on loading its endpoint.
package retrybudget

// What a gateway earns and keeps, in retries.
const (
	PerRequest = 0.1  // retries that each request taken earns
	MaxSaved   = 20.0 // retries that may be saved up
)

// Budget counts the retries that are left. It is not safe for concurrent use.
type Budget struct{ retries float64 }

// New returns a full budget.
func New() Budget { return Budget{retries: MaxSaved} }

// RequestTaken earns a part of a retry.
func (b *Budget) RequestTaken() { b.retries = min(b.retries+PerRequest, MaxSaved) }

// Available reports whether a retry is left.
func (b *Budget) Available() bool { return b.retries >= 1 }

// Spend takes a retry that starts. Several may have found the same one left, so the budget may be
// overdrawn.
func (b *Budget) Spend() { b.retries-- }
