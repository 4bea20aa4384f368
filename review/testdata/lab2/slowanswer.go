package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The figures of an answer that is written slowly.
const (
	slowAnswerBytes = 128 << 10
	slowPiece       = 4 << 10
	slowInterval    = 64 * time.Millisecond   // between two pieces: 64 kB a second
	slowPause       = 1200 * time.Millisecond // after the first piece
	bidExpiresMS    = 1800                    // a client waits for 70 to 100% of 2.5 s
)

func init() { cases["slow-answer"] = slowAnswer }

// slowAnswer: hosts write answers over 64 KiB in chunks and slowly, with one pause after the first piece.
func slowAnswer(r *rig) {
	answer := func(_ *host, c net.Conn, req *http.Request, _ []byte) bool {
		return writeSlowly(r, c, req.Header.Get("X-Trace-Id"))
	}
	for i := range 3 {
		r.hosts = append(r.hosts, newHost(fmt.Sprintf("s-%d", i), answer))
	}
	_, listen, _ := startOver(r)
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() { slowBid(r, listen, fmt.Sprintf("bid-%02d", i)) })
		time.Sleep(700 * time.Millisecond)
	}
	running.Wait()
}

// pieceOf returns the first piece of the answer to a request.
func pieceOf(id string) string {
	return strings.Repeat("answer to "+id+" ......", slowPiece)[:slowPiece]
}

// writeSlowly writes the answer to a request, and reports whether it was written whole.
func writeSlowly(r *rig, c net.Conn, id string) bool {
	began, piece := time.Now(), pieceOf(id)
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for written := 0; written < slowAnswerBytes; written += slowPiece {
		if written == slowPiece && r.trouble {
			time.Sleep(slowPause)
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
			r.note("%s: after %v the gateway takes no more of the answer, %d bytes of its body are written: %v",
				id, time.Since(began), written, err)
			return false
		}
		time.Sleep(slowInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	r.note("%s: answer written whole after %v", id, time.Since(began))
	return err == nil
}

// slowBid sends a bid and judges its answer: the first bytes are timed, the rest must come as the host writes it.
func slowBid(r *rig, listen, id string) {
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		r.note("%s: not connected: %v", id, err)
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, requestText("POST", "bid-lodge", id, bidExpiresMS, "a bid"))
	sent := time.Now()
	_ = c.SetReadDeadline(sent.Add(15 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.note("%s: no answer after %v: %v", id, time.Since(sent), err)
		if r.runs(id) > 0 {
			r.breach("%s ran, and the client got no answer", id)
		}
		return
	}
	first := time.Since(sent)
	body, err := io.ReadAll(resp.Body)
	r.note("%s: sent; %d after %v, %d bytes of body after %v: %v", id, resp.StatusCode, first, len(body), time.Since(sent), err)
	want := strings.Repeat(pieceOf(id), slowAnswerBytes/slowPiece)
	if r.runs(id) > 0 && (resp.StatusCode != 200 || err != nil || string(body) != want) {
		r.breach("%s ran and its host was still giving the answer; the client got %d and %d bytes", id, resp.StatusCode, len(body))
	}
}
