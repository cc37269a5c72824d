package scenarios

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"ibisline/internal/caller"
	"ibisline/internal/fake/fleet"
	"ibisline/internal/structs"
)

const (
	// conditionTimeout bounds the wait for a condition. A long timeout costs no time
	// in a passing test, because the wait ends when the condition is met.
	conditionTimeout = 30 * time.Second
	pollInterval     = 20 * time.Millisecond
	// scriptTimeout bounds the run time of one script.
	scriptTimeout = 3 * time.Minute
	region        = "nav-a"
	platform      = "platform"
)

type scriptEnvKey struct{}

// scriptEnv is the state of one running script: its processes, links and programs.
type scriptEnv struct {
	ctx       context.Context
	cancel    context.CancelFunc
	fleet     *fleet.Fleet
	dir       string
	binDir    string
	transport interface {
		CloseIdleConnections()
	}
	clients func(daemon string) *caller.Client

	mu       sync.Mutex
	links    map[string]*link
	programs map[string]*program
	jobs     map[string]chan error
	loads    map[string]*backgroundLoad
}

// program is the caller's record of a program, against which answers are checked.
type program struct {
	id      string
	turn    int // the last completed turn
	history []structs.Message
}

func newScriptEnv(dir, binDir string) *scriptEnv {
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	transport := caller.NewTransport()
	s := &scriptEnv{
		ctx:       ctx,
		cancel:    cancel,
		fleet:     fleet.New(dir, binDir),
		dir:       dir,
		binDir:    binDir,
		transport: transport,
		links:     map[string]*link{},
		programs:  map[string]*program{},
		jobs:      map[string]chan error{},
		loads:     map[string]*backgroundLoad{},
	}
	s.clients = func(daemon string) *caller.Client {
		return caller.New(s.fleet.Addr(daemon), transport)
	}
	return s
}

// close stops everything that the script started.
func (s *scriptEnv) close() {
	s.cancel()
	s.fleet.KillAll()
	s.transport.CloseIdleConnections()
	for _, l := range s.links {
		l.close()
	}
}

// wait polls a condition until it returns nil, for at most conditionTimeout.
func (s *scriptEnv) wait(condition func() error) error { return s.waitFor(conditionTimeout, condition) }

// waitFor polls a condition until it returns nil, for at most the given timeout.
func (s *scriptEnv) waitFor(timeout time.Duration, condition func() error) error {
	limit := time.Now().Add(timeout)
	for {
		err := condition()
		if err == nil {
			return nil
		}
		if time.Now().After(limit) {
			return errors.Wrapf(err, "condition not met within %s", timeout)
		}
		select {
		case <-s.ctx.Done():
			return errors.Wrap(err, "script timed out")
		case <-time.After(pollInterval):
		}
	}
}

// program returns the program that the script opened under the name.
func (s *scriptEnv) program(name string) (*program, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.programs[name]
	if !ok {
		return nil, errors.Errorf("program %q was not opened", name)
	}
	return p, nil
}

// process returns the most recently started process of the name.
func (s *scriptEnv) process(name string) (*fleet.Process, error) {
	p, ok := s.fleet.Process(name)
	if !ok {
		return nil, errors.Errorf("process %q was not started", name)
	}
	return p, nil
}

// args are a verb's arguments: words and KEY=VALUE options.
type args struct {
	words   []string
	options map[string]string
}

func parse(raw []string) args {
	a := args{options: map[string]string{}}
	for _, word := range raw {
		key, value, found := strings.Cut(word, "=")
		if !found || strings.ContainsAny(key, " -") {
			a.words = append(a.words, word)
			continue
		}
		a.options[key] = value
	}
	return a
}

// word returns the i-th positional argument, or "" if there are fewer.
func (a args) word(i int) string {
	if i >= len(a.words) {
		return ""
	}
	return a.words[i]
}

// number returns an option as an integer, or fallback if it is not given.
func (a args) number(key string, fallback int) (int, error) {
	text, ok := a.options[key]
	if !ok {
		return fallback, nil
	}
	var n int
	if _, err := fmt.Sscan(text, &n); err != nil {
		return 0, errors.Wrapf(err, "parse option %s", key)
	}
	return n, nil
}

// verb implements a command of the test language. raw holds the arguments as written.
type verb func(ts *testscript.TestScript, s *scriptEnv, raw []string) error

// command adapts a verb to testscript: its error fails the script, unless the script
// negates the verb with "!".
func (v verb) command(ts *testscript.TestScript, neg bool, raw []string) {
	s := ts.Value(scriptEnvKey{}).(*scriptEnv)
	err := v(ts, s, raw)
	switch {
	case neg && err == nil:
		ts.Fatalf("%s succeeded", strings.Join(raw, " "))
	case neg:
		ts.Logf("failed as expected: %v", err)
	case err != nil:
		s.showProcessLogs(ts)
		ts.Fatalf("%v", err)
	}
}

// maxShownLogBytes bounds the part of each process log that a failed script prints.
const maxShownLogBytes = 3000

// showProcessLogs prints the end of each process log.
func (s *scriptEnv) showProcessLogs(ts *testscript.TestScript) {
	files, err := os.ReadDir(s.dir)
	if err != nil {
		return
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".log") {
			continue
		}
		content, err := os.ReadFile(s.dir + "/" + file.Name())
		if err != nil || len(content) == 0 {
			continue
		}
		ts.Logf("--- %s\n%s", file.Name(), content[max(0, len(content)-maxShownLogBytes):])
	}
}
