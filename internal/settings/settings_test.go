package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
)

const settingsText = `balancers=4
classes.count=2
classes.0.aim_ms=300.5
classes.0.give_up_ms=900
classes.0.repeat=by_key
classes.0.group=zone
classes.0.window_ms=800
classes.0.worth=2
classes.1.aim_ms=100
classes.1.give_up_ms=400
classes.1.repeat=once
tenants.count=1
tenants.0.name=somebody
tenants.0.quota_per_s=12.5
bounds.most_tries=3
bounds.cancel=true
guarantees.cold_from=0.25
registry_mode=subscribe
zone=1
some.unknown.key=whatever
`

// Guards against a setting that is translated into the wrong field or unit.
func TestParseSettings(t *testing.T) {
	set, err := Parse(settingsText)
	c := set.Config
	if err != nil {
		t.Fatal(err)
	}
	k := c.Classes[0]
	if c.Gateways != 4 || c.Zone != 1 || !c.PollDiscovery || c.PollInterval != 10*time.Second || c.MaxAttempts != 3 ||
		!c.CancelAllowed || c.SlowStartFraction != 0.25 || c.Tenants[0].Quota != 12.5 ||
		k.LatencyObjective != 300500*time.Microsecond || k.Idempotency != balancer.KeyedIdempotent ||
		k.DedupScope != balancer.DedupZone ||
		k.DedupWindow != 800*time.Millisecond || c.Classes[1].Idempotency != balancer.NonIdempotent ||
		c.Classes[1].Weight != 1 ||
		c.DispatchInterval != time.Millisecond || c.OverQuotaWeight != 1 {
		t.Errorf("config = %+v", c)
	}
}

// Guards against a queue length that is read from the wrong column of load reports.
func TestQueueLengthColumn(t *testing.T) {
	for text, want := range map[string]int{
		"report.columns=pending,svc_ms\n": 0, "zone=1\nreport.columns=svc_ms,pending": 1,
		"report.columns=svc_ms,busy_reqs": -1, "report.columns=": -1, "": -1,
	} {
		set, _ := Parse(text) // the error reports the other settings, which are missing here
		if got := set.Gateway.QueueLengthColumn; got != want {
			t.Errorf("%q: column %d, want %d", text, got, want)
		}
	}
}

// Guards against a faulty setting that is accepted, or whose error does not name it.
func TestErrorNamesFaultySetting(t *testing.T) {
	for want, edit := range map[string][2]string{
		"balancers is missing":                {"balancers=4\n", ""},
		"classes.count is missing":            {"classes.count=2\n", ""},
		"classes.1.aim_ms is missing":         {"classes.1.aim_ms=100\n", ""},
		`classes.0.give_up_ms="soon" is not`:  {"give_up_ms=900", "give_up_ms=soon"},
		`classes.0.repeat="maybe" is none of`: {"repeat=by_key", "repeat=maybe"},
		`balancers="2.5" is not a whole`:      {"balancers=4", "balancers=2.5"},
		`zone="-1" is not a whole number`:     {"zone=1", "zone=-1"},
		`cold_from="NaN" is not a number`:     {"cold_from=0.25", "cold_from=NaN"},
		`bounds.cancel="si" is none of`:       {"cancel=true", "cancel=si"},
		"classes.2.aim_ms is missing":         {"classes.count=2", "classes.count=1000000"},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := Parse(strings.Replace(settingsText, edit[0], edit[1], 1))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("err = %v, want %q in it", err, want)
			}
		})
	}
}

// Callers can match each cause with errors.Is, and get the setting's name with errors.As.
func TestErrorCausesCanBeMatched(t *testing.T) {
	for name, c := range map[string]struct {
		old, new, field string
		want            error
	}{
		"missing":        {"balancers=4\n", "", "balancers", fielderror.ErrMissing},
		"not a number":   {"worth=2", "worth=two", "classes.0.worth", ErrNotNumber},
		"not above 0":    {"give_up_ms=900", "give_up_ms=0", "classes.0.give_up_ms", ErrNotPositive},
		"not an integer": {"zone=1", "zone=1.5", "zone", ErrNotInteger},
		"unknown value":  {"cancel=true", "cancel=si", "bounds.cancel", ErrUnknownValue},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(strings.Replace(settingsText, c.old, c.new, 1))
			var fault *fielderror.Error
			if !errors.Is(err, c.want) || !errors.As(err, &fault) || fault.Field != c.field {
				t.Errorf("%v: %+v", err, fault)
			}
		})
	}
	reloaded, err := ParseJSON([]byte(`{"balancers": 1, "classes": [
		{"name": "a", "aim_ms": 1, "give_up_ms": 2}, {"name": "a", "aim_ms": 1, "give_up_ms": 2}]}`))
	if !errors.Is(err, ErrDuplicate) {
		t.Error(err)
	}
	inForce := Settings{present: map[string]bool{"rank": true}}
	if err := inForce.CheckReload(reloaded); !errors.Is(err, ErrNoLongerSet) {
		t.Error(err)
	}
}
