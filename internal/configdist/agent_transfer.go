package configdist

import (
	"fmt"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// receiveOffer handles the announcement of the version that the gateway should have in force. solicited says that the
// agent was awaiting an answer to its last message.
func (a *Agent) receiveOffer(m *codec.Offer, solicited bool) {
	switch {
	case a.transfer != nil && m.Target == a.transfer.target:
		a.send() // repeats the fetch: the page may be lost
	case a.accepts(m.Target, m.Attempt):
		a.startTransfer(m.Target, m.Attempt)
		a.send()
	case !solicited && a.installing == nil:
		a.send() // reports the state, which the control machine does not know
	}
}

// receivePage handles one page of a version: of the current transfer, or of another version that the agent accepts,
// for which it then starts a new transfer.
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
		*t = transfer{target: t.target, attempt: t.attempt} // restarts as a snapshot: the delta is no longer available
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

// add appends a page that follows the pages received before.
func (t *transfer) add(m *codec.Page) {
	t.scope = m.Scope
	t.changes = append(t.changes, m.Changes...)
	for i := range m.Changes {
		t.bytes += len(m.Changes[i].Entry.Body) + len(m.Changes[i].Entry.Name)
	}
	t.after = m.Next
}

// accepts reports whether the agent would install a version now. It must be newer than the version in force, its term
// must not be lower, and the gateway must not have rejected it in the same or a later attempt of the rollout. The
// version in force itself is accepted only if the gateway's services have changed.
func (a *Agent) accepts(ref content.Ref, attempt uint64) bool {
	switch {
	case a.installing != nil || ref.Number == 0:
		return false // version 0 is the empty initial configuration
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

// startTransfer starts to fetch a version: as a delta to the version in force, or as a snapshot if the last delta
// failed or the gateway's services have changed.
func (a *Agent) startTransfer(target content.Ref, attempt uint64) {
	a.transfer = &transfer{target: target, attempt: attempt}
	if !a.wantSnapshot && !a.servicesChanged {
		a.transfer.from = a.inForce
	}
}

// completeTransfer builds the new configuration from the received changes and passes it to the gateway if its hash is
// that of the version. Otherwise a delta is followed by a snapshot, and a snapshot by another control machine.
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
			a.nextController() // another control machine may have correct content
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
