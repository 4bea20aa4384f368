package simulation

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
	"thymebend/internal/loop"
)

// hashEnv names a seed whose hash the test program prints instead of testing, for another process to compare.
const hashEnv = "VIRTUAL_HASH_OF"

func TestMain(m *testing.M) {
	if seed, err := strconv.ParseUint(os.Getenv(hashEnv), 10, 64); err == nil {
		p, _ := Draw(seed, "")
		fmt.Printf("%016x", Play(p, nil).Hash)
		return
	}
	os.Exit(m.Run())
}

func draw(t *testing.T, seed uint64, profile string) Plan {
	t.Helper()
	p, err := Draw(seed, profile)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// playAndVerify plays a plan and shows the first rules that it broke.
func playAndVerify(t *testing.T, p Plan) Outcome {
	t.Helper()
	o := Play(p, nil)
	for _, f := range o.Findings[:min(3, len(o.Findings))] {
		t.Errorf("%s: %s: %s", f.Rule, f.ID, f.Detail)
	}
	return o
}

func TestSeedsHoldTheRules(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := playAndVerify(t, draw(t, seed, ""))
			if o.Tries < 50 || o.Served+o.Refused+o.Failed == 0 {
				t.Errorf("a run of nothing: %+v", o)
			}
		})
	}
}

// Sixty gateways with thin traffic in zones that differ, and troubles of many at once.
func TestLargeClusterHoldsTheRules(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p, err := DrawSized(seed, fleetProfile, Size{Gateways: 60, Hosts: 40, Requests: 6000})
			if err != nil {
				t.Fatal(err)
			}
			o := playAndVerify(t, p)
			if o.Tries < 6000 || o.Served < o.Tries/3 {
				t.Errorf("a run of nothing: %+v", o)
			}
		})
	}
}

// Gateways with a fleet file through kills, stops, upgrades that come to nothing, cuts and noise: what
// they believe is true.
func TestViewsHoldTheRules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := draw(t, seed, viewsProfile)
			if o := playAndVerify(t, p); o.Tries < 50 || !p.Views || p.Gateways < 2 {
				t.Errorf("a run of nothing: %+v", o)
			}
		})
	}
}

// Gateways that divide hosts by their view, through the same and while hosts are replaced, all at once
// too: what they send cold hosts together keeps to the turns, and their parts add up. Two hosts for
// many gateways, and many for few.
func TestSharesHoldTheRules(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := draw(t, seed, sharesProfile)
			var err error
			switch seed {
			case 18:
				p, err = DrawSized(seed, sharesProfile, Size{Gateways: 25, Hosts: 2})
			case 19:
				p, err = DrawSized(seed, sharesProfile, Size{Gateways: 3, Hosts: 200, Requests: 4000})
			}
			if err != nil {
				t.Fatal(err)
			}
			if o := playAndVerify(t, p); o.Tries < 50 || !p.Shares || o.Served < o.Tries/5 {
				t.Errorf("a run of nothing: %+v", o)
			}
		})
	}
}

// Plans that once broke a rule.
func TestSavedPlansHoldTheRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d plans, %v", len(files), err)
	}
	for _, path := range files {
		p, err := ReadPlan(path)
		if err != nil {
			t.Fatal(err)
		}
		if o := Play(p, nil); len(o.Findings) > 0 || o.Tries == 0 {
			t.Errorf("%s: %d tries, %+v", path, o.Tries, o.Findings)
		}
	}
}

// The same seed is the same run, to the letter, in other processes and on other numbers of processors.
func TestSameSeedSameHash(t *testing.T) {
	for seed := uint64(100); seed < 120; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var hashes []string
			for _, procs := range []string{"1", "4"} {
				cmd := exec.Command(os.Args[0])
				cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", hashEnv, seed), "GOMAXPROCS="+procs)
				out, err := cmd.Output()
				if err != nil || len(out) != 16 {
					t.Fatalf("%v %q", err, out)
				}
				hashes = append(hashes, string(out))
			}
			if hashes[0] != hashes[1] {
				t.Errorf("%v", hashes)
			}
		})
	}
}

// defect changes what a gateway asks for, or what it hears.
type defect struct {
	loop.Reducer
	calls   int
	now     time.Duration
	onEvent func(d *defect, e *loop.Event) bool // false drops the event
	effects func(d *defect, e loop.Event, list []loop.Effect) []loop.Effect
}

func (d *defect) Step(now time.Duration, e loop.Event) []loop.Effect {
	if d.onEvent != nil && !d.onEvent(d, &e) {
		return nil
	}
	d.now = now
	list := d.Reducer.Step(now, e)
	if d.effects == nil {
		return list
	}
	return d.effects(d, e, list)
}

