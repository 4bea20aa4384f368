package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
)

// result is the outcome of a mutant. text holds the last columns of its table row.
type result struct {
	text   string
	caught bool
}

// finding is the first violation found in some runs: the run's seed and the rule.
type finding struct {
	seed int
	rule string
}

// tryMutant plants one defect in a copy of the source tree and plays seeds until the checks detect it.
func tryMutant(root string, m mutant) result {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return errorResult(err)
	}
	defer os.RemoveAll(dir)
	if err := plant(root, dir, m); err != nil {
		return errorResult(err)
	}
	for from := 1; from <= maxSeeds; from += seedsPerRun {
		found, err := play(dir, m.profile, from)
		switch {
		case err != nil:
			return errorResult(err)
		case found != nil:
			return result{text: fmt.Sprintf("%d | %s", found.seed, found.rule), caught: true}
		}
	}
	return result{text: fmt.Sprintf("not in %d | -", maxSeeds)}
}

func errorResult(err error) result { return result{text: fmt.Sprintf("error | %v", err)} }

// plant copies the source tree to dir, applies the mutant's edits and builds the simulator there.
func plant(root, dir string, m mutant) error {
	if err := os.CopyFS(dir, sources(root)); err != nil {
		return err
	}
	for _, e := range m.edits {
		path := filepath.Join(dir, e.file)
		text, err := os.ReadFile(path)
		if err != nil || bytes.Count(text, []byte(e.old)) != 1 {
			return fmt.Errorf("%s: the text to replace does not occur exactly once", e.file)
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(e.old), []byte(e.new), 1), 0o644); err != nil {
			return err
		}
	}
	build := exec.Command("go", "build", "-o", "mutant", "./cmd/thymelab")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("the mutant does not build: %.200s", out)
	}
	return nil
}

// play plays seedsPerRun seeds of a profile, beginning with from. It returns nil if no rule was broken.
func play(dir, profile string, from int) (*finding, error) {
	if profile == rolloutsProfile {
		return playRollouts(dir, from), nil
	}
	report := filepath.Join(dir, "report.json")
	run := exec.Command("./mutant", "seeds", "--from", strconv.Itoa(from), "--count", strconv.Itoa(seedsPerRun),
		"--profile", profile, "--jobs", "1", "--json", report)
	run.Dir = dir
	if err := run.Run(); err == nil {
		return nil, nil
	}
	raw, err := os.ReadFile(report)
	if err != nil {
		return nil, err
	}
	var found struct {
		Failures []struct {
			Seed int
			Rule string
		}
	}
	if err := json.Unmarshal(raw, &found); err != nil {
		return nil, err
	}
	if len(found.Failures) == 0 {
		return nil, errors.New("the runs failed without a broken rule")
	}
	return &finding{found.Failures[0].Seed, found.Failures[0].Rule}, nil
}

// playRollouts plays seedsPerRun seeds of the configuration distribution. A crash of the simulator is a finding, too.
func playRollouts(dir string, from int) *finding {
	run := exec.Command("./mutant", "rollouts", "--from", strconv.Itoa(from), "--seeds", strconv.Itoa(seedsPerRun),
		"--jobs", "1")
	run.Dir = dir
	out, err := run.Output()
	if err == nil {
		return nil
	}
	first, _, _ := strings.Cut(string(out), "\n")
	found := finding{seed: from, rule: "crash"}
	if _, err := fmt.Sscanf(first, "seed %d:", &found.seed); err == nil {
		_, found.rule, _ = strings.Cut(first, " s: ")
	}
	return &found
}
