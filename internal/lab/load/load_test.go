package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/hostmodel"
	"thymebend/internal/lab/requestrecord"
)

func classes() []Class {
	return []Class{{Name: "view", Share: 0.6, Worth: 1, Aim: 800 * time.Millisecond, Patience: 5 * time.Second},
		{Name: "lodge", Share: 0.4, Unsafe: true, Worth: 8, Aim: 800 * time.Millisecond,
			Patience: 5 * time.Second, Body: 300}}
}

// quickHost answers at once, a thousand at a time.
func quickHost(t *testing.T, clock emulation.Clock) (*emulation.Host, string) {
	t.Helper()
	work := hostmodel.Work{Dist: "fixed", Mean: 200 * time.Microsecond}
	h, err := emulation.NewHost(hostmodel.Spec{Name: "h", Cores: 64, Speed: 1, Slots: 64, Queue: 100000, Body: 100,
		Work: map[string]hostmodel.Work{"view": work, "lodge": work}}, clock, emulation.Options{})
	if err != nil {
		t.Fatal(err)
	}
	addr, err := h.Open("test", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	return h, addr
}

func phasesOf(t *testing.T, list ...Phase) Schedule {
	t.Helper()
	s, err := Phases(classes(), list, 5)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func run(t *testing.T, o Options) Result {
	t.Helper()
	if o.Classes == nil {
		o.Classes = classes()
	}
	r, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if sum := r.OK + r.Refused + r.Failed + r.Unanswered + r.Unsent; sum != r.Scheduled {
		t.Errorf("%d requests have an end, %d were scheduled: %+v", sum, r.Scheduled, r.Counts)
	}
	return r
}

func all(s Schedule) (out []Arrival) {
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		out = append(out, a)
	}
	return out
}

func between(list []Arrival, from, to time.Duration) (n int) {
	for _, a := range list {
		if a.At >= from && a.At < to {
			n++
		}
	}
	return n
}

func TestScheduleFollowsItsPhases(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		phase    Phase
		from, to time.Duration
		want     int
	}{
		{"even", Phase{For: 4 * s, Rate: 250}, 0, 4 * s, 1000},
		{"ramp's first half", Phase{For: 10 * s, Rate: 100, To: 300}, 0, 5 * s, 750},
		{"ramp's second half", Phase{For: 10 * s, Rate: 100, To: 300}, 5 * s, 10 * s, 1250},
		{"second of three steps", Phase{For: 3 * s, Rate: 100, To: 300, Steps: 3}, s, 2 * s, 200},
		{"last of three steps", Phase{For: 3 * s, Rate: 100, To: 300, Steps: 3}, 2 * s, 3 * s, 300},
		{"within a jump", Phase{For: 6 * s, Rate: 200, Jump: 2.5, JumpAt: 2 * s, JumpFor: 2 * s}, 2 * s, 4 * s, 1000},
		{"after a jump", Phase{For: 6 * s, Rate: 200, Jump: 2.5, JumpAt: 2 * s, JumpFor: 2 * s}, 4 * s, 6 * s, 400},
		{"random", Phase{For: 40 * s, Rate: 250, Poisson: true}, 0, 40 * s, 10000},
	} {
		got := between(all(phasesOf(t, c.phase)), c.from, c.to)
		slack := 2.0
		if c.phase.Poisson {
			slack = 4 * math.Sqrt(float64(c.want))
		}
		if math.Abs(float64(got-c.want)) > slack {
			t.Errorf("%s: %d due, want %d", c.name, got, c.want)
		}
	}
	// A rush raises one class only, and ends at the wall.
	list := all(phasesOf(t, Phase{For: 10 * s, Rate: 300, Rush: "lodge", RushTo: 8}, Phase{For: 5 * s, Rate: 300}))
	count := func(class int, from, to time.Duration) (n int) {
		for _, a := range list {
			if a.Class == class && a.At >= from && a.At < to {
				n++
			}
		}
		return n
	}
	if first, last, after := count(1, 0, s), count(1, 9*s, 10*s), count(1, 10*s, 11*s); last < 6*first ||
		after > first+30 {
		t.Errorf("bids in the first, the last and the next second: %d, %d, %d", first, last, after)
	}
	if first, last := count(0, 0, 2*s), count(0, 8*s, 10*s); last > first*5/4 {
		t.Errorf("views rose with the rush: %d, %d", first, last)
	}
}

