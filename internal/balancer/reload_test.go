package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against indices that pile up: a hundred reloads leave no more than classes were in use, and a
// request keeps its class.
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
		t.Errorf("%d indices and %d of the endpoint for 4 classes", n, len(r.b.endpoints.all[0].classes))
	}
	if c := r.b.classes.entries[r.b.requests.byID[1].Class]; c.Name != "c0" || c.Idempotency != Idempotent {
		t.Errorf("the request's class is now %q, idempotency %d", c.Name, c.Idempotency)
	}
	reloaded.Classes = nil
	if _, err := r.b.Reload(r.now, reloaded); err == nil || len(r.b.cfg.Classes) != 4 {
		t.Errorf("a faulty configuration: %v", err)
	}
}
