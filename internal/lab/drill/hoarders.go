package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/tomlfile"
)

// maxHoarders limits the clients of Hoarders: each holds a descriptor of the rig.
const maxHoarders = 1000

// Sizes of what a hoarder sends, in bytes, and its pace.
const (
	hoarderBufferedBody = 60 << 10 // the largest body that a gateway buffers, nearly
	hoarderLargeBody    = 1 << 20
	hoarderHead         = 15 << 10 // part of a head of short fields
	hoarderPiece        = 3200     // in each hoarderInterval: 64 kB a second
	hoarderInterval     = 50 * time.Millisecond
	hoarderConnectGap   = 2 * time.Millisecond
)

// Hoarders configures clients for which one gateway must keep much: each sends most of a request and stays, over and over.
type Hoarders struct {
	Count   int `toml:"count"`
	Gateway int `toml:"gateway"`
}

func (h Hoarders) check(in *tomlfile.File, gateways int) {
	if h.Count < 0 || h.Count > maxHoarders {
		in.AddFault("hoarders.count", "must be 0 to %d", maxHoarders)
	}
	if h.Gateway < 0 || h.Gateway >= gateways {
		in.AddFault("hoarders.gateway", "gateway %d does not exist, the gateways are 0 to %d", h.Gateway, gateways-1)
	}
}

// runHoarders runs the hoarders until shortly before the load ends, and waits for the last of them.
func (r *rig) runHoarders(ctx context.Context) {
	h := r.file.Hoarders
	end := r.file.Length() - clientWaitLimit - time.Second
	var all sync.WaitGroup
	for number := range h.Count {
		all.Go(func() {
			for try := 0; ctx.Err() == nil && r.now() < end; try++ {
				r.hoard(h.Gateway, number, fmt.Sprintf("hoarder-%d-%d", number, try))
				if !experiment.Sleep(ctx, hoarderInterval) {
					return
				}
			}
		})
		if !experiment.Sleep(ctx, hoarderConnectGap) {
			break
		}
	}
	all.Wait()
}

// hoard plays one connection of a hoarder. It adds a finding if the client gets neither an error nor a close in time after
// its last byte and the rig's faults do not excuse that.
func (r *rig) hoard(gateway, number int, id string) {
	conn, err := net.DialTimeout("tcp4", r.run.ClientAddress(gateway), clientWaitLimit)
	if err != nil {
		return // no process is listening, or its clients wait
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * clientWaitLimit))
	if err := sendHoard(conn, r.hoardText(number, id), number); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientWaitLimit + timingTolerance))
	if !answered(conn) {
		r.stoppedUnanswered(gateway, id, "hoarder")
	}
}

// The kinds of hoarders, by number.
const (
	hoardBuffered  = iota // all but the last byte of a request that is buffered
	hoardLarge            // the first part of a large request
	hoardFields           // a head of very many short fields, without its end
	hoardSlowly           // a large request, written slowly and not to its end
	hoarderKinds          // the number of kinds
	slowPieceCount = 40   // pieces that hoardSlowly sends
)

// hoardText returns what a hoarder sends. It never is a whole request.
func (r *rig) hoardText(number int, id string) string {
	class := r.file.Classes[number%len(r.file.Classes)]
	for _, c := range r.file.Classes {
		if c.Unsafe || c.Keyed {
			class = c
		}
	}
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		class.Name, id, class.Name, class.Timeout.Milliseconds())
	body := func(length, part int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("x", part))
	}
	switch number % hoarderKinds {
	case hoardBuffered:
		return body(hoarderBufferedBody, hoarderBufferedBody-1)
	case hoardLarge:
		return body(hoarderLargeBody, 64<<10-1)
	case hoardFields:
		return "GET /x HTTP/1.1\r\n" + strings.Repeat("a:\r\n", hoarderHead/4)
	}
	return body(hoarderLargeBody, slowPieceCount*hoarderPiece)
}

// sendHoard sends what a hoarder sends, at its pace.
func sendHoard(conn net.Conn, text string, number int) error {
	if number%hoarderKinds != hoardSlowly {
		_, err := io.WriteString(conn, text)
		return err
	}
	for len(text) > 0 {
		n := min(len(text), hoarderPiece)
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
		_ = conn.SetReadDeadline(time.Now().Add(hoarderInterval)) // the pause, which an answer ends
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			return io.EOF
		}
	}
	return nil
}
