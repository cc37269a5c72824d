//go:build review

// Command scene plays the scripts of the review: it starts the project's daemons as separate processes
// before stand-ins of the platform, its runners and its clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenes are the scripts by name. A scene returns whether the rule held.
var scenes = map[string]func(log *record, trouble bool) (bool, error){
	"retirement": retirement,
	"fullrunner": fullRunner,
	"leaving":    leaving,
}

func main() {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene NAME RECORD")
		os.Exit(exitFailed)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		closeAll()
		os.Exit(exitFailed)
	}()
	held, err := scenes[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		log.say("the case could not run: %v", err)
		os.Exit(exitFailed)
	case !held:
		log.say("the rule was broken")
		os.Exit(exitBroken)
	}
	log.say("the rule held")
	os.Exit(exitHeld)
}
