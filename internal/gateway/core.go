package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/balancer"
	"thymebend/internal/buffermemory"
	"thymebend/internal/config"
	"thymebend/internal/http1"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
)

// core is the state that all state machines of a gateway share: its configuration, the time of the current
// event, the balancer and the effects collected for that event.
type core struct {
	cfg            config.Config
	log            zerolog.Logger
	balancer       *balancer.Balancer
	now            time.Duration
	effects        []loop.Effect
	turn           uint64 // number of the current turn of the loop
	dispatchNeeded bool   // the balancer was notified of something since its last Dispatch
	invariants     invariant.Checker
	buffers        buffermemory.Budget
	scratch        []byte // memory for one decoded piece in this Step; nil once it is used
	scratchNext    []byte // the same for the next Step
	stats          statistics

	unsolicitedLogged time.Duration // when logUnsolicited last logged a warning; 0 before the first
	shedLogged        time.Duration // when logShed last logged a warning; 0 before the first
}

// pauseListener stops accepting on the admin or hot-restart socket for acceptPauseDuration. This keeps the loop
// from spinning on a pending connection that cannot be accepted for want of a descriptor.
func (c *core) pauseListener(conn loop.Conn) {
	c.emit(loop.Effect{Op: loop.PauseReading, Conn: conn})
	c.setTimer(timerListenerPause, uint64(conn), c.now+acceptPauseDuration)
}

// emit appends an effect to those of the current event.
func (c *core) emit(effect loop.Effect) { c.effects = append(c.effects, effect) }

func (c *core) closeConn(conn loop.Conn) { c.emit(loop.Effect{Op: loop.Close, Conn: conn}) }

func (c *core) write(conn loop.Conn, data []byte) {
	c.emit(loop.Effect{Op: loop.Write, Conn: conn, Data: data})
}

// setTimer sets the timer with this kind and id to fire at the time at. If that timer is already set, it is moved.
func (c *core) setTimer(kind timerKind, id uint64, at time.Duration) {
	c.emit(loop.Effect{Op: loop.SetTimer, Timer: loop.Timer{Kind: uint8(kind), ID: id}, At: at})
}

func (c *core) stopTimer(kind timerKind, id uint64) {
	c.emit(loop.Effect{Op: loop.StopTimer, Timer: loop.Timer{Kind: uint8(kind), ID: id}})
}

// discoveryPushed reports whether an agent on this machine pushes the endpoint lists. The balancer does not
// poll in that case: the gateway itself watches the agent from the start of the process.
func (c *core) discoveryPushed() bool { return !c.cfg.Settings.Config.PollDiscovery }

// longestDeadline returns the longest deadline of all request classes.
func (c *core) longestDeadline() (longest time.Duration) {
	for _, class := range c.cfg.Settings.Config.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// framePiece returns a piece of a body in its form on the wire: as an HTTP chunk if chunked, else unchanged.
// The returned bytes are valid until the next Step.
func framePiece(piece []byte, chunked, last bool) []byte {
	if !chunked {
		return piece
	}
	return http1.AppendChunk(nil, piece, last)
}
