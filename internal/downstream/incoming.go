package downstream

import (
	"strings"

	"thymebend/internal/http1"
)

// Incoming is a message from a client: a request for an endpoint, a health check, or a malformed request.
type Incoming struct {
	Request    Request
	Health     bool         // the message is a health check
	Fault      *http1.Fault // why the message is malformed, or nil
	CloseAfter bool         // the connection is closed after the response
	Large      bool         // the body is too large to buffer: the caller has to stream it
}

// Next returns the next message from the client. complete is false if more bytes are needed first: either the whole
// message, or, if its body is too large to buffer, enough of it to fill the buffer.
func (c *Conn) Next(classes Classes) (incoming Incoming, complete bool) {
	m, fault := c.reader.Next()
	switch {
	case fault != nil:
		return Incoming{Fault: fault, CloseAfter: true}, true // where the next request would start is unknown
	case m == nil:
		return c.nextLarge(classes)
	}
	return parseRequest(m, classes), true
}

// nextLarge returns a request whose body is too large to buffer, once the buffer is full. A malformed request it
// returns at once.
func (c *Conn) nextLarge(classes Classes) (Incoming, bool) {
	head := c.reader.Large()
	if head == nil {
		return Incoming{}, false
	}
	if c.large == nil {
		incoming := parseRequest(&http1.Message{Head: head}, classes)
		if incoming.Health && incoming.Fault == nil || incoming.Fault == nil && incoming.Request.Class.Method == "GET" {
			incoming.Fault = badRequest("a GET has no body")
		}
		incoming.Large, c.large = true, &incoming
		if incoming.Fault != nil {
			incoming.CloseAfter = true // its body is not read
			return incoming, true
		}
	}
	if !c.reader.Full() {
		return Incoming{}, false
	}
	incoming := *c.large
	c.large = nil
	return incoming, true
}

// parseRequest interprets a message as a health check or as a request for an endpoint.
func parseRequest(message *http1.Message, classes Classes) (incoming Incoming) {
	incoming.CloseAfter = !message.KeepAlive
	if path, _, _ := strings.Cut(message.Target, "?"); path == healthPath {
		if incoming.Health = true; message.Method != "GET" {
			incoming.Fault = badRequest("health is asked for with GET")
		}
		return incoming
	}
	incoming.Request, incoming.Fault = validate(message, classes)
	return incoming
}

// healthPath is the path of the health checks.
const healthPath = "/healthz"
