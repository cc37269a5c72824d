// Command stand-ins-2 plays the scenes of the second review: it starts gateways and keepers as
// processes on loopback addresses, with stand-ins of the platform's store, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

var scenes = map[string]func(*scene) (bool, error){
	"bodies":      bodies,
	"descriptors": descriptors,
	"hedge":       hedge,
	"spent":       spent,
}

// A daemon ends with the thread that has started it, which therefore has to be the main one.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-ins-2 SCENE IBISLINED FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, binary, folder string) int {
	run, known := scenes[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no scene %q\n", name)
		return exitNoRun
	}
	out, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer out.close()
	s, err := newScene(binary, out, os.Getenv("TROUBLE") != "0")
	if err != nil {
		out.say("cannot run: %v", err)
		return exitNoRun
	}
	defer s.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		s.end()
		os.Exit(exitNoRun)
	}()
	broken, err := run(s)
	out.say("%d connections were reset by runners beyond their cap", s.capped.Load())
	switch {
	case err != nil:
		out.say("cannot run: %v", err)
		return exitNoRun
	case broken:
		out.say("the rule is broken")
		return exitBroken
	default:
		out.say("the rule held")
		return exitHeld
	}
}
