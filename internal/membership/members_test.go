package membership

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

const t0 = 1_700_000_000 * time.Second

func addr(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7946)
}

func view(t *testing.T, edit func(*Config)) *Membership {
	t.Helper()
	cfg := Config{Cluster: "f", Name: "a", Start: 1000, Seed: 1, SeedPeers: []Peer{{"a", addr(1)}, {"b", addr(2)}, {"c", addr(3)}}}
	if edit != nil {
		edit(&cfg)
	}
	v, err := New(cfg, t0)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// say words what another gateway sends.
func say(from string, start uint64, kind gossipcodec.Kind, news ...gossipcodec.Claim) []byte {
	b := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "f", From: from, Start: start, Kind: kind, Seq: 5})
	for i := range news {
		b, _ = gossipcodec.AppendClaim(b, &news[i])
	}
	return b
}

func state(v *Membership, name string) (Member, bool) {
	for _, m := range v.Members() {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

func TestFaultyConfigurationsNameWhatIsWrong(t *testing.T) {
	for want, edit := range map[string]func(*Config){
		"fleet":            func(c *Config) { c.Cluster = "" },
		"name":             func(c *Config) { c.Name = "a b" },
		"start":            func(c *Config) { c.Start = 0 },
		"payload":          func(c *Config) { c.Payload = make([]byte, 65) },
		"b stands twice":   func(c *Config) { c.SeedPeers = append(c.SeedPeers, Peer{"b", addr(9)}) },
		"one address":      func(c *Config) { c.SeedPeers = append(c.SeedPeers, Peer{"d", addr(2)}) },
		"d has no address": func(c *Config) { c.SeedPeers = append(c.SeedPeers, Peer{Name: "d"}) },
	} {
		cfg := Config{Cluster: "f", Name: "a", Start: 1, SeedPeers: []Peer{{"b", addr(2)}}}
		edit(&cfg)
		if _, err := New(cfg, t0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q: %v", want, err)
		}
	}
	v := view(t, nil)
	if err := v.SetSeedPeers(t0, []Peer{{"b", addr(2)}, {"b", addr(4)}}); err == nil || v.seeds["c"] != addr(3) {
		t.Errorf("a faulty book: %v, and changed something", err)
	}
}

// What is foreign, spoilt or from where nobody of that name stands costs a count and changes nothing.
func TestStrangeDatagramsChangeNothing(t *testing.T) {
	v := view(t, nil)
	claim := gossipcodec.Claim{Name: "c", Start: 9, Incarnation: 9, State: gossipcodec.Gone}
	foreign := gossipcodec.Append(nil, &gossipcodec.Message{Cluster: "other", From: "b", Start: 1, Kind: gossipcodec.Ping})
	v.Receive(t0, addr(2), foreign)
	v.Receive(t0, addr(2), []byte("\x08\x01nonsense"))
	v.Receive(t0, addr(7), say("b", 1, gossipcodec.Gossip, claim))
	v.Receive(t0, addr(2), say("stranger", 1, gossipcodec.Gossip, claim))
	if c := v.Counts(); c.OtherCluster != 1 || c.Malformed != 1 || c.UnknownSender != 2 || len(v.Members()) != 1 || len(v.Take()) != 0 {
		t.Errorf("%+v %v", c, v.Members())
	}
}

// Claims of one name: a later start, then the incarnation, then the state. Nothing weaker moves anything.
// A start that no process can have is believed of nobody: no later word could take it back.
func TestImpossibleStartsAreSpoilt(t *testing.T) {
	v := view(t, nil)
	v.Receive(t0, addr(2), say("b", 900, gossipcodec.Ping))
	for _, start := range []uint64{uint64(t0.Milliseconds()) + 1<<30, gossipcodec.MaxStart, gossipcodec.MaxStart + 1, 1 << 63} {
		v.Receive(t0, addr(2), say("b", start, gossipcodec.Ping))
		v.Receive(t0, addr(2), say("b", 900, gossipcodec.Gossip, gossipcodec.Claim{Name: "c", Start: start}, gossipcodec.Claim{Name: "a", Start: start, State: gossipcodec.Gone}))
	}
	v.Receive(t0, addr(2), say("b", 900, gossipcodec.Gossip, gossipcodec.Claim{Name: "a", Start: 1000, Incarnation: gossipcodec.MaxIncarnation, State: gossipcodec.Gone}))
	if m, _ := state(v, "b"); m.Start != 900 {
		t.Errorf("b started at %d", m.Start)
	}
	if m, ok := state(v, "c"); ok {
		t.Errorf("c is known: %+v", m)
	}
	if m, _ := state(v, "a"); m.Start != 1000 || m.Incarnation > 10 {
		t.Errorf("itself: %+v", m)
	}
	if c := v.Counts(); c.Malformed < 8 {
		t.Errorf("%+v", c)
	}
}

func TestOrderOfClaims(t *testing.T) {
	v := view(t, nil)
	hear := func(c gossipcodec.Claim) Member {
		c.Name = "c"
		v.Receive(t0, addr(2), say("b", 1, gossipcodec.Gossip, c))
		m, _ := state(v, "c")
		return m
	}
	for i, step := range []struct {
		claim gossipcodec.Claim
		state gossipcodec.State
		start uint64
		inc   uint64
	}{
		{gossipcodec.Claim{Start: 10, Incarnation: 2, State: gossipcodec.Alive}, gossipcodec.Alive, 10, 2},
		{gossipcodec.Claim{Start: 10, Incarnation: 1, State: gossipcodec.Left}, gossipcodec.Alive, 10, 2},
		{gossipcodec.Claim{Start: 9, Incarnation: 9, State: gossipcodec.Gone}, gossipcodec.Alive, 10, 2},
		{gossipcodec.Claim{Start: 10, Incarnation: 2, State: gossipcodec.Suspect, SuspectedBy: "b"}, gossipcodec.Suspect, 10, 2},
		{gossipcodec.Claim{Start: 10, Incarnation: 2, State: gossipcodec.Alive}, gossipcodec.Suspect, 10, 2},
		{gossipcodec.Claim{Start: 10, Incarnation: 3, State: gossipcodec.Alive}, gossipcodec.Alive, 10, 3},
		{gossipcodec.Claim{Start: 10, Incarnation: 3, State: gossipcodec.Gone}, gossipcodec.Suspect, 10, 3}, // hearsay: looked into
		{gossipcodec.Claim{Start: 11, Incarnation: 1, State: gossipcodec.Alive}, gossipcodec.Alive, 11, 1},
		{gossipcodec.Claim{Start: 11, Incarnation: 1, State: gossipcodec.Left}, gossipcodec.Left, 11, 1},
	} {
		if m := hear(step.claim); m.State != step.state || m.Start != step.start || m.Incarnation != step.inc {
			t.Errorf("step %d: %+v", i, m)
		}
	}
}

func TestItRefutesWhatIsSaidOfItself(t *testing.T) {
	v := view(t, nil)
	v.Receive(t0, addr(2), say("b", 1, gossipcodec.Ping, gossipcodec.Claim{Name: "a", Start: 1000, Incarnation: 4, State: gossipcodec.Gone}))
	me, _ := state(v, "a")
	if me.Incarnation != 5 || me.State != gossipcodec.Alive || v.Counts().FalseAlarms != 1 {
		t.Errorf("%+v", me)
	}
	out := v.Take()
	m, err := gossipcodec.Parse(out[len(out)-1].Data)
	if err != nil || m.Kind != gossipcodec.Ack || len(m.Claims) == 0 || m.Claims[0].Name != "a" || m.Claims[0].Incarnation != 5 {
		t.Errorf("the answer: %v %+v", err, m)
	}
	// An old process's end is none of this one's business.
	v.Receive(t0, addr(2), say("b", 1, gossipcodec.Gossip, gossipcodec.Claim{Name: "a", Start: 999, Incarnation: 50, State: gossipcodec.Gone}))
	if me, _ := state(v, "a"); me.Incarnation != 5 || me.Start != 1000 {
		t.Errorf("%+v", me)
	}
}

// A name used by two living processes: whoever hears of it says so, and the one that hears both tells both.
func TestATwinIsNoticed(t *testing.T) {
	v := view(t, nil)
	v.Receive(t0, addr(2), say("b", 50, gossipcodec.Ping))
	v.Take()
	v.Receive(t0, addr(2), say("b", 40, gossipcodec.Ping)) // the elder b speaks too
	var told []uint64
	for _, d := range v.Take() {
		if m, err := gossipcodec.Parse(d.Data); err == nil && m.Kind == gossipcodec.DuplicateName {
			told = append(told, m.Seq)
		}
	}
	if len(told) != 2 || told[0] != 50 || told[1] != 40 {
		t.Errorf("told %v, want each of the other", told)
	}
	if m, _ := state(v, "b"); m.Start != 50 {
		t.Errorf("the later one keeps the name: %+v", m)
	}
	v.Receive(t0, addr(2), say("b", 50, gossipcodec.DuplicateName))
	if st := v.Status(t0); !st.DuplicateName || st.Settled {
		t.Errorf("told of a twin: %+v", st)
	}
	if st := v.Status(t0 + duplicateNameFor); st.DuplicateName {
		t.Error("for ever")
	}
}

// The next process of an upgrade speaks as the same member, with a stronger claim.
func TestIdentityGoesOver(t *testing.T) {
	v := view(t, nil)
	start, incarnation := v.Identity()
	next := view(t, func(c *Config) { c.Start, c.Incarnation = start, incarnation })
	was, _ := state(v, "a")
	if is, _ := state(next, "a"); is.Start != was.Start || is.Incarnation <= was.Incarnation {
		t.Errorf("%+v after %+v", is, was)
	}
}

func TestAViewIsBounded(t *testing.T) {
	v := view(t, func(c *Config) { c.Flat = true })
	for n := range MaxMembers + 50 {
		v.Receive(t0, addr(9), say(fmt.Sprint("x-", n), 1, gossipcodec.Gossip))
	}
	if len(v.Members()) != MaxMembers+1 || v.Counts().Full == 0 {
		t.Errorf("%d members, %d turned away", len(v.Members()), v.Counts().Full)
	}
}

// What is sent stays bounded whatever is asked: a flood of each kind of question is answered from one budget, answers to
// pings included, and repair pages too.
func TestAFloodOfQuestionsIsAnsweredWithinTheBound(t *testing.T) {
	sums := make([]uint32, gossipcodec.Buckets)
	for i := range sums {
		sums[i] = uint32(i + 1) // every bucket differs
	}
	for name, m := range map[string]gossipcodec.Message{
		"pings":   {Kind: gossipcodec.Ping},
		"asks":    {Kind: gossipcodec.PingRequest, Target: "c"},
		"digests": {Kind: gossipcodec.Digest, Sums: sums},
	} {
		v := view(t, func(c *Config) { c.Flat = true })
		for n := range 200 {
			v.Receive(t0, addr(9), say(fmt.Sprint("x-", n), 1, gossipcodec.Gossip))
		}
		v.Take()
		m.Cluster, m.From, m.Start = "f", "b", 1
		const seconds = 3
		sent := 0
		for ms := range 1000 * seconds {
			now := t0 + time.Duration(ms)*time.Millisecond
			for n := range 3 {
				m.Seq = uint64(3*ms + n)
				v.Receive(now, addr(2), gossipcodec.Append(nil, &m))
			}
			sent += len(v.Take())
		}
		if most := int(2*sendBurst + seconds*sendRate); sent > most || sent < seconds*int(sendRate)/2 {
			t.Errorf("%s: %d datagrams in %d s, %d at most", name, sent, seconds, most)
		}
	}
}

// Who raised a suspicion, and that there was one, is known after it was taken back.
func TestASuspicionTakenBackIsKnown(t *testing.T) {
	v := view(t, nil)
	v.Receive(t0, addr(2), say("b", 900, gossipcodec.Ping))
	v.Receive(t0, addr(3), say("c", 900, gossipcodec.Gossip, gossipcodec.Claim{Name: "b", Start: 900, State: gossipcodec.Suspect, SuspectedBy: "c"}))
	if m, _ := state(v, "b"); m.State != gossipcodec.Suspect || m.SuspectedBy != "c" || m.Previous != gossipcodec.Alive {
		t.Errorf("suspected: %+v", m)
	}
	v.Receive(t0, addr(2), say("b", 900, gossipcodec.Gossip, gossipcodec.Claim{Name: "b", Start: 900, Incarnation: 1}))
	if m, _ := state(v, "b"); m.State != gossipcodec.Alive || m.SuspectedBy != "c" || m.Previous != gossipcodec.Suspect {
		t.Errorf("refuted: %+v", m)
	}
}
