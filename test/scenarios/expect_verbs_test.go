package scenarios

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/fake/service"
)

// expect polls until a condition is met:
//
//	expect executions SERVICE PROGRAM/KEY OP N   number of executions of a call
//	expect count NAME FIELD OP N                 a counter of a stand-in
//	expect held ENGINE PROGRAM OP N              KV tokens held for a program
//	expect log NAME TEXT                         a line in a process's log
//
// OP is ==, !=, >= or <=.
func expect(ts *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) < 3 {
		return errors.New("usage: expect WHAT NAME ...")
	}
	return s.wait(func() error { return s.checkCondition(ts, raw) })
}

// checkCondition evaluates a condition once.
func (s *scriptEnv) checkCondition(ts *testscript.TestScript, raw []string) error {
	if raw[0] == "log" {
		return s.checkLog(ts, raw[1], raw[2])
	}
	if len(raw) != 5 {
		return errors.Errorf("usage: expect %s NAME WHAT OP N", raw[0])
	}
	got, err := s.number(raw[0], raw[1], raw[2])
	if err != nil {
		return err
	}
	return compare(strings.Join(raw[:3], " "), got, raw[3], raw[4])
}

// checkLog fails unless the log of a process contains text.
func (s *scriptEnv) checkLog(ts *testscript.TestScript, name, text string) error {
	if !strings.Contains(ts.ReadFile(s.dir+"/"+name+".log"), text) {
		return errors.Errorf("%q is not in the log of %s", text, name)
	}
	return nil
}

// number returns the left operand of a condition.
func (s *scriptEnv) number(what, name, which string) (float64, error) {
	switch what {
	case "executions":
		return s.executions(name, which)
	case "count":
		return s.counter(name, which)
	case "held":
		return s.heldTokens(name, which)
	}
	return 0, errors.Errorf("expect: unknown quantity %q", what)
}

// executions returns the number of times a service executed PROGRAM/KEY.
func (s *scriptEnv) executions(name, which string) (float64, error) {
	programName, key, _ := strings.Cut(which, "/")
	p, err := s.program(programName)
	if err != nil {
		return 0, err
	}
	var counts service.Counts
	if err := s.fleet.Counts(s.ctx, name, &counts); err != nil {
		return 0, err
	}
	return float64(counts.Executions[p.id+"/"+key]), nil
}

// counter returns a field of a stand-in's /counts: a number, or the size of a map.
func (s *scriptEnv) counter(name, field string) (float64, error) {
	var counts map[string]any
	if err := s.fleet.Counts(s.ctx, name, &counts); err != nil {
		return 0, err
	}
	switch value := counts[field].(type) {
	case float64:
		return value, nil
	case map[string]any:
		return float64(len(value)), nil
	}
	return 0, errors.Errorf("%s has no counter %q", name, field)
}

// heldTokens returns the number of KV cache tokens that an engine holds for a program.
func (s *scriptEnv) heldTokens(name, which string) (float64, error) {
	p, err := s.program(which)
	if err != nil {
		return 0, err
	}
	var list struct {
		Programs map[string]int `json:"programs"`
	}
	if err := s.fleet.GetJSON(s.ctx, "http://"+s.fleet.Addr(name)+"/v1/kv", &list); err != nil {
		return 0, err
	}
	return float64(list.Programs[p.id]), nil
}

// compare fails unless "got OP text" is true.
func compare(what string, got float64, op, text string) error {
	var want float64
	if _, err := fmt.Sscan(text, &want); err != nil {
		return errors.Wrap(err, "parse operand")
	}
	ok := false
	switch op {
	case "==":
		ok = got == want
	case "!=":
		ok = got != want
	case ">=":
		ok = got >= want
	case "<=":
		ok = got <= want
	default:
		return errors.Errorf("unknown operator %q", op)
	}
	if !ok {
		return errors.Errorf("%s is %v, want %s %s", what, got, op, text)
	}
	return nil
}

// inForce is "in-force DAEMON ENTRY FIELD VALUE". It polls the daemon's dump until
// the entry's field has the value, for at most editTimeout.
func inForce(_ *testscript.TestScript, s *scriptEnv, raw []string) error {
	if len(raw) != 4 {
		return errors.New("usage: in-force DAEMON ENTRY FIELD VALUE")
	}
	return s.waitFor(editTimeout, func() error {
		fields, err := s.effectiveEntry(raw[0], raw[1])
		if err != nil {
			return err
		}
		if got := fmt.Sprint(fields[raw[2]]); got != raw[3] {
			return errors.Errorf("%s of %s at %s is %s, want %s", raw[2], raw[1], raw[0], got, raw[3])
		}
		return nil
	})
}

// editTimeout is the promised time until an edit is in force at a daemon, counted
// from the acceptance of the edit or from the return of the daemon.
const editTimeout = 3 * time.Second

// effectiveEntry returns the fields of a catalogue entry as applied by a daemon.
func (s *scriptEnv) effectiveEntry(daemon, name string) (map[string]any, error) {
	var dump struct {
		Catalogue struct {
			Entries []map[string]any `json:"entries"`
		} `json:"catalogue"`
	}
	if err := s.fleet.GetJSON(s.ctx, "http://"+s.fleet.Addr(daemon)+"/v1/dump", &dump); err != nil {
		return nil, err
	}
	for _, fields := range dump.Catalogue.Entries {
		if fields["name"] == name {
			return fields, nil
		}
	}
	return nil, errors.Errorf("%s has no entry %s", daemon, name)
}
