package buffermemory

import "testing"

// Guards against a budget that many connections together exceed by more than their guaranteed parts.
func TestConnectionsTogetherStayWithinTheBudget(t *testing.T) {
	const limit, connections, wanted = 4 << 20, 1000, 256 << 10
	var b Budget
	b.SetLimit(limit)
	accounts := make([]Account, connections)
	for i := range accounts {
		b.Charge(&accounts[i], min(wanted, b.Allowance()))
	}
	if most := limit + connections*MinAllowance; b.Used() > most {
		t.Errorf("%d bytes are used, want %d at most", b.Used(), most)
	}
	for i := range accounts {
		if accounts[i] < MinAllowance {
			t.Fatalf("connection %d got %d bytes, want at least %d", i, accounts[i], MinAllowance)
		}
	}
}

// Guards against memory that stays charged after its owner has given it up.
func TestReleasedMemoryIsFreeAgain(t *testing.T) {
	var b Budget
	b.SetLimit(100 << 10)
	var first, second Account
	b.Charge(&first, 60<<10)
	b.Charge(&second, 50<<10)
	if !b.Exhausted() || b.Allowance() != MinAllowance {
		t.Errorf("used %d of %d: exhausted %v, allowance %d", b.Used(), b.Limit(), b.Exhausted(), b.Allowance())
	}
	b.Charge(&first, 0)
	if b.Used() != 50<<10 || b.Peak() != 110<<10 || b.Exhausted() {
		t.Errorf("after the release: used %d, peak %d, exhausted %v", b.Used(), b.Peak(), b.Exhausted())
	}
}
