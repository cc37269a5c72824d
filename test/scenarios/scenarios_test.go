// Package scenarios plays failures against real processes. The scripts in the
// directory scripts use the verbs that this package adds to testscript; verbs
// wait for conditions and never for a fixed time.
package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory of the programs under test.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ibisline-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "ibisline/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "scripts",
		Setup: setup,
		Cmds:  verbs(),
	})
}

// setup gives a script its own fleet, which ends with it.
func setup(env *testscript.Env) error {
	logs := filepath.Join(env.WorkDir, "fleet")
	if err := os.Mkdir(logs, 0o755); err != nil {
		return err
	}
	w := newWorld(logs, binaries)
	env.Values[worldKey{}] = w
	env.Setenv("PATH", binaries+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(w.close)
	return nil
}

// verbs returns the commands that scripts may use besides testscript's own.
func verbs() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]verb{
		"start":        start,
		"sigkill":      sigkill,
		"terminate":    terminate,
		"pause":        pause,
		"resume":       resume,
		"converge":     converge,
		"cut":          cut,
		"heal":         heal,
		"faults":       faults,
		"outage":       outage,
		"lose-replies": loseReplies,
		"entry":        entry,
		"edit":         edit,
		"leave":        leave,
		"open":         open,
		"turn":         turn,
		"call":         call,
		"join":         join,
		"end":          end,
		"load":         load,
		"settle":       settle,
		"expect":       expect,
		"in-force":     inForce,
		"home":         homeOf,
		"race":         race,
		"refused":      refused,
		"crashes":      crashes,
		"spend":        spend,
	}
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, v := range all {
		commands[name] = v.command
	}
	return commands
}
