package drill

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"thymebend/internal/admin"
	"thymebend/internal/lab/requestrecord"
)

// ViolationSuppressed is the rule that is violated if a gateway's invariant checker suppressed an effect that would
// have broken an invariant.
const ViolationSuppressed = "held back by the guard"

// statsInterval is the interval at which each process is polled for its statistics.
const statsInterval = 500 * time.Millisecond

// collectViolations polls a process for the violations that its invariant checker suppressed, and adds one finding
// for each invariant.
func (r *rig) collectViolations(gateway int, control string, reported map[string]bool) {
	figures, err := r.stats(control)
	if err != nil {
		return
	}
	for _, rule := range slices.Sorted(maps.Keys(figures.Violations)) {
		if reported[rule] {
			continue
		}
		reported[rule] = true
		r.addFinding(requestrecord.Finding{Rule: ViolationSuppressed, ID: r.names[gateway], At: r.now(),
			Detail: fmt.Sprintf("%s, %d times so far", rule, figures.Violations[rule])})
	}
}

// stats polls a process for its statistics.
func (r *rig) stats(control string) (f admin.Stats, err error) {
	response, err := r.client.Get("http://" + control + "/ops/stats")
	if err != nil {
		return f, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	return f, err
}

// loggedViolations returns the violations in a process's log. A process may end after it logged a violation and
// before its statistics are polled again.
func (r *rig) loggedViolations(name, text string) (found []requestrecord.Finding) {
	for line := range strings.SplitSeq(text, "\n") {
		if !strings.Contains(line, `"suppressed: it would break an invariant"`) {
			continue
		}
		var entry struct{ Rule, ID, Detail string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			entry.Detail = line
		}
		found = append(found, requestrecord.Finding{Rule: ViolationSuppressed, ID: name, Detail: fmt.Sprintf("%s: %s %s",
			entry.Rule, entry.ID, entry.Detail)})
	}
	return found
}
