package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/balancer"
	"thymebend/internal/config"
	"thymebend/internal/http1"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
)

// core is what all state machines of a gateway share: its configuration, the time of the event under way, the
// balancer and the effects collected so far.
type core struct {
	cfg            config.Config
	log            zerolog.Logger
	balancer       *balancer.Balancer
	now            time.Duration
	effects        []loop.Effect
	dispatchNeeded bool // the balancer heard of something since its last Dispatch
	invariants     invariant.Checker
	stats          statistics
}

// pauseListener accepts nothing for a moment on the admin or hot-restart socket. Guards against spinning
// while a connection waits for which there is no descriptor.
func (c *core) pauseListener(conn loop.Conn) {
	c.emit(loop.Effect{Op: loop.Mute, Conn: conn})
	c.setTimer(timerListenerPause, uint64(conn), c.now+acceptPauseDuration)
}

// emit adds an effect to those of the event under way.
func (c *core) emit(f loop.Effect) { c.effects = append(c.effects, f) }

func (c *core) closeConn(conn loop.Conn) { c.emit(loop.Effect{Op: loop.Close, Conn: conn}) }

func (c *core) write(conn loop.Conn, data []byte) {
	c.emit(loop.Effect{Op: loop.Write, Conn: conn, Data: data})
}

// setTimer sets the timer of a kind and an id, in place of the one before.
func (c *core) setTimer(kind timerKind, id uint64, at time.Duration) {
	c.emit(loop.Effect{Op: loop.SetTimer, Timer: loop.Timer{Kind: uint8(kind), ID: id}, At: at})
}

func (c *core) stopTimer(kind timerKind, id uint64) {
	c.emit(loop.Effect{Op: loop.StopTimer, Timer: loop.Timer{Kind: uint8(kind), ID: id}})
}

// discoveryPushed reports whether endpoint lists come from an agent on this machine, to which they are
// pushed. The balancer does not poll then: the gateway itself watches the agent from its start on.
func (c *core) discoveryPushed() bool { return !c.cfg.Settings.Config.PollDiscovery }

// longestDeadline is the longest deadline of the classes.
func (c *core) longestDeadline() (longest time.Duration) {
	for _, class := range c.cfg.Settings.Config.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// framed is a piece of a body as it goes on the wire. The bytes are valid until the next Step.
func framed(piece []byte, chunked, last bool) []byte {
	if !chunked {
		return piece
	}
	return http1.AppendChunk(nil, piece, last)
}
