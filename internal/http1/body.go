package http1

import (
	"bytes"
	"strings"
)

// framing is the way in which the end of a body is determined.
type framing uint8

const (
	byLength framing = iota // Content-Length states the length
	byChunks                // the chunked transfer coding
	byClose                 // the body ends when the peer ends its sending
)

// maxChunkLine is the maximum size, in bytes, of a chunk's size line and of all trailers together.
const maxChunkLine = 4 << 10

// body decodes the body of a message incrementally.
type body struct {
	framing      framing
	remaining    int64 // bytes of the body or of the current chunk that are not yet decoded
	maxPiece     int   // largest piece that decode returns, in bytes; 0 for no limit
	inChunk      bool  // a chunk has begun, and the line end after its data has not been decoded
	trailerBytes int   // size of the trailers decoded, in bytes; -1 before the last chunk
	done         bool
}

// parseFraming returns a decoder for the body that the header fields describe. It rejects a message that states its
// framing more than once: two readers that follow different statements would find different requests in the same bytes
// (request smuggling).
func parseFraming(h *Head, response bool) (body, *Fault) {
	b := body{trailerBytes: -1}
	length, lengths := h.Get("Content-Length")
	coding, codings := h.Get("Transfer-Encoding")
	switch {
	case lengths > 1, lengths > 0 && codings > 0:
		return b, badRequest("the body's length is stated twice")
	case codings > 0 && h.MinorVersion == 0:
		return b, badRequest("HTTP/1.0 has no transfer codings")
	case response && (h.Status < 200 || h.Status == 204 || h.Status == 304):
		b.done = true
	case codings == 1 && strings.EqualFold(coding, "chunked"):
		b.framing = byChunks
	case codings > 0:
		return b, &Fault{501, "unknown transfer coding"}
	case lengths == 1:
		n, ok := parseDecimal(length, MaxBody)
		if !ok {
			return b, badRequest("malformed Content-Length")
		}
		if n > MaxBody {
			return b, &Fault{413, "body too large"}
		}
		b.remaining, b.done = n, n == 0
	case response:
		b.framing = byClose
	default:
		b.done = true
	}
	return b, nil
}

// decode decodes a part of in. It returns the resulting data of the body, which may be empty, and the number of bytes
// of in that it has used. Callers repeat the call with the remaining bytes until it uses none.
func (b *body) decode(in []byte) (piece []byte, used int, fault *Fault) {
	switch {
	case b.done || len(in) == 0:
		return nil, 0, nil
	case b.framing == byClose:
		return in, len(in), nil
	case b.framing == byLength || b.inChunk && b.remaining > 0:
		n := min(int64(len(in)), b.remaining)
		if b.maxPiece > 0 {
			n = min(n, int64(b.maxPiece))
		}
		b.remaining -= n
		b.done = b.framing == byLength && b.remaining == 0
		return in[:n], int(n), nil
	}
	return b.decodeLine(in)
}

// endsIn reports whether the body ends within the bytes that follow, or is malformed there: no further byte can complete
// a malformed body.
func (b body) endsIn(in []byte) bool {
	for !b.done {
		_, used, fault := b.decode(in)
		if fault != nil {
			return true
		}
		if used == 0 {
			return false
		}
		in = in[used:]
	}
	return true
}

// decodeLine decodes a line of the chunked coding: the line end after a chunk's data, a chunk size, or a trailer.
func (b *body) decodeLine(in []byte) (piece []byte, used int, fault *Fault) {
	lineEnd := bytes.Index(in, []byte("\r\n"))
	if lineEnd < 0 {
		if len(in) > maxChunkLine {
			return nil, 0, badRequest("chunk line too long")
		}
		return nil, 0, nil
	}
	line, used := in[:lineEnd], lineEnd+2
	switch {
	case b.inChunk:
		if lineEnd != 0 {
			return nil, 0, badRequest("chunk longer than its size")
		}
		b.inChunk = false
	case b.trailerBytes >= 0:
		b.done = lineEnd == 0
		if b.trailerBytes += used; b.trailerBytes > maxChunkLine {
			return nil, 0, &Fault{431, "trailers too large"}
		}
	default:
		size, ok := parseHex(line)
		if !ok {
			return nil, 0, badRequest("malformed chunk size")
		}
		if b.remaining, b.inChunk = size, true; size == 0 {
			b.inChunk, b.trailerBytes = false, 0
		}
	}
	return nil, used, nil
}

// maxSizeBeforeDigit is the maximum value to which parseHex appends one more digit. It prevents an overflow.
const maxSizeBeforeDigit = 1 << 30

// parseHex parses a chunk size and ignores chunk extensions.
func parseHex(line []byte) (int64, bool) {
	line, _, _ = bytes.Cut(line, []byte(";"))
	line = bytes.TrimRight(line, " \t")
	n := int64(0)
	for _, c := range line {
		digit := strings.IndexByte("0123456789abcdef", c|0x20)
		if digit < 0 || n > maxSizeBeforeDigit {
			return 0, false
		}
		n = n<<4 | int64(digit)
	}
	return n, len(line) > 0
}
