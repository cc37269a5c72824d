package scenarios

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/fake/engine"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// lowestRacingShare is the share that the first operator of a race sets; each
// further operator sets one more.
const lowestRacingShare = 10

// race is "race ENTRY OPERATORS DAEMON...". OPERATORS concurrent edits are made from
// the same version of the entry. Exactly one must be accepted, and it must be in
// force at the daemons.
func race(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) < 3 {
		return errors.New("usage: race ENTRY OPERATORS DAEMON...")
	}
	var operators int
	if _, err := fmt.Sscan(raw[1], &operators); err != nil {
		return errors.Wrap(err, "parse number of operators")
	}
	winner, err := s.raceEdits(raw[0], operators)
	if err != nil {
		return err
	}
	for _, daemon := range raw[2:] {
		if err := inForce(ts, s, []string{daemon, raw[0], "share", fmt.Sprint(winner)}); err != nil {
			return err
		}
	}
	return nil
}

// raceEdits makes the concurrent edits and returns the share of the accepted one.
func (s *scriptEnv) raceEdits(name string, operators int) (int, error) {
	object, err := s.fleet.Store(platform).Get(s.ctx, structs.CataloguePrefix+name)
	if err != nil {
		return 0, errors.Wrap(err, "read entry")
	}
	outcomes := make([]error, operators)
	done := make(chan int)
	for i := range operators {
		go func() {
			outcomes[i] = s.setShare(name, lowestRacingShare+i, object.Version)
			done <- i
		}()
	}
	for range operators {
		<-done
	}
	winner := 0
	for i, outcome := range outcomes {
		if outcome != nil {
			continue
		}
		if winner != 0 {
			return 0, errors.New("two edits of the same version were accepted")
		}
		winner = lowestRacingShare + i
	}
	if winner == 0 {
		return 0, errors.Errorf("no edit was accepted: %v", errors.Join(outcomes...))
	}
	return winner, nil
}

// setShare edits one entry on condition that it still has the given version.
func (s *scriptEnv) setShare(name string, share int, version int64) error {
	command := exec.CommandContext(s.ctx, s.binDir+"/ibisctl", "--platform", s.fleet.Addr(platform), "--author",
		"operator", "entry", "put", name, "--share", fmt.Sprint(share), "--version", fmt.Sprint(version))
	out, err := command.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "ibisctl: %s", out)
	}
	return nil
}

// retryUntilRefused is "retry-until-refused PROGRAM DAEMON TEXT REASON". It repeats
// a turn with TEXT until it is refused with REASON.
func retryUntilRefused(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) != 4 {
		return errors.New("usage: retry-until-refused PROGRAM DAEMON TEXT REASON")
	}
	p, err := s.program(raw[0])
	if err != nil {
		return err
	}
	request, err := p.nextRequest(args{options: map[string]string{"text": raw[2]}})
	if err != nil {
		return err
	}
	return s.wait(func() error {
		_, err := s.clients(raw[1]).Turn(s.ctx, request)
		if err != nil && verdict.HasReason(err, verdict.Reason(raw[3])) {
			return nil
		}
		return errors.Errorf("not refused yet: %v", err)
	})
}

// expectCrashes is "expect-crashes OP N ENGINE...". It compares the total number of
// crashes of the engines with N, once and without polling.
func expectCrashes(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) < 3 {
		return errors.New("usage: expect-crashes OP N ENGINE...")
	}
	total := 0
	for _, name := range raw[2:] {
		var counts engine.Counts
		if err := s.fleet.Counts(s.ctx, name, &counts); err != nil {
			return err
		}
		total += counts.Crashes
	}
	return compare("crashes of "+strings.Join(raw[2:], ", "), float64(total), raw[0], raw[1])
}

// maxSpendTurns bounds the number of turns before the budget must be exhausted.
const maxSpendTurns = 1000

// spendBudget is "spend-budget PROGRAM DAEMON REASON". It runs turns until one is
// refused with REASON, and checks that the program has not exceeded its budget.
func spendBudget(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) != 3 {
		return errors.New("usage: spend-budget PROGRAM DAEMON REASON")
	}
	p, err := s.program(raw[0])
	if err != nil {
		return err
	}
	for range maxSpendTurns {
		err := turn(ts, s, []string{raw[0], raw[1], "out=16", "tokens=16"})
		if err == nil {
			continue
		}
		if !verdict.HasReason(err, verdict.Reason(raw[2])) {
			return err
		}
		return s.checkBudget(p, raw[1])
	}
	return errors.Errorf("no turn was refused within %d turns", maxSpendTurns)
}

// checkBudget fails if a program spent more tokens than its entry's budget.
func (s *scriptEnv) checkBudget(p *program, daemon string) error {
	state, err := s.clients(daemon).State(s.ctx, p.id)
	if err != nil {
		return err
	}
	object, err := s.fleet.Store(platform).Get(s.ctx, structs.CataloguePrefix+state.Entry)
	if err != nil {
		return errors.Wrap(err, "read entry")
	}
	var entry structs.Entry
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		return errors.Wrap(err, "decode entry")
	}
	if state.SpentTokens > entry.BudgetTokens {
		return errors.Errorf("program spent %d tokens of a budget of %d", state.SpentTokens, entry.BudgetTokens)
	}
	return nil
}
