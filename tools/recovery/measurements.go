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

// editEntry edits the catalogue entry and returns the time until the edit is in
// force at all daemons.
func (t *testFleet) editEntry(ctx context.Context, index int) (time.Duration, error) {
	version, err := t.putEdit(ctx, index)
	if err != nil {
		return 0, err
	}
	acceptedAt := time.Now()
	err = await(ctx, "the edit to be in force", func() bool {
		for _, daemon := range t.daemons {
			status, err := t.status(ctx, daemon)
			if err != nil || status.CatalogueRevision < version {
				return false
			}
		}
		return true
	})
	return time.Since(acceptedAt), err
}

// putEdit alternately raises and lowers the entry's share and returns the new
// version of the entry.
func (t *testFleet) putEdit(ctx context.Context, index int) (int64, error) {
	store := t.fleet.Store("platform")
	key := structs.CataloguePrefix + entry
	stored, err := store.Get(ctx, key)
	if err != nil {
		return 0, errors.Wrap(err, "read entry")
	}
	edited := structs.Entry{Name: entry, Owner: "weaver", Class: "interactive", Share: float64(1 + index%2)}
	value, err := json.Marshal(edited)
	if err != nil {
		return 0, errors.Wrap(err, "encode entry")
	}
	return store.Put(ctx, key, value, stored.Version)
}

// killHome kills the home of a program after the first turn and returns the time
// until the second turn, sent through another daemon, is served by a new home.
func (t *testFleet) killHome(ctx context.Context, index int) (time.Duration, error) {
	frontDaemon := t.daemons[index%len(t.daemons)]
	program, err := t.client(frontDaemon).Open(ctx, structs.OpenRequest{Entry: entry})
	if err != nil {
		return 0, errors.Wrap(err, "open program")
	}
	if err := t.runTurn(ctx, frontDaemon, program, 1); err != nil {
		return 0, err
	}
	state, err := t.client(frontDaemon).State(ctx, program)
	if err != nil {
		return 0, errors.Wrap(err, "get program state")
	}
	victim, _ := t.fleet.Process(state.Home)
	victim.Kill()
	killedAt := time.Now()
	if err := t.runTurn(ctx, t.anotherDaemon(state.Home), program, 2); err != nil {
		return 0, err
	}
	took := time.Since(killedAt)
	return took, t.restart(ctx, state.Home)
}

// runTurn runs one turn. It retries after any error, such as a refusal or an
// interrupted answer, until awaitTimeout.
func (t *testFleet) runTurn(ctx context.Context, daemon, program string, turn int) error {
	request := structs.TurnRequest{
		Program:   program,
		Turn:      turn,
		Messages:  []structs.Message{{Role: "user", Content: fmt.Sprintf("repeat check %d", turn)}},
		Model:     model,
		MaxTokens: 4,
	}
	var last error
	err := await(ctx, "the turn", func() bool {
		_, last = t.client(daemon).Turn(ctx, request)
		return last == nil
	})
	if err != nil {
		return errors.Wrapf(last, "turn %d through %s", turn, daemon)
	}
	return nil
}

// anotherDaemon returns a daemon other than the given one.
func (t *testFleet) anotherDaemon(daemon string) string {
	for _, name := range t.daemons {
		if name != daemon {
			return name
		}
	}
	return daemon
}

// restart restarts a killed daemon under its name and waits until all daemons are
// live.
func (t *testFleet) restart(ctx context.Context, daemon string) error {
	config, _ := t.fleet.Daemon(daemon)
	if _, err := t.fleet.StartDaemon(ctx, config); err != nil {
		return err
	}
	return t.awaitMembers(ctx)
}

// platformOutage interrupts the platform and returns the time from its
// restoration until the next non-idempotent call of a program is served. It fails
// if a call during the outage is not refused as not run.
func (t *testFleet) platformOutage(ctx context.Context, length time.Duration) (time.Duration, error) {
	client := t.client(t.daemons[0])
	program, err := client.Open(ctx, structs.OpenRequest{Entry: entry})
	if err != nil {
		return 0, errors.Wrap(err, "open program")
	}
	if err := t.fleet.SetFaults(ctx, "platform", objects.Faults{Outage: true}); err != nil {
		return 0, err
	}
	if !sleep(ctx, length) {
		return 0, ctx.Err()
	}
	if err := t.checkCallRefused(ctx, program); err != nil {
		return 0, err
	}
	if err := t.fleet.SetFaults(ctx, "platform", objects.Faults{}); err != nil {
		return 0, err
	}
	restoredAt := time.Now()
	err = await(ctx, "a call after the outage", func() bool {
		_, err := client.Call(ctx, nonIdempotentCall(program, "after"))
		return err == nil
	})
	return time.Since(restoredAt), err
}

// checkCallRefused checks that a call during the outage is refused as not run.
func (t *testFleet) checkCallRefused(ctx context.Context, program string) error {
	_, err := t.client(t.daemons[0]).Call(ctx, nonIdempotentCall(program, "during"))
	if !verdict.Is(err, verdict.NotRun) {
		return errors.Errorf("call during the outage: got %v, want a refusal with verdict not_run", err)
	}
	return nil
}

// nonIdempotentCall returns a call of the service, which is not idempotent.
func nonIdempotentCall(program, key string) structs.CallRequest {
	return structs.CallRequest{Program: program, Turn: 1, Key: key, Service: service, Path: "/orders"}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