func TestTraceComesBackAsItWas(t *testing.T) {
	want := all(phasesOf(t, Phase{For: 2 * time.Second, Rate: 100, Poisson: true}))
	var text bytes.Buffer
	if err := WriteTrace(&text, classes(), Record(want)); err != nil {
		t.Fatal(err)
	}
	s, err := ReadTrace("t", bytes.NewReader(text.Bytes()), classes())
	if err != nil {
		t.Fatal(err)
	}
	got := all(s)
	if len(got) != len(want) {
		t.Fatalf("%d of %d came back", len(got), len(want))
	}
	for i := range got {
		if want[i].At = want[i].At.Truncate(time.Microsecond); got[i] != want[i] {
			t.Fatalf("%d: %+v, was %+v", i, got[i], want[i])
		}
	}
	for bad, want := range map[string]string{"# head\n5 view 100\n": "t:2: 3 words",
		"5 vew 100 0\n":                "t:1: class \"vew\"",
		"9 view 100 0\n8 view 100 0\n": "t:2: due_us", "1 view 0 0\n": "t:1: patience_ms",
		"1 lodge 9 99999\n": "t:1: body_bytes"} {
		if _, err := ReadTrace("t", strings.NewReader(bad), classes()); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// A target that stands still for two seconds must not be sent less, and the whole pause must show in the
// latencies: not one late request for each connection.
func TestPauseShowsAsLateRequestsNotAsFewer(t *testing.T) {
	const length, pause = 4 * time.Second, 2 * time.Second
	measure := func(stop bool) Result {
		clock := emulation.NewClock()
		h, addr := quickHost(t, clock)
		if stop {
			timer := time.AfterFunc(time.Second, func() {
				h.Do(func(now time.Duration, m *hostmodel.Host) { m.PauseFor(now, pause) })
			})
			defer timer.Stop()
		}
		return run(t, Options{Targets: []string{addr}, Schedule: phasesOf(t, Phase{For: length, Rate: 150})})
	}
	calm, stalled := measure(false), measure(true)
	if calm.Sent != 600 || stalled.Sent != calm.Sent || stalled.OK != 600 {
		t.Errorf("sent %d without the pause and %d with it, %d served", calm.Sent, stalled.Sent, stalled.OK)
	}
	// Half of the requests fell due during the pause, evenly: the k-th percentile of all lies at 2 s times
	// (k - 50)/50.
	l := stalled.Latency
	if l.Max < 1900 || l.P99 < 1850 || l.P90 < 1500 || l.P90 > 1900 || l.P50 > 400 {
		t.Errorf("latencies do not show the pause: %+v", l)
	}
	if calm.Latency.P50 > 200 {
		t.Errorf("without a pause: %+v", calm.Latency)
	}
}

// stuck is a schedule that holds the generator itself up, as a starved machine would.
type stuck struct {
	Schedule
	n int
}

func (s *stuck) Next() (Arrival, bool) {
	if s.n++; s.n == 50 {
		time.Sleep(700 * time.Millisecond)
	}
	return s.Schedule.Next()
}

func TestGeneratorOwnsUpToItsOwnLateness(t *testing.T) {
	_, addr := quickHost(t, emulation.NewClock())
	r := run(t, Options{Targets: []string{addr},
		Schedule: &stuck{Schedule: phasesOf(t, Phase{For: time.Second, Rate: 200})}})
	if !r.FellBehind || r.Behind == "" || r.SelfLate.Max < 600 || r.Latency.Max < 600 {
		t.Errorf("behind %v (%s), own lateness %+v, latencies %+v", r.FellBehind, r.Behind, r.SelfLate, r.Latency)
	}
	r = run(t, Options{Targets: []string{addr}, MostOpen: 1, Clients: Clients{Silent: 1},
		Schedule: phasesOf(t, Phase{For: 100 * time.Millisecond, Rate: 50})})
	if !r.FellBehind || r.Unsent != r.Scheduled {
		t.Errorf("out of descriptors: %+v", r.Counts)
	}
}

func TestTargetThatIsDownIsData(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r := run(t, Options{Targets: []string{addr}, Schedule: phasesOf(t, Phase{For: 300 * time.Millisecond, Rate: 100})})
	if r.Failed != 30 || r.Sent != 0 || r.FellBehind {
		t.Errorf("%+v", r.Counts)
	}
}

// The front leaves a dead target out after its notice time, and takes it in again.
func TestFrontLeavesOutTheDead(t *testing.T) {
	clock := emulation.NewClock()
	_, addr := quickHost(t, clock)
	dead, dying := quickHost(t, clock)
	if err := dead.SetMode(emulation.Refuse); err != nil {
		t.Fatal(err)
	}
	back := time.AfterFunc(700*time.Millisecond, func() { _ = dead.SetMode(emulation.Up) })
	defer back.Stop()
	r := run(t, Options{Targets: []string{addr, dying}, Notice: 200 * time.Millisecond,
		Schedule: phasesOf(t, Phase{For: 1500 * time.Millisecond, Rate: 100})})
	if r.Failed < 8 || r.Failed > 40 {
		t.Errorf("%d failed, about a tenth of a second's worth were to", r.Failed)
	}
	if l := dead.Close(); l.Len() < 10 {
		t.Errorf("the target that came back got %d requests", l.Len())
	}
}

// proxy is a gateway in miniature with a planted defect.
func proxy(t *testing.T, backend string, defect func(id string, forward func(times int) string, c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					forward := func(times int) (answer string) {
						for range times {
							out, _ := http.NewRequest(r.Method, "http://"+backend+r.URL.String(), bytes.NewReader(body))
							out.Header = r.Header
							resp, err := client.Do(out)
							if err != nil {
								return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
							}
							text, _ := io.ReadAll(resp.Body)
							resp.Body.Close()
							answer = fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s",
								resp.StatusCode, len(text), text)
						}
						return answer
					}
					defect(r.Header.Get("X-Trace-Id"), forward, c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// The records name the very ids on which a gateway went wrong, and no others.
func TestLedgersCatchPlantedDefects(t *testing.T) {
	for _, c := range []struct {
		rule   string
		defect func(forward func(int) string, c net.Conn)
	}{
		{requestrecord.RanTwice, func(f func(int) string, c net.Conn) { _, _ = io.WriteString(c, f(2)) }},
		{requestrecord.AnsweredTwice, func(f func(int) string, c net.Conn) {
			a := f(1)
			_,
				_ = io.WriteString(c, a+a)
		}},
		{requestrecord.Unanswered, func(f func(int) string, c net.Conn) { f(1) }},
		{requestrecord.ForeignBody, func(f func(int) string, c net.Conn) {
			_, _ = io.WriteString(c, strings.Replace(f(1), "execution=", "execution:", 1))
		}},
		{requestrecord.RefusedRan, func(f func(int) string, c net.Conn) {
			f(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			h, backend := quickHost(t, emulation.NewClock())
			var mu sync.Mutex
			planted, n := make(map[string]bool), 0
			target := proxy(t, backend, func(id string, forward func(int) string, conn net.Conn) {
				mu.Lock()
				n++
				bad := n%1000 == 500
				if bad {
					planted[id] = true
				}
				mu.Unlock()
				if bad {
					c.defect(forward, conn)
					return
				}
				_, _ = io.WriteString(conn, forward(1))
			})
			bids := classes()[1:]
			bids[0].Patience = time.Second
			s, err := Phases(bids, []Phase{{For: 2 * time.Second, Rate: 1000}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			tries := requestrecord.NewClients()
			run(t, Options{Targets: []string{target}, Classes: bids, Schedule: s, Ledger: tries})
			found, _ := requestrecord.Compare(tries.Tries(), []*requestrecord.EndpointRecord{h.Close()}, nil)
			if len(planted) < 2 {
				t.Fatalf("%d defects planted", len(planted))
			}
			for _, f := range found {
				if f.Rule != c.rule || !planted[f.ID] {
					t.Errorf("found %s: %s (%s)", f.ID, f.Rule, f.Detail)
				}
				delete(planted, f.ID)
			}
			if len(planted) > 0 {
				t.Errorf("not found: %v", planted)
			}
		})
	}
}

// A close that crosses a request is told from the death of a process that had read it.
func TestOnlyUnreadRequestsAreSentAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		read bool
		want Fate
	}{{"closed unread", false, OK}, {"read, then closed", true, Failed}} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			var mu sync.Mutex
			conns := 0
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					mu.Lock()
					conns++
					first := conns == 1
					mu.Unlock()
					go func() {
						in := bufio.NewReader(conn)
						for n := 0; ; n++ {
							if first && n == 1 && !c.read {
								// The second request lies unread when the connection closes.
								raw, _ := conn.(*net.TCPConn).SyscallConn()
								_ = raw.Read(func(fd uintptr) bool {
									got, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
									return got > 0
								})
								conn.Close()
								return
							}
							r, err := http.ReadRequest(in)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, r.Body)
							if first && n == 1 {
								conn.Close()
								return
							}
							_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
						}
					}()
				}
			}()
			bids := classes()[1:]
			two := Record([]Arrival{{At: 0, Patience: 2 * time.Second, Body: 10},
				{At: 100 * time.Millisecond, Patience: 2 * time.Second, Body: 10}})
			r := run(t, Options{Targets: []string{ln.Addr().String()}, Classes: bids, Schedule: two})
			if got := map[bool]Fate{true: OK, false: Failed}[r.OK == 2]; got != c.want {
				t.Errorf("%+v %v", r.Counts, r.Causes)
			}
		})
	}
}

