package downstream

import (
	"strconv"
	"time"

	"thymebend/internal/http1"
)

// ContinueResponse encodes the interim response that asks for the body.
func ContinueResponse() []byte { return []byte("HTTP/1.1 100 Continue\r\n\r\n") }

// ServedResponse encodes an endpoint's answer for the client.
func ServedResponse(fields []http1.Field, body []byte, keepAlive bool) []byte {
	return http1.AppendResponse(nil, 200, fields, body, keepAlive)
}

// RejectedResponse encodes a rejection: the request has not run and may be retried after the time stated.
func RejectedResponse(after time.Duration, keepAlive bool) []byte {
	var fields []http1.Field
	if after > 0 {
		seconds := strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
		fields = []http1.Field{{Name: "Retry-After", Value: seconds}}
	}
	return http1.AppendResponse(nil, 503, fields, []byte("refused, trying again is harmless\n"), keepAlive)
}

// FailedResponse encodes a failure after which the request may have run. Its status must be neither 429 nor 503,
// which allow a retry.
func FailedResponse(keepAlive bool) []byte {
	return http1.AppendResponse(nil, 502, nil, []byte("failed, the request may have run\n"), keepAlive)
}

// FaultResponse encodes the fault of a request.
func FaultResponse(f *http1.Fault, keepAlive bool) []byte {
	return http1.AppendResponse(nil, f.Status, nil, []byte(f.Text+"\n"), keepAlive)
}

// DuplicateIDResponse encodes that a request has the id of one that is still open.
func DuplicateIDResponse(keepAlive bool) []byte {
	return FaultResponse(badRequest(fieldID+" is that of an open request"), keepAlive)
}

// TimeoutResponse encodes that a request was not received completely in time.
func TimeoutResponse() []byte {
	return FaultResponse(&http1.Fault{Status: 408, Text: "the request did not come whole"}, false)
}

// HealthResponse encodes the answer to a health check.
func HealthResponse(ready, keepAlive bool) []byte {
	if ready {
		return http1.AppendResponse(nil, 200, nil, []byte("ready\n"), keepAlive)
	}
	return http1.AppendResponse(nil, 503, nil, []byte("not ready\n"), keepAlive)
}
