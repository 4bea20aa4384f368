package configdist

import (
	"fmt"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// receiveOffer takes word of the version that the gateway is to have. solicited says that it answers what the agent
// sent last.
func (a *Agent) receiveOffer(m *codec.Offer, solicited bool) {
	switch {
	case a.transfer != nil && m.Target == a.transfer.target:
		a.send() // the page may be lost
	case a.accepts(m.Target, m.Attempt):
		a.startTransfer(m.Target, m.Attempt)
		a.send()
	case !solicited && a.installing == nil:
		a.send() // the control machine does not know how things stand
	}
}

// receivePage takes a part of a version, of the one that is being collected or of another that is to be.
func (a *Agent) receivePage(m *codec.Page, solicited bool) {
	t := a.transfer
	if t == nil || t.target != m.Target || t.attempt != m.Attempt {
		if !a.accepts(m.Target, m.Attempt) {
			if !solicited && a.installing == nil {
				a.send()
			}
			return
		}
		a.startTransfer(m.Target, m.Attempt)
		t = a.transfer
	}
	if m.From == (content.Ref{}) && t.from != m.From && m.After == (content.Cursor{}) {
		*t = transfer{target: t.target, attempt: t.attempt} // a snapshot, for the delta is no longer to be had
	}
	if t.from != m.From || t.after != m.After {
		a.send()
		return
	}
	t.add(m)
	switch {
	case t.bytes > maxTransferBytes:
		a.transfer = nil
		a.reject(t.target, t.attempt, fmt.Sprintf("more than %d bytes", maxTransferBytes))
	case m.Last:
		a.completeTransfer()
	default:
		a.send()
	}
}

// add takes a page that follows those collected.
func (t *transfer) add(m *codec.Page) {
	t.scope = m.Scope
	t.changes = append(t.changes, m.Changes...)
	for i := range m.Changes {
		t.bytes += len(m.Changes[i].Entry.Body) + len(m.Changes[i].Entry.Name)
	}
	t.after = m.Next
}

// accepts is the fence: only a newer version of no older term is taken, and none that was rejected in the same
// attempt.
func (a *Agent) accepts(ref content.Ref, attempt uint64) bool {
	switch {
	case a.installing != nil || ref.Number == 0:
		return false // version 0 is nothing at all
	case ref == a.inForce:
		return a.servicesChanged
	case ref.Number == a.inForce.Number:
		a.counts.Forked++
		return false
	case ref.Number < a.inForce.Number || ref.Term < a.inForce.Term:
		a.counts.Fenced++
		return false
	}
	return a.lastVerdict.Verdict != codec.Rejected || a.lastVerdict.Version != ref.Number ||
		a.lastVerdict.Attempt < attempt
}

// startTransfer begins to collect a version, as a delta where that is possible.
func (a *Agent) startTransfer(target content.Ref, attempt uint64) {
	a.transfer = &transfer{target: target, attempt: attempt}
	if !a.wantSnapshot && !a.servicesChanged {
		a.transfer.from = a.inForce
	}
}

// completeTransfer builds what was collected aside, and hands it to the gateway if it is what its version says.
func (a *Agent) completeTransfer() {
	t := a.transfer
	a.transfer = nil
	base := content.EmptyTree()
	snapshot := t.from == content.Ref{}
	if !snapshot {
		base = a.tree
	}
	tree, err := base.Patch(t.changes)
	if err != nil || tree.Hash() != t.scope {
		a.counts.Mismatched++
		if snapshot {
			a.nextController() // another control machine may have it right
			return
		}
		a.wantSnapshot = true
		a.startTransfer(t.target, t.attempt)
		a.send()
		return
	}
	if a.wantSnapshot = false; snapshot {
		a.counts.Snapshots++
	}
	a.installing = &installing{t.target, t.attempt, tree, a.cfg.Services}
	a.output.Install = &Install{Ref: t.target, Tree: tree}
}
