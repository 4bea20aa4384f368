package configsim

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist"
	"thymebend/internal/configdist/content"
)

// Prefixes of the body of a faulty route. With rejectPrefix, gateways reject a configuration that has the route; with
// failPrefix, they install it and then fail. The percentage of the gateways affected follows the prefix.
const (
	rejectPrefix = "refused-by="
	failPrefix   = "fails-at="
)

// stopPropagation is how long after the commit of a rollout's stop a gateway may still install the rollout's version.
// It covers the longest time for which a control machine still assumes that it has a quorum, or an agent that its
// session is valid, plus the delay of a frame and the duration of an installation.
const stopPropagation = 5 * time.Second

// rejectionError returns the error with which a gateway rejects a configuration, or nil.
func rejectionError(g *Gateway, next configdist.Install) error {
	if share, found := faultPercent(next.Tree, rejectPrefix); found && isFaultyFor(g, next.Ref.Number, share) {
		return errors.New("a body says that it is refused")
	}
	return nil
}

// failureReason returns why a gateway fails with a configuration that it has installed, or an empty text.
func failureReason(g *Gateway, next configdist.Install) string {
	if share, found := faultPercent(next.Tree, failPrefix); found && isFaultyFor(g, next.Ref.Number, share) {
		return "a body says that it fails"
	}
	return ""
}

// faultyRoute is the only route name that faultPercent examines, because examining all routes would be expensive in a
// cluster of full size.
const faultyRoute = "faulty"

// faultPercent returns the percentage of gateways that a faulty route with the given prefix affects, and whether
// there is such a route.
func faultPercent(t *content.Tree, prefix string) (share int, found bool) {
	for _, name := range t.Services() {
		for _, e := range t.Entries(name)[1:] {
			if e.Kind != content.Route {
				break
			}
			if e.Name != faultyRoute {
				continue
			}
			if after, ok := strings.CutPrefix(e.Body, prefix); ok {
				if _, err := fmt.Sscan(after, &share); err == nil {
					return share, true
				}
			}
		}
	}
	return 0, false
}

// isFaultyFor reports whether a gateway is among the percentage that is affected by a faulty version. The choice
// depends on the gateway's name and the version's number.
func isFaultyFor(g *Gateway, number uint64, percent int) bool {
	return xxh3.HashStringSeed(g.Name, number)%100 < uint64(percent)
}

// committed describes a committed version, and the gateways to which its rollout has offered it.
type committed struct {
	ref       content.Ref
	tree      *content.Tree
	at        time.Duration // when a control machine first showed it as committed
	canaries  map[string]bool
	zones     map[string]bool
	all       bool          // offered to all gateways
	stoppedAt time.Duration // 0 if its rollout is not stopped
}

// invariants holds the versions that control machines have shown as committed.
type invariants struct {
	versions map[uint64]*committed
	newest   uint64
	attempt  uint64 // highest attempt of a rollout
}

func newInvariants() invariants { return invariants{versions: make(map[uint64]*committed)} }

// storeView is a summary of a control machine's store, as of the last check.
type storeView struct {
	controller *configdist.Controller
	head       uint64
	released   uint64
	stage      configdist.Rollout
}

// observe records what is new in a control machine's store. It verifies that the store does not go back to an older
// version and agrees with the stores of the other control machines.
func (inv *invariants) observe(cl *Cluster, c *ControlMachine) {
	store := c.Controller.Store()
	head, released, stage := store.Head().Ref.Number, store.Released().Ref.Number, store.Rollout()
	previous := c.lastView
	c.lastView = storeView{c.Controller, head, released, stage}
	if c.lastView == previous {
		return
	}
	if previous.controller == c.Controller && (head < previous.head || released < previous.released) {
		cl.ReportViolation("control machine %d went back from version %d, %d released, to %d, %d", c.ID, previous.head,
			previous.released, head, released)
	}
	from := previous.head
	if previous.controller != c.Controller {
		from = 0
	}
	for n := from; n <= head; n++ {
		if v := store.Version(n); v != nil {
			inv.observeVersion(cl, c, v)
		}
	}
	inv.observeStage(cl, store, stage)
}

// observeVersion records a version, or verifies that it agrees with what another control machine has shown.
func (inv *invariants) observeVersion(cl *Cluster, c *ControlMachine, v *configdist.Version) {
	known := inv.versions[v.Ref.Number]
	if known == nil {
		inv.versions[v.Ref.Number] = &committed{ref: v.Ref, tree: v.Tree, at: cl.clock.Now(),
			canaries: make(map[string]bool), zones: make(map[string]bool)}
		inv.newest = max(inv.newest, v.Ref.Number)
		return
	}
	if known.ref != v.Ref || v.Tree.Hash() != v.Ref.Hash {
		cl.ReportViolation("control machine %d has version %v, another has %v", c.ID, v.Ref, known.ref)
	}
}

// observeStage records the gateways to which the released version and the rollout's version are offered, and whether
// the rollout is stopped.
func (inv *invariants) observeStage(cl *Cluster, store *configdist.Store, r configdist.Rollout) {
	if v := inv.versions[store.Released().Ref.Number]; v != nil {
		v.all = true
	}
	v := inv.versions[r.Version]
	if r.Version == 0 || v == nil {
		return
	}
	if r.Canary != "" {
		v.canaries[r.Canary] = true
	}
	if r.Zone != "" {
		v.zones[r.Zone] = true
	}
	v.all = v.all || r.Stage == configdist.StageAll
	switch {
	case r.Stage == configdist.StageStopped && v.stoppedAt == 0 && r.Attempt >= inv.attempt:
		v.stoppedAt = cl.clock.Now()
	case r.Stage != configdist.StageStopped && r.Attempt > inv.attempt:
		v.stoppedAt = 0 // resumed
	}
	inv.attempt = max(inv.attempt, r.Attempt)
}

// rejects reports whether a gateway would reject the version with the given number or any later version.
func (inv *invariants) rejects(g *Gateway, number uint64) bool {
	for ; number <= inv.newest; number++ {
		v := inv.versions[number]
		if v == nil {
			continue
		}
		if share, found := faultPercent(v.tree, rejectPrefix); found && isFaultyFor(g, number, share) {
			return true
		}
	}
	return false
}

// checkInstalled verifies the invariants for a configuration that a gateway puts in force: it is not older than the
// previous one, committed, complete, offered to this gateway by its stage, and not stopped for longer than
// stopPropagation.
func (inv *invariants) checkInstalled(cl *Cluster, g *Gateway, next configdist.Install) {
	ref := next.Ref
	if ref.Number < g.newestInForce.Number || ref.Term < g.newestInForce.Term {
		cl.ReportViolation("%s: version %v in force after %v", g.Name, ref, g.newestInForce)
	}
	g.newestInForce = ref
	v := inv.versions[ref.Number]
	if v == nil || v.ref != ref {
		cl.ReportViolation("%s: version %v in force, which was never committed", g.Name, ref)
		return
	}
	services := g.Services
	if len(services) == 0 {
		services = v.tree.Services()
	}
	if next.Tree.Hash() != v.tree.ScopeHash(services) {
		cl.ReportViolation("%s: version %v in force with other content: not whole", g.Name, ref)
	}
	if !v.all && !v.canaries[g.Name] && !v.zones[g.Zone] {
		cl.ReportViolation("%s: version %v in force, which is not at its stage", g.Name, ref)
	}
	if v.stoppedAt != 0 && cl.clock.Now() > v.stoppedAt+stopPropagation {
		cl.ReportViolation("%s: version %v in force %v after it was stopped", g.Name, ref, cl.clock.Now()-v.stoppedAt)
	}
}
