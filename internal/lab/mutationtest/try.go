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

// result is what became of a mutant: the last columns of its row.
type result struct {
	text   string
	caught bool
}

// finding is the first broken rule of some runs.
type finding struct {
	seed int
	rule string
}

// try plants one defect in a copy of the tree and looks for it.
func try(root string, m mutant) result {
	dir, err := os.MkdirTemp("", "mutant")
	if err != nil {
		return failed(err)
	}
	defer os.RemoveAll(dir)
	if err := plant(root, dir, m); err != nil {
		return failed(err)
	}
	for from := 1; from <= maxSeeds; from += seedsAtOnce {
		found, err := play(dir, m.profile, from)
		switch {
		case err != nil:
			return failed(err)
		case found != nil:
			return result{text: fmt.Sprintf("%d | %s", found.seed, found.rule), caught: true}
		}
	}
	return result{text: fmt.Sprintf("not in %d | -", maxSeeds)}
}

func failed(err error) result { return result{text: fmt.Sprintf("error | %v", err)} }

// plant copies the tree, makes the mutant's edits and builds the simulator.
func plant(root, dir string, m mutant) error {
	if err := os.CopyFS(dir, sources(root)); err != nil {
		return err
	}
	for _, e := range m.edits {
		path := filepath.Join(dir, e.file)
		text, err := os.ReadFile(path)
		if err != nil || bytes.Count(text, []byte(e.old)) != 1 {
			return fmt.Errorf("%s does not hold the text to change once", e.file)
		}
		if err := os.WriteFile(path, bytes.Replace(text, []byte(e.old), []byte(e.new), 1), 0o644); err != nil {
			return err
		}
	}
	build := exec.Command("go", "build", "-o", "mutant", "./cmd/thymelab")
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("does not build: %.200s", out)
	}
	return nil
}

// play plays some seeds from one on. It returns nil where no rule was broken.
func play(dir, profile string, from int) (*finding, error) {
	if profile == rollouts {
		return playRollouts(dir, from), nil
	}
	report := filepath.Join(dir, "report.json")
	run := exec.Command("./mutant", "seeds", "--from", strconv.Itoa(from), "--count", strconv.Itoa(seedsAtOnce),
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

// playRollouts plays some seeds of configuration distribution. A crash is a finding too.
func playRollouts(dir string, from int) *finding {
	run := exec.Command("./mutant", "rollouts", "--from", strconv.Itoa(from), "--seeds", strconv.Itoa(seedsAtOnce),
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