// every counts and is true each so many times.
func (d *defect) every(n int) bool { d.calls++; return d.calls%n == 0 }

// toClient and toHost tell writes apart by the socket and what is written.
func toClient(f loop.Effect, head string) bool {
	return f.Op == loop.Write && f.Conn >= firstAccepted && bytes.HasPrefix(f.Data, []byte(head))
}

func toHost(f loop.Effect, head string) bool {
	return (f.Op == loop.Write || f.Op == loop.WriteIfIdle) && f.Conn < firstAccepted && bytes.HasPrefix(f.Data,
		[]byte(head))
}

// rewrite changes each effect into others.
func rewrite(change func(d *defect, f loop.Effect) []loop.Effect) func(*defect, loop.Event,
	[]loop.Effect) []loop.Effect {
	return func(d *defect, _ loop.Event, list []loop.Effect) (out []loop.Effect) {
		for _, f := range list {
			out = append(out, change(d, f)...)
		}
		return out
	}
}

// The checks can fail: each planted defect is caught, under its rule, within a few seeds.
func TestPlantedDefectsAreCaught(t *testing.T) {
	for _, c := range []struct {
		name, profile, rule string
		defect              defect
	}{
		{"answers twice", "reload", requestrecord.AnsweredTwice,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if toClient(f, "HTTP/1.1 200") && d.every(50) {
					f.Data = slices.Concat(f.Data, f.Data)
				}
				return []loop.Effect{f}
			})}},
		{"loses answers", "reload", requestrecord.Unanswered,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if toClient(f, "HTTP/1.1 ") && d.every(100) {
					return nil
				}
				return []loop.Effect{f}
			})}},
		{"sends a bid twice", "reload", requestrecord.RanTwice,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if toHost(f, "POST") && d.every(30) {
					f.Data = slices.Concat(f.Data, f.Data)
				}
				return []loop.Effect{f}
			})}},
		{"refuses what may have run", "bad-hosts", requestrecord.RefusedRan,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if toClient(f, "HTTP/1.1 502") {
					f.Data = bytes.Replace(f.Data, []byte("502"), []byte("503"), 1)
				}
				return []loop.Effect{f}
			})}},
		{"spoils a body", "reload", requestrecord.ForeignBody,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if toClient(f, "HTTP/1.1 200") && bytes.Contains(f.Data, []byte("id=")) && d.every(100) {
					f.Data = bytes.Replace(f.Data, []byte("id="), []byte("ID="), 1)
				}
				return []loop.Effect{f}
			})}},
		{"invents an id", "reload", requestrecord.InventedID,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if toHost(f, "GET /tender") && d.every(50) {
					f.Data = bytes.Replace(f.Data, []byte("X-Trace-Id: "), []byte("X-Trace-Id: z"), 1)
				}
				return []loop.Effect{f}
			})}},
		{"hears no drains", "drain-retry", requestrecord.LateToDrained,
			defect{onEvent: func(d *defect, e *loop.Event) bool {
				return e.Kind != loop.Data || !bytes.Contains(e.Data, []byte(`"draining"`))
			}}},
		{"a timer that never stops", "reload", WokeUpIdle,
			defect{effects: func(d *defect, e loop.Event, list []loop.Effect) []loop.Effect {
				if e.Kind == loop.Start || e.Kind == loop.TimerDue && e.Timer.Kind == 200 {
					list = append(list, loop.Effect{Op: loop.SetTimer, Timer: loop.Timer{Kind: 200},
						At: d.now + 5*time.Millisecond})
				}
				return list
			}}},
		{"forgets to stop timers", "reload", Leaked,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if f.Op == loop.StopTimer {
					return []loop.Effect{{Op: loop.SetTimer, Timer: f.Timer, At: 1 << 62}}
				}
				return []loop.Effect{f}
			})}},
		{"never ends", "restart-surge", Stuck, defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
			if f.Op == loop.Exit {
				return nil
			}
			return []loop.Effect{f}
		})}},
		{"panics", "reload", Panicked, defect{onEvent: func(d *defect, e *loop.Event) bool {
			if d.every(3000) {
				panic("planted")
			}
			return true
		}}},
		{"loses a query at SIGTERM", "restart-surge", requestrecord.Unanswered,
			defect{effects: func(d *defect, e loop.Event, list []loop.Effect) []loop.Effect {
				if e.Kind == loop.Stop {
					list = append(list, loop.Effect{Op: loop.Exit})
				}
				return list
			}}},
		{"forgets a link that was handed over", "upgrade", requestrecord.Unanswered,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if f.Op == loop.ResumeReading && f.Conn >= firstAccepted && d.every(5) {
					return nil
				}
				return []loop.Effect{f}
			})}},
		{"hears no datagram", viewsProfile, membershipcheck.Diverged, defect{onEvent: func(_ *defect, e *loop.Event) bool {
			return e.Kind != loop.Data || e.Conn != loop.Gossip
		}}},
		{"is heard by none at times", viewsProfile, membershipcheck.WronglyRemoved,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if f.Op == loop.SendTo && d.now%(40*time.Second) > 12*time.Second &&
					d.now%(40*time.Second) < 24*time.Second {
					return nil
				}
				return []loop.Effect{f}
			})}},
		{"says everything many times", viewsProfile, membershipcheck.OverBudget,
			defect{effects: rewrite(func(_ *defect, f loop.Effect) []loop.Effect {
				if f.Op == loop.SendTo {
					return []loop.Effect{f, f, f, f, f, f, f, f}
				}
				return []loop.Effect{f}
			})}},
		{"takes no new settings", "retune", ValidRequestRefused,
			defect{onEvent: func(_ *defect, e *loop.Event) bool { return e.Kind != loop.FileRead }}},
		{"skips a piece of a large body", "bulk", requestrecord.ForeignBody,
			defect{effects: rewrite(func(d *defect, f loop.Effect) []loop.Effect {
				if f.Op == loop.Write && f.Conn >= firstAccepted && len(f.Data) > 10_000 && bytes.HasSuffix(f.Data,
					[]byte("ppp")) {
					f.Data = slices.Concat(f.Data[:len(f.Data)-1], []byte("q"))
				}
				return []loop.Effect{f}
			})}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var seen []string
			for seed := uint64(1); seed <= 20; seed++ {
				o := play(draw(t, seed, c.profile), nil, func(r loop.Reducer) loop.Reducer {
					d := c.defect
					d.Reducer = r
					return &d
				})
				for _, f := range o.Findings {
					if f.Rule == c.rule {
						t.Logf("caught at seed %d", seed)
						return
					}
					if !slices.Contains(seen, f.Rule) {
						seen = append(seen, f.Rule)
					}
				}
			}
			t.Errorf("not caught in 20 seeds; found %v", seen)
		})
	}
}

