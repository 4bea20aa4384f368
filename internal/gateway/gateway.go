// Package gateway holds the state of the real gateway. All of it changes in one reducer, Step: an event in,
// effects out. It hosts the decision module, tells it what happens and carries out its actions; it takes no
// decisions of its own.
package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/admin"
	"thymebend/internal/backoff"
	"thymebend/internal/balancer"
	"thymebend/internal/config"
	"thymebend/internal/discovery"
	"thymebend/internal/downstream"
	"thymebend/internal/hotrestart"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
	"thymebend/internal/starttime"
	"thymebend/internal/upstream"
)

// Timers by kind. Their ids are connections, executions or tokens of the module.
const (
	timerWake uint8 = iota
	timerClient
	timerLink
	timerExecution
	timerWatch
	timerAccept
	timerStop
	timerMove
	timerCall
	timerHold
	timerOperator
	timerElder
	timerHeir
	timerListener
	timerFleet
)

// The budget of descriptors: a few are the program's own, the rest is shared out, so that neither a crowd of
// clients nor slow hosts can take what the other side needs.
const (
	ownSockets  = 20 + admin.MaxConns
	clientShare = 0.65
)

// drawStream tells the gateway's own random draws from others of the same seed.
const drawStream = 0x6c697374

// idleShare of the time after which hosts close idle links: closed by then, none is reused too late.
const idleShare = 0.7

// query is a request that this gateway has taken.
type query struct {
	downstream.Request
	id         balancer.RequestID
	client     loop.Conn // 0 once the client is gone
	deadline   time.Duration
	over       bool // has its final answer, or its client is gone
	attempts   int
	executions []*execution // under way
	up         *upload      // its body, where that is too large to be held
	rules      invariant.Request
}

// execution is one attempt under way.
type execution struct {
	query  *query
	number int
	id     uint64
	host   balancer.EndpointID
	link   *upstream.Conn
	began  time.Duration
	until  time.Duration // awaited until then
	// written is its number among the attempts of which something was written, unwritten before.
	written int
}

// pendingEnd is an end that the module is told once it has returned.
type pendingEnd struct {
	exec   *execution
	end    TerminationReason
	answer *upstream.Response
}

// notice is news of an upload that the module is told once it has returned, before the ends.
type notice struct {
	exec *execution
	done bool // its last byte is written
}

// Gateway is the state. It implements thymebend.Actions.
type Gateway struct {
	cfg    config.Config
	log    zerolog.Logger
	module *balancer.Balancer
	now    time.Duration

	effects []loop.Effect
	ended   []pendingEnd
	notices []notice
	told    bool // the module was told something since its last Dispatch
	wakes   uint64

	queries  map[balancer.RequestID]*query
	open     map[string]bool // the clients' ids of the queries that await their answer
	nextID   balancer.RequestID
	relays   map[loop.Conn]*relay // large answers under way, by either link
	ahead    int                  // bytes of them that were read and wait for clients
	byLink   map[loop.Conn]*execution
	byID     map[uint64]*execution
	nextExec uint64

	places   []int               // of the settings' classes in the module
	former   map[string]formerly // classes that changed lately
	tallies  map[string]*tally   // by class
	relayed  int64               // requests written whole to hosts
	accepted int                 // configurations taken at a reload
	invalid  int                 // and turned down
	ends     [endKinds]uint64    // of attempts and of client connections, by reason
	refusals [refusalReasons]uint64
	retries  uint64 // attempts beyond a request's first
	guard    invariant.Checker
	starts   starttime.StartTimes // of hosts, on this process's clock

	elder      *hotrestart.Conn // the process that served before, while it lives
	elderHolds int              // descriptors that it needs
	heir       *hotrestart.Conn // the process that comes next
	heirGiven  bool             // it has the listening socket
	heirTakes  bool             // it takes clients: this one accepts none
	restless   bool             // a client link may have come to rest since links were passed last
	passing    []loop.Conn      // passed and not yet acknowledged
	toldHolds  int              // what the heir was told last
	heap       int64

	fleet   fleet
	portion *portion // nil where the fleet divides nothing
	reading []string // files asked for and not yet read

	ops       admin.Conns
	listening bool // clients can connect

	links  *downstream.Conns
	pool   *upstream.Pool
	group  *discovery.Endpoints
	watch  *discovery.Watch
	moving *discovery.Watch // asks discovery's new address while the old watch stands
	queued *discovery.Watch // an older call that may still wait in discovery's queue beside a younger one
	lost   bool             // the watch ended; the module is told once it has returned
	unmet  bool             // with lost: its connection never came up

	callNotBefore time.Duration   // discovery has asked for no call until then
	unheardSince  time.Duration   // the watch ended then, and no call since has been answered or failed; 0 otherwise
	movePacer     backoff.Backoff // of the calls to a new address
	draws         *rand.Rand      // of the gateway itself; the module has its own

	olderSince time.Duration // the agent has had an older list than this gateway since then; 0 if it has not

	paused   bool // the listener is muted
	stopping bool
	killAt   time.Duration // with stopping: SIGKILL may come from then on
	closed   bool          // nothing new is taken but what waits at the listener
	drained  bool          // the listener is closed
}

