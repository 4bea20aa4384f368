package retrybudget

import "testing"

func TestBudgetIsShareOfRequests(t *testing.T) {
	b := New()
	spend := func() (n int) {
		for ; b.Available(); n++ {
			b.Spend()
		}
		return n
	}
	if n := spend(); n != MaxSaved {
		t.Errorf("%d retries available at the start, want %v", n, MaxSaved)
	}
	for range 100 {
		b.RecordRequest()
	}
	if n := spend(); n < 9 || n > 10 {
		t.Errorf("%d retries available after 100 requests, want 9 or 10", n)
	}
	for range 10000 {
		b.RecordRequest()
	}
	if n := spend(); n != MaxSaved {
		t.Errorf("%d retries available after 10,000 requests, want %v", n, MaxSaved)
	}
}
