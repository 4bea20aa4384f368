// Package http1 reads and writes HTTP/1.1 messages. Reading is incremental and bounded: a peer can
// neither make it buffer more than the limits nor make it panic. It knows nothing of the gateway.
package http1

import (
	"bytes"
	"strings"
)

// Limits of a message, in bytes.
const (
	MaxHead   = 16 << 10
	MaxHeld   = 64 << 10 // a body up to this size is buffered whole, a larger one is streamed
	MaxBody   = 32 << 20
	maxFields = 100
)

// Fault describes what is wrong with a message, with the status of the response to it.
type Fault struct {
	Status int
	Text   string
}

// Error implements error.
func (f *Fault) Error() string { return f.Text }

func badRequest(text string) *Fault { return &Fault{Status: 400, Text: text} }

// Field is one header field as received.
type Field struct{ Name, Value string }

// Head is a parsed message head. Requests have Method and Target, responses Status.
type Head struct {
	Method, Target string
	Status         int
	Fields         []Field
	KeepAlive      bool
	Minor          int    // of the version: HTTP/1.Minor
	authority      string // of a target in the absolute form
}

// Get returns a field's value and how often it occurs.
func (h *Head) Get(name string) (value string, times int) {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			value = h.Fields[i].Value
			times++
		}
	}
	return value, times
}

// hasToken reports whether a comma-separated field holds a token.
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

// Hop reports whether a field applies to this connection only and must not be forwarded.
func (h *Head) Hop(name string) bool {
	for _, hop := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Expect"} {
		if strings.EqualFold(hop, name) {
			return true
		}
	}
	return h.hasToken("Connection", name)
}

// parseHead reads a head without its last empty line.
func parseHead(raw []byte, response bool) (*Head, *Fault) {
	line, rest, _ := bytes.Cut(raw, []byte("\r\n"))
	h := &Head{}
	parse := h.parseRequestLine
	if response {
		parse = h.parseStatusLine
	}
	minor, fault := parse(string(line))
	if fault != nil {
		return nil, fault
	}
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		if len(h.Fields) == maxFields {
			return nil, &Fault{431, "too many header fields"}
		}
		if fault := h.addField(string(line)); fault != nil {
			return nil, fault
		}
	}
	h.Minor = minor
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

func parseVersion(s string) (minor int, ok bool) {
	switch s {
	case "HTTP/1.1":
		return 1, true
	case "HTTP/1.0":
		return 0, true
	}
	return 0, false
}

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

// parseTarget parses a target in the origin form, or in the absolute form, whose authority replaces the field Host.
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

// parseDecimal reads a number of digits only, without sign or space. A number above limit reads as limit+1.
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

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func isText(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}
