// Package scenarios runs failure scenarios against real processes. The scripts in the
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

// binDir is the directory of the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ibisline-scenarios-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
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

// setup gives a script its own fleet, which is stopped when the script ends.
func setup(env *testscript.Env) error {
	logs := filepath.Join(env.WorkDir, "fleet")
	if err := os.Mkdir(logs, 0o755); err != nil {
		return err
	}
	s := newScriptEnv(logs, binDir)
	env.Values[scriptEnvKey{}] = s
	env.Setenv("PATH", binDir+string(os.PathListSeparator)+env.Getenv("PATH"))
	env.Defer(s.close)
	return nil
}

// verbs returns the commands that are added to those of testscript.
func verbs() map[string]func(*testscript.TestScript, bool, []string) {
	all := map[string]verb{
		"start":               start,
		"sigkill":             sigkill,
		"terminate":           terminate,
		"pause":               pause,
		"resume":              resume,
		"converge":            converge,
		"cut":                 cut,
		"heal":                heal,
		"faults":              faults,
		"outage":              outage,
		"lose-replies":        loseReplies,
		"entry":               entry,
		"edit":                edit,
		"mark-leaving":        markLeaving,
		"open":                open,
		"turn":                turn,
		"call":                call,
		"join":                join,
		"end":                 end,
		"start-load":          startLoad,
		"stop-load":           stopLoad,
		"expect":              expect,
		"in-force":            inForce,
		"find-home":           findHome,
		"race":                race,
		"retry-until-refused": retryUntilRefused,
		"expect-crashes":      expectCrashes,
		"spend-budget":        spendBudget,
	}
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, v := range all {
		commands[name] = v.command
	}
	return commands
}
