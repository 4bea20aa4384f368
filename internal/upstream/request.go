package upstream

import (
	"strconv"
	"strings"
	"time"

	"thymebend/internal/http1"
)

// AppendRequest encodes a client's request for an endpoint: unchanged but for the fields of the
// connection and the time that is left.
func AppendRequest(dst []byte, m *http1.Message, left time.Duration) []byte {
	return http1.AppendRequest(dst, m.Method, m.Target, forwardedFields(m, left), m.Body)
}

// AppendHead encodes the head of a client's request whose body follows in pieces.
func AppendHead(dst []byte, m *http1.Message, length int64, left time.Duration) []byte {
	return http1.AppendRequestHead(dst, m.Method, m.Target, forwardedFields(m, left), length)
}

func forwardedFields(m *http1.Message, left time.Duration) []http1.Field {
	fields := make([]http1.Field, 0, len(m.Fields)+2)
	if _, hosts := m.Get("Host"); hosts == 0 {
		fields = append(fields, http1.Field{Name: "Host"}) // HTTP/1.0 goes without, HTTP/1.1 must not
	}
	for _, f := range m.Fields {
		if !m.Hop(f.Name) && !strings.EqualFold(f.Name, fieldDeadline) {
			fields = append(fields, f)
		}
	}
	milliseconds := max(left.Milliseconds(), 1)
	return append(fields, http1.Field{Name: fieldDeadline, Value: strconv.FormatInt(milliseconds, 10) + "m"})
}
