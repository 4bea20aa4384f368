package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// entry is an entry of the host list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS float64 `json:"born_ms"`
}

// list is the host list as discovery writes it.
type list struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// discovery is a stand-in for discovery whose list does not change.
type discovery struct {
	address  string
	listener net.Listener
	hosts    list
	ended    chan struct{}
}

// newDiscovery starts discovery on a free port.
func newDiscovery(hosts list) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: listener.Addr().String(), listener: listener, hosts: hosts, ended: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: d}).Serve(listener) }()
	return d, nil
}

// heartbeat is the time between two empty lines of a watch.
const heartbeat = 2 * time.Second

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	line, _ := json.Marshal(d.hosts) // plain values: no error is possible
	if r.URL.Query().Get("stream") != "1" {
		_, _ = w.Write(line)
		return
	}
	if r.URL.Query().Get("index") == fmt.Sprint(d.hosts.Seq) {
		line = fmt.Appendf(nil, `{"seq":%d,"whole":false,"hosts":[]}`, d.hosts.Seq)
	}
	for {
		if _, err := w.Write(append(line, '\n')); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		line = nil
		select {
		case <-time.After(heartbeat):
		case <-r.Context().Done():
			return
		case <-d.ended:
			return
		}
	}
}

// close ends discovery.
func (d *discovery) close() {
	close(d.ended)
	d.listener.Close()
}
