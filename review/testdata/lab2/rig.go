// Command review2 plays the cases of the second review. Each case starts the gateway as separate processes with the
// command of the deploy file, on loopback addresses, with stand-ins for clients, hosts and discovery.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is one run of a case: its record, its folder for temporary files and the processes that it started.
type rig struct {
	trouble bool
	dir     string
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	broken    []string
	processes []*process
	hosts     []*host
}

// process is a gateway process.
type process struct {
	cmd     *exec.Cmd
	control string
	exited  chan struct{}
}

// unplayable is the panic of a case that could not run.
type unplayable struct{ reason string }

func giveUp(format string, args ...any) { panic(unplayable{fmt.Sprintf(format, args...)}) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *rig) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("RULE BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// freeAddr returns an unused loopback address.
func freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("no port: %v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// deployRun returns the command `run` of the deploy file.
func deployRun() string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		giveUp("deploy file: %v", err)
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.TrimSuffix(strings.TrimSpace(rest), `"`)
		}
	}
	giveUp("the deploy file has no run")
	return ""
}

// startGateway starts a gateway with a configuration file. tmp is its TMPDIR.
func (r *rig) startGateway(configPath, tmp, control string) *process {
	p := &process{cmd: exec.Command("/bin/sh", "-c", deployRun()), control: control, exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+configPath, "LB_CONTROL="+control, "TMPDIR="+tmp)
	logPath := filepath.Join(r.dir, fmt.Sprintf("gateway-%d.log", len(r.processes)))
	logFile, err := os.Create(logPath)
	if err != nil {
		giveUp("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		giveUp("gateway: %v", err)
	}
	r.processes = append(r.processes, p)
	go func() {
		err := p.cmd.Wait()
		r.note("process %d ended: %v", p.cmd.Process.Pid, err)
		close(p.exited)
	}()
	r.note("process %d started", p.cmd.Process.Pid)
	return p
}

// hasExited reports whether a process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// get fetches a page of an HTTP server, and returns its status and body; status 0 means no answer.
func get(addr, path string) (int, string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// awaitYes waits until a process takes clients.
func (r *rig) awaitYes(p *process, limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if status, _ := get(p.control, "/ops/readiness"); status == 200 {
			r.note("process %d says yes", p.cmd.Process.Pid)
			return
		}
		if p.hasExited() {
			giveUp("process %d ended before it was ready", p.cmd.Process.Pid)
		}
	}
	giveUp("process %d is not ready after %v", p.cmd.Process.Pid, limit)
}

// closeAll ends all processes that the case started.
func (r *rig) closeAll() {
	for _, p := range r.processes {
		if !p.hasExited() {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
	}
}

// class is a request class of the settings.
type class struct {
	Name   string  `json:"name"`
	Aim    float64 `json:"aim_ms"`
	GiveUp float64 `json:"give_up_ms"`
	Group  string  `json:"group"`
	Late   float64 `json:"late_worth"`
	Repeat string  `json:"repeat"`
	Window float64 `json:"window_ms"`
	Worth  float64 `json:"worth"`
}

// portalClasses are the classes of the tender portal.
func portalClasses() []class {
	return []class{
		{"tender-view", 800, 2000, "all", 0, "repeatable", 5000, 1},
		{"bid-lodge", 800, 2500, "all", 0, "once", 5000, 8},
	}
}

// settingsOf returns settings like those of the tender portal, with the given classes.
func settingsOf(classes []class) map[string]any {
	return map[string]any{
		"balancers": 2, "rank": 0, "zone": 0, "zones": []string{"suva", "lautoka"}, "classes": classes,
		"counted_by": "request", "registry_mode": "subscribe", "tick_ms": 5, "tenants": []string{},
		"bounds": map[string]any{
			"cancel": true, "conn_idle_ms": 30000, "connect_timeout_ms": 250, "max_retry_after_ms": 2000,
			"may_probe": true, "most_tries": 4, "open_cap": 24486, "peers": true, "retry_after": true,
			"second_copies": true, "max_streams": 1,
		},
		"clients":    map[string]any{"marks_retry": true},
		"deductions": map[string]any{"cross_zone": 0.01},
		"guarantees": map[string]any{
			"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.12, "drain_grace_ms": 250,
			"fall_multiple": 3, "overload_for_ms": 1000, "warm_after_ms": 24000,
		},
		"report":      map[string]any{"columns": []string{"pending", "busy_reqs", "failed_ps"}, "how": "piggyback"},
		"score_parts": map[string]any{"whole": 0.35, "worst_class": 0.2, "worst_window": 0.45},
	}
}

// configOf returns the configuration of a gateway.
func configOf(listen, discovery string, memoryMB float64, sockets int, hosts []hostEntry, settings any) map[string]any {
	return map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":    map[string]any{"seq": 1, "whole": true, "hosts": hosts},
		"settings": settings,
	}
}

// writeJSON writes a configuration file as a whole.
func writeJSON(path string, value any) {
	raw, err := json.Marshal(value)
	if err == nil {
		if err = os.WriteFile(path+".new", raw, 0o600); err == nil {
			err = os.Rename(path+".new", path)
		}
	}
	if err != nil {
		giveUp("%v", err)
	}
}

// hostEntry is a host in discovery's list.
type hostEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// discovery is a stand-in for discovery: the whole list at once, changes as they come, and an empty line every 2 s.
type discovery struct {
	addr string
	mu   sync.Mutex
	seq  int
	list []hostEntry
	subs map[chan string]bool
}

func newDiscovery(hosts []hostEntry) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	d := &discovery{addr: ln.Addr().String(), seq: 1, list: hosts, subs: make(map[chan string]bool)}
	go func() { _ = http.Serve(ln, http.HandlerFunc(d.serve)) }()
	return d
}

