//go:build review3

// Command scene plays one case of the third review: it starts the store, the runners and the daemons of a small
// deployment on loopback addresses, acts as clients and operator, brings the disruption about and checks the rule.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the time after which a case that has not ended is given up.
const maxTime = 115 * time.Second

// cases holds the cases by name. A case returns true if the rule was broken.
var cases = map[string]func(s *scene) (bool, error){
	"retire-while-down": retireWhileDown,
	"wiped-together":    wipedTogether,
	"quota-after-kills": quotaAfterKills,
	"second-loss":       secondLoss,
	"retire-after-loss": inParallel(5, retireAfterLoss),
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene CASE RECORD")
		os.Exit(exitNotRun)
	}
	go giveUp()
	os.Exit(play(os.Args[1], os.Args[2]))
}

// giveUp ends this process and all that it has started after maxTime, or once it is told to end.
func giveUp() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-told:
	case <-time.After(maxTime):
	}
	fmt.Fprintln(os.Stderr, "given up")
	killStarted()
	os.Exit(exitNotRun)
}

// play runs a case and ends all processes that it has started.
func play(name, recordFile string) int {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	program, err := filepath.Abs("target/ibislined")
	if err != nil {
		r.say("cannot run: %v", err)
		return exitNotRun
	}
	s := newScene(dir, program, r, os.Getenv("TROUBLE") != "0")
	defer s.end()
	r.say("case %s, trouble %v", name, s.trouble)
	broken, err := cases[name](s)
	switch {
	case err != nil:
		r.say("cannot run: %v", err)
		return exitNotRun
	case broken:
		r.say("RESULT: the rule was broken")
		return exitBroken
	default:
		r.say("RESULT: the rule held")
		return exitHeld
	}
}
