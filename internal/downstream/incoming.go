package downstream

import (
	"strings"

	"thymebend/internal/http1"
)

// Incoming is what a client has sent: a request, a health check, or a malformed request.
type Incoming struct {
	Request Request
	Health  bool         // it is a health check
	Fault   *http1.Fault // why it is malformed, or nil
	Closes  bool         // the connection ends after the answer
	Large   bool         // its body is to be streamed, see Conn.Begin
}

// Next returns what the client has sent next, once that is complete or its body is too large to buffer.
func (c *Conn) Next(classes Classes) (incoming Incoming, complete bool) {
	m, fault := c.reader.Next()
	switch {
	case fault != nil:
		return Incoming{Fault: fault, Closes: true}, true // the start of the next request is unknown
	case m == nil:
		return c.nextLarge(classes)
	}
	return parseRequest(m, classes), true
}

// nextLarge returns a request whose body is too large to buffer, once the buffer is full; a faulty one it returns
// at once.
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
			incoming.Closes = true // its body is not read
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

func parseRequest(message *http1.Message, classes Classes) (incoming Incoming) {
	incoming.Closes = !message.KeepAlive
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
