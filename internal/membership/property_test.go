package membership

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"thymebend/internal/gossipcodec"
)

// stateMachine drives one membership with random datagrams, times and settings, and records what the invariants need.
type stateMachine struct {
	*Membership
	clock       time.Duration
	flat        bool
	seedPeers   []SeedPeer
	strongest   map[string]process // highest start and incarnation received so far, by name
	ownProcess  process
	hasLeft     bool
	sentCount   int
	lastVersion uint64
}

// process identifies a process of a member by the values that order claims.
type process struct{ start, incarnation uint64 }

func (p process) less(other process) bool {
	return cmp.Or(cmp.Compare(p.start, other.start), cmp.Compare(p.incarnation, other.incarnation)) < 0
}

var drawName = rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "stranger"})

func drawClaims(t *rapid.T) (out []gossipcodec.Claim) {
	for range rapid.IntRange(0, 4).Draw(t, "claims") {
		out = append(out, gossipcodec.Claim{
			Name:        drawName.Draw(t, "name"),
			Start:       rapid.Uint64Range(1, 2000).Draw(t, "start"),
			Incarnation: rapid.Uint64Range(0, 5).Draw(t, "incarnation"),
			State:       gossipcodec.State(rapid.IntRange(0, 3).Draw(t, "state")),
			SuspectedBy: rapid.SampledFrom([]string{"", "b", "c", "d"}).Draw(t, "suspected by"),
			Payload:     rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "payload"),
		})
	}
	return out
}

func newStateMachine(t *rapid.T) *stateMachine {
	s := &stateMachine{clock: epoch, flat: rapid.Bool().Draw(t, "flat"), strongest: make(map[string]process),
		ownProcess: process{1000, 1}, seedPeers: []SeedPeer{{"b", addr(2)}, {"c", addr(3)}, {"d", addr(4)}}}
	m, err := New(Config{Cluster: "f", Name: "a", Start: 1000, SeedPeers: s.seedPeers, Flat: s.flat,
		Payload: []byte{7}, Seed: rapid.Uint64().Draw(t, "seed")}, epoch)
	if err != nil {
		t.Fatal(err)
	}
	s.Membership = m
	return s
}

func (s *stateMachine) passTime(t *rapid.T) {
	s.clock += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond,
		3 * time.Second, 20 * time.Second, 6 * time.Minute}).Draw(t, "passes")
}

