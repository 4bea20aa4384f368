package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// attemptResult is how an attempt ended.
type attemptResult struct {
	outcome    Outcome
	retryAfter time.Duration // from the response's Retry-After field; 0 if there was none
	endedAt    time.Duration // since the start of the run; 0 if the attempt ended before it was written
	answered   bool          // a whole response was read before the client timeout
	cause      string        // why there was no good response; empty for Outcome OK
}

// attempt is one attempt of a request: the first one or a client's retry. It may be sent again on a second
// connection if the first connection was closed before its peer read the request.
type attempt struct {
	id            string
	request       *request
	class         *Class
	number        int // 0 for the first attempt, 1 for the first retry
	clientTimeout time.Duration
	target        *target
	fullyWritten  bool // the last byte of the request was written
}

// try makes one attempt of a request and records it. If an idle connection is closed before its
// peer has read the request, try sends the request once more on a new connection.
func (g *generator) try(ctx context.Context, r *request, number int, clientTimeout time.Duration) (out attemptResult) {
	class := &g.Classes[r.Class]
	a := attempt{id: fmt.Sprintf("%s%08x", g.IDPrefix, g.lastID.Add(1)), request: r, class: class, number: number,
		clientTimeout: clientTimeout, target: g.Front.pick()}
	err := g.Record.Add(requestrecord.Attempt{ID: a.id, Request: r.number, Number: number, Class: class.Name,
		Unsafe: class.Unsafe, Keyed: class.Keyed, Target: a.target.addr, Body: r.Body, Due: g.startedAt + r.At,
		ClientTimeout: clientTimeout})
	if err != nil {
		return attemptResult{outcome: Unsent, cause: err.Error()}
	}
	defer func() {
		g.Record.Update(a.id, func(t *requestrecord.Attempt) {
			t.Ended, t.FullyWritten, t.Cause = g.now(), a.fullyWritten,
				out.cause
		})
	}()
	for resends := 0; ; resends++ {
		if result, ended := g.sendOn(ctx, &a, resends); ended {
			return result
		}
	}
}

// sendOn sends an attempt on a connection to its target and waits for the response, until responseGrace after the
// client timeout. ended is false if the connection was closed before its peer read the request, so that the
// caller may send it again. resends is the number of earlier sendings of this attempt.
func (g *generator) sendOn(ctx context.Context, a *attempt, resends int) (result attemptResult, ended bool) {
	conn, reused, err := g.connTo(ctx, a.target, a.clientTimeout, resends > 0)
	for errors.Is(err, errLeaving) && g.retarget(a) {
		conn, reused, err = g.connTo(ctx, a.target, a.clientTimeout, resends > 0)
	}
	if errors.Is(err, errNoDescriptor) {
		return attemptResult{outcome: Unsent, cause: "no descriptor left for a connection"}, true
	}
	if err != nil {
		return attemptResult{outcome: Failed, cause: "connect: " + cause(err)}, true
	}
	responses := conn.expectResponse(a.id)
	if responses == nil {
		_ = conn.Close()
		return attemptResult{}, false // the connection ended before anything was written to it
	}
	writeEnded := conn.beginWrite()
	err = g.write(conn, a.id, a.class, a.request, a.number, a.clientTimeout)
	writeEnded()
	if err != nil {
		_ = conn.Close()
		resp := <-responses
		if reused && resends == 0 {
			return attemptResult{}, false
		}
		return attemptResult{outcome: Failed, endedAt: resp.receivedAt, cause: "write: " + cause(err)}, true
	}
	sent := g.now()
	a.fullyWritten = true
	g.Record.Update(a.id, func(t *requestrecord.Attempt) {
		t.Sent, t.FullyWritten, t.OpenConnection = sent, true, reused
	})
	if a.number == 0 && resends == 0 {
		g.recorder.count(a.request.Class, a.request.At, func(s *Second) { s.Sent++ })
	}
	timer := time.NewTimer(a.clientTimeout + responseGrace)
	select {
	case resp := <-responses:
		timer.Stop()
		if resp.err != nil && resp.unread && reused && resends == 0 {
			a.fullyWritten = false
			return attemptResult{}, false
		}
		return g.handleResponse(conn, a.target, a.id, resp, sent+a.clientTimeout), true
	case <-timer.C:
		_ = conn.Close()
		g.Record.Update(a.id, func(t *requestrecord.Attempt) { t.TimedOut = true })
		return attemptResult{outcome: Unanswered, endedAt: g.now(), cause: "silence"}, true
	}
}

