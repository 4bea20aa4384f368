// Package downstream speaks to the clients: client links, what a query must state, and how final answers are
// worded. A second protocol for clients would be a package beside this one.
package downstream

import (
	"math"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/http1"
)

// The header fields of this peer.
const (
	fieldID       = "X-Trace-Id"
	fieldClass    = "X-Qos"
	fieldDeadline = "X-Expires-In"
	fieldRepeat   = "X-Second-Try"
)

// mostPatience bounds what a client may state. No class of any deployment waits longer.
const mostPatience = time.Hour

// Class is what a request's class means here.
type Class struct {
	Name   string
	Index  int    // the module's
	Method string // that its requests have
	Class  balancer.Class
}

// Classes finds a class by the name and the method of a request.
type Classes func(name, method string) (Class, bool)

// MethodOf is the method of the requests of an effect.
func MethodOf(e balancer.Idempotency) string {
	if e == balancer.Idempotent {
		return "GET"
	}
	return "POST"
}

// Request is a valid request of a client.
type Request struct {
	ID            string // the client's, unique among what is open
	Class         Class
	ClientTimeout time.Duration
	Retry         bool // the client marks it as a repeat
	Message       *http1.Message
}

// read checks a request against the classes. What it refuses never reaches the module nor a host.
func read(m *http1.Message, classes Classes) (Request, *http1.Fault) {
	q := Request{Message: m}
	path, _, _ := strings.Cut(m.Target, "?")
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	var known bool
	if q.Class, known = classes(first, m.Method); !known {
		return q, &http1.Fault{Status: 404, Text: "no such path"}
	}
	if stated, times := m.Get(fieldClass); times != 1 || stated != first {
		return q, bad(fieldClass + " must name the class of the path")
	}
	method := q.Class.Method
	if m.Method != method {
		return q, bad("the class needs method " + method)
	}
	if method == "GET" && len(m.Body) > 0 {
		return q, bad("a GET has no body")
	}
	id, times := m.Get(fieldID)
	if times != 1 || id == "" || len(id) > 128 || strings.ContainsAny(id, " \t,") {
		return q, bad(fieldID + " is missing or malformed")
	}
	q.ID = id
	text, times := m.Get(fieldDeadline)
	patience, ok := span(text)
	if times != 1 || !ok {
		return q, bad(fieldDeadline + " is missing or malformed")
	}
	q.ClientTimeout = patience
	mark, _ := m.Get(fieldRepeat)
	q.Retry = mark == "1"
	return q, nil
}

func bad(text string) *http1.Fault { return &http1.Fault{Status: 400, Text: text} }

// span reads a number and a unit: m milliseconds or u microseconds.
func span(s string) (time.Duration, bool) {
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
		return 0, false // no sign, exponent, infinity or hexadecimal form
	}
	v, err := strconv.ParseFloat(digits, 64)
	if err != nil || math.IsInf(v, 0) || v <= 0 || v*float64(unit) > float64(mostPatience) {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}
