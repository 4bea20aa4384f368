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
	rejectedByWord = "refused-by="
	failsAtWord    = "fails-at="
)

// stopPropagation is how long after a stop was committed a gateway may still take the version: the longest that a
// control machine believes in its quorum or an agent in its session, a frame's way, and an installation.
const stopPropagation = 5 * time.Second

// rejection is why a gateway does not take a configuration.
func rejection(g *Gateway, next configdist.Install) error {
	if share, found := faultShare(next.Tree, rejectedByWord); found && affected(g, next.Ref.Number, share) {
		return errors.New("a body says that it is refused")
	}
	return nil
}

// failure is why a gateway fails with a configuration that it has taken.
func failure(g *Gateway, next configdist.Install) string {
	if share, found := faultShare(next.Tree, failsAtWord); found && affected(g, next.Ref.Number, share) {
		return "a body says that it fails"
	}
	return ""
}

// faultyRoute is the only name under which spoken looks, for a look through everything would cost much at a cluster's
// size.
const faultyRoute = "faulty"

func faultShare(t *content.Tree, word string) (share int, found bool) {
	for _, name := range t.Services() {
		for _, e := range t.Entries(name)[1:] {
			if e.Kind != content.Route {
				break
			}
			if e.Name != faultyRoute {
				continue
			}
			if after, ok := strings.CutPrefix(e.Body, word); ok {
				if _, err := fmt.Sscan(after, &share); err == nil {
					return share, true
				}
			}
		}
	}
	return 0, false
}

func affected(g *Gateway, number uint64, share int) bool {
	return xxh3.HashStringSeed(g.Name, number)%100 < uint64(share)
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
func (l *invariants) observe(cl *Cluster, c *ControlMachine) {
	store := c.Controller.Store()
	head, released, stage := store.Head().Ref.Number, store.Released().Ref.Number, store.Rollout()
	was := c.seen
	c.seen = storeView{c.Controller, head, released, stage}
	if c.seen == was {
		return
	}
	if was.controller == c.Controller && (head < was.head || released < was.released) {
		cl.Violate("control machine %d went back from version %d, %d released, to %d, %d", c.ID, was.head,
			was.released, head, released)
	}
	from := was.head
	if was.controller != c.Controller {
		from = 0
	}
	for n := from; n <= head; n++ {
		if v := store.Version(n); v != nil {
			l.observeVersion(cl, c, v)
		}
	}
	l.observeStage(cl, store, stage)
}

func (l *invariants) observeVersion(cl *Cluster, c *ControlMachine, v *configdist.Version) {
	known := l.versions[v.Ref.Number]
	if known == nil {
		l.versions[v.Ref.Number] = &committed{ref: v.Ref, tree: v.Tree, at: cl.clock.Now(),
			canaries: make(map[string]bool), zones: make(map[string]bool)}
		l.newest = max(l.newest, v.Ref.Number)
		return
	}
	if known.ref != v.Ref || v.Tree.Hash() != v.Ref.Hash {
		cl.Violate("control machine %d has version %v, another has %v", c.ID, v.Ref, known.ref)
	}
}

func (l *invariants) observeStage(cl *Cluster, store *configdist.Store, r configdist.Rollout) {
	if v := l.versions[store.Released().Ref.Number]; v != nil {
		v.all = true
	}
	v := l.versions[r.Version]
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
	case r.Stage == configdist.StageStopped && v.stoppedAt == 0 && r.Attempt >= l.attempt:
		v.stoppedAt = cl.clock.Now()
	case r.Stage != configdist.StageStopped && r.Attempt > l.attempt:
		v.stoppedAt = 0 // resumed
	}
	l.attempt = max(l.attempt, r.Attempt)
}

// rejects tells whether a gateway would refuse some version from a number on.
func (l *invariants) rejects(g *Gateway, number uint64) bool {
	for ; number <= l.newest; number++ {
		v := l.versions[number]
		if v == nil {
			continue
		}
		if share, found := faultShare(v.tree, rejectedByWord); found && affected(g, number, share) {
			return true
		}
	}
	return false
}

// checkInstalled holds a configuration that a gateway has put in force against the rules.
func (l *invariants) checkInstalled(cl *Cluster, g *Gateway, next configdist.Install) {
	ref := next.Ref
	if ref.Number < g.fence.Number || ref.Term < g.fence.Term {
		cl.Violate("%s: version %v in force after %v", g.Name, ref, g.fence)
	}
	g.fence = ref
	v := l.versions[ref.Number]
	if v == nil || v.ref != ref {
		cl.Violate("%s: version %v in force, which was never committed", g.Name, ref)
		return
	}
	services := g.Services
	if len(services) == 0 {
		services = v.tree.Services()
	}
	if next.Tree.Hash() != v.tree.ScopeHash(services) {
		cl.Violate("%s: version %v in force with other content: not whole", g.Name, ref)
	}
	if !v.all && !v.canaries[g.Name] && !v.zones[g.Zone] {
		cl.Violate("%s: version %v in force, which is not at its stage", g.Name, ref)
	}
	if v.stoppedAt != 0 && cl.clock.Now() > v.stoppedAt+stopPropagation {
		cl.Violate("%s: version %v in force %v after it was stopped", g.Name, ref, cl.clock.Now()-v.stoppedAt)
	}
}