// A failing plan is reduced to little that still fails, and comes back from its file as it was.
func TestShrinkKeepsFailureAndPlansRoundTrip(t *testing.T) {
	list := make([]int, 100)
	for i := range list {
		list[i] = i
	}
	less := false
	got := reduce(list, func(part []int) bool { return slices.Contains(part, 17) && slices.Contains(part, 83) }, &less)
	if !slices.Equal(got, []int{17, 83}) || !less {
		t.Errorf("reduced to %v", got)
	}
	path := filepath.Join(t.TempDir(), "p.json")
	p := draw(t, 5, "everything")
	if err := p.Write(path); err != nil {
		t.Fatal(err)
	}
	if q, err := ReadPlan(path); err != nil || Play(q, nil).Hash != Play(p, nil).Hash {
		t.Errorf("a kept plan is another run: %v", err)
	}
	if _, err := Draw(1, "nonsense"); err == nil || !strings.Contains(err.Error(), "drain-retry") {
		t.Errorf("%v", err)
	}
}

// BenchmarkSeeds is one run after another; its requests a second say how far a thousand seeds go.
func BenchmarkSeeds(b *testing.B) {
	tries := 0
	for i := range b.N {
		p, _ := Draw(uint64(i), "")
		tries += Play(p, nil).Tries
	}
	b.ReportMetric(float64(tries)/b.Elapsed().Seconds(), "requests/s")
}

// Lists that are pushed: agents that are late, silent, restart and come back with older lists.
func TestPushedListsHoldTheRules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := playAndVerify(t, draw(t, seed, "pushed"))
			if o.Tries < 50 || o.Served < o.Tries/10 {
				t.Errorf("a run of nothing: %+v", o)
			}
		})
	}
}

// Clients that stop in the middle of their requests and stay, beside stops, upgrades and hosts that
// hang, with deadlines from 0.9 to 12 s. The last seeds once left large requests unanswered in their
// clients' time.
func TestStoppedClientsHoldTheRules(t *testing.T) {
	seeds := []uint64{69, 95, 118}
	for seed := range uint64(40) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := playAndVerify(t, draw(t, seed, stoppedProfile))
			if o.Tries < 50 || o.Served == 0 {
				t.Errorf("a run of nothing: %+v", o)
			}
		})
	}
}

// Machines whose clocks are an hour or some seconds wrong when processes begin, while hosts start cold.
// Seed 164 once pushed one over.
func TestWrongClocksHoldTheRules(t *testing.T) {
	seeds := []uint64{164}
	for seed := range uint64(25) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playAndVerify(t, draw(t, seed, clockProfile))
		})
	}
}

