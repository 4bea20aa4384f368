package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["unreadable-chunks"] = unreadableChunks }

// unreadableChunks: a client sends bids whose chunk size is no number: the byte 0x15 stands in the place of a digit.
func unreadableChunks(r *rig) {
	_, listen, _ := startPortal(r)
	size := "5"
	if r.trouble {
		size = "\x15"
	}
	for i := range 10 {
		id := fmt.Sprintf("bid-%02d", i)
		status := sendChunked(r, listen, id, size)
		ran := r.runs(id) > 0
		r.note("%s: chunk size %q, answer %d, run by a host: %v", id, size, status, ran)
		switch {
		case r.trouble && status == 200:
			r.breach("%s cannot be read; it got %d in place of an error, and was run by a host: %v", id, status, ran)
		case !r.trouble && (!ran || status != 200):
			giveUp("a sound bid got %d, run by a host: %v", status, ran)
		}
	}
}

// sendChunked sends a bid in one chunk, and returns the status of its answer, 0 for a close.
func sendChunked(r *rig, listen, id, size string) int {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		giveUp("%v", err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST /bid-lodge HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: "+id+"\r\nX-Qos: bid-lodge\r\n"+
		"X-Expires-In: 2000m\r\nTransfer-Encoding: chunked\r\n\r\n"+size+"\r\nhello\r\n0\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.note("%s: %v", id, err)
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
