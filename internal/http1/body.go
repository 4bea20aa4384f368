package http1

import (
	"bytes"
	"strings"
)

// framing says how a body ends.
type framing uint8

const (
	byLength framing = iota
	byChunks
	byClose
)

// maxLine bounds a chunk's size line and the trailers.
const maxLine = 4 << 10

// body decodes a body as it comes.
type body struct {
	framing framing
	left    int64 // of the body or of the chunk
	inChunk bool
	trailer int // bytes of trailers read; -1 before the last chunk
	done    bool
}

// frame finds how the body of a message is framed. A message that says it twice is refused: two readers that
// believe different halves would see different requests.
func frame(h *Head, response bool) (body, *Fault) {
	b := body{trailer: -1}
	length, lengths := h.Get("Content-Length")
	coding, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 1, lengths > 0 && codings > 0:
		return b, bad("the body's length is stated twice")
	case codings > 0 && h.Minor == 0:
		return b, bad("HTTP/1.0 has no transfer codings")
	case response && (h.Status < 200 || h.Status == 204 || h.Status == 304):
		b.done = true
	case codings == 1 && strings.EqualFold(coding, "chunked"):
		b.framing = byChunks
	case codings > 0:
		return b, &Fault{501, "unknown transfer coding"}
	case lengths == 1:
		n, ok := decimal(length, MaxBody)
		if !ok {
			return b, bad("malformed Content-Length")
		}
		if n > MaxBody {
			return b, &Fault{413, "body too large"}
		}
		b.left, b.done = n, n == 0
	case response:
		b.framing = byClose
	default:
		b.done = true
	}
	return b, nil
}

// take decodes what it can of in and returns a piece of the body and how much of in it used. It has to be
// called until it uses nothing.
func (b *body) take(in []byte) (piece []byte, used int, fault *Fault) {
	switch {
	case b.done || len(in) == 0:
		return nil, 0, nil
	case b.framing == byClose:
		return in, len(in), nil
	case b.framing == byLength || b.inChunk && b.left > 0:
		n := min(int64(len(in)), b.left)
		b.left -= n
		b.done = b.framing == byLength && b.left == 0
		return in[:n], int(n), nil
	}
	return b.line(in)
}

// line reads a line of the chunked coding: the end of a chunk, a size, or a trailer.
func (b *body) line(in []byte) (piece []byte, used int, fault *Fault) {
	at := bytes.Index(in, []byte("\r\n"))
	if at < 0 {
		if len(in) > maxLine {
			return nil, 0, bad("chunk line too long")
		}
		return nil, 0, nil
	}
	line, used := in[:at], at+2
	switch {
	case b.inChunk:
		if at != 0 {
			return nil, 0, bad("chunk longer than its size")
		}
		b.inChunk = false
	case b.trailer >= 0:
		b.done = at == 0
		if b.trailer += used; b.trailer > maxLine {
			return nil, 0, &Fault{431, "trailers too large"}
		}
	default:
		size, ok := hex(line)
		if !ok {
			return nil, 0, bad("malformed chunk size")
		}
		if b.left, b.inChunk = size, true; size == 0 {
			b.inChunk, b.trailer = false, 0
		}
	}
	return nil, used, nil
}

// hex reads a chunk's size, without its extensions.
func hex(line []byte) (int64, bool) {
	line, _, _ = bytes.Cut(line, []byte(";"))
	line = bytes.TrimRight(line, " \t")
	n := int64(0)
	for _, c := range line {
		digit := strings.IndexByte("0123456789abcdef", c|0x20)
		if digit < 0 || n > 1<<30 {
			return 0, false
		}
		n = n<<4 | int64(digit)
	}
	return n, len(line) > 0
}
