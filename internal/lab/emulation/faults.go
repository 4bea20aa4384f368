package emulation

import (
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// Fault spoils a share of a host's answers. The request has run, apart from ResetBefore.
type Fault string

// Faults lists them.
func Faults() []Fault {
	return []Fault{ResetBefore, ResetMiddle, Trickle, ShortLength, LongLength, ExtraBytes, Interim, Garbage, Endless,
		CloseIdle, HalfClose, NoLength}
}

type faultShare struct {
	share float64
	class string
}

// writeFaulty writes a spoilt answer, and reports whether the connection goes on.
func (h *Host) writeFaulty(c *conn, f Fault, load string, body []byte) bool {
	whole := buildResponse(200, load, len(body), body)
	switch f {
	case ResetBefore:
		resetConn(c.Conn)
		return false
	case ResetMiddle:
		_, _ = c.Write(whole[:len(whole)-len(body)/2-1])
		resetConn(c.Conn)
		return false
	case Trickle:
		return trickle(c, whole)
	case ShortLength:
		return writeAll(c, buildResponse(200, load, len(body)/2, body))
	case LongLength:
		_, _ = c.Write(buildResponse(200, load, len(body)+100, body))
		return false
	case ExtraBytes:
		return writeAll(c, slices.Concat(whole, whole))
	case Interim:
		return writeAll(c, slices.Concat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), whole))
	case Garbage:
		return writeAll(c, h.randomBytes(300))
	case Endless:
		return endless(c, buildResponse(200, load, 3<<30, body))
	case CloseIdle:
		_, _ = c.Write(whole)
		time.Sleep(closeIdleDelay)
		return false
	case HalfClose:
		halfClose(c, whole)
		return false
	case NoLength:
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", load, body)
		return false
	}
	return true
}

// writeAll writes an answer and reports whether all of it could be.
func writeAll(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// trickle writes an answer byte by byte.
func trickle(c net.Conn, data []byte) bool {
	for i := range data {
		if !writeAll(c, data[i:i+1]) {
			return false
		}
		time.Sleep(trickleInterval)
	}
	return true
}

// endless writes the begin of an answer and goes on until the other side ends the connection.
func endless(c net.Conn, begin []byte) bool {
	if !writeAll(c, begin) {
		return false
	}
	for piece := make([]byte, 4096); writeAll(c, piece); {
		time.Sleep(endlessInterval)
	}
	return false
}

// halfClose writes an answer, ends its sending and goes on reading.
func halfClose(c *conn, data []byte) {
	_, _ = c.Write(data)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c)
}

// randomBytes draws bytes that are no answer.
func (h *Host) randomBytes(size int) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(h.rand.Uint32())
	}
	return data
}

// Spoil makes a share of the answers faulty, of one class or, with an empty class, of all. A zero share
// ends it.
func (h *Host) Spoil(f Fault, share float64, class string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults[f] = (faultShare{share, class}); share <= 0 {
		delete(h.faults, f)
	}
}

// drawFault picks the fault of an answer, if it has one.
func (h *Host) drawFault(class string) Fault {
	for _, f := range Faults() { // in a stated order, so that a seed gives the same faults
		if s, ok := h.faults[f]; ok && (s.class == "" || s.class == class) && h.rand.Float64() < s.share {
			return f
		}
	}
	return ""
}

// resetConn closes a connection so that the other side sees a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
