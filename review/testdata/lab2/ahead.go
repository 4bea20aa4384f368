package main

import (
	"os/exec"

	"thymebend/review/testdata/ahead"
)

// The plays of package ahead are cases too.
func init() {
	for name, play := range ahead.Plays {
		cases[name] = func(r *rig) { playAhead(r, play) }
	}
}

// playAhead plays a case of package ahead. The rig ends the gateways that it starts.
func playAhead(r *rig, play ahead.Play) {
	broken, err := play(ahead.Rig{
		Root: ".", Dir: r.dir, Trouble: r.trouble, Note: r.note,
		Started: func(cmd *exec.Cmd, control string, ended chan struct{}) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.processes = append(r.processes, &process{cmd: cmd, control: control, exited: ended})
		},
	})
	for _, line := range broken {
		r.breach("%s", line)
	}
	if err != nil {
		giveUp("%v", err)
	}
}
