// Command review runs the cases of the review that are scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(r *record, binary, dir string, trouble bool) (broken bool, err error){
	"crowd": runCrowd,
	"drain": runDrain,
	"spoil": runSpoil,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil || os.Args[4] != "on" && os.Args[4] != "off" {
		fmt.Fprintln(os.Stderr, "usage: review CASE ROOT RECORD on|off")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return exitNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupts
		started.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(exitNotRun)
	}()
	trouble := os.Args[4] == "on"
	r.say("the disruption is %s", os.Args[4])
	broken, err := cases[os.Args[1]](r, filepath.Join(root, "target", "galenaridge"), dir, trouble)
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.say("the rule was broken")
		return exitBroken
	default:
		r.say("the rule held")
		return exitHeld
	}
}
