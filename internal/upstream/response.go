// Package upstream implements the endpoints' side of the gateway: the connection pool, the encoding of requests to
// endpoints, and the decoding of responses and their load reports. It does no I/O, and nothing in it is safe for
// concurrent use.
package upstream

import (
	"strconv"
	"strings"

	"thymebend/internal/http1"
)

// The header fields that the gateway exchanges with endpoints.
const (
	fieldDeadline = "X-Expires-In"
	fieldNeverRan = "X-Never-Ran"
	fieldLoad     = "Endpoint-Load-Metrics"
)

// loadQueueLength is the item of a load report that states how many requests wait at the endpoint. The settings use the
// same name.
const loadQueueLength = "pending"

// maxQueueLength limits the queue length in a load report: a value that is not below it is ignored as implausible.
const maxQueueLength = 1e9

// Response is a complete response of an endpoint, or the head of a response that is streamed.
type Response struct {
	*http1.Message
	NeverRan       bool    // the endpoint states that the request did not run
	HasQueueLength bool    // the response carries a load report with a valid QueueLength
	QueueLength    float64 // number of requests waiting at the endpoint
}

// newResponse reads the fields of a response that concern the gateway.
func newResponse(message *http1.Message) *Response {
	response := &Response{Message: message}
	flag, _ := message.Get(fieldNeverRan)
	response.NeverRan = flag == "1"
	report, _ := message.Get(fieldLoad)
	response.QueueLength, response.HasQueueLength = queueLength(report)
	return response
}

// queueLength returns the number of requests waiting according to a load report such as 'TEXT busy_reqs=7, pending=2',
// and whether the report states a plausible one.
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

// ForwardedFields returns the header fields of the response to forward to the client.
func (r *Response) ForwardedFields() []http1.Field {
	forwarded := make([]http1.Field, 0, len(r.Fields))
	for _, f := range r.Fields {
		if !r.IsHopByHop(f.Name) && !strings.EqualFold(f.Name, fieldNeverRan) && !strings.EqualFold(f.Name, fieldLoad) {
			forwarded = append(forwarded, f)
		}
	}
	return forwarded
}
