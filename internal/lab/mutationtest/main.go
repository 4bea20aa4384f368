// Command mutationtest plants each defect in a copy of the source tree and counts the seeded runs until the checks
// detect it. It shows that the checks can fail; make mutants runs it. An argument restricts it to the defects of one
// profile.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// edit replaces a text that must occur exactly once in a file.
type edit struct{ file, old, new string }

// mutant is a planted defect: its name, the profile of the runs that must detect it, and the edits that plant it.
type mutant struct {
	name    string
	profile string
	edits   []edit
}

// Profiles that seeds do not draw by themselves.
const (
	stoppedClientsProfile = "stopped-clients" // clients stop in the middle of their requests
	lateResponsesProfile  = "late-responses"  // hosts send bytes after their responses
	slowPeersProfile      = "slow-peers"      // clients and hosts that read or write slowly, leave or flood
	hoardersProfile       = "hoarders"        // clients for which much must be kept, and ids that come again
	slowHostsProfile      = "slow-hosts"      // hosts that write long answers slowly
	blockedPeersProfile   = "blocked-peers"   // bytes and closes that wait in clients' kernels, answers with a pause
	rolloutsProfile       = "rollouts"        // simulates the configuration distribution instead of whole gateways
)

const (
	maxSeeds           = 300 // a mutant that is not detected within these seeds shows a gap in the checks
	seedsPerRun        = 5   // seeds played by one run of the simulator
	maxParallelMutants = 3   // mutants tried in parallel
)

// singleEdit returns a mutant that consists of a single edit.
func singleEdit(name, profile, file, old, new string) mutant {
	return mutant{name, profile, []edit{{file, old, new}}}
}

// mutants returns all planted defects.
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
		fmt.Fprintln(os.Stderr, "mutants: must be run from the root of the source tree:", err)
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

// tryAll tries up to maxParallelMutants mutants in parallel. The results are in the order of the list.
func tryAll(root string, list []mutant) []result {
	results := make([]result, len(list))
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelMutants)
	for i, m := range list {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			results[i] = tryMutant(root, m)
		})
	}
	group.Wait()
	return results
}