// New returns a gateway. Nothing happens before the first event.
func New(cfg config.Config, log zerolog.Logger) *Gateway {
	g := &Gateway{
		cfg: cfg, log: log,
		queries: make(map[balancer.RequestID]*query), open: make(map[string]bool),
		former: make(map[string]formerly), tallies: make(map[string]*tally),
		relays: make(map[loop.Conn]*relay),
		byLink: make(map[loop.Conn]*execution), byID: make(map[uint64]*execution),
		links: downstream.NewConns(0), pool: upstream.NewPool(0),
		group:     discovery.NewEndpoints(cfg.Settings.Gateway.Zones),
		movePacer: backoff.Backoff{Initial: moveAgain},
		draws:     rand.New(rand.NewPCG(cfg.Seed, drawStream)),
	}
	g.guard.Report = g.traceViolation
	return g
}

// Step is the reducer. The module is called here and nowhere else, never from one of its own actions.
func (g *Gateway) Step(now time.Duration, e loop.Event) []loop.Effect {
	g.now, g.effects = now, g.effects[:0]
	switch e.Kind {
	case loop.Start:
		g.start()
	case loop.Stop:
		g.stop()
	case loop.Reload:
		g.readFiles()
	case loop.File:
		g.fileRead(e)
	case loop.TimerDue:
		g.timerDue(e.Timer)
	case loop.Turn:
		if g.told {
			g.told = false
			g.takeTurns()
			g.module.Dispatch(now)
		}
	default:
		g.socket(e)
	}
	g.tellEnds()
	if e.Kind == loop.Turn {
		if g.told {
			g.ask(loop.Effect{Op: loop.Again})
		}
		g.passLinks()
		g.exitIfDone()
	}
	return g.effects
}

func (g *Gateway) ask(f loop.Effect) { g.effects = append(g.effects, f) }

func (g *Gateway) close(c loop.Conn) { g.ask(loop.Effect{Op: loop.Close, Conn: c}) }

func (g *Gateway) write(c loop.Conn, data []byte) {
	g.ask(loop.Effect{Op: loop.Write, Conn: c, Data: data})
}

func (g *Gateway) setTimer(kind uint8, id uint64, at time.Duration) {
	g.ask(loop.Effect{Op: loop.SetTimer, Timer: loop.Timer{Kind: kind, ID: id}, At: at})
}

func (g *Gateway) stopTimer(kind uint8, id uint64) {
	g.ask(loop.Effect{Op: loop.StopTimer, Timer: loop.Timer{Kind: kind, ID: id}})
}

// start makes the module and gives it the list that this gateway last had.
func (g *Gateway) start() {
	module, err := balancer.New(g.cfg.Settings.Config, g.cfg.Seed, g.now, g)
	if err != nil {
		g.log.Error().Err(err).Msg("settings refused by the module")
		g.ask(loop.Effect{Op: loop.Exit, Failed: err})
		return
	}
	g.module = module
	for i := range g.cfg.Settings.Config.Classes {
		g.places = append(g.places, i)
	}
	g.countClasses()
	if g.cfg.Admin.IsValid() {
		g.ask(loop.Effect{Op: loop.Listen, Conn: loop.Admin, Addr: g.cfg.Admin, Urgent: true})
	}
	g.resize()
	g.told = true
	if g.pushed() {
		defer g.move()
	}
	defer g.meet()
	if len(g.cfg.CachedEndpoints) == 0 {
		g.module.UpdateEndpoints(g.now, balancer.CachedSnapshot, nil)
		return
	}
	news, err := g.group.Apply(g.cfg.CachedEndpoints)
	if err != nil {
		g.log.Error().Err(err).Msg("the known list is not usable")
	}
	g.tellList(balancer.CachedSnapshot, news.Entries)
}

