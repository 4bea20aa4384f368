package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is one process of the project's gateway, started with the command of the deploy file.
type gateway struct {
	listen, control string
	cmd             *exec.Cmd
	log             *os.File
	exited          chan struct{}
}

// freeAddress returns an address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// gatewayFiles says where a gateway's configuration and log are, and what it starts with.
type gatewayFiles struct {
	run     string // the command of the deploy file
	dir     string // a temporary folder, TMPDIR of the gateway
	listen  string
	process string // distinguishes the files of several processes of a gateway
}

// startGateway writes a configuration and starts a process with it.
func startGateway(f gatewayFiles, d *discovery, settings map[string]any) (*gateway, error) {
	control, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": "n0", "listen": f.listen, "control": control, "discovery": d.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  d.hosts, "settings": settings,
	}
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, f.process+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, f.process+".log"))
	if err != nil {
		return nil, err
	}
	g := &gateway{listen: f.listen, control: control, log: log, exited: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", f.run)
	g.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_NAME=n0", "LB_LISTEN="+f.listen,
		"LB_CONTROL="+control, "LB_DISCOVERY="+d.address, "TMPDIR="+f.dir)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait() // how it ended is in ProcessState
		close(g.exited)
	}()
	return g, nil
}

// errNotReady is returned for a gateway that does not take clients in time.
var errNotReady = errors.New("the gateway does not say that it is ready")

// awaitReady waits until the process answers yes at its second address.
func (g *gateway) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.control + "/ops/readiness")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errNotReady
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// end kills the process if it still runs, and waits for its end.
func (g *gateway) end() {
	g.signal(syscall.SIGKILL)
	<-g.exited
	g.log.Close()
}

// state describes how the process ended.
func (g *gateway) state() string { return fmt.Sprint(g.cmd.ProcessState) }
