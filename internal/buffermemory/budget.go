// Package buffermemory accounts for the memory that connections use for received and unwritten bytes, and decides how
// much more a connection may use. It does no I/O, and nothing in it is safe for concurrent use.
//
// The allowance follows the dynamic threshold of shared-memory switches (Choudhury and Hahne, "Dynamic Queue Length
// Thresholds for Shared-Memory Packet Switches", 1998): each connection may use a fixed fraction of the memory that is
// free. A few connections get all that they need; many share what there is, and some of it always stays free for the
// next.
package buffermemory

// MinAllowance is the memory that each connection may use, in bytes, however little is free: enough for a usual request
// or response, and for each large one to make progress.
const MinAllowance = 4 << 10

// allowanceDivisor is the inverse of the fraction of the free memory that one connection may use.
const allowanceDivisor = 8

// Budget is the memory for buffers of all connections of a process. Its zero value allows MinAllowance for each.
type Budget struct {
	limit int // in bytes; MinAllowance of each connection may come on top
	used  int
	peak  int // the most that was used
}

// Account is the memory that one owner is charged for, in bytes.
type Account int

// SetLimit sets the size of the budget in bytes. Accounts keep what they use.
func (b *Budget) SetLimit(bytes int) { b.limit = bytes }

// Charge sets the memory that an account uses, in bytes.
func (b *Budget) Charge(account *Account, bytes int) {
	b.used += bytes - int(*account)
	*account = Account(bytes)
	b.peak = max(b.peak, b.used)
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int { return b.limit }

// Used returns the memory that all accounts together use, in bytes.
func (b *Budget) Used() int { return b.used }

// Peak returns the most that was used at any time, in bytes.
func (b *Budget) Peak() int { return b.peak }

// Allowance returns the memory that one connection may use now, in bytes.
func (b *Budget) Allowance() int { return max(MinAllowance, (b.limit-b.used)/allowanceDivisor) }

// Exhausted reports whether a connection that uses more than MinAllowance must give up some of it, because the budget is
// used up.
func (b *Budget) Exhausted() bool { return b.used >= b.limit }
