package upstream

import (
	"strconv"
	"strings"
	"time"

	"thymebend/internal/http1"
)

// AppendRequest appends a client's request, encoded for an endpoint. The request is unchanged except that hop-by-hop
// fields are removed and the deadline field states the remaining time.
func AppendRequest(dst []byte, m *http1.Message, remaining time.Duration) []byte {
	return http1.AppendRequest(dst, m.Method, m.Target, forwardedFields(m, remaining), m.Body)
}

// AppendHead appends the head of a client's request whose body is streamed. length is the length of the body in
// bytes, or -1 if it is not stated; the body must then follow in chunks.
func AppendHead(dst []byte, m *http1.Message, length int64, remaining time.Duration) []byte {
	return http1.AppendRequestHead(dst, m.Method, m.Target, forwardedFields(m, remaining), length)
}

// forwardedFields returns the header fields of a client's request to send to an endpoint.
func forwardedFields(m *http1.Message, remaining time.Duration) []http1.Field {
	fields := make([]http1.Field, 0, len(m.Fields)+2)
	if _, times := m.Get("Host"); times == 0 {
		fields = append(fields, http1.Field{Name: "Host"}) // optional in HTTP/1.0, required in HTTP/1.1
	}
	for _, f := range m.Fields {
		if !m.IsHopByHop(f.Name) && !strings.EqualFold(f.Name, fieldDeadline) {
			fields = append(fields, f)
		}
	}
	milliseconds := max(remaining.Milliseconds(), 1)
	return append(fields, http1.Field{Name: fieldDeadline, Value: strconv.FormatInt(milliseconds, 10) + "m"})
}
