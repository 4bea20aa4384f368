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
	return []Class{{Name: "view", Share: 0.6, Weight: 1, LatencyObjective: 800 * time.Millisecond, ClientTimeout: 5 * time.Second},
		{Name: "lodge", Share: 0.4, Unsafe: true, Weight: 8, LatencyObjective: 800 * time.Millisecond,
			ClientTimeout: 5 * time.Second, Body: 300}}
}

// startFastHost starts a host that serves each request in 200 µs, 64 at a time, and returns it with its address.
func startFastHost(t *testing.T, clock emulation.Clock) (*emulation.Host, string) {
	t.Helper()
	work := hostmodel.Work{Distribution: "fixed", Mean: 200 * time.Microsecond}
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

func scheduleOf(t *testing.T, list ...Phase) Schedule {
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
		t.Errorf("%d requests have an outcome, want the %d scheduled: %+v", sum, r.Scheduled, r.Counts)
	}
	return r
}

func collect(s Schedule) (out []Arrival) {
	for a, ok := s.Next(); ok; a, ok = s.Next() {
		out = append(out, a)
	}
	return out
}

func countDue(list []Arrival, from, to time.Duration) (n int) {
	for _, a := range list {
		if a.At >= from && a.At < to {
			n++
		}
	}
	return n
}

func TestScheduleMatchesRatesOfPhases(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name     string
		phase    Phase
		from, to time.Duration
		want     int
	}{
		{"constant rate", Phase{Duration: 4 * s, Rate: 250}, 0, 4 * s, 1000},
		{"first half of a ramp", Phase{Duration: 10 * s, Rate: 100, EndRate: 300}, 0, 5 * s, 750},
		{"second half of a ramp", Phase{Duration: 10 * s, Rate: 100, EndRate: 300}, 5 * s, 10 * s, 1250},
		{"second of three steps", Phase{Duration: 3 * s, Rate: 100, EndRate: 300, Steps: 3}, s, 2 * s, 200},
		{"last of three steps", Phase{Duration: 3 * s, Rate: 100, EndRate: 300, Steps: 3}, 2 * s, 3 * s, 300},
		{"within a jump", Phase{Duration: 6 * s, Rate: 200, JumpFactor: 2.5, JumpAt: 2 * s, JumpFor: 2 * s}, 2 * s, 4 * s, 1000},
		{"after a jump", Phase{Duration: 6 * s, Rate: 200, JumpFactor: 2.5, JumpAt: 2 * s, JumpFor: 2 * s}, 4 * s, 6 * s, 400},
		{"random intervals", Phase{Duration: 40 * s, Rate: 250, Poisson: true}, 0, 40 * s, 10000},
	} {
		got := countDue(collect(scheduleOf(t, c.phase)), c.from, c.to)
		slack := 2.0
		if c.phase.Poisson {
			slack = 4 * math.Sqrt(float64(c.want))
		}
		if math.Abs(float64(got-c.want)) > slack {
			t.Errorf("%s: %d arrivals due, want %d", c.name, got, c.want)
		}
	}
	// RushClass raises the rate of one class only, until the end of the phase.
	arrivals := collect(scheduleOf(t, Phase{Duration: 10 * s, Rate: 300, RushClass: "lodge", RushFactor: 8},
		Phase{Duration: 5 * s, Rate: 300}))
	count := func(class int, from, to time.Duration) (n int) {
		for _, a := range arrivals {
			if a.Class == class && a.At >= from && a.At < to {
				n++
			}
		}
		return n
	}
	if first, last, after := count(1, 0, s), count(1, 9*s, 10*s), count(1, 10*s, 11*s); last < 6*first ||
		after > first+30 {
		t.Errorf("arrivals of the rush class in the first and last second of its phase and in the next: %d, %d, %d",
			first, last, after)
	}
	if first, last := count(0, 0, 2*s), count(0, 8*s, 10*s); last > first*5/4 {
		t.Errorf("arrivals of the other class rose during the rush, from %d to %d in 2 s", first, last)
	}
}

