package configdist

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/configdist/codec"
)

// startSession starts a new session with the current control machine after a pause. Messages of earlier sessions are
// dropped from now on.
func (a *Agent) startSession(pause time.Duration) {
	a.session++
	a.counts.Sessions++
	a.subscribed, a.awaitingAnswer, a.sends, a.transfer = false, false, 0, nil
	a.nextSend = a.now + pause
	a.returnAt = a.now + a.jitter(returnInterval)
	if pause == 0 {
		a.send()
	}
}

// jitter lengthens a duration by a random part of up to 10%.
func (a *Agent) jitter(d time.Duration) time.Duration {
	return d + time.Duration(a.rng.Int64N(int64(d)/10+1))
}

// nextController changes to the next control machine. Once none of them has served the agent, it waits for a backoff
// that doubles each time, up to maxBackoff, and is randomized between half and one and a half times its value.
func (a *Agent) nextController() {
	a.current = (a.current + 1) % len(a.controllers)
	if a.unreachable++; a.unreachable < len(a.controllers) {
		a.startSession(0)
		return
	}
	a.unreachable = 0
	a.counts.Unreachable++
	pause := a.backoff/2 + time.Duration(a.rng.Int64N(int64(a.backoff)))
	a.backoff = min(2*a.backoff, maxBackoff)
	a.startSession(pause)
}

// advanceClock sets the current time. If the agent was not called for longer than stallThreshold, it starts a new
// session: messages that were queued meanwhile may belong to a rollout that was stopped.
func (a *Agent) advanceClock(now time.Duration) {
	stalled := now-a.now > stallThreshold
	a.now = max(a.now, now)
	if stalled {
		a.counts.Stalls++
		a.startSession(0)
	}
}

// send sends the message that the agent's state requires: a subscription, a fetch of the next page, or a report.
func (a *Agent) send() {
	switch {
	case !a.subscribed:
		a.post(&codec.Subscribe{Gateway: a.cfg.Gateway, Zone: a.cfg.Zone, Session: a.session,
			Services: a.cfg.Services, State: a.state()})
	case a.transfer != nil:
		a.post(&codec.Fetch{Gateway: a.cfg.Gateway, Session: a.session, From: a.transfer.from,
			Target: a.transfer.target.Number, After: a.transfer.after})
	default:
		a.post(&codec.Report{Gateway: a.cfg.Gateway, Session: a.session, State: a.state()})
	}
	a.awaitingAnswer = true
	a.sends++
	a.nextSend = a.now + a.jitter(answerTimeout)
}

func (a *Agent) post(m codec.Message) {
	a.output.Messages = append(a.output.Messages, ToController{a.controllers[a.current], m})
}

// Disconnected reports to the agent that its link to a control machine ended or could not be established.
func (a *Agent) Disconnected(now time.Duration, controller uint64) {
	a.advanceClock(now)
	if controller == a.controllers[a.current] && (a.subscribed || a.awaitingAnswer) {
		a.nextController()
	}
}

// controllerOrder returns the IDs of the control machines in the order in which an agent tries them: first those in
// the agent's region, then the others, each group ordered by rendezvous hashing. The agents are thus distributed
// evenly, and only few change when a control machine fails.
func controllerOrder(cfg AgentConfig) []uint64 {
	score := func(c ControlMachine) uint64 { return xxh3.HashStringSeed(cfg.Gateway, c.ID) }
	list := slices.SortedFunc(slices.Values(cfg.Controllers), func(a, b ControlMachine) int {
		if aLocal, bLocal := a.Region == cfg.Region, b.Region == cfg.Region; aLocal != bLocal {
			if aLocal {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
	})
	order := make([]uint64, 0, len(list))
	for _, c := range list {
		order = append(order, c.ID)
	}
	return order
}
