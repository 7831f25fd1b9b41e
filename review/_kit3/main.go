// Command cases runs the scripts of the third review. Its arguments are the name of a case
// and the folder of its record. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit ends a case that takes too long.
const limit = 115 * time.Second

// caseRun is the state that all cases have.
type caseRun struct {
	record   *record
	dir      string
	store    *store
	machines []*machine
	// trouble is unset if the case runs without its disruption.
	trouble bool
}

var cases = map[string]func(*caseRun) (bool, error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER, in the root of the repository")
		return failed
	}
	name := os.Args[1]
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r := &caseRun{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.end()
	if r.dir, err = os.MkdirTemp("", "review-3-"); err == nil {
		r.store, err = newStore()
	}
	if err != nil {
		record.resultf("could not run: %v", err)
		return failed
	}
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](r)
		done <- result{broken, err}
	}()
	select {
	case got := <-done:
		switch {
		case got.err != nil:
			record.resultf("could not run: %v", got.err)
			return failed
		case got.broken:
			record.resultf("the rule was broken")
			return broken
		}
		record.resultf("the rule held")
		return held
	case <-ended:
		record.resultf("could not run: it was ended by a signal")
		return failed
	case <-time.After(limit):
		record.resultf("could not run: no result after %v", limit)
		return failed
	}
}

// startMachines starts one machine for each zone in the list and waits until all are ready.
func (r *caseRun) startMachines(d deployment, zones []string, storeAddress string) error {
	machines, err := newMachines(r.dir, d, zones, storeAddress)
	if err != nil {
		return err
	}
	r.machines = machines
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (r *caseRun) end() {
	for _, m := range r.machines {
		m.kill()
	}
	_ = os.RemoveAll(r.dir)
}
