package experiment

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"thymebend/internal/lab/hostmodel"
	"thymebend/internal/lab/requestrecord"
)

// sampleInterval is how often hosts and gateways are looked at.
const sampleInterval = 500 * time.Millisecond

// HostSample is one look at a host.
type HostSample struct {
	At          float64 `json:"at_s"`
	InFlight    int     `json:"in_flight"`
	Waiting     int     `json:"waiting"`
	Capacity    float64 `json:"capacity"` // seconds of work a second
	Connections int     `json:"connections"`
}

// HostResult is one host over the run.
type HostResult struct {
	Name     string       `json:"name"`
	Kind     string       `json:"kind"`
	Slots    int          `json:"slots"`
	Queue    int          `json:"queue"`
	ColdPeak float64      `json:"cold_peak"` // largest share of its cold budget that it was sent; over 1 it fell over
	FellOver bool         `json:"fell_over"`
	Probes   int          `json:"probes"`
	Samples  []HostSample `json:"samples"`
}

type hostSeries struct{ samples []HostSample }

// GatewaySample is one look at a gateway's process. All are zero while it is down.
type GatewaySample struct {
	At          float64 `json:"at_s"`
	CPU         float64 `json:"cpu_cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
}

// GatewayResult is one gateway over the run.
type GatewayResult struct {
	Name            string          `json:"name"`
	Starts          int             `json:"starts"`
	CPUSeconds      float64         `json:"cpu_s"`
	PeakMemoryMB    float64         `json:"peak_memory_mb"`
	PeakDescriptors int             `json:"peak_descriptors"`
	Samples         []GatewaySample `json:"samples"`
}

type gatewaySeries struct {
	samples  []GatewaySample
	pid      int
	lastUsed time.Duration // at the last look
	total    time.Duration
	recent   []usage // the last ones, of this process
}

type usage struct{ clock, used time.Duration }

// cpuWindow is how many looks back the use of the processor is counted: the system counts in steps of 10
// ms, and a single interval would show little but these.
const cpuWindow = 4

// sample looks at hosts and gateways until ctx is done.
func (w *World) sample(ctx context.Context, loadStart time.Duration) {
	for next := loadStart; Sleep(ctx, next-w.Clock()); next += sampleInterval {
		at := (w.Clock() - loadStart).Seconds()
		for _, m := range w.managedHosts() {
			if m.gone.Load() {
				continue
			}
			s := HostSample{At: at, Connections: m.Conns()}
			m.Do(func(_ time.Duration, h *hostmodel.Host) {
				s.InFlight, s.Waiting, s.Capacity = h.InFlight(), h.Waiting(), h.Capacity()
			})
			w.mu.Lock()
			m.samples = append(m.samples, s)
			w.mu.Unlock()
		}
		for _, g := range w.gateways {
			g.sample(w.Clock(), at)
		}
	}
}

// sample reads a gateway's figures as the system has them.
func (g *gateway) sample(clock time.Duration, at float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.series
	sample := GatewaySample{At: at}
	if g.process == nil {
		s.samples = append(s.samples, sample)
		return
	}
	pid := g.process.cmd.Process.Pid
	if used, ok := processorTime(pid); ok {
		if pid != s.pid {
			s.pid, s.lastUsed, s.recent = pid, 0, nil
		}
		s.total += used - s.lastUsed
		s.lastUsed = used
		s.recent = append(s.recent, usage{clock, used})
		if len(s.recent) > cpuWindow+1 {
			s.recent = s.recent[1:]
		}
		if first := s.recent[0]; clock > first.clock {
			sample.CPU = (used - first.used).Seconds() / (clock - first.clock).Seconds()
		}
		sample.MemoryMB = residentMemory(pid)
		if names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
			sample.Descriptors = len(names)
		}
	}
	s.samples = append(s.samples, sample)
}

// processorTime is what a process has used; ok is false if it is not there.
func processorTime(pid int) (used time.Duration, ok bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, false
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	if len(fields) < 13 || fields[0] == "Z" {
		return 0, false
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	const tick = 10 * time.Millisecond // of the kernel's accounting, 100 a second
	return time.Duration(user+system) * tick, true
}

// residentMemory is a process's memory in MB.
func residentMemory(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int64
	_, _ = fmt.Sscan(string(raw), &size, &pages)
	return float64(pages*int64(os.Getpagesize())) / (1 << 20)
}

// collectResults sums the looks up, and finds limits that were crossed.
func (w *World) collectResults() (hosts []HostResult, gateways []GatewayResult, findings []requestrecord.Finding) {
	for _, m := range w.managedHosts() {
		h := HostResult{Name: m.Name, Kind: m.spec.Kind, Slots: m.spec.Slots, Queue: m.spec.Queue, Probes: m.Probes(),
			Samples: m.samples}
		m.Do(func(_ time.Duration, model *hostmodel.Host) { h.ColdPeak = model.ColdPeak() })
		if h.FellOver = h.ColdPeak > 1; h.FellOver {
			findings = append(findings, requestrecord.Finding{Rule: requestrecord.PushedOver, ID: m.Name,
				Detail: fmt.Sprintf("was sent %.2f times the most that it survives while cold", h.ColdPeak)})
		}
		hosts = append(hosts, h)
	}
	limit := w.File.Gateways
	for _, g := range w.gateways {
		r := GatewayResult{Name: g.name, Starts: g.starts, CPUSeconds: g.series.total.Seconds(),
			Samples: g.series.samples}
		for _, s := range r.Samples {
			r.PeakMemoryMB = max(r.PeakMemoryMB, s.MemoryMB)
			r.PeakDescriptors = max(r.PeakDescriptors, s.Descriptors)
		}
		if r.PeakMemoryMB > limit.MemoryMB {
			findings = append(findings, requestrecord.Finding{Rule: requestrecord.OverMemory, ID: g.name,
				Detail: fmt.Sprintf("%.1f MB of %.0f", r.PeakMemoryMB, limit.MemoryMB)})
		}
		if r.PeakDescriptors > limit.Sockets {
			findings = append(findings, requestrecord.Finding{Rule: requestrecord.OverSockets, ID: g.name,
				Detail: fmt.Sprintf("%d of %d", r.PeakDescriptors, limit.Sockets)})
		}
		gateways = append(gateways, r)
	}
	return hosts, gateways, findings
}
