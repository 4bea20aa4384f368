package main

import (
	"strings"
	"testing"
)

// Guards against an error that does not name the invalid field of a configuration.
func TestFaultyConfigurationNamesTheField(t *testing.T) {
	for want, edit := range map[string]map[string]any{
		"listen":               {"listen": "nowhere"},
		"discovery":            {"discovery": ""},
		"seed":                 {"seed": "xyz"},
		"limits.sockets":       {"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 3}},
		"limits.memory_mb":     {"limits": map[string]any{"cores": 1, "sockets": 1024}},
		"classes.count":        {"settings": settingsWithReplacement(`"classes"`, `"unknown"`)},
		"classes.1.give_up_ms": {"settings": settingsWithReplacement(`"give_up_ms":2500`, `"give_up_ms":"long"`)},
		"number above 0":       {"settings": settingsWithReplacement(`"give_up_ms":2500`, `"give_up_ms":0`)},
	} {
		cmd, _ := configure(t, endpointList(1, true), "127.0.0.1:1", edit)
		out, err := cmd.CombinedOutput()
		if err == nil || !strings.Contains(string(out), want) {
			t.Errorf("%s: error %v, output %s, want an error that names the field", want, err, out)
		}
	}
}
