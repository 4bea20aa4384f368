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

// stateMachine drives one membership by whatever others may send and time may do, beside the little that must hold at
// any moment.
type stateMachine struct {
	*Membership
	clock       time.Duration
	flat        bool
	seedPeers   []SeedPeer
	strongest   map[string]process // the strongest claim that anybody could have made, by name
	ownProcess  process
	hasLeft     bool
	sentCount   int
	lastVersion uint64
}

// process is a process of a member as claims order them.
type process struct{ start, incarnation uint64 }

func (p process) less(o process) bool {
	return cmp.Or(cmp.Compare(p.start, o.start), cmp.Compare(p.incarnation, o.incarnation)) < 0
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

func newMachine(t *rapid.T) *stateMachine {
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

// receive takes a datagram that some member fills as it likes, from an address that may be another's.
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

// recordClaims notes what a datagram says, as it is after it was corrupted.
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
		t.Fatalf("advanced in time it wants to be advanced at once, at %v", s.NextWake()-s.clock)
	}
}

func (s *stateMachine) setSeedPeers(t *rapid.T) {
	list := slices.Clone(s.seedPeers[:rapid.IntRange(0, len(s.seedPeers)).Draw(t, "seed peers")])
	if err := s.SetSeedPeers(s.clock, list); err != nil {
		t.Fatal(err)
	}
	if err := s.SetSeedPeers(s.clock, append(list, SeedPeer{Name: "z"})); err == nil {
		t.Fatal("faulty seed peers were taken")
	}
	if len(s.seeds) != len(list) {
		t.Fatalf("faulty seed peers changed those in force: %d for %d", len(s.seeds), len(list))
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

// check is what must hold whatever happened.
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
			t.Fatalf("it sends what cannot be read: %v, %d bytes", err, len(sent.Data))
		case msg.From != "a" || msg.Cluster != "f":
			t.Fatalf("it speaks as %s of %s", msg.From, msg.Cluster)
		case s.hasLeft:
			t.Fatal("it speaks after it has left")
		case !s.flat && !slices.ContainsFunc(s.seedPeers, func(p SeedPeer) bool { return p.Addr == sent.To }):
			t.Fatalf("it sends to %v, which is no seed peer", sent.To)
		}
	}
	if limit := sendBurst*2 + sendRateLimit*(s.clock-epoch).Seconds() + maxRepairPages; float64(s.sentCount) > limit {
		t.Fatalf("%d datagrams in %v", s.sentCount, s.clock-epoch)
	}
}

func (s *stateMachine) checkMembers(t *rapid.T) {
	list := s.Members()
	for i, suspect := range list {
		if i > 0 && list[i-1].Name >= suspect.Name {
			t.Fatalf("out of order: %s, %s", list[i-1].Name, suspect.Name)
		}
		got := process{suspect.Start, suspect.Incarnation}
		if suspect.Name == "a" {
			if suspect.State != gossipcodec.Alive || got.less(s.ownProcess) {
				t.Fatalf("of itself: %d at %+v after %+v", suspect.State, got, s.ownProcess)
			}
			s.ownProcess = got
			continue
		}
		if s.strongest[suspect.Name].less(got) {
			t.Fatalf("it has %s at %+v, and nobody claimed more than %+v", suspect.Name, got, s.strongest[suspect.Name])
		}
	}
}

func (s *stateMachine) checkStatus(t *rapid.T) {
	st := s.Status(s.clock)
	if st.Version < s.lastVersion {
		t.Fatalf("version %d after %d", st.Version, s.lastVersion)
	}
	s.lastVersion = st.Version
	if st.Alive < 1 || st.Known < st.Alive || st.Settled && !st.Majority || st.Majority && 2*st.Alive <= st.Known {
		t.Fatalf("%+v", st)
	}
}

func (s *stateMachine) checkDigest(t *rapid.T) {
	recomputed := table{}
	for _, one := range append(slices.Clone(s.table.sorted), &s.self) {
		c := *one
		c.hash = 0
		recomputed.updateDigest(&c)
	}
	if recomputed.digest != s.table.digest || recomputed.bucketSums != s.table.bucketSums {
		t.Fatal("the digest is not that of the members")
	}
}

func (s *stateMachine) checkBounds(t *rapid.T) {
	known, pending := len(s.table.sorted), len(s.probes.pending)
	if len(s.suspects) > known || s.queue.len() > known+1 || pending > 64+4*maxReconnectProbes {
		t.Fatalf("%d suspects, %d claims to send, %d probes of %d members",
			len(s.suspects), s.queue.len(), pending, known)
	}
	for _, one := range s.suspects {
		if one.State != gossipcodec.Suspect || one.suspicion == nil {
			t.Fatalf("%s is listed as a suspect and is %d", one.Name, one.State)
		}
	}
}

// Guards against any order of datagrams, times and settings that breaks a bound, an order of claims or the digest.
func TestMembershipStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newMachine(t)
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

// Guards against memberships that differ for ever: those given the same claims about living members in different
// orders believe the same.
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
			t.Fatalf("%v\nin another order\n%v", x, y)
		}
	})
}

// membersAfter is what a membership believes after some claims.
func membersAfter(t *rapid.T, claims []gossipcodec.Claim) (out []string) {
	m, err := New(Config{Cluster: "f", Name: "a", Start: 1000, SeedPeers: []SeedPeer{{"b", addr(2)}},
		Flat: true}, epoch)
	if err != nil {
		t.Fatal(err)
	}
	for i := range claims {
		m.Receive(epoch, addr(2), datagram("b", 7, gossipcodec.Gossip, claims[i]))
	}
	for _, one := range m.Members() {
		payload := ""
		if one.State == gossipcodec.Alive {
			payload = string(one.Payload)
		}
		out = append(out, fmt.Sprint(one.Name, one.State, one.Start, one.Incarnation, payload))
	}
	return out
}
