// Package http1 reads and writes HTTP/1.1 messages. Reading is incremental and bounded: a peer can cause neither a
// panic nor the buffering of more bytes than the limits. The package does not depend on the gateway.
package http1

import "strings"

// Limits of a message, in bytes where not stated otherwise.
const (
	MaxHead         = 16 << 10 // size of a head
	MaxBufferedBody = 64 << 10 // size of a body that is buffered whole; a larger body is streamed
	MaxBody         = 32 << 20 // size of a body, unless Reader.Stream is set
	maxFields       = 100      // number of header fields
)

// Fault is the error of a malformed or oversized message.
type Fault struct {
	Status int    // the HTTP status with which to answer a request that has this fault
	Text   string // what is wrong with the message
}

// Error implements error.
func (f *Fault) Error() string { return f.Text }

func badRequest(text string) *Fault { return &Fault{Status: 400, Text: text} }

// Field is one header field as received.
type Field struct{ Name, Value string }

// Head is the parsed head of a message. A request has Method and Target, a response has Status.
type Head struct {
	Method, Target string
	Status         int
	Fields         []Field
	KeepAlive      bool   // the peer keeps the connection open after the message
	MinorVersion   int    // the minor version: 0 for HTTP/1.0, 1 for HTTP/1.1
	authority      string // the authority of a target in the absolute form, otherwise empty
	size           int    // memory of the head, in bytes
}

// Get returns the value of the last field with the given name and the number of such fields.
func (h *Head) Get(name string) (value string, times int) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			value = h.Fields[i].Value
			times++
		}
	}
	return value, times
}

// hasToken reports whether the comma-separated list in the fields with the given name contains a token.
func (h *Head) hasToken(name, token string) bool {
	for i := range h.Fields {
		if !strings.EqualFold(h.Fields[i].Name, name) {
			continue
		}
		for item := range strings.SplitSeq(h.Fields[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(item), token) {
				return true
			}
		}
	}
	return false
}

// IsHopByHop reports whether a field is hop-by-hop: it applies only to the connection on which it was received and must
// not be forwarded.
func (h *Head) IsHopByHop(name string) bool {
	for _, hop := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		if strings.EqualFold(hop, name) {
			return true
		}
	}
	return h.hasToken("Connection", name)
}

// fieldSize is the memory that a parsed header field uses beside its text, in bytes: two strings, and as much unused room
// in the list.
const fieldSize = 64

// parseHead parses a head without the empty line at its end. The strings of the head share the memory of raw.
func parseHead(raw string, response bool) (*Head, *Fault) {
	line, rest, _ := strings.Cut(raw, "\r\n")
	h := &Head{}
	parse := h.parseRequestLine
	if response {
		parse = h.parseStatusLine
	}
	minor, fault := parse(line)
	if fault != nil {
		return nil, fault
	}
	for len(rest) > 0 {
		line, rest, _ = strings.Cut(rest, "\r\n")
		if len(h.Fields) == maxFields {
			return nil, &Fault{431, "too many header fields"}
		}
		if fault := h.addField(line); fault != nil {
			return nil, fault
		}
	}
	h.MinorVersion, h.size = minor, len(raw)+fieldSize*len(h.Fields)
	h.KeepAlive = minor == 1 && !h.hasToken("Connection", "close") // HTTP/1.0 keep-alive is not supported
	if _, hosts := h.Get("Host"); !response && (hosts > 1 || hosts == 0 && minor == 1) {
		return nil, badRequest("a request needs one Host")
	}
	for i := range h.Fields {
		if h.authority != "" && strings.EqualFold(h.Fields[i].Name, "Host") {
			h.Fields[i].Value = h.authority
		}
	}
	return h, nil
}

// addField parses a header line and appends the field.
func (h *Head) addField(line string) *Fault {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return badRequest("malformed header field")
	}
	value = strings.Trim(value, " \t")
	if !isText(value) {
		return badRequest("header field with control characters")
	}
	h.Fields = append(h.Fields, Field{name, value})
	return nil
}

// parseVersion returns the minor version of HTTP/1.0 or HTTP/1.1, and whether s is one of these.
func parseVersion(s string) (minor int, ok bool) {
	switch s {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

// parseRequestLine parses the first line of a request and returns the minor version.
func (h *Head) parseRequestLine(line string) (int, *Fault) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !isVisible(parts[1]) {
		return 0, badRequest("malformed request line")
	}
	if !h.parseTarget(parts[1]) {
		return 0, badRequest("malformed request target")
	}
	minor, ok := parseVersion(parts[2])
	if !ok {
		return 0, &Fault{505, "not HTTP/1.0 or HTTP/1.1"}
	}
	h.Method = parts[0]
	return minor, nil
}

// parseTarget parses a request target in the origin form or in the absolute form and reports whether it is valid. The
// authority of the absolute form later replaces the value of the Host field.
func (h *Head) parseTarget(s string) bool {
	if scheme, rest, ok := strings.Cut(s, "://"); ok && !strings.HasPrefix(s, "/") {
		if !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
			return false
		}
		authorityEnd := strings.IndexAny(rest, "/?")
		if authorityEnd < 0 {
			authorityEnd = len(rest)
		}
		if h.authority, s = rest[:authorityEnd], rest[authorityEnd:]; h.authority == "" {
			return false
		}
		if !strings.HasPrefix(s, "/") {
			s = "/" + s
		}
	}
	h.Target = s
	return strings.HasPrefix(s, "/")
}

// parseStatusLine parses the first line of a response and returns the minor version.
func (h *Head) parseStatusLine(line string) (int, *Fault) {
	v, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	minor, ok := parseVersion(v)
	if !ok || len(code) != 3 {
		return 0, badRequest("malformed status line")
	}
	n, ok := parseDecimal(code, 999)
	if !ok || n < 100 {
		return 0, badRequest("malformed status")
	}
	h.Status = int(n)
	return minor, nil
}

// parseDecimal parses a number that consists only of digits, without sign or space. For a number above limit it returns
// limit+1.
func parseDecimal(s string, limit int64) (int64, bool) {
	n := int64(0)
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		if n = n*10 + int64(s[i]-'0'); n > limit {
			return limit + 1, true
		}
	}
	return n, len(s) > 0
}

// isToken reports whether s is a token as RFC 9110 defines it, for example a method or a field name.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether s contains neither spaces nor control characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// isText reports whether s contains no control characters except tabs.
func isText(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
