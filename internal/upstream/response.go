// Package upstream is the endpoints' side of the gateway: the pool of connections and their reuse, requests as
// endpoints get them, responses and load reports as they come back. It does no I/O, and nothing in it is safe for
// concurrent use.
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

// loadQueueLength is the field of a load report with the requests waiting, named as in the settings.
const loadQueueLength = "pending"

// Response is an endpoint's whole answer.
type Response struct {
	*http1.Message
	NeverRan    bool // the endpoint says that the request did not run
	Reported    bool // the answer carries the requests waiting
	QueueLength float64
}

func newResponse(message *http1.Message) *Response {
	response := &Response{Message: message}
	flag, _ := message.Get(fieldNeverRan)
	response.NeverRan = flag == "1"
	report, _ := message.Get(fieldLoad)
	response.QueueLength, response.Reported = queueLength(report)
	return response
}

// queueLength finds the requests waiting in a load report such as 'TEXT busy_reqs=7, pending=2'.
func queueLength(report string) (float64, bool) {
	list, ok := strings.CutPrefix(report, "TEXT ")
	if !ok {
		return 0, false
	}
	for item := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if name != loadQueueLength {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		return v, err == nil && v >= 0 && v < 1e9
	}
	return 0, false
}

// Forwarded are the fields of an answer that go on to the client.
func (r *Response) Forwarded() []http1.Field {
	passed := make([]http1.Field, 0, len(r.Fields))
	for _, f := range r.Fields {
		if !r.Hop(f.Name) && !strings.EqualFold(f.Name, fieldNeverRan) && !strings.EqualFold(f.Name, fieldLoad) {
			passed = append(passed, f)
		}
	}
	return passed
}
