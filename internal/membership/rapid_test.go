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

// machine drives one view by whatever others may say and time may do, beside the little that must hold at any moment.
type machine struct {
	v       *Membership
	now     time.Duration
	began   time.Duration
	flat    bool
	book    []Peer
	best    map[string]claimed // the strongest word of its process that anybody could have given, by name
	own     claimed
	left    bool
	sent    int
	posted  []Datagram
	version uint64
}

type claimed struct{ start, incarnation uint64 }

func (c claimed) less(o claimed) bool {
	return cmp.Or(cmp.Compare(c.start, o.start), cmp.Compare(c.incarnation, o.incarnation)) < 0
}

var names = rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "stranger"})

func claims(t *rapid.T) (out []gossipcodec.Claim) {
	for range rapid.IntRange(0, 4).Draw(t, "claims") {
		out = append(out, gossipcodec.Claim{Name: names.Draw(t, "name"), Start: rapid.Uint64Range(1, 2000).Draw(t, "start"),
			Incarnation: rapid.Uint64Range(0, 5).Draw(t, "incarnation"), State: gossipcodec.State(rapid.IntRange(0, 3).Draw(t, "state")),
			SuspectedBy: rapid.SampledFrom([]string{"", "b", "c", "d"}).Draw(t, "by"), Payload: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "payload")})
	}
	return out
}

func newMachine(t *rapid.T) *machine {
	m := &machine{now: t0, began: t0, flat: rapid.Bool().Draw(t, "flat"), best: make(map[string]claimed), own: claimed{1000, 1},
		book: []Peer{{"b", addr(2)}, {"c", addr(3)}, {"d", addr(4)}}}
	v, err := New(Config{Cluster: "f", Name: "a", Start: 1000, SeedPeers: m.book, Flat: m.flat, Payload: []byte{7}, Seed: rapid.Uint64().Draw(t, "seed")}, t0)
	if err != nil {
		t.Fatal(err)
	}
	m.v = v
	return m
}

func (m *machine) pass(t *rapid.T) {
	steps := []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 20 * time.Second, 6 * time.Minute}
	m.now += rapid.SampledFrom(steps).Draw(t, "passes")
}

