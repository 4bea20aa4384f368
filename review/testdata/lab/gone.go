package main

import (
	"fmt"
	"net"
	"time"
)

// Figures of clientsGone.
const (
	goneRounds = 6
	burstSize  = 50
	goneSize   = 400 << 10 // of the body of a client that leaves
	sendBuffer = 1 << 20   // of its connection, so that its write does not wait for the gateway
	// goneGrace is how long after the close of its client an attempt may begin.
	goneGrace = 100 * time.Millisecond
)

// sendAndLeave writes a request at once and closes the connection, without an answer; with stay it waits for the answer.
// It records the close as the time of the last byte.
func sendAndLeave(rec *record, address string, q *request, stay bool) {
	conn, err := q.connect(address)
	if err != nil {
		return
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetWriteBuffer(sendBuffer); err != nil {
		q.err = err
		return
	}
	if _, err := conn.Write(append([]byte(q.head()), make([]byte, q.size)...)); err != nil {
		q.err = err
		return
	}
	q.lastByte = time.Now()
	if stay {
		q.readAnswer(conn, 15*time.Second)
		return
	}
	conn.Close()
	rec.printf("%s: sent whole, its client has closed the connection", q.id)
}

// clientsGone plays bursts of requests beside clients that send a long one and leave at once.
func clientsGone(w *world) error {
	s, err := newSite(w, portalSettings(), "suva", 2, 80*time.Millisecond)
	if err != nil {
		return err
	}
	defer s.close()
	g, err := s.start("n0")
	if err != nil {
		return err
	}
	defer g.end()
	if err := s.warmUp(20, bid()); err != nil {
		return err
	}
	var usual, leaving []*request
	for round := range goneRounds {
		var burst, left []*request
		for i := range burstSize {
			q := bid()
			q.id, q.size = fmt.Sprintf("bid-%d-%d", round+1, i+1), 200
			burst = append(burst, &q)
		}
		for i := range 2 {
			q := bid()
			q.id, q.size = fmt.Sprintf("long-%d-%d", round+1, i+1), goneSize
			left = append(left, &q)
		}
		sent := all(burst, func(q *request) { sendOnce(s.listen, q) })
		time.Sleep(20 * time.Millisecond)
		all(left, func(q *request) { sendAndLeave(w.rec, s.listen, q, !w.trouble) }).Wait()
		sent.Wait()
		time.Sleep(500 * time.Millisecond)
		usual, leaving = append(usual, burst...), append(leaving, left...)
	}
	if s.judgeTimes(usual) == 0 {
		return errNothingTaken
	}
	if !w.trouble {
		s.judgeTimes(leaving)
	}
	s.judgeRuns(append(usual, leaving...))
	for _, q := range leaving {
		for _, h := range s.hosts {
			begun, whole := h.attempt(q.id)
			if begun.IsZero() || !w.trouble {
				continue
			}
			after := begun.Sub(q.lastByte)
			w.rec.printf("%s: attempt at %s began %.3f s after its client's close, came whole: %v", q.id, h.name,
				after.Seconds(), whole)
			if whole && after > goneGrace+ruleSlack {
				w.rec.breach("%s ran at %s, sent %.3f s after its client had gone", q.id, h.name, after.Seconds())
			}
		}
	}
	return nil
}
