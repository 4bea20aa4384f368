package main

import (
	"bytes"
	"fmt"
	"net"
	"time"
)

// floodEmptyLines sends empty lines at full speed until the gateway ends the connection or the time is over, and reads
// whatever comes.
func floodEmptyLines(rec *record, address, name string, limit time.Duration) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		rec.printf("%s: %v", name, err)
		return
	}
	defer conn.Close()
	start, sent := time.Now(), 0
	_ = conn.SetDeadline(start.Add(limit))
	go func() {
		buf := make([]byte, 4096)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
		}
	}()
	block := bytes.Repeat([]byte("\r\n"), 32<<10)
	for {
		n, err := conn.Write(block)
		sent += n
		if err != nil {
			rec.printf("%s: ended %.3f s after its connect, %d bytes sent: %v", name, time.Since(start).Seconds(), sent, err)
			return
		}
	}
}

// Figures of floodOfEmptyLines.
const (
	floodClients = 20
	floodTime    = 8 * time.Second
	// usualInterval is the time between two requests of the usual clients.
	usualInterval = 100 * time.Millisecond
)

// floodOfEmptyLines plays some clients that send empty lines at full speed beside the usual clients.
func floodOfEmptyLines(w *world) error {
	s, err := newSite(w, portalSettings(), "suva", 4, 80*time.Millisecond)
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
	var bad []*request
	if w.trouble {
		for i := range floodClients {
			bad = append(bad, &request{id: fmt.Sprintf("bad-%d", i+1)})
		}
	}
	flood := all(bad, func(q *request) { floodEmptyLines(w.rec, s.listen, q.id, floodTime) })
	var requests []*request
	delays := make(map[*request]time.Duration)
	for i := range 40 {
		q := bid()
		q.id, q.size = fmt.Sprintf("bid-%d", i+1), 200
		requests, delays[&q] = append(requests, &q), time.Duration(i)*usualInterval
	}
	start := time.Now()
	sent := all(requests, func(q *request) {
		time.Sleep(time.Until(start.Add(delays[q])))
		sendOnce(s.listen, q)
	})
	sent.Wait()
	flood.Wait()
	if s.judgeTimes(requests) == 0 {
		return errNothingTaken
	}
	s.judgeRuns(requests)
	return nil
}

// sendOnce writes a small request at once and waits for the answer as long as it is not lost.
func sendOnce(address string, q *request) {
	conn, err := q.connect(address)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Write(append([]byte(q.head()), make([]byte, q.size)...)); err != nil {
		return
	}
	q.lastByte = time.Now()
	q.readAnswer(conn, q.limit())
}
