package main

import (
	"bufio"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Figures of slowReaders.
const (
	readers    = 4
	answerSize = 6 << 20
	// A slow client takes a body at 64 kB a second, a piece every 50 ms.
	readPiece = 3200
)

// errCut is the error of an answer that ended before its last byte.
var errCut = errors.New("the answer was cut off")

// readLong reads an answer, a piece every 50 ms if it is slow, and records the number of bytes and their digest.
func readLong(rec *record, address string, q *request, slow bool) {
	conn, err := q.connect(address)
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(q.head())); err != nil {
		q.err = err
		return
	}
	q.lastByte = time.Now()
	_ = conn.SetReadDeadline(q.lastByte.Add(110 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, readPiece), nil)
	if err != nil {
		q.err = err
		return
	}
	q.status = resp.StatusCode
	rec.printf("%s: status %d, Content-Length %d, %.3f s after the last byte", q.id, resp.StatusCode, resp.ContentLength,
		time.Since(q.lastByte).Seconds())
	start, digest, total, piece := time.Now(), sha256.New(), 0, make([]byte, readPiece)
	for {
		if slow {
			time.Sleep(time.Until(start.Add(time.Duration(total/readPiece) * pieceTime)))
		}
		n, err := io.ReadFull(resp.Body, piece)
		total += n
		digest.Write(piece[:n])
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && int64(total) == resp.ContentLength {
			break
		}
		if err != nil {
			q.err = fmt.Errorf("%w after %d of %d bytes, %.1f s after its first: %w", errCut, total, resp.ContentLength,
				time.Since(start).Seconds(), err)
			return
		}
	}
	q.answered, q.body = time.Now(), fmt.Sprintf("%d %x", total, digest.Sum(nil)[:8])
	rec.printf("%s: %d bytes read in %.1f s", q.id, total, time.Since(start).Seconds())
}

// slowReaders plays clients that read a long answer at 64 kB a second.
func slowReaders(w *world) error {
	s, err := newSite(w, portalSettings(), "suva", 2, 40*time.Millisecond)
	if err != nil {
		return err
	}
	defer s.close()
	for _, h := range s.hosts {
		h.long = answerSize
	}
	g, err := s.start("n0")
	if err != nil {
		return err
	}
	defer g.end()
	if err := s.warmUp(20, bid()); err != nil {
		return err
	}
	var requests []*request
	for i := range readers {
		requests = append(requests, &request{id: fmt.Sprintf("view-%d", i+1), class: "tender-view", method: "GET",
			patience: 2 * time.Second})
	}
	all(requests, func(q *request) { readLong(w.rec, s.listen, q, w.trouble) }).Wait()
	begun := 0
	for _, q := range requests {
		if q.status != http.StatusOK {
			w.rec.printf("%s: %s", q.id, q.outcome())
			continue
		}
		begun++
		switch {
		case errors.Is(q.err, errCut):
			w.rec.breach("%s: %v", q.id, q.err)
		case q.body != longDigest(q.id, answerSize):
			w.rec.breach("%s: the body differs from the host's: %s", q.id, q.body)
		}
	}
	if begun == 0 {
		return errors.New("no answer began")
	}
	return nil
}

// longBody is a host's long answer to a request.
func longBody(id string, size int) []byte {
	body := make([]byte, 0, size+len(id)+1)
	for len(body) < size {
		body = append(append(body, id...), ' ')
	}
	return body[:size]
}

// longDigest describes a long answer as readLong does.
func longDigest(id string, size int) string {
	sum := sha256.Sum256(longBody(id, size))
	return fmt.Sprintf("%d %x", size, sum[:8])
}
