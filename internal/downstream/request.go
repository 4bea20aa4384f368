// Package downstream implements the clients' side of the gateway: the state of client connections, the validation of
// requests, the timeouts of incomplete requests, and the encoding of responses. It does no I/O: the caller passes it
// the bytes received on a connection, with the time of the read, and writes the bytes that it returns. Nothing in it
// is safe for concurrent use.
//
// Support for a second client protocol would be a separate package beside this one.
package downstream

import (
	"math"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
)

// The header fields that clients send.
const (
	fieldID       = "X-Trace-Id"
	fieldClass    = "X-Qos"
	fieldDeadline = "X-Expires-In"
	fieldRetry    = "X-Second-Try"
)

// maxClientTimeout is the maximum timeout that a client may state. No class of any deployment needs a longer one.
const maxClientTimeout = time.Hour

// maxIDLength is the maximum length of a request's id, in bytes.
const maxIDLength = 128

// Class is a request class as configured in the settings.
type Class struct {
	Name   string
	Index  int    // the class's index in the balancer's settings
	Method string // the HTTP method of the class's requests
	Class  balancer.Class
}

// Classes returns the class with the given name and method, and whether there is one.
type Classes func(name, method string) (Class, bool)

// MethodOf returns the HTTP method that requests of the given idempotency use.
func MethodOf(idempotency balancer.Idempotency) string {
	if idempotency == balancer.Idempotent {
		return "GET"
	}
	return "POST"
}

// Request is a validated request of a client.
type Request struct {
	ID            string // chosen by the client; unique among the open requests
	Class         Class
	ClientTimeout time.Duration
	Retry         bool // the client marks the request as a retry
	Message       *http1.Message
}

// validate checks a request against the classes and returns it, or the fault to answer it with. A malformed request
// reaches neither the balancer nor an endpoint.
func validate(message *http1.Message, classes Classes) (Request, *http1.Fault) {
	request := Request{Message: message}
	path, _, _ := strings.Cut(message.Target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	var known bool
	if request.Class, known = classes(first, message.Method); !known {
		return request, &http1.Fault{Status: 404, Text: "no such path"}
	}
	if class, times := message.Get(fieldClass); times != 1 || class != first {
		return request, badRequest(fieldClass + " must name the class of the path")
	}
	method := request.Class.Method
	if message.Method != method {
		return request, badRequest("the class needs method " + method)
	}
	if method == "GET" && len(message.Body) > 0 {
		return request, badRequest("a GET has no body")
	}
	id, times := message.Get(fieldID)
	if times != 1 || id == "" || len(id) > maxIDLength || strings.ContainsAny(id, " \t,") {
		return request, badRequest(fieldID + " is missing or malformed")
	}
	request.ID = id
	text, times := message.Get(fieldDeadline)
	timeout, ok := parseTimeout(text)
	if times != 1 || !ok {
		return request, badRequest(fieldDeadline + " is missing or malformed")
	}
	request.ClientTimeout = timeout
	retry, _ := message.Get(fieldRetry)
	request.Retry = retry == "1"
	return request, nil
}

func badRequest(text string) *http1.Fault { return &http1.Fault{Status: 400, Text: text} }

// parseTimeout parses a timeout: a decimal number followed by the unit, m for milliseconds or u for microseconds.
func parseTimeout(s string) (time.Duration, bool) {
	if s == "" {
		return 0, false
	}
	unit := time.Millisecond
	switch s[len(s)-1] {
	case 'm':
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	digits := s[:len(s)-1]
	if strings.Trim(digits, "0123456789.") != "" {
		return 0, false // ParseFloat would also accept signs, exponents, infinities and hexadecimal numbers
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || math.IsInf(v, 0) || v <= 0 || v*float64(unit) > float64(maxClientTimeout) {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