func TestTraceRoundTrip(t *testing.T) {
	want := collect(scheduleOf(t, Phase{Duration: 2 * time.Second, Rate: 100, Poisson: true}))
	var text bytes.Buffer
	if err := WriteTrace(&text, classes(), FromArrivals(want)); err != nil {
		t.Fatal(err)
	}
	s, err := ReadTrace("t", bytes.NewReader(text.Bytes()), classes())
	if err != nil {
		t.Fatal(err)
	}
	got := collect(s)
	if len(got) != len(want) {
		t.Fatalf("read %d arrivals, wrote %d", len(got), len(want))
	}
	for i := range got {
		if want[i].At = want[i].At.Truncate(time.Microsecond); got[i] != want[i] {
			t.Fatalf("arrival %d: read %+v, wrote %+v", i, got[i], want[i])
		}
	}
	for bad, want := range map[string]string{"# head\n5 view 100\n": "t:2: 3 words",
		"5 vew 100 0\n":                "t:1: class \"vew\"",
		"9 view 100 0\n8 view 100 0\n": "t:2: due_us", "1 view 0 0\n": "t:1: patience_ms",
		"1 lodge 9 99999\n": "t:1: body_bytes"} {
		if _, err := ReadTrace("t", strings.NewReader(bad), classes()); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("trace %q: error %v, want one with %q", bad, err, want)
		}
	}
}

// A target that stalls for two seconds must receive as many requests as without the stall, and the latencies must
// show the whole stall. A closed-loop generator would record only one late request per connection.
func TestStalledTargetGetsLateRequestsNotFewer(t *testing.T) {
	const length, pause = 4 * time.Second, 2 * time.Second
	measure := func(stop bool) Result {
		clock := emulation.NewClock()
		h, addr := startFastHost(t, clock)
		if stop {
			timer := time.AfterFunc(time.Second, func() {
				h.Do(func(now time.Duration, m *hostmodel.Host) { m.PauseFor(now, pause) })
			})
			defer timer.Stop()
		}
		return run(t, Options{Targets: []string{addr}, Schedule: scheduleOf(t, Phase{Duration: length, Rate: 150})})
	}
	baseline, stalled := measure(false), measure(true)
	if baseline.Sent != 600 || stalled.Sent != baseline.Sent || stalled.OK != 600 {
		t.Errorf("sent %d without the pause and %d with it, %d of these served; want 600 each", baseline.Sent,
			stalled.Sent, stalled.OK)
	}
	// Half of the requests were due during the pause, at equal intervals: the k-th percentile of all latencies is
	// at 2 s times (k - 50)/50.
	l := stalled.Latency
	if l.Max < 1900 || l.P99 < 1850 || l.P90 < 1500 || l.P90 > 1900 || l.P50 > 400 {
		t.Errorf("latencies do not show the pause of 2 s: %+v", l)
	}
	if baseline.Latency.P50 > 200 {
		t.Errorf("latencies without a pause %+v, want p50 of 200 ms at most", baseline.Latency)
	}
}

// stallingSchedule is a schedule that blocks the generator for 700 ms at its 50th arrival, as a machine without
// free processor time would.
type stallingSchedule struct {
	Schedule
	n int
}

func (s *stallingSchedule) Next() (Arrival, bool) {
	if s.n++; s.n == 50 {
		time.Sleep(700 * time.Millisecond)
	}
	return s.Schedule.Next()
}

