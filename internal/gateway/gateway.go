package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/backoff"
	"thymebend/internal/balancer"
	"thymebend/internal/config"
	"thymebend/internal/discovery"
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

var _ loop.Reducer = (*Gateway)(nil)

// Gateway is the reducer of the process: it routes each event to the state machine concerned and returns the
// effects that the machines emit.
type Gateway struct {
	*core
	actions    *balancerActions
	admin      *adminEndpoint
	assignment *subsetAssignment
	attempts   *attemptTable
	classes    *classTable
	cluster    *cluster
	discovery  *discoveryWatch
	downstream *downstreamConns
	ids        *idRegistry
	listener   *listener
	relays     *relayTable
	reload     *reloader
	requests   *requestTable
	restart    *hotRestart
	shutdown   *shutdown
	uploads    *uploads
}

// New returns a gateway. It emits no effect before the first event, loop.Start.
func New(cfg config.Config, log zerolog.Logger) *Gateway {
	c := &core{cfg: cfg, log: log, stats: statistics{classes: make(map[string]*classCounts)}}
	c.invariants.Report = c.logViolation
	g := &Gateway{
		core:       c,
		actions:    new(balancerActions),
		admin:      new(adminEndpoint),
		assignment: new(subsetAssignment),
		attempts:   new(attemptTable),
		classes:    &classTable{core: c, previous: make(map[string]previousClass)},
		cluster:    new(cluster),
		discovery:  new(discoveryWatch),
		downstream: new(downstreamConns),
		ids:        new(idRegistry),
		listener:   new(listener),
		relays:     new(relayTable),
		reload:     new(reloader),
		requests:   new(requestTable),
		restart:    new(hotRestart),
		shutdown:   new(shutdown),
		uploads:    new(uploads),
	}
	g.connectTraffic()
	g.connectControl()
	return g
}

// connectTraffic initializes the machines on the path of requests and gives each the other machines that it
// uses.
func (g *Gateway) connectTraffic() {
	*g.downstream = downstreamConns{
		core: g.core, attempts: g.attempts, classes: g.classes, discovery: g.discovery, ids: g.ids, listener: g.listener,
		relays: g.relays, requests: g.requests, restart: g.restart, shutdown: g.shutdown, uploads: g.uploads,
		conns: downstream.NewConns(0),
	}
	*g.requests = requestTable{
		core: g.core, attempts: g.attempts, downstream: g.downstream, ids: g.ids,
		byID: make(map[balancer.RequestID]*request), openIDs: make(map[string]bool),
	}
	*g.attempts = attemptTable{
		core: g.core, discovery: g.discovery, downstream: g.downstream, ids: g.ids, relays: g.relays, requests: g.requests,
		shutdown: g.shutdown, uploads: g.uploads,
		pool: upstream.NewPool(0), byConn: make(map[loop.Conn]*attempt), byID: make(map[uint64]*attempt),
	}
	*g.ids = idRegistry{
		core: g.core, attempts: g.attempts, downstream: g.downstream, requests: g.requests, restart: g.restart,
	}
	*g.relays = relayTable{
		core: g.core, attempts: g.attempts, downstream: g.downstream, requests: g.requests,
		byConn: make(map[loop.Conn]*relay),
	}
	*g.uploads = uploads{core: g.core, attempts: g.attempts, downstream: g.downstream, requests: g.requests}
	*g.actions = balancerActions{
		core: g.core, attempts: g.attempts, discovery: g.discovery, downstream: g.downstream, requests: g.requests,
	}
}

// connectControl initializes the machines that connectTraffic does not, and gives each the other machines that it
// uses: those for configuration, discovery, cluster, hot restart and shutdown.
func (g *Gateway) connectControl() {
	*g.admin = adminEndpoint{
		core: g.core, attempts: g.attempts, cluster: g.cluster, discovery: g.discovery, downstream: g.downstream,
		listener: g.listener, relays: g.relays, requests: g.requests, restart: g.restart, shutdown: g.shutdown,
	}
	*g.assignment = subsetAssignment{core: g.core, cluster: g.cluster, discovery: g.discovery, restart: g.restart}
	*g.cluster = cluster{core: g.core, assignment: g.assignment, shutdown: g.shutdown}
	*g.discovery = discoveryWatch{
		core: g.core, assignment: g.assignment, attempts: g.attempts, restart: g.restart,
		endpoints: discovery.NewEndpoints(g.cfg.Settings.Gateway.Zones),
		backoff:   backoff.Backoff{Initial: redialInterval},
		rand:      rand.New(rand.NewPCG(g.cfg.Seed, randStream)),
	}
	*g.listener = listener{
		core: g.core, cluster: g.cluster, downstream: g.downstream, restart: g.restart, shutdown: g.shutdown,
	}
	*g.reload = reloader{core: g.core, classes: g.classes, cluster: g.cluster, discovery: g.discovery}
	*g.restart = hotRestart{
		core: g.core, attempts: g.attempts, cluster: g.cluster, discovery: g.discovery, downstream: g.downstream,
		ids: g.ids, listener: g.listener, shutdown: g.shutdown,
	}
	*g.shutdown = shutdown{
		core: g.core, cluster: g.cluster, downstream: g.downstream, listener: g.listener, requests: g.requests,
		restart: g.restart,
	}
}

