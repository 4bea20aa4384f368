// Command mutants plants one defect after another in a copy of the tree and counts the seeded runs that it takes
// to catch each. It shows that the checks can fail; make mutants runs it. An argument names one profile.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
)

type edit struct{ file, old, new string }

type mutant struct {
	name    string
	profile string
	edits   []edit
}

// stopped is the profile of clients that stop in the middle of their requests.
const stopped = "stopped-clients"

// rollouts is the profile of defects that the rollouts' own play is to catch, not that of whole gateways.
const rollouts = "rollouts"

// mostSeeds bounds the search; a mutant that survives them is a gap of the checks.
const mostSeeds = 300

// one is a mutant of a single edit.
func one(name, profile, file, old, new string) mutant {
	return mutant{name, profile, []edit{{file, old, new}}}
}

// mutants lists all defects.
func mutants() []mutant {
	return slices.Concat(balancerMutants(), gatewayMutants(), peersMutants(), clusterMutants(), configMutants())
}

func main() {
	only := ""
	if len(os.Args) > 1 {
		only = os.Args[1]
	}
	root, err := os.Getwd()
	if err == nil {
		_, err = os.Stat(filepath.Join(root, "internal/balancer/balancer.go"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants: run it from the tree's root:", err)
		os.Exit(2)
	}
	list := slices.DeleteFunc(mutants(), func(m mutant) bool { return only != "" && m.profile != only })
	rows := make([]string, len(list))
	missed := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	turn := make(chan bool, 3)
	for i, m := range list {
		turn <- true
		all.Go(func() {
			defer func() { <-turn }()
			row, caught := try(root, m)
			mu.Lock()
			defer mu.Unlock()
			if rows[i] = row; !caught {
				missed++
			}
		})
	}
	all.Wait()
	fmt.Printf("| defect | profile | seeds until caught | rule |\n| --- | --- | --- | --- |\n%s\n", strings.Join(rows, "\n"))
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "mutants: %d not caught within %d seeds\n", missed, mostSeeds)
		os.Exit(1)
	}
}

// try plants one defect and looks for it.
func try(root string, m mutant) (row string, caught bool) {
	say := func(format string, args ...any) string {
		return fmt.Sprintf("| %s | %s | %s |", m.name, m.profile, fmt.Sprintf(format, args...))
	}
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return say("error | %v", err), false
	}
	defer os.RemoveAll(dir)
	if err := os.CopyFS(dir, sources(root)); err != nil {
		return say("error | %v", err), false
	}
	for _, e := range m.edits {
		path := filepath.Join(dir, e.file)
		text, err := os.ReadFile(path)
		if err != nil || bytes.Count(text, []byte(e.old)) != 1 {
			return say("error | %s does not hold the text to change once", e.file), false
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(e.old), []byte(e.new), 1), 0o644); err != nil {
			return say("error | %v", err), false
		}
	}
	build := exec.Command("go", "build", "-o", "mutant", "./cmd/thymelab")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return say("error | does not build: %.200s", out), false
	}
	const batch = 5
	for from := 1; from <= mostSeeds; from += batch {
		if m.profile == rollouts {
			if seed, rule, found := playRollouts(dir, from, batch); found {
				return say("%d | %s", seed, rule), true
			}
			continue
		}
		report := filepath.Join(dir, "report.json")
		run := exec.Command("./mutant", "seeds", "--from", fmt.Sprint(from), "--count", fmt.Sprint(batch), "--profile", m.profile,
			"--jobs", "1", "--json", report)
		run.Dir = dir
		if err := run.Run(); err == nil {
			continue // no failure
		}
		var found struct {
			Failures []struct {
				Seed int
				Rule string
			}
		}
		raw, err := os.ReadFile(report)
		if err == nil {
			err = json.Unmarshal(raw, &found)
		}
		if err != nil || len(found.Failures) == 0 {
			return say("error | %v", err), false
		}
		return say("%d | %s", found.Failures[0].Seed, found.Failures[0].Rule), true
	}
	return say("not in %d | -", mostSeeds), false
}

// playRollouts plays some seeds of the rollouts' play, and finds the first that breaks a rule. A crash breaks one too.
func playRollouts(dir string, from, count int) (seed int, rule string, found bool) {
	run := exec.Command("./mutant", "rollouts", "--from", fmt.Sprint(from), "--seeds", fmt.Sprint(count), "--jobs", "1")
	run.Dir = dir
	out, err := run.Output()
	if err == nil {
		return 0, "", false
	}
	first, _, _ := strings.Cut(string(out), "\n")
	if _, err := fmt.Sscanf(first, "seed %d:", &seed); err != nil {
		return from, "crash", true
	}
	_, rule, _ = strings.Cut(first, " s: ")
	return seed, rule, true
}
