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

// Words in bodies by which a gateway refuses a configuration or fails with it: a share in percent of the gateways
// follows.
const (
	rejectPrefix = "refused-by="
	failPrefix   = "fails-at="
)

// stopPropagation is how long after a stop was committed a gateway may still take the version: the longest that a
// control machine believes in its quorum or an agent in its session, a frame's way, and an installation.
const stopPropagation = 5 * time.Second

// rejectionError is why a gateway does not take a configuration.
func rejectionError(g *Gateway, next configdist.Install) error {
	if share, found := faultShare(next.Tree, rejectPrefix); found && isFaultyFor(g, next.Ref.Number, share) {
		return errors.New("a body says that it is refused")
	}
	return nil
}

// failureReason is why a gateway fails with a configuration that it has taken.
func failureReason(g *Gateway, next configdist.Install) string {
	if share, found := faultShare(next.Tree, failPrefix); found && isFaultyFor(g, next.Ref.Number, share) {
		return "a body says that it fails"
	}
	return ""
}

// faultyRoute is the only name under which spoken looks, for a look through everything would cost much at a cluster's
// size.
const faultyRoute = "faulty"

func faultShare(t *content.Tree, prefix string) (share int, found bool) {
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

func isFaultyFor(g *Gateway, number uint64, percent int) bool {
	return xxh3.HashStringSeed(g.Name, number)%100 < uint64(percent)
}

// committed is one version as the log has it.
type committed struct {
	ref       content.Ref
	tree      *content.Tree
	at        time.Duration
	canaries  map[string]bool
	zones     map[string]bool
	all       bool
	stoppedAt time.Duration // 0 where it is not stopped
}

// invariants is what control machines have shown to be committed.
type invariants struct {
	versions map[uint64]*committed
	newest   uint64
	attempt  uint64
}

func newInvariants() invariants { return invariants{versions: make(map[uint64]*committed)} }

// storeView is what was last seen of a control machine's store.
type storeView struct {
	controller *configdist.Controller
	head       uint64
	released   uint64
	stage      configdist.Rollout
}

// observe takes what is new in a control machine's store, and holds it against what others have shown.
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

// rejects tells whether a gateway would refuse some version from a number on.
func (inv *invariants) rejects(g *Gateway, number uint64) bool {
	for ; number <= inv.newest; number++ {
		v := inv.versions[number]
		if v == nil {
			continue
		}
		if share, found := faultShare(v.tree, rejectPrefix); found && isFaultyFor(g, number, share) {
			return true
		}
	}
	return false
}

// checkInstalled holds a configuration that a gateway has put in force against the rules.
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
