package http1

import (
	"fmt"
	"testing"
)

// Guards against holding a long answer back because its chunk has not come whole: a chunk states its length as a body does.
func TestChunkTellsThatABodyIsLarge(t *testing.T) {
	for _, c := range []struct {
		name         string
		body         string
		large, fault bool
	}{
		{"chunk that may be buffered", fmt.Sprintf("%x\r\nx", MaxBufferedBody), false, false},
		{"chunk beyond that", fmt.Sprintf("%x\r\nx", MaxBufferedBody+1), true, false},
		{"second chunk goes beyond it", fmt.Sprintf("1\r\nx\r\n%x\r\nx", MaxBufferedBody), true, false},
		{"chunk of the longest body", fmt.Sprintf("%x\r\nx", MaxBody), true, false},
		{"chunk beyond the longest body", fmt.Sprintf("%x\r\n", MaxBody+1), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Reader{Response: true}
			r.Feed([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + c.body))
			if m, fault := r.Next(); m != nil || (fault != nil) != c.fault {
				t.Fatalf("message %v, fault %v, want none and %v", m, fault, c.fault)
			}
			if large := r.Large() != nil; !c.fault && large != c.large {
				t.Errorf("large %v, want %v", large, c.large)
			}
		})
	}
}