// hear is a datagram that some member words as it likes, from an address that may be another's.
func (m *machine) hear(t *rapid.T) {
	from := names.Draw(t, "from")
	at := rapid.SampledFrom([]netip.AddrPort{addr(2), addr(3), addr(4), addr(9)}).Draw(t, "at")
	msg := gossipcodec.Message{Cluster: rapid.SampledFrom([]string{"f", "f", "f", "g"}).Draw(t, "fleet"), From: from, Start: rapid.Uint64Range(1, 2000).Draw(t, "of start"),
		Kind: gossipcodec.Kind(rapid.IntRange(1, 7).Draw(t, "kind")), Seq: rapid.Uint64Range(0, 1<<50).Draw(t, "seq"), Target: names.Draw(t, "target"),
		View: rapid.Uint64().Draw(t, "view")}
	if msg.Kind == gossipcodec.Digest {
		msg.Sums = make([]uint32, gossipcodec.Buckets)
	}
	news := claims(t)
	b := gossipcodec.Append(nil, &msg)
	for i := range news {
		var ok bool
		if b, ok = gossipcodec.AppendClaim(b, &news[i]); !ok {
			break
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "spoil") == 0 && len(b) > 0 {
		b[rapid.IntRange(0, len(b)-1).Draw(t, "which")] ^= byte(rapid.IntRange(1, 255).Draw(t, "how"))
	}
	note := func(name string, c claimed) {
		if m.best[name].less(c) {
			m.best[name] = c
		}
	}
	if parsed, err := gossipcodec.Parse(b); err == nil { // as it is after it was spoilt
		note(parsed.From, claimed{parsed.Start, 0})
		for _, c := range parsed.Claims {
			note(c.Name, claimed{c.Start, c.Incarnation})
		}
	}
	m.v.Receive(m.now, at, b)
}

func (m *machine) noise(t *rapid.T) {
	m.v.Receive(m.now, addr(2), rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes"))
}

func (m *machine) advance(t *rapid.T) {
	if m.v.Advance(m.now); m.v.NextWake() <= m.now {
		t.Fatalf("looked at in time it wants to be looked at at once, at %v", m.v.NextWake()-m.now)
	}
}

func (m *machine) rebook(t *rapid.T) {
	book := slices.Clone(m.book[:rapid.IntRange(0, len(m.book)).Draw(t, "of the book")])
	if err := m.v.SetSeedPeers(m.now, book); err != nil {
		t.Fatal(err)
	}
	if err := m.v.SetSeedPeers(m.now, append(book, Peer{Name: "z"})); err == nil {
		t.Fatal("a faulty book was taken")
	}
	if len(m.v.seeds) != len(book) {
		t.Fatalf("a faulty book changed the one in force: %d for %d", len(m.v.seeds), len(book))
	}
}

func (m *machine) payload(t *rapid.T) {
	if err := m.v.SetPayload(m.now, rapid.SliceOfN(rapid.Byte(), 0, gossipcodec.MaxPayload).Draw(t, "payload")); err != nil {
		t.Fatal(err)
	}
}

func (m *machine) leave(t *rapid.T) {
	if rapid.IntRange(0, 19).Draw(t, "leaves") > 0 {
		return
	}
	m.v.Leave(m.now)
	m.posted = append(m.posted, m.v.Take()...)
	m.left = true
}

// check is what must hold whatever happened.
func (m *machine) check(t *rapid.T) {
	out := m.v.Take()
	m.sent += len(out)
	for _, d := range out {
		msg, err := gossipcodec.Parse(d.Data)
		switch {
		case err != nil || len(d.Data) > gossipcodec.MaxDatagram:
			t.Fatalf("it sends what cannot be read: %v, %d bytes", err, len(d.Data))
		case msg.From != "a" || msg.Cluster != "f":
			t.Fatalf("it speaks as %s of %s", msg.From, msg.Cluster)
		case m.left:
			t.Fatal("it speaks after it has left")
		case !m.flat && !slices.ContainsFunc(m.book, func(p Peer) bool { return p.Addr == d.To }):
			t.Fatalf("it sends to %v, which is in no book", d.To)
		}
	}
	if most := sendBurst*2 + sendRate*(m.now-m.began).Seconds() + maxRepairPages; float64(m.sent) > most {
		t.Fatalf("%d datagrams in %v", m.sent, m.now-m.began)
	}
	list := m.v.Members()
	for i, o := range list {
		if i > 0 && list[i-1].Name >= o.Name {
			t.Fatalf("out of order: %s, %s", list[i-1].Name, o.Name)
		}
		got := claimed{o.Start, o.Incarnation}
		if o.Name == "a" {
			if o.State != gossipcodec.Alive || got.less(m.own) {
				t.Fatalf("of itself: %d at %+v after %+v", o.State, got, m.own)
			}
			m.own = got
			continue
		}
		if m.best[o.Name].less(got) {
			t.Fatalf("it has %s at %+v, and nobody said more than %+v", o.Name, got, m.best[o.Name])
		}
	}
	st := m.v.Status(m.now)
	if st.Version < m.version {
		t.Fatalf("version %d after %d", st.Version, m.version)
	}
	m.version = st.Version
	if st.Alive < 1 || st.Known < st.Alive || st.Settled && !st.Majority || st.Majority && 2*st.Alive <= st.Known {
		t.Fatalf("%+v", st)
	}
	anew := table{}
	for _, o := range append(slices.Clone(m.v.table.sorted), &m.v.self) {
		c := *o
		c.hash = 0
		anew.updateDigest(&c)
	}
	if anew.digest != m.v.table.digest || anew.bucketSums != m.v.table.bucketSums {
		t.Fatal("the digest is not that of the view")
	}
	known, pending := len(m.v.table.sorted), len(m.v.probes.pending)
	if len(m.v.suspects) > known || m.v.queue.len() > known+1 || pending > 64+4*maxReconnectProbes {
		t.Fatalf("%d suspects, %d claims to send, %d probes of %d members",
			len(m.v.suspects), m.v.queue.len(), pending, known)
	}
	for _, s := range m.v.suspects {
		if s.State != gossipcodec.Suspect || s.suspicion == nil {
			t.Fatalf("%s is listed as a suspect and is %d", s.Name, s.State)
		}
	}
}

func TestAViewAsAStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){"pass": m.pass, "hear": m.hear, "noise": m.noise, "advance": m.advance, "rebook": m.rebook,
			"payload": m.payload, "leave": m.leave, "": m.check})
	})
}

// Two views that are told the same claims about living members in different orders, believe the same.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []gossipcodec.Claim
		for range rapid.IntRange(1, 12).Draw(t, "claims") {
			name := rapid.SampledFrom([]string{"c", "d", "e"}).Draw(t, "name")
			start, inc := rapid.Uint64Range(1, 5).Draw(t, "start"), rapid.Uint64Range(1, 5).Draw(t, "incarnation")
			state := rapid.SampledFrom([]gossipcodec.State{gossipcodec.Alive, gossipcodec.Left}).Draw(t, "state")
			news = append(news, gossipcodec.Claim{Name: name, Start: start, Incarnation: inc, State: state, Payload: fmt.Append(nil, start, inc)})
		}
		told := func(list []gossipcodec.Claim) (out []string) {
			v, err := New(Config{Cluster: "f", Name: "a", Start: 1000, SeedPeers: []Peer{{"b", addr(2)}}, Flat: true}, t0)
			if err != nil {
				t.Fatal(err)
			}
			for i := range list {
				v.Receive(t0, addr(2), say("b", 7, gossipcodec.Gossip, list[i]))
			}
			for _, m := range v.Members() {
				payload := ""
				if m.State == gossipcodec.Alive {
					payload = string(m.Payload)
				}
				out = append(out, fmt.Sprint(m.Name, m.State, m.Start, m.Incarnation, payload))
			}
			return out
		}
		other := rapid.Permutation(news).Draw(t, "order")
		if x, y := told(news), told(other); !slices.Equal(x, y) {
			t.Fatalf("%v\nin another order\n%v", x, y)
		}
	})
}
