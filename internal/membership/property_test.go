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

// machine drives one membership by whatever others may send and time may do, beside the little that must hold at any
// moment.
type machine struct {
	*Membership
	at        time.Duration
	flat      bool
	seedPeers []SeedPeer
	strongest map[string]process // the strongest claim that anybody could have made, by name
	own       process
	left      bool
	sent      int
	version   uint64
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

func newMachine(t *rapid.T) *machine {
	d := &machine{at: epoch, flat: rapid.Bool().Draw(t, "flat"), strongest: make(map[string]process),
		own: process{1000, 1}, seedPeers: []SeedPeer{{"b", addr(2)}, {"c", addr(3)}, {"d", addr(4)}}}
	m, err := New(Config{Cluster: "f", Name: "a", Start: 1000, SeedPeers: d.seedPeers, Flat: d.flat,
		Payload: []byte{7}, Seed: rapid.Uint64().Draw(t, "seed")}, epoch)
	if err != nil {
		t.Fatal(err)
	}
	d.Membership = m
	return d
}

func (d *machine) pass(t *rapid.T) {
	d.at += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond,
		3 * time.Second, 20 * time.Second, 6 * time.Minute}).Draw(t, "passes")
}

// receive takes a datagram that some member fills as it likes, from an address that may be another's.
func (d *machine) receive(t *rapid.T) {
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
	d.noteClaims(b)
	d.Receive(d.at, source, b)
}

// noteClaims notes what a datagram says, as it is after it was corrupted.
func (d *machine) noteClaims(b []byte) {
	note := func(name string, p process) {
		if d.strongest[name].less(p) {
			d.strongest[name] = p
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

func (d *machine) receiveNoise(t *rapid.T) {
	d.Receive(d.at, addr(2), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes"))
}

func (d *machine) advance(t *rapid.T) {
	if d.Advance(d.at); d.NextWake() <= d.at {
		t.Fatalf("advanced in time it wants to be advanced at once, at %v", d.NextWake()-d.at)
	}
}

func (d *machine) setSeedPeers(t *rapid.T) {
	list := slices.Clone(d.seedPeers[:rapid.IntRange(0, len(d.seedPeers)).Draw(t, "seed peers")])
	if err := d.SetSeedPeers(d.at, list); err != nil {
		t.Fatal(err)
	}
	if err := d.SetSeedPeers(d.at, append(list, SeedPeer{Name: "z"})); err == nil {
		t.Fatal("faulty seed peers were taken")
	}
	if len(d.seeds) != len(list) {
		t.Fatalf("faulty seed peers changed those in force: %d for %d", len(d.seeds), len(list))
	}
}

func (d *machine) setPayload(t *rapid.T) {
	payload := rapid.SliceOfN(rapid.Byte(), 0, gossipcodec.MaxPayload).Draw(t, "payload")
	if err := d.SetPayload(d.at, payload); err != nil {
		t.Fatal(err)
	}
}

func (d *machine) leave(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "leaves") > 0 {
		return
	}
	d.Leave(d.at)
	d.Take()
	d.left = true
}

// check is what must hold whatever happened.
func (d *machine) check(t *rapid.T) {
	d.checkSent(t)
	d.checkMembers(t)
	d.checkStatus(t)
	d.checkDigest(t)
	d.checkBounds(t)
}

func (d *machine) checkSent(t *rapid.T) {
	out := d.Take()
	d.sent += len(out)
	for _, sent := range out {
		msg, err := gossipcodec.Parse(sent.Data)
		switch {
		case err != nil || len(sent.Data) > gossipcodec.MaxDatagram:
			t.Fatalf("it sends what cannot be read: %v, %d bytes", err, len(sent.Data))
		case msg.From != "a" || msg.Cluster != "f":
			t.Fatalf("it speaks as %s of %s", msg.From, msg.Cluster)
		case d.left:
			t.Fatal("it speaks after it has left")
		case !d.flat && !slices.ContainsFunc(d.seedPeers, func(p SeedPeer) bool { return p.Addr == sent.To }):
			t.Fatalf("it sends to %v, which is no seed peer", sent.To)
		}
	}
	if most := sendBurst*2 + sendRate*(d.at-epoch).Seconds() + maxRepairPages; float64(d.sent) > most {
		t.Fatalf("%d datagrams in %v", d.sent, d.at-epoch)
	}
}

func (d *machine) checkMembers(t *rapid.T) {
	list := d.Members()
	for i, one := range list {
		if i > 0 && list[i-1].Name >= one.Name {
			t.Fatalf("out of order: %s, %s", list[i-1].Name, one.Name)
		}
		got := process{one.Start, one.Incarnation}
		if one.Name == "a" {
			if one.State != gossipcodec.Alive || got.less(d.own) {
				t.Fatalf("of itself: %d at %+v after %+v", one.State, got, d.own)
			}
			d.own = got
			continue
		}
		if d.strongest[one.Name].less(got) {
			t.Fatalf("it has %s at %+v, and nobody claimed more than %+v", one.Name, got, d.strongest[one.Name])
		}
	}
}

func (d *machine) checkStatus(t *rapid.T) {
	st := d.Status(d.at)
	if st.Version < d.version {
		t.Fatalf("version %d after %d", st.Version, d.version)
	}
	d.version = st.Version
	if st.Alive < 1 || st.Known < st.Alive || st.Settled && !st.Majority || st.Majority && 2*st.Alive <= st.Known {
		t.Fatalf("%+v", st)
	}
}

func (d *machine) checkDigest(t *rapid.T) {
	anew := table{}
	for _, one := range append(slices.Clone(d.table.sorted), &d.self) {
		c := *one
		c.hash = 0
		anew.updateDigest(&c)
	}
	if anew.digest != d.table.digest || anew.bucketSums != d.table.bucketSums {
		t.Fatal("the digest is not that of the members")
	}
}

func (d *machine) checkBounds(t *rapid.T) {
	known, pending := len(d.table.sorted), len(d.probes.pending)
	if len(d.suspects) > known || d.queue.len() > known+1 || pending > 64+4*maxReconnectProbes {
		t.Fatalf("%d suspects, %d claims to send, %d probes of %d members",
			len(d.suspects), d.queue.len(), pending, known)
	}
	for _, one := range d.suspects {
		if one.State != gossipcodec.Suspect || one.suspicion == nil {
			t.Fatalf("%s is listed as a suspect and is %d", one.Name, one.State)
		}
	}
}

// Guards against any order of datagrams, times and settings that breaks a bound, an order of claims or the digest.
func TestMembershipAsAStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass":         d.pass,
			"receive":      d.receive,
			"receiveNoise": d.receiveNoise,
			"advance":      d.advance,
			"setSeedPeers": d.setSeedPeers,
			"setPayload":   d.setPayload,
			"leave":        d.leave,
			"":             d.check,
		})
	})
}

// Guards against memberships that differ for ever: those given the same claims about living members in different orders
// believe the same.
func TestOrderOfClaimsDoesNotMatter(t *testing.T) {
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
		if x, y := believed(t, claims), believed(t, permuted); !slices.Equal(x, y) {
			t.Fatalf("%v\nin another order\n%v", x, y)
		}
	})
}

// believed is what a membership believes after some claims.
func believed(t *rapid.T, claims []gossipcodec.Claim) (out []string) {
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