// Seeds that once broke a rule, or a check that was wrong.
func TestRegressionSeedsHoldTheRules(t *testing.T) {
	for _, c := range []struct {
		seed    uint64
		profile string
	}{{770064, "upgrade"}, {623, "upgrade"}, {1317, "upgrade"}, {881660, "retune"}, {882393, "upgrade"},
		{174, "pushed"}, {1092, "pushed"}, {2275, "pushed"}} {
		if o := Play(draw(t, c.seed, c.profile), nil); len(o.Findings) > 0 {
			t.Errorf("%d of %s: %+v", c.seed, c.profile, o.Findings[0])
		}
	}
}

// Seeds of sixty gateways at which a cold host was sent more than it survives by first requests that
// many gateways had saved up before they came to use it.
func TestSeedsThatOverloadedAColdHostHoldTheRules(t *testing.T) {
	for _, seed := range []uint64{27, 40, 73, 103, 129, 229, 284} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p, err := DrawSized(seed, fleetProfile, Size{Gateways: 60, Hosts: 40})
			if err != nil {
				t.Fatal(err)
			}
			playAndVerify(t, p)
		})
	}
}

// Half of the hosts are replaced while a zone is lost: of the hosts of that zone three are left, which
// all its gateways use.
func TestSeedWithThreeHostsLeftInAZoneHoldsTheRules(t *testing.T) {
	p, err := DrawSized(258, fleetProfile, Size{Gateways: 60, Hosts: 40})
	if err != nil {
		t.Fatal(err)
	}
	playAndVerify(t, p)
}

// Three gateways over two hundred hosts, each with all its descriptors in use, are upgraded: the two
// processes together keep to them.
func TestUpgradesWithManyHostsStayWithinDescriptorLimit(t *testing.T) {
	for _, c := range []struct {
		seed    uint64
		profile string
	}{{7, "upgrade"}, {2, viewsProfile}, {9, viewsProfile}} {
		verifyManyHosts(t, c.seed, c.profile)
	}
}

// The new process of such an upgrade has few descriptors for the clients that wait, and may close no
// link at rest.
func TestUpgradesWithManyHostsAnswerAll(t *testing.T) {
	for _, seed := range []uint64{6, 8} {
		verifyManyHosts(t, seed, "upgrade")
	}
}

func verifyManyHosts(t *testing.T, seed uint64, profile string) {
	t.Run(fmt.Sprint(profile, seed), func(t *testing.T) {
		t.Parallel()
		p, err := DrawSized(seed, profile, Size{Gateways: 3, Hosts: 200})
		if err != nil {
			t.Fatal(err)
		}
		playAndVerify(t, p)
	})
}

// Gateways hear that one is suspected which was just upgraded: by another that is cut off from it, and
// so are those that it asks.
func TestUpgradeIsNotTakenForAFailureWhenDatagramsAreLost(t *testing.T) {
	playAndVerify(t, draw(t, 156, sharesProfile))
}

// pushedPlan is a day of pushed lists with stated faults and a request every 80 ms.
func pushedPlan(hosts, ms int, faults ...Fault) Plan {
	p := Plan{Seed: 1, Profile: "pushed", Pushed: true, Gateways: 2, Hosts: hosts, Sockets: 400, LagMS: 300,
		NetworkPlan: NetworkPlan{LatencyUS: 200}, CostUS: 10, Faults: faults}
	for at := 0; at < ms; at += 80 {
		p.Requests = append(p.Requests, Request{AtMS: at, Unsafe: at%240 == 0, TimeoutMS: 2000, Retries: 1})
	}
	return p
}

// A gateway comes back on its last list while all hosts of it but one are gone and others stand in
// their places.
func TestRestartWithAListOfRemovedHosts(t *testing.T) {
	faults := []Fault{{AtMS: 1000, Kind: "gateway-kill", Target: 0, ForMS: 9000}}
	for n := range 5 {
		faults = append(faults, Fault{AtMS: 1100 + 10*n, Kind: "host-replace", Target: n})
	}
	o := playAndVerify(t, pushedPlan(6, 14000, faults...))
	if o.Served < o.Tries*8/10 {
		t.Errorf("%+v", o)
	}
}

// Versions that begin anew are passed over for half a minute, then taken: what is told later holds, new
// hosts are used.
func TestListVersionsThatRestart(t *testing.T) {
	o := playAndVerify(t, pushedPlan(4, 50000, Fault{AtMS: 3000, Kind: "discovery-anew"},
		Fault{AtMS: 38000, Kind: "host-replace", Target: 0}, Fault{AtMS: 38100, Kind: "host-replace", Target: 1},
		Fault{AtMS: 38200, Kind: "host-replace", Target: 2}))
	if o.Served < o.Tries*9/10 {
		t.Errorf("%+v", o)
	}
}
