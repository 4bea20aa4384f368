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

// hashEnv is the environment variable that makes the test program print the hash of the run with the given seed
// instead of running tests, so that another process can compare the hash.
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

// playAndVerify plays a plan and reports the first three findings as errors.
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
			if o.Attempts < 50 || o.Served+o.Rejected+o.Failed == 0 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Sixty gateways with little traffic each, in zones of different sizes, and faults that affect many at once.
func TestLargeClusterHoldsTheRules(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p, err := DrawSized(seed, fleetProfile, Size{Gateways: 60, Hosts: 40, Requests: 6000})
			if err != nil {
				t.Fatal(err)
			}
			o := playAndVerify(t, p)
			if o.Attempts < 6000 || o.Served < o.Attempts/3 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Clients that read or write at 64 kB a second, flood or leave, and hosts that read nothing, on connections with the buffers
// of Linux, through planned restarts and upgrades with the earliest SIGKILL that the platform allows.
func TestSlowPeersHoldTheRules(t *testing.T) { playSeeds(t, slowPeersProfile, 16, 3) }

// Clients that send all but the last byte, and clients that leave and come again with their id, at the least memory.
func TestHoardersHoldTheRules(t *testing.T) { playSeeds(t, hoardersProfile, 24, 4) }

// Hosts that write long answers in chunks at 64 kB a second.
func TestSlowHostsHoldTheRules(t *testing.T) { playSeeds(t, slowHostsProfile, 16, 4) }

// Bodies and closes that wait in clients' kernels behind a full receive buffer, and answers with a pause.
func TestBlockedPeersHoldTheRules(t *testing.T) { playSeeds(t, blockedPeersProfile, 8, 4) }

// playSeeds plays the first seeds of a profile and verifies that at least one in servedOneIn attempts was served.
func playSeeds(t *testing.T, profile string, seeds uint64, servedOneIn int) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := draw(t, seed, profile)
			if o := playAndVerify(t, p); o.Attempts < 50 || o.Served < o.Attempts/servedOneIn {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Guards against an answer that comes after the client's time because its connection has waited to be accepted.
func TestClientsThatWaitToBeAcceptedAreAnsweredInTime(t *testing.T) {
	const seed = 375
	playAndVerify(t, draw(t, seed, hoardersProfile))
}

// Gateways with a gossip file go through kills, stops, failed upgrades, cuts and malformed datagrams: the states
// in their views are correct.
func TestViewsHoldTheRules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			p := draw(t, seed, viewsProfile)
			if o := playAndVerify(t, p); o.Attempts < 50 || !p.Views || p.Gateways < 2 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Gateways that divide the hosts by their membership views go through kills, stops, failed upgrades and cuts,
// and hosts are replaced, also many at once. All gateways together stay within the allowance of hosts in slow
// start, and their shares of each host add up to 1. One run has two hosts for many gateways, another many hosts
// for three gateways.
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
			if o := playAndVerify(t, p); o.Attempts < 50 || !p.Shares || o.Served < o.Attempts/5 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Saved plans that once broke a rule.
func TestSavedPlansHoldTheRules(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d saved plans found, %v", len(files), err)
	}
	for _, path := range files {
		p, err := ReadPlan(path)
		if err != nil {
			t.Fatal(err)
		}
		if o := Play(p, nil); len(o.Findings) > 0 || o.Attempts == 0 {
			t.Errorf("%s: %d attempts, findings %+v", path, o.Attempts, o.Findings)
		}
	}
}

// The same seed gives exactly the same run in other processes and with other numbers of processors.
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
				t.Errorf("hashes differ: %v", hashes)
			}
		})
	}
}

// defect changes the effects that a gateway returns, or the events that it receives.
type defect struct {
	loop.Reducer
	calls   int
	now     time.Duration
	onEvent func(d *defect, e *loop.Event) bool // returns false to drop the event
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

// every counts its calls and returns true on each n-th.
func (d *defect) every(n int) bool { d.calls++; return d.calls%n == 0 }

// toClient and toHost identify writes to a client or a host by the socket and the first bytes.
func toClient(f loop.Effect, head string) bool {
	return f.Op == loop.Write && f.Conn >= firstAccepted && bytes.HasPrefix(f.Data, []byte(head))
}

func toHost(f loop.Effect, head string) bool {
	return (f.Op == loop.Write || f.Op == loop.WriteIfIdle) && f.Conn < firstAccepted && bytes.HasPrefix(f.Data,
		[]byte(head))
}

// rewrite returns a function that replaces each effect by the effects that change returns.
func rewrite(change func(d *defect, f loop.Effect) []loop.Effect) func(*defect, loop.Event,
	[]loop.Effect) []loop.Effect {
	return func(d *defect, _ loop.Event, list []loop.Effect) (out []loop.Effect) {
		for _, f := range list {
			out = append(out, change(d, f)...)
		}
		return out
	}
}

// Verifies that the checks can fail: each planted defect is found under its rule within 20 seeds.
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
		{"refuses what may have run", "bad-hosts", requestrecord.RefusedAfterRun,
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
		{"hears no drains", "drain-retry", requestrecord.SentAfterDrain,
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
						t.Logf("detected at seed %d", seed)
						return
					}
					if !slices.Contains(seen, f.Rule) {
						seen = append(seen, f.Rule)
					}
				}
			}
			t.Errorf("not detected in 20 seeds; rules found broken: %v", seen)
		})
	}
}