// Step handles one event and returns the effects to carry out, in order; they are valid until the next Step.
// Notifications that arise within an action of the balancer are delivered to it at the end of the Step.
func (g *Gateway) Step(now time.Duration, e loop.Event) []loop.Effect {
	g.now, g.effects = now, g.effects[:0]
	if g.scratchNext != nil {
		g.scratch, g.scratchNext = g.scratchNext, nil
	}
	switch e.Kind {
	case loop.Start:
		g.start()
	case loop.Stop:
		g.shutdown.begin()
	case loop.Reload:
		g.reload.begin()
	case loop.FileRead:
		g.reload.fileRead(e)
	case loop.TimerDue:
		g.timerDue(e.Timer)
	case loop.TurnEnd:
		if g.dispatchNeeded {
			g.dispatchNeeded = false
			g.assignment.grantTokens()
			g.balancer.Dispatch(now)
		}
	default:
		g.socketEvent(e)
	}
	g.attempts.reportEnds()
	g.discovery.reportLoss()
	if e.Kind == loop.TurnEnd {
		g.turn++
		g.downstream.continuePostponed()
		if g.dispatchNeeded {
			g.emit(loop.Effect{Op: loop.RequestTurn})
		}
		g.ids.share()
		g.restart.passIdleConns()
		g.shutdown.exitIfDone()
	}
	return g.effects
}

// start creates the balancer and passes it the cached endpoint list of the configuration.
func (g *Gateway) start() {
	b, err := balancer.New(g.cfg.Settings.Config, g.cfg.Seed, g.now, g.actions)
	if err != nil {
		g.log.Error().Err(err).Msg("settings rejected by the balancer")
		g.emit(loop.Effect{Op: loop.Exit, ExitError: err})
		return
	}
	g.balancer = b
	g.classes.begin()
	if g.cfg.Admin.IsValid() {
		g.emit(loop.Effect{Op: loop.Listen, Conn: loop.Admin, Addr: g.cfg.Admin, Urgent: true})
	}
	g.restart.resize()
	g.dispatchNeeded = true
	g.discovery.takeCached()
	g.restart.begin()
	if g.discoveryPushed() {
		g.discovery.redial()
	}
}

// socketEvent routes an event on a socket to the machine that owns the socket.
func (g *Gateway) socketEvent(e loop.Event) {
	switch {
	case e.Kind == loop.Accepted:
		g.accepted(e)
	case e.Conn == loop.Listener && e.Kind == loop.Broken && g.restart.predecessor != nil:
		g.restart.losePredecessor(e.Err.Error())
	case (e.Conn == loop.Listener || e.Conn == loop.Admin) && e.Kind == loop.Broken:
		g.log.Error().Err(e.Err).Msg("listen")
		g.emit(loop.Effect{Op: loop.Exit, ExitError: e.Err})
	case e.Conn == loop.Listener:
		g.listener.handleEvent(e)
	case e.Conn == loop.Admin:
		g.admin.listenerEvent(e)
	case e.Conn == loop.HotRestart:
		g.restart.listenerEvent(e)
	case e.Conn == loop.Gossip:
		g.cluster.handleEvent(e)
	case g.restart.predecessor != nil && e.Conn == g.restart.predecessor.ID:
		g.restart.predecessorEvent(e)
	case g.restart.successor != nil && e.Conn == g.restart.successor.ID:
		g.restart.successorEvent(e)
	default:
		g.connEvent(e)
	}
}

// accepted routes a new connection to the machine that owns the listener that accepted it.
func (g *Gateway) accepted(e loop.Event) {
	switch e.AcceptedBy {
	case loop.Admin:
		g.admin.accepted(e.Conn)
	case loop.HotRestart:
		g.restart.successorConnected(e.Conn)
	default:
		g.downstream.accepted(e.Conn)
	}
}

// connEvent routes an event to the machine that owns the connection. A connection without an owner was dropped
// earlier; it is closed again.
func (g *Gateway) connEvent(e loop.Event) {
	if conn := g.admin.conns.Find(e.Conn); conn != nil {
		g.admin.handleEvent(conn, e)
	} else if w := g.discovery.find(e.Conn); w != nil {
		g.discovery.handleEvent(w, e)
	} else if conn := g.downstream.conns.ByConn[e.Conn]; conn != nil {
		g.downstream.handleEvent(conn, e)
	} else if r := g.relays.byConn[e.Conn]; r != nil {
		g.relays.handleEvent(r, e)
	} else if conn := g.attempts.pool.Find(e.Conn); conn != nil {
		g.attempts.handleEvent(conn, e)
	} else {
		g.closeConn(e.Conn)
	}
}
