package http1

import "strconv"

// AppendRequest appends an encoded request to dst. body may be nil. The request states a length if it has a body, and
// for every method other than GET and HEAD.
func AppendRequest(dst []byte, method, target string, fields []Field, body []byte) []byte {
	dst = appendRequestStart(dst, method, target, fields)
	if len(body) > 0 || method != "GET" && method != "HEAD" {
		dst = appendFraming(dst, int64(len(body)))
	}
	return append(append(dst, "\r\n"...), body...)
}

// AppendRequestHead appends the encoded head of a request whose body follows: with the stated length in bytes, or in
// chunks if length is -1.
func AppendRequestHead(dst []byte, method, target string, fields []Field, length int64) []byte {
	return append(appendFraming(appendRequestStart(dst, method, target, fields), length), "\r\n"...)
}

// appendRequestStart appends the request line and the header fields.
func appendRequestStart(dst []byte, method, target string, fields []Field) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	return appendFields(append(dst, " HTTP/1.1\r\n"...), fields)
}

// AppendResponseHead appends the encoded head of a response whose body follows: with the stated length in bytes or,
// if length is -1, in chunks. A client of HTTP/1.0, which minor 0 states, does not support chunks: for it, a body
// without a stated length ends with the connection.
func AppendResponseHead(dst []byte, status int, fields []Field, length int64, minor int, keepAlive bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, statusText(status)...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, fields)
	if length >= 0 || minor > 0 {
		dst = appendFraming(dst, length)
	}
	if !keepAlive {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return append(dst, "\r\n"...)
}

// appendFraming appends the header field that states the length in bytes, or the chunked coding if length is -1.
func appendFraming(dst []byte, length int64) []byte {
	if length < 0 {
		return append(dst, "Transfer-Encoding: chunked\r\n"...)
	}
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, length, 10)
	return append(dst, "\r\n"...)
}

// AppendChunk appends a piece of a body, encoded as a chunk, and with last also the end of the body. An empty piece
// adds no chunk.
func AppendChunk(dst, piece []byte, last bool) []byte {
	if len(piece) > 0 {
		dst = strconv.AppendInt(dst, int64(len(piece)), 16)
		dst = append(dst, "\r\n"...)
		dst = append(dst, piece...)
		dst = append(dst, "\r\n"...)
	}
	if last {
		dst = append(dst, "0\r\n\r\n"...)
	}
	return dst
}

// AppendResponse appends an encoded response whose body is complete.
func AppendResponse(dst []byte, status int, fields []Field, body []byte, keepAlive bool) []byte {
	return append(AppendResponseHead(dst, status, fields, int64(len(body)), 1, keepAlive), body...)
}

// appendFields appends header fields, one on each line.
func appendFields(dst []byte, fields []Field) []byte {
	for _, f := range fields {
		dst = append(dst, f.Name...)
		dst = append(dst, ": "...)
		dst = append(dst, f.Value...)
		dst = append(dst, "\r\n"...)
	}
	return dst
}

// statusText returns the reason phrase of a status.
func statusText(status int) string {
	switch status {
	case 200:
		return "OK"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 413:
		return "Content Too Large"
	case 431:
		return "Request Header Fields Too Large"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Answer"
}
