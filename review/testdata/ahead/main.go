package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// A play plays a case, with or without its disruption, and returns how the rule was broken.
type play func(rec *record, root, dir string, trouble bool) (broken []string, err error)

var plays = map[string]play{"stop": playStop, "long": playLongAnswers, "slow": playSlowHosts}

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

func main() {
	root := flag.String("root", ".", "the repository")
	dir := flag.String("dir", "", "an empty folder for the gateway")
	out := flag.String("record", "record.txt", "the file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*root, *dir, *out, *trouble, flag.Arg(0)))
}

// run plays the case with the given name and returns the exit code.
func run(root, dir, out string, trouble bool, name string) int {
	file, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	rec := &record{file: file}
	played := plays[name]
	if played == nil {
		fmt.Fprintf(os.Stderr, "no play %q\n", name)
		return exitCannotRun
	}
	broken, err := played(rec, root, dir, trouble)
	for _, b := range broken {
		rec.printf("BROKEN %s", b)
	}
	switch {
	case errors.Is(err, errCannotRun):
		rec.printf("%v", err)
		fmt.Println(err)
		return exitCannotRun
	case err != nil || len(broken) > 0:
		rec.printf("broken %d times", len(broken))
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	rec.printf("held")
	fmt.Println("held")
	return exitHeld
}
