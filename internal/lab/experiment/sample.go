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

// sampleInterval is the time between two samples of hosts and gateways.
const sampleInterval = 500 * time.Millisecond

// HostSample is the state of a host at one time, in seconds after the start of the load.
type HostSample struct {
	At          float64 `json:"at_s"`
	InFlight    int     `json:"in_flight"`
	Waiting     int     `json:"waiting"`
	Capacity    float64 `json:"capacity"` // seconds of work per second
	Connections int     `json:"connections"`
}

// HostResult is the result of one host over the run.
type HostResult struct {
	Name     string       `json:"name"`
	Kind     string       `json:"kind"`
	Slots    int          `json:"slots"`
	Queue    int          `json:"queue"`
	ColdPeak float64      `json:"cold_peak"` // see hostmodel.Host.PeakBudgetShare; over 1 the host crashed
	FellOver bool         `json:"fell_over"`
	Probes   int          `json:"probes"`
	Samples  []HostSample `json:"samples"`
}

// hostSeries collects the samples of a host. They are appended with World.mu locked.
type hostSeries struct{ samples []HostSample }

// GatewaySample is the resource use of a gateway's process at one time. All values but At are zero while it is down.
type GatewaySample struct {
	At          float64 `json:"at_s"`
	CPU         float64 `json:"cpu_cores"`
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
}

// GatewayResult is the result of one gateway over the run.
type GatewayResult struct {
	Name            string          `json:"name"`
	Starts          int             `json:"starts"`
	CPUSeconds      float64         `json:"cpu_s"`
	PeakMemoryMB    float64         `json:"peak_memory_mb"`
	PeakDescriptors int             `json:"peak_descriptors"`
	Samples         []GatewaySample `json:"samples"`
}

// gatewaySeries collects the samples and the processor time of a gateway over all its processes.
type gatewaySeries struct {
	samples  []GatewaySample
	pid      int
	lastUsed time.Duration // processor time that the process had used at the last sample
	total    time.Duration
	recent   []usage // the last cpuWindow + 1 samples of this process
}

// usage is the processor time used by a process up to a time of the clock.
type usage struct{ clock, used time.Duration }

// cpuWindow is the number of sample intervals over which the processor use is averaged. The system counts processor
// time in steps of 10 ms, which would dominate the result of a single interval.
const cpuWindow = 4

// sample takes samples of all hosts and gateways every sampleInterval from loadStart until ctx is done.
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

// sample reads the processor time, memory and open descriptors of the gateway's process from /proc. clock and
// at are the present time: on the clock of the run, and in seconds after the start of the load.
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

// processorTime returns the processor time that a process has used. ok is false if the process does not exist or is a
// zombie.
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
	const tick = 10 * time.Millisecond // unit of the kernel's accounting, 100 per second
	return time.Duration(user+system) * tick, true
}

// residentMemory returns the resident memory of a process in MB, or 0 if it does not exist.
func residentMemory(pid int) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, pages int64
	_, _ = fmt.Sscan(string(raw), &size, &pages)
	return float64(pages*int64(os.Getpagesize())) / (1 << 20)
}

// collectResults summarizes the samples and returns a finding for each limit that a host or a gateway exceeded.
func (w *World) collectResults() (hosts []HostResult, gateways []GatewayResult, findings []requestrecord.Finding) {
	for _, m := range w.managedHosts() {
		h := HostResult{Name: m.Name, Kind: m.spec.Kind, Slots: m.spec.Slots, Queue: m.spec.Queue, Probes: m.Probes(),
			Samples: m.samples}
		m.Do(func(_ time.Duration, model *hostmodel.Host) { h.ColdPeak = model.PeakBudgetShare() })
		if h.FellOver = h.ColdPeak > 1; h.FellOver {
			findings = append(findings, requestrecord.Finding{Rule: requestrecord.ColdHostPushed, ID: m.Name,
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
