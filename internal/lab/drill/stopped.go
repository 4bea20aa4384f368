package drill

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/tomlfile"
)

// StoppedClientUnanswered is the rule that is violated if a client that stopped in the middle of a request got
// neither an error response nor a close within clientWaitLimit.
const StoppedClientUnanswered = "stopped client not heard"

// Limits of the rule. timingTolerance is added to clientWaitLimit, as to every time limit on sockets.
const (
	clientWaitLimit = 3 * time.Second
	timingTolerance = 50 * time.Millisecond
)

// maxPieces and maxPause limit the number of pieces in which a client sends its partial request, and the pause
// between two pieces.
const (
	maxPieces = 3
	maxPause  = 600 * time.Millisecond
)

// largeBody is a Content-Length in bytes, used by one in largeBodyOneIn of the stopped clients that send a body. The
// gateway streams a body of this length.
const (
	largeBody      = 200 << 10
	largeBodyOneIn = 4
)

// StoppedClients configures clients that stop sending in the middle of a request and wait for an error or a close.
type StoppedClients struct {
	Every experiment.Duration `toml:"every"` // interval between two clients; each connects to a random gateway
	// FloodShare is the share of these clients, from 0 to 1, that instead send line ends at full speed.
	FloodShare float64 `toml:"flood_share"`
}

func (s StoppedClients) check(in *tomlfile.File) {
	if s.Every.Duration < 0 || s.Every.Duration > 0 && s.Every.Duration < time.Millisecond {
		in.AddFault("stopped_clients.every", "must be 1ms or more, or 0s for none")
	}
	if s.FloodShare < 0 || s.FloodShare > 1 {
		in.AddFault("stopped_clients.flood_share", "must be 0 to 1")
	}
}

// stopClients starts stopped clients until the load ends, and waits for the last of them.
func (r *rig) stopClients(ctx context.Context, seed uint64) {
	every := r.file.StoppedClients.Every.Duration
	if every == 0 {
		return
	}
	random := rand.New(rand.NewPCG(seed, 0x570b))
	var all sync.WaitGroup
	for number := 0; r.now() < r.file.Length()-clientWaitLimit-maxPieces*maxPause; number++ {
		if !experiment.Sleep(ctx, every) {
			break
		}
		c := r.drawStopped(random, number)
		all.Go(func() { r.stopClient(c) })
	}
	all.Wait()
}

// stoppedClient describes one stopped client: its gateway, its request and where it stops sending.
type stoppedClient struct {
	id      string
	gateway int
	pieces  []string
	pause   time.Duration
	floods  bool // sends line ends at full speed instead
}

// drawStopped draws a client's gateway, its request and the point at which it stops sending.
func (r *rig) drawStopped(random *rand.Rand, number int) stoppedClient {
	c := stoppedClient{id: fmt.Sprintf("stopped-%d", number), gateway: random.IntN(len(r.names)),
		pause: time.Duration(random.Int64N(int64(maxPause)))}
	if share := r.file.StoppedClients.FloodShare; share > 0 && random.Float64() < share {
		c.floods = true
		return c
	}
	class := r.file.Classes[random.IntN(len(r.file.Classes))]
	method, body := "GET", 0
	if class.Unsafe || class.Keyed {
		method, body = "POST", 1+random.IntN(60<<10)
		if random.IntN(largeBodyOneIn) == 0 {
			body = largeBody
		}
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		method, class.Name, c.id, class.Name,
		class.Timeout.Milliseconds())
	if body > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	text += "\r\n" + strings.Repeat("x", body)
	text = text[:random.IntN(len(text))]
	pieces := 1 + random.IntN(maxPieces)
	for remaining := pieces; remaining > 0; remaining-- {
		size := len(text) / remaining
		c.pieces = append(c.pieces, text[:size])
		text = text[size:]
	}
	return c
}

// stopClient runs one client. It adds a finding if the client gets no answer and the rig's faults do not excuse
// that.
func (r *rig) stopClient(c stoppedClient) {
	if c.gotAnswer(r.run.ClientAddress(c.gateway)) {
		return
	}
	r.stoppedUnanswered(c.gateway, c.id, fmt.Sprintf("%d pieces, %v apart", len(c.pieces), c.pause))
}

// stoppedUnanswered adds a finding for a client that got neither an error nor a close within clientWaitLimit, unless the
// rig's faults excuse that. detail says what the client did.
func (r *rig) stoppedUnanswered(gateway int, id, detail string) {
	ended, began := r.now(), r.began()
	if r.Excuses(r.names[gateway], requestrecord.Attempt{ID: id, Sent: ended - clientWaitLimit - timingTolerance + began,
		Ended: ended + began}) {
		return
	}
	r.addFinding(requestrecord.Finding{Rule: StoppedClientUnanswered, ID: id, At: ended - clientWaitLimit,
		Detail: fmt.Sprintf("%s told it nothing for %v after its last byte (%s)", r.names[gateway], clientWaitLimit, detail)})
}

// gotAnswer sends the client's pieces to an address and reports whether the client got an error or a close in time
// after the last of them.
func (c stoppedClient) gotAnswer(addr string) bool {
	conn, err := net.DialTimeout("tcp4", addr, clientWaitLimit)
	if err != nil {
		return true // no process is listening
	}
	defer conn.Close()
	if c.floods {
		return answersFlood(conn)
	}
	for i, piece := range c.pieces {
		if i > 0 {
			time.Sleep(c.pause)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return true
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(clientWaitLimit + timingTolerance))
	return answered(conn)
}

// answered reports whether a byte or the end of the connection arrives before its deadline.
func answered(conn net.Conn) bool {
	var one [1]byte
	_, err := conn.Read(one[:])
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// answersFlood sends line ends at full speed and reports whether the client gets an error or a close in time after its
// connect.
func answersFlood(conn net.Conn) bool {
	_ = conn.SetDeadline(time.Now().Add(clientWaitLimit + timingTolerance))
	var sending sync.WaitGroup
	sending.Go(func() {
		block := bytes.Repeat([]byte("\r\n"), 32<<10)
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	})
	heard := answered(conn)
	conn.Close()
	sending.Wait()
	return heard
}

// addFinding records and reports a violation that is detected during the run.
func (r *rig) addFinding(f requestrecord.Finding) {
	r.mu.Lock()
	r.findings = append(r.findings, f)
	r.mu.Unlock()
	r.run.Mark("BROKEN %s: %s %s", f.Rule, f.ID, f.Detail)
	if r.onFinding != nil {
		r.onFinding(f)
	}
}
