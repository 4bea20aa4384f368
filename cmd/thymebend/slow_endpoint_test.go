package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Figures of the tests of endpoints that read or write slowly.
const (
	slowAnswerSize     = 120 << 10
	slowAnswerPiece    = 2 << 10 // bytes in each slowAnswerInterval: 20 KiB a second
	slowAnswerInterval = 100 * time.Millisecond
	slowUploadPiece    = 4 << 10 // bytes in each slowAnswerInterval: 40 KiB a second
	answerSlack        = 500 * time.Millisecond
)

// slowWriter starts an endpoint that writes long answers slowly, in the framing that the query parameter how requests.
func slowWriter(t *testing.T) *fakeEndpoint {
	return newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, _ string) {
		how := r.URL.Query().Get("how")
		switch how {
		case "length":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", slowAnswerSize)
		case "chunks":
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		default:
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n")
		}
		piece := strings.Repeat("y", slowAnswerPiece)
		for range slowAnswerSize / slowAnswerPiece {
			time.Sleep(slowAnswerInterval)
			if how == "chunks" {
				fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece)
				continue
			}
			fmt.Fprint(c, piece)
		}
		if how == "chunks" {
			fmt.Fprint(c, "0\r\n\r\n")
		}
		if how == "close" {
			c.Close()
		}
	})
}

// Guards against cutting off a long answer, or holding it back, while its endpoint still writes it.
func TestLongAnswersThatEndpointsWriteSlowlyComeWhole(t *testing.T) {
	g := start(t, nil, slowWriter(t))
	var clients sync.WaitGroup
	for _, how := range []string{"length", "chunks", "close"} {
		c := g.dial()
		clients.Go(func() {
			began := time.Now()
			_ = c.SetDeadline(began.Add(2 * testTimeout))
			fmt.Fprint(c, strings.Replace(viewRequest(how, 2000), "q=1", "how="+how, 1))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil || resp.StatusCode != 200 {
				t.Errorf("%s: response %v, error %v", how, resp, err)
				return
			}
			if took := time.Since(began); took > 2*time.Second {
				t.Errorf("%s: the answer began after %v, want 2 s at most", how, took)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if n != slowAnswerSize || err != nil {
				t.Errorf("%s: %d of %d bytes came in %v, error %v", how, n, slowAnswerSize, time.Since(began), err)
			}
		})
	}
	clients.Wait()
}

// slowReader starts an endpoint that reads slowly and never responds.
func slowReader(t *testing.T) *fakeEndpoint {
	endpoint := &fakeEndpoint{name: "s-1", ln: listen(t)}
	go serveEach(endpoint.ln, func(c net.Conn) {
		for buf := make([]byte, slowUploadPiece); ; time.Sleep(slowAnswerInterval) {
			if _, err := c.Read(buf); err != nil {
				return
			}
		}
	})
	return endpoint
}

// Guards against an answer that comes long after the request's time because the endpoint reads the request slowly.
func TestRequestsThatEndpointsReadSlowlyAreAnsweredInTime(t *testing.T) {
	for _, size := range []int{100 << 10, 300 << 10, 1 << 20, 3 << 20, 6 << 20} {
		t.Run(fmt.Sprintf("%d KiB", size>>10), func(t *testing.T) {
			t.Parallel()
			g := start(t, nil, slowReader(t))
			c := g.dial()
			written := make(chan time.Time, 1)
			go func() {
				fmt.Fprint(c, largeLodgeRequest("slow", "size=2", size))
				_, _ = io.Copy(c, patternReader(size))
				written <- time.Now()
			}()
			status, _, _ := readResponse(c)
			answered := time.Now()
			last := answered // an answer before the last byte is in time
			select {
			case last = <-written:
			default:
			}
			late := answered.Sub(last) - 2500*time.Millisecond
			t.Logf("status %d, %v after the request's time", status, late)
			if status == 0 || late > answerSlack {
				t.Errorf("status %d, %v after the request's time", status, late)
			}
		})
	}
}
