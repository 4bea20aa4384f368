// Package upstream is the endpoints' side of the gateway: the pool of connections and their reuse, the encoding
// of requests to endpoints, the decoding of responses and load reports. It does no I/O, and nothing in it is safe for
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

// loadQueueLength is the field of a load report that states the number of requests waiting, named as in the
// settings.
const loadQueueLength = "pending"

// maxQueueLength bounds a plausible load report; a larger figure is ignored.
const maxQueueLength = 1e9

// Response is an endpoint's complete answer, or the head of one that is streamed.
type Response struct {
	*http1.Message
	NeverRan    bool    // the endpoint states that the request did not run
	Reported    bool    // the answer states QueueLength
	QueueLength float64 // requests waiting at the endpoint
}

func newResponse(message *http1.Message) *Response {
	response := &Response{Message: message}
	flag, _ := message.Get(fieldNeverRan)
	response.NeverRan = flag == "1"
	report, _ := message.Get(fieldLoad)
	response.QueueLength, response.Reported = queueLength(report)
	return response
}

// queueLength reads the number of requests waiting from a load report such as 'TEXT busy_reqs=7, pending=2'.
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
		return v, err == nil && v >= 0 && v < maxQueueLength
	}
	return 0, false
}

// Forwarded returns the fields of an answer that are passed on to the client.
func (r *Response) Forwarded() []http1.Field {
	forwarded := make([]http1.Field, 0, len(r.Fields))
	for _, f := range r.Fields {
		if !r.Hop(f.Name) && !strings.EqualFold(f.Name, fieldNeverRan) && !strings.EqualFold(f.Name, fieldLoad) {
			forwarded = append(forwarded, f)
		}
	}
	return forwarded
}
