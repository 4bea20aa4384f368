package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
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

// Guards against log lines whose order within a second can't be compared between processes.
func TestLogTimesHaveMilliseconds(t *testing.T) {
	cmd, _ := configure(t, endpointList(1, true), "127.0.0.1:1", map[string]any{"listen": "nowhere"})
	out, _ := cmd.CombinedOutput() // the program ends with an error
	var line struct {
		Time string `json:"time"`
	}
	if err := json.Unmarshal(out, &line); err != nil {
		t.Fatalf("output %q: %v", out, err)
	}
	if _, err := time.Parse("2006-01-02T15:04:05.000Z07:00", line.Time); err != nil {
		t.Error(err)
	}
}