func TestGeneratorReportsThatItFellBehind(t *testing.T) {
	_, addr := startFastHost(t, emulation.NewClock())
	r := run(t, Options{Targets: []string{addr},
		Schedule: &stallingSchedule{Schedule: scheduleOf(t, Phase{Duration: time.Second, Rate: 200})}})
	if !r.FellBehind || r.BehindReason == "" || r.GeneratorLateness.Max < 600 || r.Latency.Max < 600 {
		t.Errorf("fell behind %v (%s), lateness %+v, latencies %+v", r.FellBehind, r.BehindReason, r.GeneratorLateness, r.Latency)
	}
	r = run(t, Options{Targets: []string{addr}, MaxOpenConns: 1, Clients: Clients{SilentConns: 1},
		Schedule: scheduleOf(t, Phase{Duration: 100 * time.Millisecond, Rate: 50})})
	if !r.FellBehind || r.Unsent != r.Scheduled {
		t.Errorf("without descriptors: %+v, want all unsent", r.Counts)
	}
}

func TestRequestsToDownTargetFail(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	r := run(t, Options{Targets: []string{addr},
		Schedule: scheduleOf(t, Phase{Duration: 300 * time.Millisecond, Rate: 100})})
	if r.Failed != 30 || r.Sent != 0 || r.FellBehind {
		t.Errorf("%+v, fell behind %v; want 30 failed, none sent", r.Counts, r.FellBehind)
	}
}

// The Front removes a dead target after the detection delay, and adds it again when it is healthy.
func TestFrontRemovesDeadTarget(t *testing.T) {
	clock := emulation.NewClock()
	_, addr := startFastHost(t, clock)
	recovering, recoveringAddr := startFastHost(t, clock)
	if err := recovering.SetMode(emulation.Refuse); err != nil {
		t.Fatal(err)
	}
	restart := time.AfterFunc(700*time.Millisecond, func() { _ = recovering.SetMode(emulation.Up) })
	defer restart.Stop()
	r := run(t, Options{Targets: []string{addr, recoveringAddr}, DetectionDelay: 200 * time.Millisecond,
		Schedule: scheduleOf(t, Phase{Duration: 1500 * time.Millisecond, Rate: 100})})
	if r.Failed < 8 || r.Failed > 40 {
		t.Errorf("%d requests failed, want 8 to 40: half of those due within the detection delay of 0.2 s", r.Failed)
	}
	if l := recovering.Close(); l.Len() < 10 {
		t.Errorf("the target that recovered got %d requests, want at least 10", l.Len())
	}
}

// proxy starts a minimal gateway to backend and returns its address. defect is called for each request with its id, a
// function that forwards the request a number of times and returns the last response, and the client's connection.
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

// The comparison of the clients' records with the hosts' records must find exactly the ids of the requests that a
// gateway handled wrongly, and no others.
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
		{requestrecord.RefusedAfterRun, func(f func(int) string, c net.Conn) {
			f(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			h, backend := startFastHost(t, emulation.NewClock())
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
			unsafe := classes()[1:]
			unsafe[0].ClientTimeout = time.Second
			s, err := Phases(unsafe, []Phase{{Duration: 2 * time.Second, Rate: 1000}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			attempts := requestrecord.NewClientRecord()
			run(t, Options{Targets: []string{target}, Classes: unsafe, Schedule: s, Record: attempts})
			found, _ := requestrecord.Compare(attempts.Attempts(), []*requestrecord.EndpointRecord{h.Close()}, nil)
			if len(planted) < 2 {
				t.Fatalf("%d defects planted, want at least 2", len(planted))
			}
			for _, f := range found {
				if f.Rule != c.rule || !planted[f.ID] {
					t.Errorf("finding without a planted defect of its rule, id %s: %s (%s)", f.ID, f.Rule, f.Detail)
				}
				delete(planted, f.ID)
			}
			if len(planted) > 0 {
				t.Errorf("planted defects not found: %v", planted)
			}
		})
	}
}

// A request is sent again if its connection was closed before the peer read the request, and not if the peer read the
// request and then closed.
func TestOnlyUnreadRequestsAreSentAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		read bool
		want Outcome
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
								// Close the connection while the second request is in its receive buffer, unread.
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
			unsafe := classes()[1:]
			schedule := FromArrivals([]Arrival{{At: 0, ClientTimeout: 2 * time.Second, Body: 10},
				{At: 100 * time.Millisecond, ClientTimeout: 2 * time.Second, Body: 10}})
			r := run(t, Options{Targets: []string{ln.Addr().String()}, Classes: unsafe, Schedule: schedule})
			if got := map[bool]Outcome{true: OK, false: Failed}[r.OK == 2]; got != c.want {
				t.Errorf("got outcome %v, want %v: %+v, causes %v", got, c.want, r.Counts, r.Causes)
			}
		})
	}
}

