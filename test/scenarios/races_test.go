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

// firstRacingShare is the share that the first racing operator sets.
const firstRacingShare = 10

// race is "race ENTRY OPERATORS DAEMON...": so many operators edit the entry from
// the same version at the same time. Exactly one must be accepted, and its edit
// must be in force at the daemons.
func race(ts *testscript.TestScript, w *world, raw []string) error {
	if len(raw) < 3 {
		return errors.New("usage: race ENTRY OPERATORS DAEMON...")
	}
	var operators int
	if _, err := fmt.Sscan(raw[1], &operators); err != nil {
		return errors.Wrap(err, "operators")
	}
	winner, err := w.editAtOnce(raw[0], operators)
	if err != nil {
		return err
	}
	for _, daemon := range raw[2:] {
		if err := inForce(ts, w, []string{daemon, raw[0], "share", fmt.Sprint(winner)}); err != nil {
			return err
		}
	}
	return nil
}

// editAtOnce lets the operators edit and returns the share that was accepted.
func (w *world) editAtOnce(name string, operators int) (int, error) {
	object, err := w.fleet.Store(platform).Get(w.ctx, structs.CataloguePrefix+name)
	if err != nil {
		return 0, errors.Wrap(err, "read entry")
	}
	outcomes := make([]error, operators)
	done := make(chan int)
	for i := range operators {
		go func() {
			outcomes[i] = w.setShare(name, firstRacingShare+i, object.Version)
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
		winner = firstRacingShare + i
	}
	if winner == 0 {
		return 0, errors.Errorf("no edit was accepted: %v", errors.Join(outcomes...))
	}
	return winner, nil
}

// setShare edits one entry as an operator who saw the given version.
func (w *world) setShare(name string, share int, version int64) error {
	command := exec.CommandContext(w.ctx, w.bin+"/ibisctl", "--platform", w.fleet.Addr(platform), "--author",
		"operator", "entry", "put", name, "--share", fmt.Sprint(share), "--version", fmt.Sprint(version))
	out, err := command.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "ibisctl: %s", out)
	}
	return nil
}

// refused is "refused PROGRAM DAEMON TEXT REASON": the program's caller sends a
// turn with TEXT again and again until it is refused with REASON.
func refused(_ *testscript.TestScript, w *world, raw []string) error {
	if len(raw) != 4 {
		return errors.New("usage: refused PROGRAM DAEMON TEXT REASON")
	}
	p, err := w.program(raw[0])
	if err != nil {
		return err
	}
	request, err := p.next(args{options: map[string]string{"text": raw[2]}})
	if err != nil {
		return err
	}
	return w.wait(func() error {
		_, err := w.clients(raw[1]).Turn(w.ctx, request)
		if err != nil && verdict.HasReason(err, verdict.Reason(raw[3])) {
			return nil
		}
		return errors.Errorf("not refused yet: %v", err)
	})
}

// crashes is "crashes <= N ENGINE...": the sum over engines.
func crashes(_ *testscript.TestScript, w *world, raw []string) error {
	if len(raw) < 3 {
		return errors.New("usage: crashes OP N ENGINE...")
	}
	total := 0
	for _, name := range raw[2:] {
		var counts engine.Counts
		if err := w.fleet.Counts(w.ctx, name, &counts); err != nil {
			return err
		}
		total += counts.Crashes
	}
	return compare("crashes of "+strings.Join(raw[2:], ", "), float64(total), raw[0], raw[1])
}

// turnsOfSpend bounds the turns of a program that should end at its budget.
const turnsOfSpend = 1000

// spend is "spend PROGRAM DAEMON REASON": it runs turns until one is refused with
// REASON, and checks that the program's spent tokens are within its budget.
func spend(ts *testscript.TestScript, w *world, raw []string) error {
	if len(raw) != 3 {
		return errors.New("usage: spend PROGRAM DAEMON REASON")
	}
	p, err := w.program(raw[0])
	if err != nil {
		return err
	}
	for range turnsOfSpend {
		err := turn(ts, w, []string{raw[0], raw[1], "out=16", "tokens=16"})
		if err == nil {
			continue
		}
		if !verdict.HasReason(err, verdict.Reason(raw[2])) {
			return err
		}
		return w.withinBudget(p, raw[1])
	}
	return errors.Errorf("not refused within %d turns", turnsOfSpend)
}

// withinBudget compares what a program spent with its entry's budget.
func (w *world) withinBudget(p *program, daemon string) error {
	state, err := w.clients(daemon).State(w.ctx, p.id)
	if err != nil {
		return err
	}
	object, err := w.fleet.Store(platform).Get(w.ctx, structs.CataloguePrefix+state.Entry)
	if err != nil {
		return errors.Wrap(err, "read entry")
	}
	var entry structs.Entry
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		return errors.Wrap(err, "decode entry")
	}
	if state.SpentTokens > entry.BudgetTokens {
		return errors.Errorf("%d tokens spent of %d", state.SpentTokens, entry.BudgetTokens)
	}
	return nil
}
