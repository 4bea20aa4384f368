package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"thymebend/internal/lab/membershipsim"
	"thymebend/internal/lab/report"
	"thymebend/internal/membership"
)

type viewCmd struct {
	Nodes   int     `default:"100" placeholder:"N" help:"Gateways of the fleet, 3 to 2000. Time grows with the square."`
	Seed    uint64  `default:"1" placeholder:"N" help:"Seed of the run."`
	Loss    float64 `default:"0" placeholder:"SHARE" help:"Share of the datagrams that is lost."`
	Stalls  bool    `help:"Pause a tenth of the gateways for 2 s in every 10 s of the quiet minute."`
	Heal    bool    `help:"End with a half-and-half partition of 60 s."`
	Plots   string  `placeholder:"DIR" help:"Measure 10, 30, 100 and --nodes gateways by views and by heartbeats, and write plots here."`
	Beats   bool    `help:"Measure heartbeats from all to all with phi-accrual detection instead of views, for comparison."`
	Without string  `placeholder:"PART" enum:"none,ring,confirm,verify,health,repair,calls" default:"none" help:"Disable a refinement of the membership protocol: ${enum}."`
}

// Help implements kong.HelpProvider.
func (viewCmd) Help() string {
	return "Measures the fleet's view on the virtual clock: a quiet minute, five deaths and joins.\n\nExample:\n" +
		"  thymelab view --nodes 100 --loss 0.05 --stalls --heal"
}

// Run executes the command; kong calls it.
func (c viewCmd) Run(e *environment) error {
	if c.Nodes < 3 || c.Nodes > membership.MaxMembers || !(c.Loss >= 0 && c.Loss < 1) {
		return inputError(fmt.Errorf("nodes must be 3 to %d and loss 0 to under 1", membership.MaxMembers))
	}
	refinements := map[string]membership.Refinement{
		"ring":    membership.RingProbing,
		"confirm": membership.Confirmation,
		"verify":  membership.Verification,
		"health":  membership.LocalHealthAwareness,
		"repair":  membership.AntiEntropy,
		"calls":   membership.Reconnection,
	}
	if c.Plots != "" {
		return c.writePlots(e.ctx)
	}
	began := time.Now()
	f := membershipsim.Measure(e.ctx, membershipsim.Case{Seed: c.Seed, Nodes: c.Nodes, Loss: c.Loss,
		Stalls: c.Stalls, Partition: c.Heal, Baseline: c.Beats,
		OmittedRefinement: refinements[c.Without]})
	kind := "view"
	if c.Beats {
		kind = "heartbeats"
	}
	if c.Without != "none" {
		kind += " without " + c.Without
	}
	fmt.Fprintf(e.out, "| %d | %.0f%% | %v | %s | %s | %s | %.2f s | %d | %d | %.0f / %.0f | %.2f%% | %.1f s |\n", f.Nodes, 100*f.Loss,
		f.Stalls, kind, medianAndMax(f.Crash), medianAndMax(f.Join), f.Heal.Seconds(),
		f.FalseSuspicions, f.FalseRemovals, f.BytesPerSecond, f.MaxBytesPerSecond, 100*f.CPU, time.Since(began).Seconds())
	if f.Partial {
		fmt.Fprintf(e.out, "partial: %.1f s of the quiet minute, %d of 5 crashes, %d of 5 joins\n",
			f.QuietPeriod.Seconds(), len(f.Crash), len(f.Join))
		return interruptedError()
	}
	return nil
}

// medianAndMax returns the median and the maximum of the times as text.
func medianAndMax(list []time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	list = slices.Sorted(slices.Values(list))
	return fmt.Sprintf("%.2f / %.2f s", list[len(list)/2].Seconds(), list[len(list)-1].Seconds())
}

// writePlots measures several sizes in parallel and plots the time until a crash is known, the bytes sent and the false
// removals, each by the number of gateways.
func (c viewCmd) writePlots(ctx context.Context) error {
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return inputError(err)
	}
	sizes := []int{10, 30, 100}
	if c.Nodes > 100 {
		sizes = append(sizes, c.Nodes)
	}
	kinds := []string{"views", "heartbeats from all to all"}
	figures := c.measureSizes(ctx, len(kinds), sizes)
	if ctx.Err() != nil {
		return interruptedError() // lines through incomplete measurements would mislead
	}
	for _, p := range viewPlots() {
		var lines []report.Series
		for k, name := range kinds {
			s := report.Series{Name: name}
			for i, n := range sizes {
				s.Xs, s.Ys = append(s.Xs, float64(n)), append(s.Ys, p.value(figures[k][i]))
			}
			lines = append(lines, s)
		}
		err := writeFile(filepath.Join(c.Plots, p.file), func(w io.Writer) error {
			return report.Plot(w, fmt.Sprintf("%s (%.0f%% loss, stalls %v)", p.title, 100*c.Loss, c.Stalls),
				"gateways", p.yLabel, lines)
		})
		if err != nil {
			return inputError(err)
		}
	}
	return nil
}

// measureSizes measures each size in parallel, with membership views (kind 0) and with heartbeats from all to all
// (kind 1).
func (c viewCmd) measureSizes(ctx context.Context, kinds int, sizes []int) [][]membershipsim.Figures {
	figures := make([][]membershipsim.Figures, kinds)
	var all sync.WaitGroup
	for k := range kinds {
		figures[k] = make([]membershipsim.Figures, len(sizes))
		for i, n := range sizes {
			all.Go(func() {
				figures[k][i] = membershipsim.Measure(ctx, membershipsim.Case{Seed: c.Seed, Nodes: n,
					Loss: c.Loss, Stalls: c.Stalls, Baseline: k == 1})
			})
		}
	}
	all.Wait()
	return figures
}

// viewPlot describes one plot: its file, title and axis label, and the figure that it shows.
type viewPlot struct {
	file, title, yLabel string
	value               func(f membershipsim.Figures) float64
}

func viewPlots() []viewPlot {
	return []viewPlot{
		{"crash.svg", "Time until all gateways know of a crash, worst of five", "seconds",
			func(f membershipsim.Figures) float64 { return slices.Max(f.Crash).Seconds() }},
		{"bytes.svg", "Sent by a gateway", "bytes a second", func(f membershipsim.Figures) float64 { return f.BytesPerSecond }},
		{"removals.svg", "Running gateways considered gone, four samples a second over a minute", "count",
			func(f membershipsim.Figures) float64 { return float64(f.FalseRemovals) }},
	}
}
