package emulation

import (
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// Fault is a way in which a host's response is faulty on the wire. The host has executed the request.
type Fault string

// Faults returns all faults.
func Faults() []Fault {
	return []Fault{ResetBefore, ResetMiddle, Trickle, ShortLength, LongLength, ExtraBytes, Interim, Garbage, Endless,
		CloseIdle, HalfClose, NoLength, LateCopy, LateBytes}
}

// faultShare is the share of the responses that get a fault, among those of one class or of all classes.
type faultShare struct {
	share float64
	class string
}

// writeFaulty writes a response with a fault and reports whether the connection stays open.
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
	case LateCopy, LateBytes:
		return h.writeWithLateBytes(c, f, whole)
	}
	return true
}

// writeAll writes data and reports whether all of it was written.
func writeAll(c net.Conn, data []byte) bool {
	_, err := c.Write(data)
	return err == nil
}

// writeWithLateBytes writes a response and, after a random time of up to maxLate, a second copy of it or random bytes. It
// reports whether the response was written. The late bytes are left out if the machine is so busy that more than maxLate
// has passed.
func (h *Host) writeWithLateBytes(c net.Conn, f Fault, response []byte) bool {
	late := response
	if f == LateBytes {
		late = h.randomBytes(randomLateBytes)
	}
	h.mu.Lock()
	delay := time.Duration(h.rand.Int64N(int64(maxLate)))
	h.mu.Unlock()
	written := writeAll(c, response)
	start := time.Now()
	time.AfterFunc(delay, func() {
		if time.Since(start) <= maxLate {
			_ = writeAll(c, late)
		}
	})
	return written
}

// randomLateBytes is the size of the random bytes that LateBytes adds.
const randomLateBytes = 60

// trickle writes a response byte by byte, one every trickleInterval, and reports whether all of it was written.
func trickle(c net.Conn, data []byte) bool {
	for i := range data {
		if !writeAll(c, data[i:i+1]) {
			return false
		}
		time.Sleep(trickleInterval)
	}
	return true
}

// endless writes begin, the start of a response, then pieces of its body until the peer closes the connection.
func endless(c net.Conn, begin []byte) bool {
	if !writeAll(c, begin) {
		return false
	}
	for piece := make([]byte, 4096); writeAll(c, piece); {
		time.Sleep(endlessInterval)
	}
	return false
}

// halfClose writes a response, closes the sending side of the connection and reads until the peer closes.
func halfClose(c *conn, data []byte) {
	_, _ = c.Write(data)
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c)
}

// randomBytes returns random bytes, which are not an HTTP response.
func (h *Host) randomBytes(size int) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(h.rand.Uint32())
	}
	return data
}

// InjectFault gives the fault f to a share of the responses of a class or, if class is empty, of all classes. A share
// of 0 ends the fault.
func (h *Host) InjectFault(f Fault, share float64, class string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faults[f] = (faultShare{share, class}); share <= 0 {
		delete(h.faults, f)
	}
}

// drawFault draws the fault of a response of class, or an empty string for none. h.mu must be held.
func (h *Host) drawFault(class string) Fault {
	for _, f := range Faults() { // in a fixed order, so that a seed always gives the same faults
		if s, ok := h.faults[f]; ok && (s.class == "" || s.class == class) && h.rand.Float64() < s.share {
			return f
		}
	}
	return ""
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
