package drill

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

var program string // the gateway, built once

// If childFile is set, the test program runs that drill instead of the tests, so that a test can kill the program.
const (
	childFile    = "DRILL_TEST_FILE"
	childDir     = "DRILL_TEST_DIR"
	childProgram = "DRILL_TEST_PROGRAM"
)

func TestMain(m *testing.M) {
	if file := os.Getenv(childFile); file != "" {
		f, err := Load(file)
		if err == nil {
			_, err = Run(context.Background(), f, Options{Gateway: os.Getenv(childProgram), Dir: os.Getenv(childDir)})
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	dir, err := os.MkdirTemp("", "drill-test")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "thymebend")
	if out, err := exec.Command("go", "build", "-o", program, "thymebend/cmd/thymebend").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

const drillDir = "../../../experiments/drills/"

// drillRun is a drill that runs in parallel with others; drills mostly wait and need little processor time.
type drillRun struct {
	name     string
	dir      string
	result   *Result
	err      error
	done     chan bool
	findings chan requestrecord.Finding // reported during the drill
}

func startDrill(t *testing.T, name string, edit func(text string) string) *drillRun {
	t.Helper()
	text, err := os.ReadFile(drillDir + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(name+".toml", []byte(edit(string(text))))
	if err != nil {
		t.Fatal(err)
	}
	p := &drillRun{name: name, dir: t.TempDir(), done: make(chan bool), findings: make(chan requestrecord.Finding, 100)}
	go func() {
		defer close(p.done)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		p.result, p.err = Run(ctx, f, Options{Gateway: program, Dir: p.dir,
			OnFinding: func(f requestrecord.Finding) { p.findings <- f }})
	}()
	return p
}

// Runs drills of real processes with severe faults in parallel: no rule may be violated. One further drill, whose
// expectations cannot be met, must fail.
func TestRealDrillsFollowTheRules(t *testing.T) {
	t.Parallel()
	var all []*drillRun
	for _, name := range []string{"kill", "stop", "partition", "halves", "one-way", "alone", "twin", "upgrade",
		"join", "restarts",
		"shares-third", "shares-partition", "shares-restart", "shares-stop"} {
		all = append(all, startDrill(t, name, func(text string) string { return text }))
	}
	// This partition does not end during the run, so the expectations after it cannot be met.
	broken := startDrill(t, "halves", func(text string) string {
		return strings.Replace(text, "for = \"20s\"",
			"for = \"40s\"", 1)
	})
	for _, run := range all {
		<-run.done
		t.Run(run.name, func(t *testing.T) {
			r := run.result
			if run.err != nil {
				t.Fatal(run.err)
			}
			if err := r.WriteJSON(run.dir); err != nil {
				t.Fatal(err)
			}
			for _, x := range r.Findings {
				t.Errorf("%s: %s: %s", x.Rule, x.ID, x.Detail)
			}
			if len(run.findings) > 0 {
				t.Errorf("reported during the drill: %+v", <-run.findings)
			}
			if r.RulesHeld != (len(r.Findings) == 0) || len(r.Observations) < 100 || r.Load.OK < r.Load.Scheduled/2 {
				t.Errorf("rules held: %v with %d findings, %d observations, %d of %d requests served", r.RulesHeld, len(r.Findings),
					len(r.Observations), r.Load.OK, r.Load.Scheduled)
			}
			for g := range r.Names {
				if len(r.StateSpans(g)) == 0 {
					t.Errorf("no state periods for the view of %s", r.Names[g])
				}
			}
		})
	}
	<-broken.done
	if r := broken.result; broken.err != nil || r.RulesHeld || len(r.Findings) != 4 ||
		r.Findings[0].Rule != ExpectationNotMet ||
		!strings.Contains(r.Findings[0].Detail, "settled is false") {
		t.Errorf("drill with a partition that does not end: %v %+v", broken.err, broken.result)
	}
}

// A gateway that stops although the rig did not stop it violates a membership rule. The violation is reported during
// the drill.
func TestHungGatewayIsReportedDuringTheDrill(t *testing.T) {
	t.Parallel()
	p := startDrill(t, "stop", func(text string) string { text, _, _ = strings.Cut(text, "[[fault]]"); return text })
	var hung int
	for end := time.Now().Add(30 * time.Second); hung == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("gateway-2 did not start within 30 s")
		}
		for _, pid := range processes(p.dir) {
			if env, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", pid)); err == nil &&
				strings.Contains(string(env), "LB_NAME=gateway-2\x00") {
				hung = pid
			}
		}
	}
	look := filepath.Join(p.dir, "gateway-2.log") // wait until gateway-2 has joined
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if text, _ := os.ReadFile(look); strings.Contains(string(text), `"alive":5`) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("gateway-2 did not join within 30 s")
		}
	}
	if err := syscall.Kill(hung, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	select {
	case f := <-p.findings:
		if f.Rule != membershipcheck.WronglyRemoved && f.Rule != membershipcheck.Diverged ||
			!strings.Contains(f.Detail, "gateway-2") {
			t.Errorf("finding %+v, want a removal or divergence that names gateway-2", f)
		}
	case <-p.done:
		t.Errorf("not reported during the drill: %v %+v", p.err, p.result)
	}
	<-p.done
	if p.err != nil || p.result.RulesHeld {
		t.Errorf("error %v, or all rules held in spite of the hung gateway", p.err)
	}
}

