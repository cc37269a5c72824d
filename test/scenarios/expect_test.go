package scenarios

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/fake/service"
)

// expect polls until a condition holds:
//
//	expect executions SERVICE PROGRAM/KEY OP N   executions of a call
//	expect count NAME FIELD OP N                 a counter of a stand-in
//	expect held ENGINE PROGRAM OP N              KV tokens held for a program
//	expect log NAME TEXT                         a line in a process's log
//
// OP is ==, != , >= or <=.
func expect(ts *testscript.TestScript, w *world, raw []string) error {
	if len(raw) < 3 {
		return errors.New("usage: expect WHAT NAME ...")
	}
	return w.wait(func() error { return w.holds(ts, raw) })
}

// holds looks at a condition once.
func (w *world) holds(ts *testscript.TestScript, raw []string) error {
	if raw[0] == "log" {
		return w.logged(ts, raw[1], raw[2])
	}
	if len(raw) != 5 {
		return errors.Errorf("expect %s needs NAME, WHAT, OP and N", raw[0])
	}
	got, err := w.number(raw[0], raw[1], raw[2])
	if err != nil {
		return err
	}
	return compare(strings.Join(raw[:3], " "), got, raw[3], raw[4])
}

// logged looks for text in a log.
func (w *world) logged(ts *testscript.TestScript, name, text string) error {
	if !strings.Contains(ts.ReadFile(w.dir+"/"+name+".log"), text) {
		return errors.Errorf("%q is not in the log of %s", text, name)
	}
	return nil
}

// number reads the left side of a condition.
func (w *world) number(what, name, which string) (float64, error) {
	switch what {
	case "executions":
		return w.executions(name, which)
	case "count":
		return w.counter(name, which)
	case "held":
		return w.held(name, which)
	}
	return 0, errors.Errorf("cannot expect %q", what)
}

// executions reads how often a service executed PROGRAM/KEY.
func (w *world) executions(name, which string) (float64, error) {
	owner, key, _ := strings.Cut(which, "/")
	p, err := w.program(owner)
	if err != nil {
		return 0, err
	}
	var counts service.Counts
	if err := w.fleet.Counts(w.ctx, name, &counts); err != nil {
		return 0, err
	}
	return float64(counts.Executions[p.id+"/"+key]), nil
}

// counter reads a number of a stand-in's /counts.
func (w *world) counter(name, field string) (float64, error) {
	var counts map[string]any
	if err := w.fleet.Counts(w.ctx, name, &counts); err != nil {
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

// held reads the KV tokens that an engine holds for a program.
func (w *world) held(name, which string) (float64, error) {
	p, err := w.program(which)
	if err != nil {
		return 0, err
	}
	var list struct {
		Programs map[string]int `json:"programs"`
	}
	if err := w.fleet.GetJSON(w.ctx, "http://"+w.fleet.Addr(name)+"/v1/kv", &list); err != nil {
		return 0, err
	}
	return float64(list.Programs[p.id]), nil
}

// compare applies OP.
func compare(what string, got float64, op, text string) error {
	var want float64
	if _, err := fmt.Sscan(text, &want); err != nil {
		return errors.Wrap(err, "number")
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

// inForce is "in-force DAEMON ENTRY FIELD VALUE": polls the daemon's dump until
// the entry's field has the value there, for at most the time that an accepted
// edit may take.
func inForce(_ *testscript.TestScript, w *world, raw []string) error {
	if len(raw) != 4 {
		return errors.New("usage: in-force DAEMON ENTRY FIELD VALUE")
	}
	return w.waitFor(inForceLimit, func() error {
		fields, err := w.entryAt(raw[0], raw[1])
		if err != nil {
			return err
		}
		if got := fmt.Sprint(fields[raw[2]]); got != raw[3] {
			return errors.Errorf("%s of %s at %s is %s, want %s", raw[2], raw[1], raw[0], got, raw[3])
		}
		return nil
	})
}

// inForceLimit is the promised time from an accepted edit, or from the return of
// a daemon, until the edit is in force there.
const inForceLimit = 3 * time.Second

// entryAt reads a catalogue entry as a daemon has it in force.
func (w *world) entryAt(daemon, name string) (map[string]any, error) {
	var dump struct {
		Catalogue struct {
			Entries []map[string]any `json:"entries"`
		} `json:"catalogue"`
	}
	if err := w.fleet.GetJSON(w.ctx, "http://"+w.fleet.Addr(daemon)+"/v1/dump", &dump); err != nil {
		return nil, err
	}
	for _, fields := range dump.Catalogue.Entries {
		if fields["name"] == name {
			return fields, nil
		}
	}
	return nil, errors.Errorf("%s has no entry %s", daemon, name)
}