// receive delivers a datagram with random content, sometimes corrupted, from an address that may not be the sender's.
func (s *stateMachine) receive(t *rapid.T) {
	from := drawName.Draw(t, "from")
	source := rapid.SampledFrom([]netip.AddrPort{addr(2), addr(3), addr(4), addr(9)}).Draw(t, "source")
	msg := gossipcodec.Message{
		Cluster: rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(t, "cluster"),
		From:    from,
		Start:   rapid.Uint64Range(1, 2000).Draw(t, "own start"),
		Kind:    gossipcodec.Kind(rapid.IntRange(1, 7).Draw(t, "kind")),
		Seq:     rapid.Uint64Range(0, 1<<50).Draw(t, "seq"),
		Target:  drawName.Draw(t, "target"),
		Digest:  rapid.Uint64().Draw(t, "digest"),
	}
	if msg.Kind == gossipcodec.Digest {
		msg.BucketSums = make([]uint32, gossipcodec.Buckets)
	}
	claims := drawClaims(t)
	b := gossipcodec.Append(nil, &msg)
	for i := range claims {
		var ok bool
		if b, ok = gossipcodec.AppendClaim(b, &claims[i]); !ok {
			break
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "corrupt") == 0 && len(b) > 0 {
		b[rapid.IntRange(0, len(b)-1).Draw(t, "byte")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
	}
	s.recordClaims(b)
	s.Receive(s.clock, source, b)
}

// recordClaims updates strongest from a datagram, after its possible corruption.
func (s *stateMachine) recordClaims(b []byte) {
	note := func(name string, p process) {
		if s.strongest[name].less(p) {
			s.strongest[name] = p
		}
	}
	msg, err := gossipcodec.Parse(b)
	if err != nil {
		return
	}
	note(msg.From, process{msg.Start, 0})
	for _, c := range msg.Claims {
		note(c.Name, process{c.Start, c.Incarnation})
	}
}

func (s *stateMachine) receiveRandomBytes(t *rapid.T) {
	s.Receive(s.clock, addr(2), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes"))
}

func (s *stateMachine) advance(t *rapid.T) {
	if s.Advance(s.clock); s.NextWake() <= s.clock {
		t.Fatalf("after Advance, NextWake is at %v relative to now, want later than now", s.NextWake()-s.clock)
	}
}

func (s *stateMachine) setSeedPeers(t *rapid.T) {
	list := slices.Clone(s.seedPeers[:rapid.IntRange(0, len(s.seedPeers)).Draw(t, "seed peers")])
	if err := s.SetSeedPeers(s.clock, list); err != nil {
		t.Fatal(err)
	}
	if err := s.SetSeedPeers(s.clock, append(list, SeedPeer{Name: "z"})); err == nil {
		t.Fatal("invalid seed peers were accepted")
	}
	if len(s.seeds) != len(list) {
		t.Fatalf("invalid seed peers changed the current ones: %d instead of %d", len(s.seeds), len(list))
	}
}

func (s *stateMachine) setPayload(t *rapid.T) {
	payload := rapid.SliceOfN(rapid.Byte(), 0, gossipcodec.MaxPayload).Draw(t, "payload")
	if err := s.SetPayload(s.clock, payload); err != nil {
		t.Fatal(err)
	}
}

func (s *stateMachine) leave(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "leaves") > 0 {
		return
	}
	s.Leave(s.clock)
	s.Take()
	s.hasLeft = true
}

// check verifies the invariants that must hold after every step.
func (s *stateMachine) check(t *rapid.T) {
	s.checkSent(t)
	s.checkMembers(t)
	s.checkStatus(t)
	s.checkDigest(t)
	s.checkBounds(t)
}

func (s *stateMachine) checkSent(t *rapid.T) {
	out := s.Take()
	s.sentCount += len(out)
	for _, sent := range out {
		msg, err := gossipcodec.Parse(sent.Data)
		switch {
		case err != nil || len(sent.Data) > gossipcodec.MaxDatagram:
			t.Fatalf("sent a datagram that cannot be parsed: %v, %d bytes", err, len(sent.Data))
		case msg.From != "a" || msg.Cluster != "f":
			t.Fatalf("sent a datagram as %s of cluster %s, want a of f", msg.From, msg.Cluster)
		case s.hasLeft:
			t.Fatal("sent a datagram after it left")
		case !s.flat && !slices.ContainsFunc(s.seedPeers, func(p SeedPeer) bool { return p.Addr == sent.To }):
			t.Fatalf("sent to %v, which is no seed peer, without a flat network", sent.To)
		}
	}
	if limit := sendBurst*2 + sendRateLimit*(s.clock-epoch).Seconds() + maxRepairPages; float64(s.sentCount) > limit {
		t.Fatalf("sent %d datagrams in %v, want at most %.0f", s.sentCount, s.clock-epoch, limit)
	}
}

func (s *stateMachine) checkMembers(t *rapid.T) {
	list := s.Members()
	for i, m := range list {
		if i > 0 && list[i-1].Name >= m.Name {
			t.Fatalf("members are not sorted: %s before %s", list[i-1].Name, m.Name)
		}
		got := process{m.Start, m.Incarnation}
		if m.Name == "a" {
			if m.State != gossipcodec.Alive || got.less(s.ownProcess) {
				t.Fatalf("own member is %v at %+v after %+v, want alive and never lower", m.State, got, s.ownProcess)
			}
			s.ownProcess = got
			continue
		}
		if s.strongest[m.Name].less(got) {
			t.Fatalf("%s is at %+v, above the highest received claim %+v", m.Name, got, s.strongest[m.Name])
		}
	}
}

func (s *stateMachine) checkStatus(t *rapid.T) {
	st := s.Status(s.clock)
	if st.Version < s.lastVersion {
		t.Fatalf("status version fell to %d from %d", st.Version, s.lastVersion)
	}
	s.lastVersion = st.Version
	if st.Alive < 1 || st.Known < st.Alive || st.Converged && !st.Majority || st.Majority && 2*st.Alive <= st.Known {
		t.Fatalf("inconsistent status %+v", st)
	}
}

func (s *stateMachine) checkDigest(t *rapid.T) {
	recomputed := table{}
	for _, m := range append(slices.Clone(s.table.sorted), &s.self) {
		c := *m
		c.hash = 0
		recomputed.updateDigest(&c)
	}
	if recomputed.digest != s.table.digest || recomputed.bucketSums != s.table.bucketSums {
		t.Fatal("the digest differs from one computed from the members")
	}
}

func (s *stateMachine) checkBounds(t *rapid.T) {
	known, pending := len(s.table.sorted), len(s.probes.pending)
	if len(s.suspects) > known || s.queue.len() > known+1 || pending > 64+4*maxReconnectProbes {
		t.Fatalf("bound exceeded: %d suspects, %d queued claims, %d pending probes for %d members",
			len(s.suspects), s.queue.len(), pending, known)
	}
	for _, m := range s.suspects {
		if m.State != gossipcodec.Suspect || m.suspicion == nil {
			t.Fatalf("%s is in the list of suspects, but is %v or has no suspicion", m.Name, m.State)
		}
	}
}

// Verifies that no order of datagrams, times and settings exceeds a bound, violates the precedence of claims or makes
// the digest wrong.
func TestMembershipStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass":         s.passTime,
			"receive":      s.receive,
			"receiveNoise": s.receiveRandomBytes,
			"advance":      s.advance,
			"setSeedPeers": s.setSeedPeers,
			"setPayload":   s.setPayload,
			"leave":        s.leave,
			"":             s.check,
		})
	})
}

