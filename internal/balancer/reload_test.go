package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Class indices must not accumulate: a hundred reloads leave no more than there are current and retired classes. A
// request in progress keeps its class.
func TestReloadsReuseClassIndices(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].Name = fmt.Sprint("c", i)
	}
	r := newRig(t, cfg, ready(1, 0, 0))
	r.sendRequest(1, 0)
	r.takeActions("start")
	reloaded := cfg
	for n := range 100 {
		r.now += retiredIndexTTL
		added := Class{
			Name: fmt.Sprint("new", n), LatencyObjective: time.Second, Deadline: 2 * time.Second,
			Idempotency: NonIdempotent,
		}
		reloaded.Classes = append([]Class{added}, cfg.Classes...)
		reloaded.Classes[1].Idempotency = NonIdempotent
		indices, err := r.b.Reload(r.now, reloaded)
		if err != nil || len(indices) != 4 {
			t.Fatal(indices, err)
		}
	}
	if n := len(r.b.classes.entries); n > 7 || len(r.b.endpoints.all[0].classes) != n {
		t.Errorf("%d class indices and %d at the endpoint for 4 classes, want at most 7 and the same number",
			n, len(r.b.endpoints.all[0].classes))
	}
	if c := r.b.classes.entries[r.b.requests.byID[1].Class]; c.Name != "c0" || c.Idempotency != Idempotent {
		t.Errorf("the class of the request is now %q with idempotency %d, want the idempotent c0", c.Name, c.Idempotency)
	}
	reloaded.Classes = nil
	if _, err := r.b.Reload(r.now, reloaded); err == nil || len(r.b.cfg.Classes) != 4 {
		t.Errorf("Reload of settings without classes: error %v, %d classes; want an error and the 4 previous classes",
			err, len(r.b.cfg.Classes))
	}
}
