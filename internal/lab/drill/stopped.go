package drill

import (
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

// NotHeard is broken where a client that stopped in the middle of a request got neither an error nor a
// close in time.
const NotHeard = "stopped client not heard"

// The rule in figures: 3 s, and 50 ms as for every time limit on sockets.
const (
	owedWithin = 3 * time.Second
	limitSlack = 50 * time.Millisecond
)

// mostPieces and mostPause bound how a client sends what it sends before it stops.
const (
	mostPieces = 3
	mostPause  = 600 * time.Millisecond
)

// largeBody is what one in largeOneIn stopped clients states as its body's length: it is streamed.
const (
	largeBody  = 200 << 10
	largeOneIn = 4
)

// StoppedClients stop somewhere in the middle of a request, and stay until they hear an error or a close.
type StoppedClients struct {
	Every experiment.Duration `toml:"every"` // one comes to some gateway
}

func (s StoppedClients) check(in *tomlfile.File) {
	if s.Every.Duration < 0 || s.Every.Duration > 0 && s.Every.Duration < time.Millisecond {
		in.AddFault("stopped_clients.every", "must be 1ms or more, or 0s for none")
	}
}

// stopClients has clients stop until the load is over, and waits for the last of them.
func (r *rig) stopClients(ctx context.Context, seed uint64) {
	every := r.file.Stopped.Every.Duration
	if every == 0 {
		return
	}
	draws := rand.New(rand.NewPCG(seed, 0x570b))
	var all sync.WaitGroup
	for number := 0; r.now() < r.file.Length()-owedWithin-mostPieces*mostPause; number++ {
		if !experiment.Sleep(ctx, every) {
			break
		}
		c := r.drawStopped(draws, number)
		all.Go(func() { r.stopClient(c) })
	}
	all.Wait()
}

// stoppedClient is one of them.
type stoppedClient struct {
	id      string
	gateway int
	pieces  []string
	pause   time.Duration
}

// drawStopped draws a client: where it goes, and where in its request it stops.
func (r *rig) drawStopped(draws *rand.Rand, number int) stoppedClient {
	c := stoppedClient{id: fmt.Sprintf("stopped-%d", number), gateway: draws.IntN(len(r.names)),
		pause: time.Duration(draws.Int64N(int64(mostPause)))}
	class := r.file.Classes[draws.IntN(len(r.file.Classes))]
	method, body := "GET", 0
	if class.Unsafe || class.Keyed {
		method, body = "POST", 1+draws.IntN(60<<10)
		if draws.IntN(largeOneIn) == 0 {
			body = largeBody
		}
	}
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		method, class.Name, c.id, class.Name,
		class.Patience.Milliseconds())
	if body > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	text += "\r\n" + strings.Repeat("x", body)
	text = text[:draws.IntN(len(text))]
	pieces := 1 + draws.IntN(mostPieces)
	for left := pieces; left > 0; left-- {
		size := len(text) / left
		c.pieces = append(c.pieces, text[:size])
		text = text[size:]
	}
	return c
}

// stopClient plays one, and finds fault if it hears nothing that is not excused by what the rig did.
func (r *rig) stopClient(c stoppedClient) {
	if c.heard(r.run.Front(c.gateway)) {
		return
	}
	ended := r.now()
	began := r.began()
	if r.Excuses(r.names[c.gateway], requestrecord.Attempt{ID: c.id, Sent: ended - owedWithin - limitSlack +
		began, Ended: ended + began}) {
		return
	}
	r.find(requestrecord.Finding{Rule: NotHeard, ID: c.id, At: ended - owedWithin,
		Detail: fmt.Sprintf("%s told it nothing for %v after its last byte (%d pieces, %v apart)",
			r.names[c.gateway], owedWithin, len(c.pieces), c.pause)})
}

// heard has the client send its pieces to an address, and reports whether it heard an error or a close
// in time after the last of them.
func (c stoppedClient) heard(addr string) bool {
	conn, err := net.DialTimeout("tcp4", addr, owedWithin)
	if err != nil {
		return true // nobody is there
	}
	defer conn.Close()
	for i, piece := range c.pieces {
		if i > 0 {
			time.Sleep(c.pause)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return true
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(owedWithin + limitSlack))
	var one [1]byte
	_, err = conn.Read(one[:])
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// find notes a broken rule that is seen on the way.
func (r *rig) find(f requestrecord.Finding) {
	r.mu.Lock()
	r.findings = append(r.findings, f)
	r.mu.Unlock()
	r.run.Mark("BROKEN %s: %s %s", f.Rule, f.ID, f.Detail)
	if r.found != nil {
		r.found(f)
	}
}
