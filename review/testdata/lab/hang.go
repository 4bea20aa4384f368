package main

import (
	"fmt"
	"net"
	"time"
)

// beyondHost is the part of a body that a host that hangs leaves with the gateway and its machine.
const beyondHost = 128 << 10

// absorbed returns how many bytes this machine takes for a loopback peer that reads nothing.
func absorbed() (int, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	n, _ := conn.Write(make([]byte, 32<<20)) // ends with the deadline
	return n, nil
}

// sendFast writes a request at once, waits until the gateway's machine has acknowledged its last byte, and reads the
// answer.
func sendFast(rec *record, address string, q *request, body []byte) {
	conn, err := q.connect(address)
	if err != nil {
		return
	}
	defer conn.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		q.readAnswer(conn, 15*time.Second) // longer than its time, to see when the answer comes
	}()
	start := time.Now()
	if _, err := conn.Write(append([]byte(q.head()), body...)); err != nil {
		<-done
		return
	}
	if !q.awaitTaken(conn, 10*time.Second) {
		<-done
		return
	}
	rec.printf("%s: the gateway's machine has acknowledged its last byte, %.3f s after the first", q.id,
		q.lastByte.Sub(start).Seconds())
	<-done
}

// hangDuringUploads plays long requests while one of four hosts hangs.
func hangDuringUploads(w *world) error {
	size, err := absorbed()
	if err != nil {
		return err
	}
	size += beyondHost
	if size > 32<<20 {
		return fmt.Errorf("this machine takes %d bytes for a host that hangs", size)
	}
	s, err := newSite(w, runnerSettings(), "perth", 4, 17*time.Millisecond)
	if err != nil {
		return err
	}
	defer s.close()
	g, err := s.start("n0")
	if err != nil {
		return err
	}
	defer g.end()
	handIn := request{class: "hand-in", method: "POST", patience: 750 * time.Millisecond, key: "0"}
	if err := s.warmUp(20, handIn); err != nil {
		return err
	}
	if w.trouble {
		s.hangShare(1)
	}
	body := make([]byte, size)
	var requests []*request
	for i := range 16 {
		q := handIn
		q.id, q.key, q.size = fmt.Sprintf("hand-in-%d", i+1), fmt.Sprintf("%032x", i+1), size
		requests = append(requests, &q)
	}
	for i := 0; i < len(requests); i += 2 {
		all(requests[i:i+2], func(q *request) { sendFast(w.rec, s.listen, q, body) }).Wait()
	}
	if s.judgeTimes(requests) == 0 {
		return errNothingTaken
	}
	s.judgeRuns(requests)
	return nil
}
