//go:build review3

package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"ibisline/platform/platformtest"
)

// events returns the answer of a runner to a turn, which it runs.
func (s *scene) events(run platformtest.Run) platformtest.Reply {
	s.note("a runner runs turn %s, with a prompt of %d bytes", run.ID, len(run.Body))
	reply := platformtest.Reply{EventGap: 2 * time.Millisecond}
	for i := range 3 {
		reply.Events = append(reply.Events, fmt.Sprintf("piece %d of %s", i+1, run.ID))
	}
	return reply
}

// prepare starts the platform, the runners and the daemons of a case about kept turns.
func (s *scene) prepare(places []place, lostDisks int, keepers, gateways []place) error {
	s.places, s.lostDisks = places, lostDisks
	if err := s.put("config/main", fmt.Sprintf(configuration, 1)); err != nil {
		return err
	}
	for i, at := range places {
		if err := s.addRunner(fmt.Sprintf("runner-%d", i), at, s.events); err != nil {
			return err
		}
	}
	for i, at := range gateways {
		if err := s.addDaemon(fmt.Sprintf("gateway-%d", i), "gateway", at); err != nil {
			return err
		}
	}
	for i, at := range keepers {
		if err := s.addDaemon(fmt.Sprintf("keeper-%d", i), "keeper", at); err != nil {
			return err
		}
	}
	if err := s.startAll(); err != nil {
		return err
	}
	// Traffic starts some seconds after the machines.
	time.Sleep(3 * time.Second)
	return nil
}

var threeRegions = []place{{"nav-a", "navarra"}, {"gip-a", "gipuzkoa"}, {"rio-a", "rioja"}}

// afterLoss is longer than contactMs and catchUpS together: 3 and 4 s on small deployments, 4 and 6 s on
// krha-huts-grown.
const afterLoss = 10500 * time.Millisecond

// programsAtEach is the number of programs that begin at each gateway.
const programsAtEach = 20

// retireWhileDown: a store machine is to be emptied while another one is down for some seconds; the machine is
// removed once its retirement is completed. Later a third machine loses its disk.
func retireWhileDown(s *scene) (bool, error) {
	if err := s.prepare(threeRegions, 1, threeRegions, threeRegions); err != nil {
		return false, err
	}
	var turns []turn
	for i := range threeRegions {
		turns = append(turns, s.firstTurns(fmt.Sprintf("gateway-%d", i), i*programsAtEach, programsAtEach)...)
	}
	s.say("%d first turns were answered whole", len(turns))
	if len(turns) < 3*programsAtEach {
		return false, errors.New("some first turns were not served")
	}
	time.Sleep(time.Second)

	const down = 2800 * time.Millisecond
	killedAt := time.Now()
	if s.trouble {
		s.say("keeper-1 is killed, for %v", down)
		s.kill("keeper-1")
		time.Sleep(500 * time.Millisecond)
	}
	s.say("the operator asks for keeper-0 to be emptied")
	if err := s.put("retirements/keeper-0", `{"durationS":10}`); err != nil {
		return false, err
	}
	if s.trouble {
		time.Sleep(time.Until(killedAt.Add(down)))
		if err := s.start("keeper-1"); err != nil {
			return false, err
		}
	}
	if err := s.removeOnceCompleted("keeper-0"); err != nil {
		return false, err
	}
	if err := s.wipeForSeconds("keeper-2"); err != nil {
		return false, err
	}
	return s.continueElsewhere(turns, 3, 6)
}

// removeOnceCompleted waits until the retirement of a keeper is completed, and removes its machine with its disk. It
// then waits for longer than catchUpS and contactMs.
func (s *scene) removeOnceCompleted(name string) error {
	completed := func() bool { return strings.Contains(string(s.store.Status("retirements/"+name)), `"completed"`) }
	if !waitFor(20*time.Second, completed) {
		return fmt.Errorf("the retirement of %s was not completed within 20 s", name)
	}
	s.say("the retirement of %s is completed; the machine is removed with its disk", name)
	s.kill(name)
	err := s.loseDisk(name)
	time.Sleep(afterLoss)
	return err
}