// socket hands the news of a socket to the peer that it belongs to. A socket that no peer knows was closed.
func (g *Gateway) socket(e loop.Event) {
	switch {
	case e.Kind == loop.Accepted && e.Via == loop.Admin:
		g.operatorCame(e.Conn)
		return
	case e.Kind == loop.Accepted && e.Via == loop.HotRestart:
		g.newcomerCame(e.Conn)
		return
	case e.Kind == loop.Accepted:
		g.clientCame(e.Conn)
		return
	case e.Conn == loop.Listener && e.Kind == loop.Broken && g.elder != nil:
		g.loseElder(e.Err.Error())
		return
	case (e.Conn == loop.Listener || e.Conn == loop.Admin) && e.Kind == loop.Broken:
		g.log.Error().Err(e.Err).Msg("listen")
		g.ask(loop.Effect{Op: loop.Exit, Failed: e.Err})
		return
	case e.Conn == loop.Listener:
		g.listener(e)
		return
	case e.Conn == loop.Admin:
		g.controlListener(e)
		return
	case e.Conn == loop.HotRestart:
		g.handoverListener(e)
		return
	case e.Conn == loop.Gossip:
		g.fleetEvent(e)
		return
	case g.elder != nil && e.Conn == g.elder.ID:
		g.elderEvent(e)
		return
	case g.heir != nil && e.Conn == g.heir.ID:
		g.hear(&g.heir, e, g.heirSays, g.loseHeir)
		return
	}
	if l := g.ops.Find(e.Conn); l != nil {
		g.operatorEvent(l, e)
		return
	}
	if w := g.watchOn(e.Conn); w != nil {
		g.watchEvent(w, e)
		return
	}
	if l := g.links.ByConn[e.Conn]; l != nil {
		g.clientEvent(l, e)
		return
	}
	if r := g.relays[e.Conn]; r != nil {
		g.relayEvent(r, e)
		return
	}
	if l := g.pool.Find(e.Conn); l != nil {
		g.serverEvent(l, e)
		return
	}
	g.close(e.Conn)
}

func (g *Gateway) timerDue(t loop.Timer) {
	switch t.Kind {
	case timerWake:
		g.told = true
		g.module.TimerFired(g.now, uint32(t.ID))
		g.lookAround()
	case timerClient:
		g.clientTimer(loop.Conn(t.ID))
	case timerLink:
		if r := g.relays[loop.Conn(t.ID)]; r != nil {
			g.relayTimer(r)
		} else if l := g.pool.Find(loop.Conn(t.ID)); l != nil && l.Phase == upstream.Idle {
			g.dropLink(l, ReasonIdleTimeout)
		}
	case timerExecution:
		g.executionTimer(t.ID)
	case timerWatch:
		if w := g.watchOn(loop.Conn(t.ID)); w != nil {
			g.watchSilent(w)
		}
	case timerMove:
		if g.watch == nil || g.watch.Addr != g.cfg.Discovery {
			g.move()
		}
	case timerCall:
		if g.watch == nil && g.moving == nil {
			g.watch = g.openWatch()
			g.module.WatchStarted(g.now)
		}
	case timerHold:
		g.holdDue()
	case timerElder:
		if g.elder != nil {
			g.loseElder("it does not answer")
		}
	case timerHeir:
		if g.heir != nil {
			g.loseHeir("it does not answer")
		}
	case timerOperator:
		if l := g.ops.Find(loop.Conn(t.ID)); l != nil {
			g.dropOperator(l)
		}
	case timerFleet:
		g.fleetDue()
	case timerListener:
		g.ask(loop.Effect{Op: loop.Unmute, Conn: loop.Conn(t.ID)})
	case timerAccept:
		g.resume()
	case timerStop:
		if g.closed {
			g.endListener()
		} else {
			g.closeListener()
		}
	}
}
