package main

import (
	"fmt"
	"time"
)

// A slow client sends a body at 64 kB a second, a piece every 50 ms.
const (
	pieceSize = 3200
	pieceTime = 50 * time.Millisecond
)

// bid is a request of the class bid-lodge whose client waits for the whole deadline of the class.
func bid() request {
	return request{class: "bid-lodge", method: "POST", patience: 2500 * time.Millisecond}
}

// sendSlowly writes the head and then the body at 64 kB a second, and reads the answer.
func sendSlowly(rec *record, address string, q *request) {
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
	if _, err := conn.Write([]byte(q.head())); err != nil {
		return
	}
	rec.printf("%s: head sent, body of %d bytes follows at 64 kB a second", q.id, q.size)
	start, piece := time.Now(), make([]byte, pieceSize)
	for sent := 0; sent < q.size; sent += pieceSize {
		select {
		case <-done: // answered before its end
			return
		case <-time.After(time.Until(start.Add(time.Duration(sent/pieceSize) * pieceTime))):
		}
		if _, err := conn.Write(piece[:min(pieceSize, q.size-sent)]); err != nil {
			<-done
			return
		}
	}
	if q.awaitTaken(conn, time.Second) {
		rec.printf("%s: the gateway's machine has acknowledged its last byte", q.id)
	}
	<-done
}

// restartDuringUploads plays a planned restart while clients send long bodies slowly and half of the hosts hang.
func restartDuringUploads(w *world) error {
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
	requests := make([]*request, 12)
	for i := range requests {
		q := bid()
		q.id, q.size = fmt.Sprintf("bid-%d", i+1), 60*pieceSize // 3 s
		requests[i] = &q
	}
	sent := all(requests, func(q *request) { sendSlowly(w.rec, s.listen, q) })
	if !w.trouble {
		sent.Wait()
		if s.judgeTimes(requests) == 0 {
			return errNothingTaken
		}
		s.judgeRuns(requests)
		return nil
	}
	time.Sleep(1500 * time.Millisecond)
	s.hangShare(2)
	st := s.stopGateway(g, 2500*time.Millisecond)
	sent.Wait()
	if s.judgeStopped(requests, st) == 0 {
		return fmt.Errorf("no request came more than %v after SIGTERM", killAfter)
	}
	s.judgeRuns(requests)
	return nil
}