// Retries wait as their clients do: backed off, or as long as Retry-After tells those that heed it.
func TestClientsRetryAndHeedRetryAfter(t *testing.T) {
	target := proxy(t, "", func(id string, _ func(int) string, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n")
	})
	views := classes()[:1]
	for _, c := range []struct {
		clients Clients
		least   float64
		most    float64
	}{
		{Clients{Retries: 2, Wait: 50 * time.Millisecond, Backoff: "exp"}, 0.14, 0.6},
		{Clients{Retries: 2, Wait: 50 * time.Millisecond, Honour: 1}, 0.79, 1.6},
		{Clients{Retries: 2, Wait: 50 * time.Millisecond, Honour: 1, MostAfter: 300 * time.Millisecond}, 0, 0.3},
	} {
		tries := requestrecord.NewClients()
		r := run(t, Options{Targets: []string{target}, Classes: views, Clients: c.clients, Ledger: tries,
			Schedule: Record([]Arrival{{Patience: time.Second}})})
		if r.Refused != 1 || r.Lasted < c.least || r.Lasted > c.most {
			t.Errorf("%+v: %+v, lasted %.3f s", c.clients, r.Counts, r.Lasted)
		}
		if all := tries.Tries(); len(all) == 3 && (all[1].ID == all[0].ID || all[2].Number != 2) {
			t.Errorf("retries: %+v", all)
		}
	}
}
