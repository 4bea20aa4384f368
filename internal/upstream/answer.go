// Package upstream speaks to the hosts: server links and their reuse, requests as hosts get them, answers and
// load reports as they come back.
package upstream

import (
	"strconv"
	"strings"

	"thymebend/internal/http1"
)

// The header fields of this peer.
const (
	fieldDeadline = "X-Expires-In"
	fieldNeverRan = "X-Never-Ran"
	fieldLoad     = "Endpoint-Load-Metrics"
)

// loadWaiting is the field of a load report with the requests waiting, named as in the settings.
const loadWaiting = "pending"

// Response is a host's whole answer.
type Response struct {
	*http1.Message
	NeverRan    bool // the host says that the request did not run
	Reported    bool // the answer carries the requests waiting
	QueueLength float64
}

func read(m *http1.Message) *Response {
	a := &Response{Message: m}
	flag, _ := m.Get(fieldNeverRan)
	a.NeverRan = flag == "1"
	report, _ := m.Get(fieldLoad)
	a.QueueLength, a.Reported = waiting(report)
	return a
}

// waiting finds the requests waiting in a load report such as 'TEXT busy_reqs=7, pending=2'.
func waiting(report string) (float64, bool) {
	list, ok := strings.CutPrefix(report, "TEXT ")
	if !ok {
		return 0, false
	}
	for item := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if name != loadWaiting {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		return v, err == nil && v >= 0 && v < 1e9
	}
	return 0, false
}

// Forwarded are the fields of an answer that go on to the client.
func (a *Response) Forwarded() []http1.Field {
	passed := make([]http1.Field, 0, len(a.Fields))
	for _, f := range a.Fields {
		if !a.Hop(f.Name) && !strings.EqualFold(f.Name, fieldNeverRan) && !strings.EqualFold(f.Name, fieldLoad) {
			passed = append(passed, f)
		}
	}
	return passed
}
