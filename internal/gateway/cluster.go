package gateway

import (
	"time"

	"thymebend/internal/admin"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/loop"
	"thymebend/internal/membership"
)

const (
	socketRetryInterval   = time.Second // time before a failed socket is opened again
	membershipLogInterval = time.Second // minimum time between two log lines about the view
)

// cluster is this process's membership in the cluster of gateways: the reducer of internal/membership on a
// datagram socket. It exists only if a gossip file is configured; otherwise there is no socket, no timer and no
// membership.
type cluster struct {
	*core
	assignment *subsetAssignment
	shutdown   *shutdown

	membership    *membership.Membership // nil while another process of this gateway is the member
	socketOpen    bool
	joinCount     int    // number of times that this process has joined
	startID       uint64 // identity inherited from the predecessor, or this process's own
	incarnation   uint64 // incarnation with which the next membership starts
	loggedAt      time.Duration
	loggedVersion uint64 // version of the view in the last log line about it
}

// join starts the membership once this process accepts clients. After an upgrade it continues under the
// predecessor's identity.
func (c *cluster) join() {
	if c.cfg.Gossip == nil || c.membership != nil || c.shutdown.stopping() {
		return
	}
	gossip := c.cfg.Gossip
	if c.startID == 0 {
		c.startID = uint64(c.now.Milliseconds())
	}
	c.assignment.begin()
	payload := c.assignment.initialPayload()
	view, err := membership.New(membership.Config{
		Cluster:     gossip.Cluster,
		Name:        gossip.Name,
		Start:       c.startID,
		Incarnation: c.incarnation,
		SeedPeers:   gossip.SeedPeers,
		Flat:        gossip.Flat,
		Payload:     payload,
		Seed:        c.cfg.Seed,
	}, c.now)
	if err != nil {
		c.log.Error().Err(err).Msg("cluster: not joined")
		c.assignment.end()
		return
	}
	c.membership = view
	c.joinCount++
	c.openSocket()
}

// inherit stores the identity of the predecessor, under which this process will join.
func (c *cluster) inherit(startID, incarnation uint64) {
	c.startID, c.incarnation = startID, incarnation
}

func (c *cluster) openSocket() {
	c.emit(loop.Effect{Op: loop.Bind, Conn: loop.Gossip, Addr: c.cfg.Gossip.Listen, Urgent: true})
}

// quit ends the membership. If announce is set it notifies the peers that this gateway leaves. Otherwise the
// peers are not notified, because the successor continues under the same identity.
func (c *cluster) quit(announce bool) {
	view := c.membership
	if view == nil {
		return
	}
	if announce {
		view.Leave(c.now)
		c.flush()
	}
	c.startID, c.incarnation = view.Identity()
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

// timerDue advances the membership, or opens its socket again after a failure.
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

// flush sends the pending datagrams of the membership, sets its next timer and logs a changed view.
func (c *cluster) flush() {
	view := c.membership
	for _, d := range view.Take() {
		c.emit(loop.Effect{Op: loop.SendTo, Conn: loop.Gossip, Addr: d.To, Data: d.Data})
	}
	c.setTimer(timerCluster, 0, view.NextWake())
	if c.now-c.loggedAt < membershipLogInterval {
		return
	}
	if status := view.Status(c.now); status.Version != c.loggedVersion {
		c.loggedAt, c.loggedVersion = c.now, status.Version
		c.log.Info().Int(fieldAlive, status.Alive).Int(fieldKnown, status.Known).Bool(fieldMajority, status.Majority).
			Bool(fieldDuplicateName, status.DuplicateName).Int(fieldLocalHealth, status.LocalHealth).
			Msg("cluster: membership has changed")
	}
}

// reload applies the seed peers of a changed gossip file. A faulty file changes nothing; other changes in the
// file take effect at the next start.
func (c *cluster) reload(raw []byte, err error) {
	var updated *gossipconfig.Config
	if err == nil {
		updated, err = gossipconfig.Parse(c.cfg.GossipPath, raw, c.cfg.Name)
	}
	if err == nil && c.membership != nil {
		err = c.membership.SetSeedPeers(c.now, updated.SeedPeers)
	}
	if err != nil {
		c.log.Error().Err(err).Msg("reload: gossip file rejected, the seed peers stay as they were")
		return
	}
	c.cfg.Gossip.SeedPeers = updated.SeedPeers
	c.assignment.updateConfigHash()
	c.log.Info().Int(fieldSeedPeers, len(updated.SeedPeers)).Msg("reload: seed peers")
}

// report returns the content of /ops/fleet.
func (c *cluster) report() admin.Cluster {
	out := admin.Cluster{
		Cluster: c.cfg.Gossip.Cluster, Name: c.cfg.Gossip.Name, Joined: c.joinCount, Members: []admin.Member{},
	}
	view := c.membership
	if view == nil {
		return out
	}
	out.Assignment = c.assignment.report()
	status, counts := view.Status(c.now), view.Counts()
	out.Active, out.Converged = c.socketOpen, status.Converged
	out.Majority, out.DuplicateName = status.Majority, status.DuplicateName
	out.Alive, out.Known, out.ProbeAnswerShare = status.Alive, status.Known, status.AnsweredShare
	out.LocalHealth, out.StableForMS = status.LocalHealth, status.StableFor.Milliseconds()
	out.Sent, out.SentBytes = counts.Sent, counts.SentBytes
	out.Received, out.ReceivedBytes = counts.Received, counts.ReceivedBytes
	out.Refused = map[string]uint64{
		"foreign":   counts.OtherCluster,
		"spoilt":    counts.Malformed,
		"strange":   counts.UnknownSender,
		"over_rate": counts.RateLimited,
		"over_size": counts.TableFull,
	}
	for _, m := range view.Members() {
		member := admin.Member{
			Name:        m.Name,
			State:       m.State.String(),
			StartMS:     m.Start,
			Incarnation: m.Incarnation,
			SinceMS:     (c.now - m.StateSince).Milliseconds(),
			Previous:    m.PreviousState.String(),
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
