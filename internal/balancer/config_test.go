package balancer

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestConfigErrorsNameTheField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"Gateways":                    func(c *Config) { c.Gateways = 0 },
		"Rank":                        func(c *Config) { c.Rank = c.Gateways },
		"Classes":                     func(c *Config) { c.Classes = nil },
		"Classes[1].LatencyObjective": func(c *Config) { c.Classes[1].LatencyObjective = 0 },
		"Classes[1].Deadline":         func(c *Config) { c.Classes[1].Deadline = -1 },
		"Classes[1].Idempotency":      func(c *Config) { c.Classes[1].Idempotency = 9 },
		"Classes[1].Weight":           func(c *Config) { c.Classes[1].Weight = -1 },
		"MaxAttempts":                 func(c *Config) { c.MaxAttempts = 0 },
		"SlowStartFraction":           func(c *Config) { c.SlowStartFraction = 2 },
		"SlowStartDuration":           func(c *Config) { c.SlowStartDuration = -1 },
		"OverloadWindow":              func(c *Config) { c.OverloadWindow = -1 },
		"DispatchInterval":            func(c *Config) { c.DispatchInterval = -1 },
		"PollInterval":                func(c *Config) { c.PollDiscovery, c.PollInterval = true, 0 },
	} {
		t.Run(field, func(t *testing.T) {
			cfg := testConfig()
			invalidate(&cfg)
			b, err := New(cfg, 1, 0, &recorder{})
			if b != nil || err == nil || !strings.Contains(err.Error(), field) {
				t.Fatalf("New returned %v, %v, want an error that names the field", b, err)
			}
			if fault := new(ConfigError); !errors.As(err, &fault) || fault.Field != field || fault.Reason == "" {
				t.Errorf("New returned %#v, want a ConfigError for %s with a reason", err, field)
			}
			r := newRig(t, testConfig())
			if _, err := r.b.Reload(r.now+time.Second, cfg); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("Reload returned %v, want an error that names the field", err)
			}
		})
	}
}
