package downstream

import (
	"strconv"
	"time"

	"thymebend/internal/http1"
)

// statusLineBegin is the begin of every response that the gateway writes.
const statusLineBegin = "HTTP/1.1 "

// StatusLineByte returns the next byte of the status line of a response whose status is not known yet, and false once all
// bytes that do not depend on the status are written.
func (c *Conn) StatusLineByte() ([]byte, bool) {
	if c.StatusLineSent == len(statusLineBegin) {
		return nil, false
	}
	c.StatusLineSent++
	return []byte(statusLineBegin[c.StatusLineSent-1 : c.StatusLineSent]), true
}

// UnsentPart returns the part of the begin of a response that is not yet written.
func (c *Conn) UnsentPart(response []byte) []byte {
	sent := c.StatusLineSent
	c.StatusLineSent = 0
	return response[sent:]
}

// ContinueResponse encodes the interim response 100 Continue, after which the client sends the body.
func ContinueResponse() []byte { return []byte("HTTP/1.1 100 Continue\r\n\r\n") }

// ServedResponse encodes the response of an endpoint for the client.
func ServedResponse(fields []http1.Field, body []byte, keepAlive bool) []byte {
	return http1.AppendResponse(nil, 200, fields, body, keepAlive)
}

// RejectedResponse encodes the rejection of a request that has not run. The client may retry it; if after is not 0, not
// before that time has elapsed.
func RejectedResponse(after time.Duration, keepAlive bool) []byte {
	var fields []http1.Field
	if after > 0 {
		seconds := strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
		fields = []http1.Field{{Name: "Retry-After", Value: seconds}}
	}
	return http1.AppendResponse(nil, 503, fields, []byte("refused, trying again is harmless\n"), keepAlive)
}

// FailedResponse encodes a failure after which the request may have run. The status must be neither 429 nor 503, which
// permit clients to retry.
func FailedResponse(keepAlive bool) []byte {
	return http1.AppendResponse(nil, 502, nil, []byte("failed, the request may have run\n"), keepAlive)
}

// FaultResponse encodes the response to a malformed request.
func FaultResponse(f *http1.Fault, keepAlive bool) []byte {
	return http1.AppendResponse(nil, f.Status, nil, []byte(f.Text+"\n"), keepAlive)
}

// DuplicateIDResponse encodes the response to a request whose id is that of another open request.
func DuplicateIDResponse(keepAlive bool) []byte {
	return FaultResponse(badRequest(fieldID+" is that of an open request"), keepAlive)
}

// TimeoutResponse encodes the response to a request that was not received completely in time.
func TimeoutResponse() []byte {
	return FaultResponse(&http1.Fault{Status: 408, Text: "the request did not come whole"}, false)
}

// HealthResponse encodes the response to a health check.
func HealthResponse(ready, keepAlive bool) []byte {
	if ready {
		return http1.AppendResponse(nil, 200, nil, []byte("ready\n"), keepAlive)
	}
	return http1.AppendResponse(nil, 503, nil, []byte("not ready\n"), keepAlive)
}