// Verifies that memberships which receive the same claims about alive and left members in different orders have the
// same members in the end; otherwise their views would differ permanently.
func TestClaimOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var claims []gossipcodec.Claim
		for range rapid.IntRange(1, 12).Draw(t, "claims") {
			name := rapid.SampledFrom([]string{"c", "d", "e"}).Draw(t, "name")
			start := rapid.Uint64Range(1, 5).Draw(t, "start")
			incarnation := rapid.Uint64Range(1, 5).Draw(t, "incarnation")
			state := rapid.SampledFrom([]gossipcodec.State{gossipcodec.Alive, gossipcodec.Left}).Draw(t, "state")
			claims = append(claims, gossipcodec.Claim{Name: name, Start: start, Incarnation: incarnation,
				State: state, Payload: fmt.Append(nil, start, incarnation)})
		}
		permuted := rapid.Permutation(claims).Draw(t, "order")
		if x, y := membersAfter(t, claims), membersAfter(t, permuted); !slices.Equal(x, y) {
			t.Fatalf("members %v\nafter another order of claims %v", x, y)
		}
	})
}

// membersAfter returns the members of a new membership after it received claims in the given order.
func membersAfter(t *rapid.T, claims []gossipcodec.Claim) (out []string) {
	m, err := New(Config{Cluster: "f", Name: "a", Start: 1000, SeedPeers: []SeedPeer{{"b", addr(2)}},
		Flat: true}, epoch)
	if err != nil {
		t.Fatal(err)
	}
	for i := range claims {
		m.Receive(epoch, addr(2), datagram("b", 7, gossipcodec.Gossip, claims[i]))
	}
	for _, member := range m.Members() {
		payload := ""
		if member.State == gossipcodec.Alive {
			payload = string(member.Payload)
		}
		out = append(out, fmt.Sprint(member.Name, member.State, member.Start, member.Incarnation, payload))
	}
	return out
}
