package downstream

import (
	"strings"

	"thymebend/internal/http1"
)

// Incoming is what a client asks: a request, a look at the gateway's health, or what cannot be made
// out.
type Incoming struct {
	Request Request
	Health  bool
	Fault   *http1.Fault
	Closes  bool // the connection ends after the answer
	Large   bool // its body is to be taken in pieces
}

// Next returns what the client asks next, once it is whole.
func (c *Conn) Next(classes Classes) (asked Incoming, whole bool) {
	m, fault := c.reader.Next()
	switch {
	case fault != nil:
		return Incoming{Fault: fault, Closes: true}, true // where the next request begins is not known
	case m == nil:
		return c.nextLarge(classes)
	}
	return parseRequest(m, classes), true
}

// nextLarge returns a request whose body is too large to be held, once as much of it has come as is
// held, and at once what is wrong with it.
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

// healthPath is where the front asks whether this gateway is ready.
const healthPath = "/healthz"
