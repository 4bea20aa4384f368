package http1

import (
	"bytes"
	"fmt"
	"testing"
)

// readAll feeds a stream to a Reader in pieces and returns a textual summary of the messages decoded, and of the fault
// that ends decoding. The sizes of the pieces follow from the values of cuts, which are used in a cycle; without cuts,
// the stream is fed in one piece. Large bodies are switched to streaming as soon as they are recognized.
func readAll(response bool, stream []byte, cuts []byte) string {
	r := Reader{Response: response}
	var out, body bytes.Buffer
	streamed := false
	for n := 0; len(stream) > 0; n++ {
		size := len(stream)
		if len(cuts) > 0 {
			size = min(size, 1+int(cuts[n%len(cuts)])*int(cuts[n%len(cuts)]))
		}
		r.Feed(stream[:size])
		stream = stream[size:]
		for {
			if streamed {
				_, piece, done, fault := r.ReadStream(nil)
				body.Write(piece)
				if fault != nil {
					return out.String() + fault.Text
				}
				if !done {
					break
				}
				fmt.Fprintf(&out, "large %d %x;", body.Len(), checksum(body.Bytes()))
				body.Reset()
				streamed = false
			}
			m, fault := r.Next()
			if fault != nil {
				return out.String() + fault.Text
			}
			if m != nil {
				kind := "small"
				if len(m.Body) > MaxBufferedBody {
					kind = "large"
				}
				fmt.Fprintf(&out, "%s %s %d %v %s %d %x;", kind, m.Target, m.Status, m.KeepAlive, m.Method,
					len(m.Body), checksum(m.Body))
				continue
			}
			if r.Large() == nil {
				break
			}
			r.BeginStream()
			streamed = true
		}
	}
	if m := r.EndOfInput(); m != nil {
		fmt.Fprintf(&out, "end %d;", len(m.Body)+body.Len())
	}
	return out.String()
}

// checksum returns a simple checksum of b.
func checksum(b []byte) (sum uint32) {
	for _, c := range b {
		sum = sum*31 + uint32(c)
	}
	return sum
}

// FuzzCuts verifies that a Reader decodes the same messages regardless of how the stream is divided into pieces, and
// that no input causes a panic.
func FuzzCuts(f *testing.F) {
	big := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: o\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"%x;x=\"y\"\r\n%s\r\n3\r\nabc\r\n0\r\nT: r\r\n\r\n",
		70000, bytes.Repeat([]byte("b"), 70000))
	for _, s := range []string{
		"GET /x HTTP/1.1\r\nHost: o\r\n\r\nGET http://h/y?z HTTP/1.1\r\nHost: o\r\nConnection: a, close\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.0\r\n\r\n", big + big,
		fmt.Sprintf("POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 80000\r\n\r\n%sGET /n HTTP/1.1\r\nHost: o\r\n\r\n",
			bytes.Repeat([]byte("c"), 80000)),
		"POST /a HTTP/1.1\r\nHost: o\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add(false, []byte(s), []byte{0})
		f.Add(false, []byte(s), []byte{3, 0, 255})
	}
	for _, s := range []string{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 204 No\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end", "HTTP/1.1 101 Switching\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		f.Add(true, []byte(s), []byte{0})
		f.Add(true, []byte(s), []byte{1, 2})
	}
	f.Fuzz(func(t *testing.T, response bool, stream, cuts []byte) {
		inOnePiece, inPieces := readAll(response, stream, nil), readAll(response, stream, cuts)
		if inOnePiece != inPieces {
			t.Errorf("stream %q\nin one piece: %q\nin pieces by %v: %q", stream, inOnePiece, cuts, inPieces)
		}
	})
}

// Up to maxInterimResponses interim responses are skipped before a final one; one more is a fault.
func TestInterimResponsesAreBounded(t *testing.T) {
	final, interim := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 103 Early\r\n\r\n"
	for n, want := range map[int]bool{0: true, maxInterimResponses: true, maxInterimResponses + 1: false} {
		r := Reader{Response: true}
		r.Feed(append(bytes.Repeat([]byte(interim), n), final...))
		if m, fault := r.Next(); (m != nil && fault == nil) != want {
			t.Errorf("%d interim responses: message %v, fault %v", n, m, fault)
		}
	}
}