// A failing plan is reduced to the few parts that still fail, and a plan is the same after it was saved and read.
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
		t.Errorf("a saved plan gives a different run: %v", err)
	}
	if _, err := Draw(1, "nonsense"); err == nil || !strings.Contains(err.Error(), "drain-retry") {
		t.Errorf("an unknown profile: error %v, want one that lists the profiles", err)
	}
}

// BenchmarkSeeds plays one run after another and reports the requests simulated a second.
func BenchmarkSeeds(b *testing.B) {
	tries := 0
	for i := range b.N {
		p, _ := Draw(uint64(i), "")
		tries += Play(p, nil).Attempts
	}
	b.ReportMetric(float64(tries)/b.Elapsed().Seconds(), "requests/s")
}

// Gateways receive their lists through agents, which are delayed, fall silent, restart and return with earlier
// lists.
func TestPushedListsHoldTheRules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := playAndVerify(t, draw(t, seed, "pushed"))
			if o.Attempts < 50 || o.Served < o.Attempts/10 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Clients stop in the middle of their requests and stay connected, while gateways stop or are upgraded and hosts
// hang, with deadlines from 0.9 to 12 s. With seeds 69, 95 and 118, large requests once got no response within
// their clients' deadlines.
func TestStoppedClientsHoldTheRules(t *testing.T) {
	seeds := []uint64{69, 95, 118}
	for seed := range uint64(40) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			o := playAndVerify(t, draw(t, seed, stoppedProfile))
			if o.Attempts < 50 || o.Served == 0 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}

// Machines whose clocks are an hour or some seconds wrong when processes start, while hosts are in slow start.
// With seed 164, a host in slow start was once overloaded.
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

// Seeds with which a gateway once broke a rule, or a check was wrong.
func TestRegressionSeedsHoldTheRules(t *testing.T) {
	for _, c := range []struct {
		seed    uint64
		profile string
	}{{770064, "upgrade"}, {623, "upgrade"}, {1317, "upgrade"}, {881660, "retune"}, {882393, "upgrade"},
		{174, "pushed"}, {1092, "pushed"}, {2275, "pushed"}} {
		if o := Play(draw(t, c.seed, c.profile), nil); len(o.Findings) > 0 {
			t.Errorf("seed %d of %s: %+v", c.seed, c.profile, o.Findings[0])
		}
	}
}

// Seeds of sixty gateways at which a host in slow start was sent more than it can serve: many gateways had each
// accumulated the right to a first request before they started to use the host.
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

// Half of the hosts are replaced while a zone loses its hosts. Three hosts of that zone are left, and all its
// gateways use them.
func TestSeedWithThreeHostsLeftInAZoneHoldsTheRules(t *testing.T) {
	p, err := DrawSized(258, fleetProfile, Size{Gateways: 60, Hosts: 40})
	if err != nil {
		t.Fatal(err)
	}
	playAndVerify(t, p)
}

// Three gateways with two hundred hosts, each using all its descriptors, are upgraded. Predecessor and successor
// together stay within the limit.
func TestUpgradesWithManyHostsStayWithinDescriptorLimit(t *testing.T) {
	for _, c := range []struct {
		seed    uint64
		profile string
	}{{7, "upgrade"}, {2, viewsProfile}, {9, viewsProfile}} {
		verifyManyHosts(t, c.seed, c.profile)
	}
}

// In an upgrade at the descriptor limit, the successor has few descriptors left for new clients that wait. It
// must close no idle client connection for them.
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

// Datagrams are lost after an upgrade: a gateway that cannot reach the upgraded gateway reports the upgraded one as
// suspect to the others. The gateways that it asks for indirect probes cannot reach the upgraded gateway either.
// The upgrade must not count as the end of the upgraded gateway.
func TestUpgradeIsNotTakenForAFailureWhenDatagramsAreLost(t *testing.T) {
	playAndVerify(t, draw(t, 156, sharesProfile))
}

// pushedPlan returns a plan with pushed lists, the given faults and a request every 80 ms.
func pushedPlan(hosts, ms int, faults ...Fault) Plan {
	p := Plan{Seed: 1, Profile: "pushed", Pushed: true, Gateways: 2, Hosts: hosts, Sockets: 400, LagMS: 300,
		NetworkPlan: NetworkPlan{LatencyUS: 200}, CostUS: 10, Faults: faults}
	for at := 0; at < ms; at += 80 {
		p.Requests = append(p.Requests, Request{AtMS: at, Unsafe: at%240 == 0, TimeoutMS: 2000, Retries: 1})
	}
	return p
}

// A gateway restarts with its last list after all hosts of that list but one were replaced by others.
func TestRestartWithAListOfRemovedHosts(t *testing.T) {
	faults := []Fault{{AtMS: 1000, Kind: "gateway-kill", Target: 0, ForMS: 9000}}
	for n := range 5 {
		faults = append(faults, Fault{AtMS: 1100 + 10*n, Kind: "host-replace", Target: n})
	}
	o := playAndVerify(t, pushedPlan(6, 14000, faults...))
	if o.Served < o.Attempts*8/10 {
		t.Errorf("too few requests served: %+v", o)
	}
}

// List versions that start again are ignored for half a minute, then accepted. Changes after that take effect, and
// new hosts are used.
func TestListVersionsThatRestart(t *testing.T) {
	o := playAndVerify(t, pushedPlan(4, 50000, Fault{AtMS: 3000, Kind: "discovery-anew"},
		Fault{AtMS: 38000, Kind: "host-replace", Target: 0}, Fault{AtMS: 38100, Kind: "host-replace", Target: 1},
		Fault{AtMS: 38200, Kind: "host-replace", Target: 2}))
	if o.Served < o.Attempts*9/10 {
		t.Errorf("too few requests served: %+v", o)
	}
}
