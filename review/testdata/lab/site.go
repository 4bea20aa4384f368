package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the pages.
const (
	// lateLimit is how long after its time a request may be answered without being lost.
	lateLimit = 500 * time.Millisecond
	// ruleSlack is what every time limit is longer on sockets.
	ruleSlack = 50 * time.Millisecond
	// killAfter is the least time from SIGTERM to SIGKILL beyond the longest deadline; what came later than this after
	// SIGTERM is lost if SIGKILL finds it unanswered.
	killAfter = 700 * time.Millisecond
)

// errNothingTaken is returned by a case whose requests never came whole to the gateway.
var errNothingTaken = errors.New("no request was taken whole")

// site is a small deployment: discovery and hosts, and the settings of its gateway.
type site struct {
	w         *world
	hosts     []*host
	discovery *discovery
	settings  map[string]any
	listen    string
}

// newSite starts hosts and discovery.
func newSite(w *world, settings map[string]any, zone string, hosts int, service time.Duration) (*site, error) {
	s := &site{w: w, settings: settings}
	l := list{Seq: 41, Whole: true}
	for i := range hosts {
		h, err := newHost(w.rec, fmt.Sprintf("s-%d", i+1), service)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		l.Hosts = append(l.Hosts, entry{Host: h.name, Dial: h.address, Site: zone, Class: "twin-core", Block: 1,
			Health: "up", Share: 1})
	}
	var err error
	if s.discovery, err = newDiscovery(l); err != nil {
		return nil, err
	}
	s.listen, err = freeAddress()
	return s, err
}

// start starts a process of the gateway and waits until it takes clients.
func (s *site) start(process string) (*gateway, error) {
	g, err := startGateway(gatewayFiles{run: s.w.run, dir: s.w.dir, listen: s.listen, process: process}, s.discovery,
		s.settings)
	if err != nil {
		return nil, err
	}
	s.w.rec.printf("gateway %s started, process %d", process, g.cmd.Process.Pid)
	if err := g.awaitReady(); err != nil {
		g.end()
		return nil, err
	}
	s.w.rec.printf("gateway %s is ready", process)
	return g, nil
}

// close ends discovery and hosts.
func (s *site) close() {
	s.discovery.close()
	for _, h := range s.hosts {
		h.close()
	}
}

// hangShare makes the given number of hosts hang.
func (s *site) hangShare(n int) {
	for _, h := range s.hosts[:n] {
		h.hang()
	}
}

// warmUp sends small requests one after another. All have to be served.
func (s *site) warmUp(n int, template request) error {
	for i := range n {
		q := template
		q.id, q.size = fmt.Sprintf("warm-%d", i), 100
		conn, err := q.connect(s.listen)
		if err != nil {
			return err
		}
		if _, err = conn.Write(append([]byte(q.head()), make([]byte, q.size)...)); err == nil {
			q.readAnswer(conn, 5*time.Second)
		}
		conn.Close()
		if q.status != 200 {
			return fmt.Errorf("a request before the trouble was not served: %s", q.outcome())
		}
	}
	s.w.rec.printf("%d requests served one after another", n)
	return nil
}

// judgeRuns checks that no request ran twice and that each 200 is the answer that a host made for that request.
func (s *site) judgeRuns(requests []*request) {
	for _, q := range requests {
		times := 0
		for _, h := range s.hosts {
			h.mu.Lock()
			times += h.runs[q.id]
			h.mu.Unlock()
		}
		if times > 1 {
			s.w.rec.breach("%s ran %d times", q.id, times)
		}
		if q.status == 200 && !isServedBody(q.body, q.id) {
			s.w.rec.breach("%s was served with %q", q.id, q.body)
		}
	}
}

// stop is a planned restart of a process: SIGTERM, and SIGKILL after the longest deadline and 0.7 s more.
type stop struct {
	term, kill time.Time // kill is zero if the process ended by itself
	exited     time.Time
}

// stopGateway carries out a planned restart. longest is the longest deadline of the settings, below 3 s.
func (s *site) stopGateway(g *gateway, longest time.Duration) stop {
	st := stop{term: time.Now()}
	s.w.rec.printf("SIGTERM to process %d", g.cmd.Process.Pid)
	g.signal(syscall.SIGTERM)
	select {
	case <-g.exited:
		st.exited = time.Now()
		s.w.rec.printf("process %d ended by itself: %s", g.cmd.Process.Pid, g.state())
	case <-time.After(longest + killAfter + ruleSlack):
		st.kill = time.Now()
		s.w.rec.printf("SIGKILL to process %d, %.3f s after SIGTERM", g.cmd.Process.Pid, st.kill.Sub(st.term).Seconds())
		g.end()
	}
	return st
}

// judgeStopped checks the answers of requests that a process had taken when it was told to end. It returns how many
// requests were taken later than killAfter after SIGTERM.
func (s *site) judgeStopped(requests []*request, st stop) (late int) {
	for _, q := range requests {
		since := q.lastByte.Sub(st.term)
		if !q.lastByte.IsZero() {
			s.w.rec.printf("%s: last byte %.3f s after SIGTERM, %s", q.id, since.Seconds(), q.outcome())
		} else {
			s.w.rec.printf("%s: %s", q.id, q.outcome())
		}
		if q.lastByte.IsZero() || since <= killAfter+ruleSlack {
			continue
		}
		late++
		switch {
		case !q.answered.IsZero():
		case st.kill.IsZero():
			s.w.rec.breach("%s was taken and the process ended by itself without an answer", q.id)
		case q.lastByte.Before(st.kill):
			s.w.rec.breach("%s came %.3f s after SIGTERM and SIGKILL found it unanswered %.3f s later", q.id,
				since.Seconds(), st.kill.Sub(q.lastByte).Seconds())
		}
	}
	return late
}

// judgeTimes checks that each request that was taken was answered no later than lateLimit and ruleSlack after its time. It returns how
// many were taken.
func (s *site) judgeTimes(requests []*request) (taken int) {
	for _, q := range requests {
		if q.lastByte.IsZero() {
			s.w.rec.printf("%s: %s", q.id, q.outcome())
			continue
		}
		taken++
		if q.answered.IsZero() {
			s.w.rec.breach("%s was taken and had no answer %.3f s after its time: %v", q.id,
				(q.limit() - q.patience).Seconds(), q.err)
			continue
		}
		after := q.answered.Sub(q.lastByte)
		s.w.rec.printf("%s: %s %.3f s after its last byte, its time was %.3f s", q.id, q.outcome(), after.Seconds(),
			q.patience.Seconds())
		if after > q.limit() {
			s.w.rec.breach("%s was answered %.3f s after its time", q.id, (after - q.patience).Seconds())
		}
	}
	return taken
}

// all runs send for each request at the same time and waits for all of them.
func all(requests []*request, send func(*request)) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, q := range requests {
		wg.Go(func() { send(q) })
	}
	return &wg
}
