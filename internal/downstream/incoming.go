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
func (c *Conn) Next(classes Classes) (asked Incoming, whole bool) {
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
		asked := parseRequest(&http1.Message{Head: head}, classes)
		if asked.Health && asked.Fault == nil || asked.Fault == nil && asked.Request.Class.Method == "GET" {
			asked.Fault = badRequest("a GET has no body")
		}
		asked.Large, c.large = true, &asked
		if asked.Fault != nil {
			asked.Closes = true // its body is not read
			return asked, true
		}
	}
	if !c.reader.Full() {
		return Incoming{}, false
	}
	asked := *c.large
	c.large = nil
	return asked, true
}

func parseRequest(message *http1.Message, classes Classes) (asked Incoming) {
	asked.Closes = !message.KeepAlive
	if path, _, _ := strings.Cut(message.Target, "?"); path == healthPath {
		if asked.Health = true; message.Method != "GET" {
			asked.Fault = badRequest("health is asked for with GET")
		}
		return asked
	}
	asked.Request, asked.Fault = validate(message, classes)
	return asked
}

// healthPath is the path of the health checks.
const healthPath = "/healthz"
