// Command mutationtest plants one defect after another in a copy of the tree and counts the seeded runs that it
// takes to catch each. It shows that the checks can fail; make mutants runs it. An argument names one profile.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// edit replaces a text that stands once in a file.
type edit struct{ file, old, new string }

// mutant is a defect: the profile of runs that is to catch it, and the edits that plant it.
type mutant struct {
	name    string
	profile string
	edits   []edit
}

// Profiles that are not drawn from.
const (
	stopped  = "stopped-clients" // clients that stop in the middle of their requests
	rollouts = "rollouts"        // the play of configuration distribution, in place of whole gateways
)

const (
	maxSeeds    = 300 // a mutant that survives them is a gap of the checks
	seedsAtOnce = 5   // of one run of the simulator
	mutantsMax  = 3   // that are tried at a time
)

// one is a mutant of a single edit.
func one(name, profile, file, old, new string) mutant {
	return mutant{name, profile, []edit{{file, old, new}}}
}

// mutants lists all defects.
func mutants() []mutant {
	return slices.Concat(balancerMutants(), gatewayMutants(), peersMutants(), clusterMutants(), configMutants())
}

func main() {
	profile := ""
	if len(os.Args) > 1 {
		profile = os.Args[1]
	}
	root, err := os.Getwd()
	if err == nil {
		_, err = os.Stat(filepath.Join(root, "internal/balancer/balancer.go"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants: run it from the tree's root:", err)
		os.Exit(2)
	}
	list := slices.DeleteFunc(mutants(), func(m mutant) bool { return profile != "" && m.profile != profile })
	results := tryAll(root, list)
	fmt.Printf("| defect | profile | seeds until caught | rule |\n| --- | --- | --- | --- |\n")
	missed := 0
	for i, r := range results {
		fmt.Printf("| %s | %s | %s |\n", list[i].name, list[i].profile, r.text)
		if !r.caught {
			missed++
		}
	}
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "mutants: %d not caught within %d seeds\n", missed, maxSeeds)
		os.Exit(1)
	}
}

// tryAll tries some mutants at a time. The results are in the order of the list.
func tryAll(root string, list []mutant) []result {
	results := make([]result, len(list))
	var group sync.WaitGroup
	slots := make(chan struct{}, mutantsMax)
	for i, m := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = try(root, m)
		})
	}
	group.Wait()
	return results
}