// handleResponse records a response, or the connection's end in place of a response, and returns the attempt's
// result. It puts the connection back into the target's pool, or closes the connection after an error, on the
// server's request or after Clients.RequestsPerConn requests.
func (g *generator) handleResponse(conn *clientConn, t *target, id string, resp response,
	deadline time.Duration) attemptResult {
	if resp.err != nil {
		_ = conn.Close()
		return attemptResult{outcome: Failed, endedAt: resp.receivedAt, cause: "link: " + cause(resp.err)}
	}
	g.Record.Update(id, func(t *requestrecord.Attempt) {
		t.Answers++
		t.Status, t.Hash = resp.status, requestrecord.Hash(resp.body)
	})
	conn.served++
	switch {
	case resp.close:
		_ = conn.Close()
	case g.Clients.RequestsPerConn > 0 && conn.served >= g.Clients.RequestsPerConn:
		_ = conn.Close()
	default:
		t.pool.put(conn)
	}
	out := attemptResult{endedAt: resp.receivedAt, retryAfter: resp.retryAfter, answered: resp.receivedAt <= deadline}
	switch {
	case resp.receivedAt > deadline:
		out.outcome, out.cause = Failed, "answered late"
	case resp.status == 200:
		out.outcome = OK
	case resp.status == 429 || resp.status == 503:
		out.outcome, out.cause = Refused, fmt.Sprint(resp.status)
	default:
		out.outcome, out.cause = Failed, fmt.Sprint(resp.status)
	}
	return out
}

// cause returns the text of an error without parts that differ between connections, such as addresses, so that
// equal errors are counted together in Result.Causes.
func cause(err error) string {
	for _, known := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE,
		os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if text := err.Error(); !strings.Contains(text, "127.") {
		return text
	}
	return "connection failed"
}

// retarget gives an attempt of which nothing was read a target that accepts connections, since its own accepts none. It
// returns false if there is no such target.
func (g *generator) retarget(a *attempt) bool {
	next := g.Front.pickAccepting()
	if next == nil {
		return false
	}
	a.target = next
	g.Record.Update(a.id, func(t *requestrecord.Attempt) { t.Target = next.addr })
	return true
}

// connTo returns a connection to a target: an idle one from the pool, or a new one if there is none or fresh is
// set. reused reports whether the connection is from the pool. The error is errNoDescriptor if this process has no
// file descriptor or port left, and errLeaving if the target gets no new connections; connTo reports a failed dial to
// the Front.
func (g *generator) connTo(ctx context.Context, t *target, timeout time.Duration, fresh bool) (conn *clientConn,
	reused bool, err error) {
	if !fresh {
		if idle := t.pool.get(); idle != nil {
			return idle, true, nil
		}
	}
	if g.Front.isLeaving(t) {
		return nil, false, errLeaving
	}
	if g.openConns.Add(1) > int64(g.MaxOpenConns) {
		g.openConns.Add(-1)
		return nil, false, errNoDescriptor
	}
	c, err := dial(ctx, t.addr, timeout)
	if err != nil {
		g.openConns.Add(-1)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			return nil, false, errNoDescriptor // a limit of this process, no failure of the target
		}
		g.Front.recordDial(t, false)
		return nil, false, err
	}
	g.Front.recordDial(t, true)
	return g.trackConn(c), false, nil
}

// write writes a whole request to a connection. The body of a request with slowBody set is written in five pieces
// over the time Clients.SlowDuration.
func (g *generator) write(conn *clientConn, id string, c *Class, r *request, number int,
	clientTimeout time.Duration) error {
	method, path := "GET", "/"+c.Name+"/item"
	if c.Unsafe || c.Keyed {
		method, path = "POST", "/"+c.Name
	}
	b := make([]byte, 0, 256+r.Body)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		method, path, id,
		c.Name, clientTimeout.Milliseconds())
	if number > 0 && g.Clients.MarkRetries {
		b = append(b, "X-Second-Try: 1\r\n"...)
	}
	if c.Keyed {
		b = fmt.Appendf(b, "Idempotency-Key: %032x\r\n", r.number) // a client's retry sends the same key
	}
	if !c.Unsafe && !c.Keyed {
		b = append(b, "\r\n"...)
		_, err := conn.Write(b)
		return err
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", r.Body)
	headLen := len(b)
	for len(b) < headLen+r.Body {
		b = append(b, 'a'+byte(len(b)%26))
	}
	if !r.slowBody || r.Body < 2 {
		_, err := conn.Write(b)
		return err
	}
	const pieces = 5
	if _, err := conn.Write(b[:headLen]); err != nil {
		return err
	}
	body := b[headLen:]
	for i := range pieces {
		time.Sleep(g.Clients.SlowDuration / pieces)
		if _, err := conn.Write(body[len(body)*i/pieces : len(body)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}
