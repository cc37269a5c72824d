package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/fake/objects"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// edit changes the entry and returns the time until all daemons have it in force.
func (s *site) edit(ctx context.Context, number int) (time.Duration, error) {
	version, err := s.putEdit(ctx, number)
	if err != nil {
		return 0, err
	}
	accepted := time.Now()
	err = await(ctx, "the edit to be in force", func() bool {
		for _, daemon := range s.daemons {
			status, err := s.status(ctx, daemon)
			if err != nil || status.CatalogueRevision < version {
				return false
			}
		}
		return true
	})
	return time.Since(accepted), err
}

// putEdit raises and lowers the entry's share in turn and returns the version.
func (s *site) putEdit(ctx context.Context, number int) (int64, error) {
	store := s.fleet.Store("platform")
	key := structs.CataloguePrefix + entry
	held, err := store.Get(ctx, key)
	if err != nil {
		return 0, errors.Wrap(err, "read entry")
	}
	edited := structs.Entry{Name: entry, Owner: "weaver", Class: "interactive", Share: float64(1 + number%2)}
	value, err := json.Marshal(edited)
	if err != nil {
		return 0, errors.Wrap(err, "encode entry")
	}
	return store.Put(ctx, key, value, held.Version)
}

// killHome kills the home of a program after its first turn and returns the time
// until its second turn was served by another home, through another daemon.
func (s *site) killHome(ctx context.Context, number int) (time.Duration, error) {
	first := s.daemons[number%len(s.daemons)]
	program, err := s.client(first).Open(ctx, structs.OpenRequest{Entry: entry})
	if err != nil {
		return 0, errors.Wrap(err, "open")
	}
	if err := s.turn(ctx, first, program, 1); err != nil {
		return 0, err
	}
	state, err := s.client(first).State(ctx, program)
	if err != nil {
		return 0, errors.Wrap(err, "state")
	}
	victim, _ := s.fleet.Process(state.Home)
	victim.Kill()
	killed := time.Now()
	if err := s.turn(ctx, s.otherThan(state.Home), program, 2); err != nil {
		return 0, err
	}
	took := time.Since(killed)
	return took, s.restart(ctx, state.Home)
}

// turn runs one turn, and sends it again while it is refused as not run or its
// answer breaks off.
func (s *site) turn(ctx context.Context, daemon, program string, turn int) error {
	request := structs.TurnRequest{
		Program:   program,
		Turn:      turn,
		Messages:  []structs.Message{{Role: "user", Content: fmt.Sprintf("repeat check %d", turn)}},
		Model:     model,
		MaxTokens: 4,
	}
	var last error
	err := await(ctx, "the turn", func() bool {
		_, last = s.client(daemon).Turn(ctx, request)
		return last == nil
	})
	if err != nil {
		return errors.Wrapf(last, "turn %d through %s", turn, daemon)
	}
	return nil
}

// otherThan returns a daemon that is not the one given.
func (s *site) otherThan(daemon string) string {
	for _, name := range s.daemons {
		if name != daemon {
			return name
		}
	}
	return daemon
}

// restart starts a killed daemon again under its name.
func (s *site) restart(ctx context.Context, daemon string) error {
	place, _ := s.fleet.Daemon(daemon)
	if _, err := s.fleet.StartDaemon(ctx, place); err != nil {
		return err
	}
	return s.awaitMembers(ctx)
}

// outage takes the platform away and returns the time from its return until a
// program's next non-repeatable call was served.
func (s *site) outage(ctx context.Context, length time.Duration) (time.Duration, error) {
	client := s.client(s.daemons[0])
	program, err := client.Open(ctx, structs.OpenRequest{Entry: entry})
	if err != nil {
		return 0, errors.Wrap(err, "open")
	}
	if err := s.fleet.SetFaults(ctx, "platform", objects.Faults{Outage: true}); err != nil {
		return 0, err
	}
	if !sleep(ctx, length) {
		return 0, ctx.Err()
	}
	if err := s.refused(ctx, program); err != nil {
		return 0, err
	}
	if err := s.fleet.SetFaults(ctx, "platform", objects.Faults{}); err != nil {
		return 0, err
	}
	returned := time.Now()
	err = await(ctx, "a call after the outage", func() bool {
		_, err := client.Call(ctx, order(program, "after"))
		return err == nil
	})
	return time.Since(returned), err
}

// refused checks that a call during the outage is refused as not run.
func (s *site) refused(ctx context.Context, program string) error {
	_, err := s.client(s.daemons[0]).Call(ctx, order(program, "during"))
	if !verdict.Is(err, verdict.NotRun) {
		return errors.Errorf("call during the outage: %v, want a refusal as not run", err)
	}
	return nil
}

// order is a call that must not be repeated.
func order(program, key string) structs.CallRequest {
	return structs.CallRequest{Program: program, Turn: 1, Key: key, Service: service, Path: "/orders"}
}

// sleep waits and returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
