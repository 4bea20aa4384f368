package main

import (
	"fmt"
	"time"
)

// sendSlowHead writes a request in four pieces over 1.8 s and reads the answer.
func sendSlowHead(rec *record, address string, q *request) {
	conn, err := q.connect(address)
	if err != nil {
		return
	}
	defer conn.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.readAnswer(conn, 15*time.Second)
	}()
	raw := append([]byte(q.head()), make([]byte, q.size)...)
	const pieces = 4
	for i := range pieces {
		if i > 0 {
			time.Sleep(600 * time.Millisecond)
		}
		if _, err := conn.Write(raw[i*len(raw)/pieces : (i+1)*len(raw)/pieces]); err != nil {
			<-done
			return
		}
	}
	if q.awaitTaken(conn, time.Second) {
		rec.printf("%s: sent in %d pieces, the gateway's machine has acknowledged its last byte", q.id, pieces)
	}
	<-done
}

// upgradeDuringSlowRequests plays an upgrade while clients take 1.8 s to send a request and half of the hosts hang.
func upgradeDuringSlowRequests(w *world) error {
	s, err := newSite(w, portalSettings(), "suva", 4, 80*time.Millisecond)
	if err != nil {
		return err
	}
	defer s.close()
	old, err := s.start("old")
	if err != nil {
		return err
	}
	defer old.end()
	if err := s.warmUp(20, bid()); err != nil {
		return err
	}
	requests := make([]*request, 12)
	for i := range requests {
		q := bid()
		q.id, q.size = fmt.Sprintf("bid-%d", i+1), 200
		requests[i] = &q
	}
	sent := all(requests, func(q *request) { sendSlowHead(w.rec, s.listen, q) })
	if !w.trouble {
		sent.Wait()
		s.judgeTimes(requests)
		s.judgeRuns(requests)
		return nil
	}
	time.Sleep(100 * time.Millisecond)
	successor, err := s.start("new")
	if err != nil {
		return err
	}
	defer successor.end()
	s.hangShare(2)
	st := s.stopGateway(old, 2500*time.Millisecond)
	sent.Wait()
	if s.judgeStopped(requests, st) == 0 {
		return fmt.Errorf("no request came more than %v after SIGTERM", killAfter)
	}
	s.judgeRuns(requests)
	return nil
}