// processes returns the IDs of the processes of the drill in a directory, including stopped processes.
func processes(dir string) (out []int) {
	list, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range list {
		env, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(env), "LB_CONFIG="+dir) {
			if pid, err := strconv.Atoi(strings.Split(path, "/")[2]); err == nil {
				out = append(out, pid)
			}
		}
	}
	return out
}

// All gateway processes end when the rig is killed, including stopped ones.
func TestKilledRigLeavesNoProcess(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childFile+"="+drillDir+"stop.toml", childDir+"="+dir, childProgram+"="+program)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	until := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("timeout while waiting for %s; processes: %v", what, processes(dir))
			}
		}
	}
	until("a process to be stopped", func() bool {
		list := processes(dir)
		for _, pid := range list {
			if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil &&
				strings.Contains(string(stat), ") T ") {
				return len(list) == 5
			}
		}
		return false
	})
	_ = cmd.Process.Signal(syscall.SIGKILL)
	_ = cmd.Wait()
	until("all processes to end", func() bool { return len(processes(dir)) == 0 })
}

// A drill file with an invalid setting is rejected, and the error names its line and column.
func TestInvalidDrillFileErrorsNameLineAndColumn(t *testing.T) {
	good, err := os.ReadFile(drillDir + "stop.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := strings.Count(string(good), "\n") + 1
	for more, want := range map[string]string{
		"[[fault]]\nat = \"3s\"\ndo = \"gateway-stpo\"\n":                                  ":3:1: fault.1.do: unknown fault \"gateway-stpo\", did you mean gateway-stop?",
		"[[fault]]\nat = \"3s\"\ndo = \"gateway-stop\"\ngateways = [5]\nfor = \"1s\"\n":    ":4:1: fault.1.gateways: gateway 5 does not exist, the gateways are 0 to 4",
		"[[fault]]\nat = \"3s\"\ndo = \"gateway-stop\"\ngateways = [1]\n":                  ":3:1: fault.1.do: gateway-stop needs for",
		"[[fault]]\nat = \"3s\"\ndo = \"net-cut\"\nfrom = [\"gateway-7\"]\n":               ":4:1: fault.1.from: \"gateway-7\" matches none of the nodes clients",
		"[[fault]]\nat = \"3s\"\ndo = \"net-cut\"\nfrom = [\"clients\"]\nloss = 0.5\n":     ":5:1: fault.1.loss: is not a field of net-cut",
		"[[fault]]\nat = \"3s\"\ndo = \"net-loss\"\nloss = 1.5\n":                          ":4:1: fault.1.loss: must be 0 to 1",
		"[[fault]]\nat = \"3s\"\ndo = \"net-loss\"\nlos = 0.5\n":                           ":4:1: fault.los: unknown field, did you mean loss?",
		"[[fault]]\nat = \"99s\"\ndo = \"net-loss\"\nloss = 0.5\n":                         ":2:1: fault.1.at: must be within the phases",
		"[[fault]]\nat = 3\ndo = \"net-loss\"\nloss = 0.5\n":                               ":2:1: fault.1.at: a time such as",
		"[[fault]]\nat = \"3s\"\ndo = \"net-partition\"\ngroups = [[\"clients\"]]\n":       ":4:1: fault.1.groups: at least two groups",
		"[[expect]]\nat = \"3s\"\nwithin = \"2s\"\nby = [0]\n":                             ":1:3: expect.2: the expectation states no condition",
		"[[expect]]\nat = \"3s\"\nwithin = \"2s\"\nby = [0]\nof = [1]\nstate = \"dead\"\n": ":6:1: expect.2.state: \"dead\" is none of alive",
		"[[expect]]\nat = \"3s\"\nwithin = \"99s\"\nby = [0]\nalive = 2\n":                 ":2:1: expect.2.at: at and within must lie in the phases",
		"[fleet]\nlate = [0, 0]\n":                                                         ":2:1: fleet.late: gateway 0 is listed twice",
		"[network]\ndelay = \"9s\"\n":                                                      ":2:1: network.delay: must be 0s to 5s",
		"[[event]]\nat = \"3s\"\ndo = \"host-gone\"\n":                                     ":3:1: event.0.do: \"host-gone\" is no event",
	} {
		_, err := Parse("d.toml", append(append([]byte(nil), good...), more...))
		at, rest, _ := strings.Cut(strings.TrimPrefix(want, ":"), ":")
		n, _ := strconv.Atoi(at)
		if text := fmt.Sprintf("d.toml:%d:%s", line+n-1, rest); err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("%q: error %v\nwant %s", more, err, text)
		}
	}
	if _, err := Load("/no/such.toml"); err == nil {
		t.Error("Load succeeded for a file that does not exist")
	}
}
