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

// HeldBack is broken where a gateway's invariant checker suppressed an effect that would have broken a
// rule.
const HeldBack = "held back by the guard"

// askEvery is how often each process is asked for its figures.
const askEvery = 500 * time.Millisecond

// askGuard asks a process for what its invariant checker has suppressed, and finds fault with each rule
// once.
func (r *rig) askGuard(gateway int, control string, told map[string]bool) {
	figures, err := r.figures(control)
	if err != nil {
		return
	}
	for _, rule := range slices.Sorted(maps.Keys(figures.Violations)) {
		if told[rule] {
			continue
		}
		told[rule] = true
		r.find(requestrecord.Finding{Rule: HeldBack, ID: r.names[gateway], At: r.now(),
			Detail: fmt.Sprintf("%s, %d times so far", rule, figures.Violations[rule])})
	}
}

// figures asks a process for what it counts.
func (r *rig) figures(control string) (f admin.Stats, err error) {
	answer, err := r.client.Get("http://" + control + "/ops/stats")
	if err != nil {
		return f, err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	return f, err
}

// logged finds the violations that processes logged and did not live to tell: their last figures may be
// older.
func (r *rig) logged(name, text string) (found []requestrecord.Finding) {
	for line := range strings.SplitSeq(text, "\n") {
		if !strings.Contains(line, `"suppressed: it would break an invariant"`) {
			continue
		}
		var entry struct{ Rule, ID, Detail string }
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			entry.Detail = line
		}
		found = append(found, requestrecord.Finding{Rule: HeldBack, ID: name, Detail: fmt.Sprintf("%s: %s %s",
			entry.Rule, entry.ID, entry.Detail)})
	}
	return found
}