// line returns an object of the list's form.
func (d *discovery) line(whole bool, hosts []hostEntry) string {
	raw, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts})
	return string(raw) + "\n"
}

func (d *discovery) serve(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	first, changes := d.line(true, d.list), make(chan string, 64)
	watching := req.URL.Query().Get("stream") == "1"
	if watching {
		d.subs[changes] = true
	}
	d.mu.Unlock()
	defer func() { d.mu.Lock(); delete(d.subs, changes); d.mu.Unlock() }()
	_, _ = io.WriteString(w, first)
	for watching {
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case line := <-changes:
			_, _ = io.WriteString(w, line)
		case <-time.After(2 * time.Second):
			_, _ = io.WriteString(w, "\n")
		}
	}
}

// host is a stand-in for a host: it runs each request once its last byte has come.
type host struct {
	entry hostEntry
	// answer writes the answer to a request; it returns false to close the connection.
	answer func(h *host, c net.Conn, req *http.Request, body []byte) bool

	mu  sync.Mutex
	ran map[string]int // how often each id ran
	// first is when the first byte of the request with each id came.
	first map[string]time.Time
}

// plain answers with the request's id after a short time.
func plain(_ *host, c net.Conn, req *http.Request, _ []byte) bool {
	time.Sleep(20 * time.Millisecond)
	return write200(c, "answer to "+req.Header.Get("X-Trace-Id")+"\n")
}

func write200(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nEndpoint-Load-Metrics: TEXT pending=0, busy_reqs=1, failed_ps=0\r\n\r\n%s", len(body), body)
	return err == nil
}

func newHost(name string, answer func(*host, net.Conn, *http.Request, []byte) bool) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("%v", err)
	}
	h := &host{answer: answer, ran: make(map[string]int), first: make(map[string]time.Time), entry: hostEntry{
		Host: name, Dial: ln.Addr().String(), Site: "suva", Class: "twin-core", Block: 1, Health: "up", Share: 1}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		h.mu.Lock()
		h.ran[req.Header.Get("X-Trace-Id")]++
		h.first[req.Header.Get("X-Trace-Id")] = first
		h.mu.Unlock()
		if !h.answer(h, c, req, body) {
			return
		}
	}
}

// requestText returns a request in the form of the protocol.
func requestText(method, className, id string, expiresMS int, body string) string {
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n%s\r\n%s",
		method, className, id, className, expiresMS, length, body)
}

// runCase plays a case and returns the exit code of its script.
func runCase(folder string, trouble bool, play func(*rig)) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	base := ""
	if len(os.TempDir()) > 50 {
		base = "bin" // the path of the socket of an upgrade may have 107 bytes
	}
	dir, err := os.MkdirTemp(base, "r2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{trouble: trouble, dir: dir, began: time.Now(), record: record}
	defer os.RemoveAll(dir)
	defer func() {
		if fault := recover(); fault != nil {
			r.note("NOT PLAYED: %v", fault)
			fmt.Println("not played:", fault)
			code = 2
		}
		r.closeAll()
		for i := range r.processes {
			logText, _ := os.ReadFile(filepath.Join(dir, fmt.Sprintf("gateway-%d.log", i)))
			fmt.Fprintf(record, "--- log of process %d\n%s", r.processes[i].cmd.Process.Pid, logText)
		}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-interrupted
		r.closeAll()
		os.RemoveAll(dir)
		os.Exit(2)
	}()
	play(r)
	if len(r.broken) > 0 {
		fmt.Printf("rule broken, %d times: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// runs returns how often the hosts have run a request.
func (r *rig) runs(id string) (n int) {
	for _, h := range r.hosts {
		h.mu.Lock()
		n += h.ran[id]
		h.mu.Unlock()
	}
	return n
}
