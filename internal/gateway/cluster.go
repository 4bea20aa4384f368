package gateway

import (
	"time"

	"thymebend/internal/admin"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/loop"
	"thymebend/internal/membership"
)

const (
	socketRetryInterval   = time.Second // until a socket that failed is opened again
	membershipLogInterval = time.Second // between two log lines about the view
)

// cluster is this process's membership in the cluster of gateways, where a gossip file asks for it: the
// reducer of internal/membership on a datagram socket. Without the file there is no socket, no timer and no
// membership.
type cluster struct {
	*core
	assignment *subsetAssignment
	shutdown   *shutdown

	membership    *membership.Membership // nil while another process of this gateway speaks
	socketOpen    bool
	joined        int    // how often a membership was begun
	startID       uint64 // identity that was handed over, or this process's own
	incarnation   uint64 // to begin with
	loggedAt      time.Duration
	loggedVersion uint64 // version of the view in the last log line
}

// join begins to speak, once this process takes clients: at an upgrade under the predecessor's identity.
func (c *cluster) join() {
	if c.cfg.Gossip == nil || c.membership != nil || c.shutdown.stopping() {
		return
	}
	f := c.cfg.Gossip
	if c.startID == 0 {
		c.startID = uint64(c.now.Milliseconds())
	}
	c.assignment.begin()
	payload := c.assignment.initialPayload()
	view, err := membership.New(membership.Config{
		Cluster:     f.Cluster,
		Name:        f.Name,
		Start:       c.startID,
		Incarnation: c.incarnation,
		SeedPeers:   f.SeedPeers,
		Flat:        f.Flat,
		Payload:     payload,
		Seed:        c.cfg.Seed,
	}, c.now)
	if err != nil {
		c.log.Error().Err(err).Msg("cluster: not joined")
		c.assignment.end()
		return
	}
	c.membership = view
	c.joined++
	c.openSocket()
}

// inherit takes the identity of the predecessor, under which this process will speak.
func (c *cluster) inherit(startID, incarnation uint64) {
	c.startID, c.incarnation = startID, incarnation
}

func (c *cluster) openSocket() {
	c.emit(loop.Effect{Op: loop.Bind, Conn: loop.Gossip, Addr: c.cfg.Gossip.Listen, Urgent: true})
}

// quit ends the membership: silently, for the successor speaks under this identity, or by announcing that
// this gateway leaves.
func (c *cluster) quit(leave bool) {
	v := c.membership
	if v == nil {
		return
	}
	if leave {
		v.Leave(c.now)
		c.flush()
	}
	c.startID, c.incarnation = v.Identity()
	c.membership, c.socketOpen = nil, false
	c.assignment.end()
	c.stopTimer(timerCluster, 0)
	c.closeConn(loop.Gossip)
}

func (c *cluster) handleEvent(e loop.Event) {
	switch {
	case c.membership == nil:
	case e.Kind == loop.Listening:
		c.socketOpen = true
		c.log.Info().Str(fieldCluster, c.cfg.Gossip.Cluster).Stringer(fieldListen, c.cfg.Gossip.Listen).
			Msg("cluster: joining")
		c.timerDue()
	case e.Kind == loop.Readable:
		c.emit(loop.Effect{Op: loop.Read, Conn: loop.Gossip})
	case e.Kind == loop.Data:
		c.membership.Receive(c.now, e.From, e.Data)
		c.flush()
	case e.Kind == loop.Broken:
		c.socketOpen = false
		c.log.Error().Err(e.Err).Msg("cluster: no socket")
		c.setTimer(timerCluster, 0, c.now+socketRetryInterval)
	}
}

// timerDue advances the membership, or opens its socket again.
func (c *cluster) timerDue() {
	switch {
	case c.membership == nil:
	case !c.socketOpen:
		c.openSocket()
	default:
		c.membership.Advance(c.now)
		c.flush()
	}
}

// flush sends the datagrams of the membership and sets its next timer.
func (c *cluster) flush() {
	v := c.membership
	for _, d := range v.Take() {
		c.emit(loop.Effect{Op: loop.SendTo, Conn: loop.Gossip, Addr: d.To, Data: d.Data})
	}
	c.setTimer(timerCluster, 0, v.NextWake())
	if c.now-c.loggedAt < membershipLogInterval {
		return
	}
	if st := v.Status(c.now); st.Version != c.loggedVersion {
		c.loggedAt, c.loggedVersion = c.now, st.Version
		c.log.Info().Int(fieldAlive, st.Alive).Int(fieldKnown, st.Known).Bool(fieldMajority, st.Majority).
			Bool(fieldDuplicateName, st.DuplicateName).Int(fieldLocalHealth, st.LocalHealth).
			Msg("cluster: membership has changed")
	}
}

// reload takes new seed peers. A faulty file changes nothing; what else the file says holds from the next
// start.
func (c *cluster) reload(raw []byte, err error) {
	var f *gossipconfig.Config
	if err == nil {
		f, err = gossipconfig.Parse(c.cfg.GossipPath, raw, c.cfg.Name)
	}
	if err == nil && c.membership != nil {
		err = c.membership.SetSeedPeers(c.now, f.SeedPeers)
	}
	if err != nil {
		c.log.Error().Err(err).Msg("reload: gossip file rejected, the seed peers stay as they were")
		return
	}
	c.cfg.Gossip.SeedPeers = f.SeedPeers
	c.assignment.updateConfigHash()
	c.log.Info().Int(fieldSeedPeers, len(f.SeedPeers)).Msg("reload: seed peers")
}

// report is the answer to /ops/fleet.
func (c *cluster) report() admin.Cluster {
	out := admin.Cluster{
		Cluster: c.cfg.Gossip.Cluster, Name: c.cfg.Gossip.Name, Joined: c.joined, Members: []admin.Member{},
	}
	v := c.membership
	if v == nil {
		return out
	}
	out.Assignment = c.assignment.report()
	st, counts := v.Status(c.now), v.Counts()
	out.Active, out.Settled, out.Majority, out.DuplicateName = c.socketOpen, st.Settled, st.Majority, st.DuplicateName
	out.Alive, out.Known, out.Answering = st.Alive, st.Known, st.Answering
	out.Health, out.QuietMS = st.LocalHealth, st.StableFor.Milliseconds()
	out.Sent, out.SentBytes = counts.Sent, counts.SentBytes
	out.Received, out.ReceivedBytes = counts.Received, counts.ReceivedBytes
	out.Refused = map[string]uint64{
		"foreign":   counts.OtherCluster,
		"spoilt":    counts.Malformed,
		"strange":   counts.UnknownSender,
		"over_rate": counts.Deferred,
		"over_size": counts.Full,
	}
	for _, m := range v.Members() {
		member := admin.Member{
			Name:        m.Name,
			State:       m.State.String(),
			Start:       m.Start,
			Incarnation: m.Incarnation,
			SinceMS:     (c.now - m.Since).Milliseconds(),
			Previous:    m.Previous.String(),
			SuspectedBy: m.SuspectedBy,
			RTTMS:       float64(m.RTT.Microseconds()) / 1000,
		}
		if m.Addr.IsValid() {
			member.Addr = m.Addr.String()
		}
		out.Members = append(out.Members, member)
	}
	return out
}