// Clients wait between attempts for their backoff delay, or for Retry-After if they honour it, and make no retry
// if Retry-After is over their limit.
func TestRetriesWaitForBackoffAndRetryAfter(t *testing.T) {
	target := proxy(t, "", func(id string, _ func(int) string, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n")
	})
	safe := classes()[:1]
	for _, c := range []struct {
		clients Clients
		min     float64
		max     float64
	}{
		{Clients{Retries: 2, RetryDelay: 50 * time.Millisecond, Backoff: "exp"}, 0.14, 0.6},
		{Clients{Retries: 2, RetryDelay: 50 * time.Millisecond, HonourShare: 1}, 0.79, 1.6},
		{Clients{Retries: 2, RetryDelay: 50 * time.Millisecond, HonourShare: 1, MaxRetryAfter: 300 * time.Millisecond}, 0, 0.3},
	} {
		attempts := requestrecord.NewClientRecord()
		r := run(t, Options{Targets: []string{target}, Classes: safe, Clients: c.clients, Record: attempts,
			Schedule: FromArrivals([]Arrival{{ClientTimeout: time.Second}})})
		if r.Refused != 1 || r.DurationSeconds < c.min || r.DurationSeconds > c.max {
			t.Errorf("%+v: %+v, lasted %.3f s, want %.2f to %.2f", c.clients, r.Counts, r.DurationSeconds, c.min, c.max)
		}
		if all := attempts.Attempts(); len(all) == 3 && (all[1].ID == all[0].ID || all[2].Number != 2) {
			t.Errorf("attempts with wrong ids or numbers: %+v", all)
		}
	}
}

// Guards against clients that stop using their open connections to a gateway that is about to end, and against connections
// that they open to it.
func TestLeavingTargetIsUsedOnOpenConnectionsOnly(t *testing.T) {
	front := NewFront([]string{"a", "b"}, time.Second, func() time.Duration { return 0 })
	leaving := front.targets[0]
	picks := func() (count int) {
		for range 10 {
			if front.pick() == leaving {
				count++
			}
		}
		return count
	}
	front.Leave("a")
	if n := picks(); n != 0 {
		t.Errorf("%d of 10 requests go to a target that is about to end and has no open connection", n)
	}
	leaving.pool.put(&clientConn{})
	if n := picks(); n != 5 {
		t.Errorf("%d of 10 requests go to a target with an open connection, want 5", n)
	}
	if next := front.pickAccepting(); next == nil || next == leaving {
		t.Error("a request without a connection is not sent to the target that accepts connections")
	}
	front.Remove("a")
	front.Leave("a")
	if n := picks(); n != 0 {
		t.Errorf("%d of 10 requests go to a target that has ended", n)
	}
	front.Leave("b")
	if front.pickAccepting() != nil {
		t.Error("a target is said to accept connections, but both are about to end")
	}
}

// Guards against taking a request for lost whose connection the gateway had closed before the request was written.
func TestConnectionThatEndsBeforeTheWriteIsUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, written := range []bool{false, true} {
		raw, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn := newClientConn(raw, func() {}, func() time.Duration { return 0 }, func(string, string) {})
		responses := conn.expectResponse("a")
		ended := func() {}
		if written {
			ended = conn.beginWrite()
		}
		peer.Close()
		if written {
			_, _ = raw.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		}
		ended()
		if resp := <-responses; resp.err == nil || !resp.unread {
			t.Errorf("write begun %v: error %v, unread %v, want an error and unread", written, resp.err, resp.unread)
		}
	}
}