// wipeForSeconds makes a keeper lose its disk and starts it again after 2 s. It then waits as removeOnceCompleted does.
func (s *scene) wipeForSeconds(name string) error {
	s.kill(name)
	if err := s.loseDisk(name); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	err := s.start(name)
	time.Sleep(afterLoss)
	return err
}

// retireAfterLoss: a store machine loses its disk, and the operator asks for it to be emptied before it is back; it
// is removed once its retirement is completed. Later another machine loses its disk.
func retireAfterLoss(s *scene) (bool, error) {
	if err := s.prepare(threeRegions, 1, threeRegions, threeRegions); err != nil {
		return false, err
	}
	var turns []turn
	for i := range threeRegions {
		turns = append(turns, s.firstTurns(fmt.Sprintf("gateway-%d", i), i*programsAtEach, programsAtEach)...)
	}
	s.say("%d first turns were answered whole", len(turns))
	if len(turns) < 3*programsAtEach {
		return false, errors.New("some first turns were not served")
	}
	time.Sleep(time.Second)
	if s.trouble {
		s.kill("keeper-0")
		if err := s.loseDisk("keeper-0"); err != nil {
			return false, err
		}
		time.Sleep(time.Second)
	}
	s.say("the operator asks for keeper-0 to be emptied")
	if err := s.put("retirements/keeper-0", `{"durationS":10}`); err != nil {
		return false, err
	}
	if s.trouble {
		time.Sleep(time.Second)
		if err := s.start("keeper-0"); err != nil {
			return false, err
		}
	}
	if err := s.removeOnceCompleted("keeper-0"); err != nil {
		return false, err
	}
	if err := s.wipeForSeconds("keeper-2"); err != nil {
		return false, err
	}
	return s.continueElsewhere(turns, 3, 6)
}

// continueElsewhere sends the second turn of each program to another gateway than that of its first turn.
func (s *scene) continueElsewhere(turns []turn, gateways, tries int) (bool, error) {
	var o outcomes
	var clients sync.WaitGroup
	for i, t := range turns {
		clients.Go(func() {
			first := i / programsAtEach
			for n := range tries {
				gateway := fmt.Sprintf("gateway-%d", (first+1+n%(gateways-1))%gateways)
				if s.continueTurn(gateway, t, &o) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.say("second turns: %s", &o)
	return o.absent > 0, nil
}

// wipedTogether: two store machines lose their disks while a third one is down for some seconds.
func wipedTogether(s *scene) (bool, error) {
	places := []place{{"ph-a", "perth-hills"}, {"ph-b", "perth-hills"}, {"sw-a", "south-west"}, {"gs-a", "great-south"}}
	keepers := []place{places[0], places[0], places[1], places[2], places[2], places[3]}
	gateways := []place{places[0], places[1], places[2]}
	if err := s.prepare(places, 2, keepers, gateways); err != nil {
		return false, err
	}
	turns := s.firstTurns("gateway-0", 0, programsAtEach)
	s.say("%d first turns were answered whole", len(turns))
	if len(turns) < programsAtEach {
		return false, errors.New("some first turns were not served")
	}
	time.Sleep(time.Second)
	lostAt := time.Now()
	var restarts sync.WaitGroup
	failed := make(chan error, 3)
	if s.trouble {
		for _, name := range []string{"keeper-0", "keeper-1"} {
			s.kill(name)
			if err := s.loseDisk(name); err != nil {
				return false, err
			}
		}
		s.say("keeper-2 loses power")
		s.kill("keeper-2")
		for name, down := range map[string]time.Duration{
			"keeper-0": time.Second, "keeper-1": time.Second, "keeper-2": 2800 * time.Millisecond,
		} {
			restarts.Go(func() {
				time.Sleep(time.Until(lostAt.Add(down)))
				failed <- s.start(name)
			})
		}
	}
	var o outcomes
	var clients sync.WaitGroup
	for i, t := range turns {
		clients.Go(func() {
			// The programs go on between 1 s and 3.8 s after the loss.
			time.Sleep(time.Until(lostAt.Add(time.Second + time.Duration(i)*140*time.Millisecond)))
			for n := range 8 {
				if s.continueTurn(fmt.Sprintf("gateway-%d", 1+n%2), t, &o) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	restarts.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return false, err
		}
	}
	s.say("second turns: %s", &o)
	_ = os.Stdout.Sync()
	return o.absent > 0, nil
}
