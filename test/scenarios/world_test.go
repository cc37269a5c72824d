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
	// patience bounds the wait for a condition. It is generous, as a condition
	// that holds ends the wait.
	patience  = 30 * time.Second
	pollEvery = 20 * time.Millisecond
	// scriptLimit bounds a whole script.
	scriptLimit = 3 * time.Minute
	region      = "nav-a"
	platform    = "platform"
)

type worldKey struct{}

// world is what one script sees: its processes, links and programs.
type world struct {
	ctx       context.Context
	cancel    context.CancelFunc
	fleet     *fleet.Fleet
	dir       string
	bin       string
	transport interface {
		CloseIdleConnections()
	}
	clients func(daemon string) *caller.Client

	mu       sync.Mutex
	links    map[string]*link
	programs map[string]*program
	jobs     map[string]chan error
	loads    map[string]*background
}

// program is a caller's own view of a program.
type program struct {
	id      string
	turn    int
	history []structs.Message
}

func newWorld(dir, bin string) *world {
	ctx, cancel := context.WithTimeout(context.Background(), scriptLimit)
	transport := caller.NewTransport()
	w := &world{
		ctx:       ctx,
		cancel:    cancel,
		fleet:     fleet.New(dir, bin),
		dir:       dir,
		bin:       bin,
		transport: transport,
		links:     map[string]*link{},
		programs:  map[string]*program{},
		jobs:      map[string]chan error{},
		loads:     map[string]*background{},
	}
	w.clients = func(daemon string) *caller.Client {
		return caller.New(w.fleet.Addr(daemon), transport)
	}
	return w
}

// close ends everything that the script started.
func (w *world) close() {
	w.cancel()
	w.fleet.KillAll()
	w.transport.CloseIdleConnections()
	for _, l := range w.links {
		l.close()
	}
}

// wait polls a condition until it holds.
func (w *world) wait(holds func() error) error { return w.waitFor(patience, holds) }

// waitFor polls a condition until it holds, at most for the given time.
func (w *world) waitFor(most time.Duration, holds func() error) error {
	limit := time.Now().Add(most)
	for {
		err := holds()
		if err == nil {
			return nil
		}
		if time.Now().After(limit) {
			return errors.Wrapf(err, "still after %s", most)
		}
		select {
		case <-w.ctx.Done():
			return errors.Wrap(err, "script out of time")
		case <-time.After(pollEvery):
		}
	}
}

// program returns a program by the script's name for it.
func (w *world) program(name string) (*program, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.programs[name]
	if !ok {
		return nil, errors.Errorf("no program %q was opened", name)
	}
	return p, nil
}

// process returns the newest process of a name.
func (w *world) process(name string) (*fleet.Process, error) {
	p, ok := w.fleet.Process(name)
	if !ok {
		return nil, errors.Errorf("no process %q was started", name)
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

// word returns a positional argument, or "".
func (a args) word(i int) string {
	if i >= len(a.words) {
		return ""
	}
	return a.words[i]
}

// number returns an option as a number.
func (a args) number(key string, usual int) (int, error) {
	text, ok := a.options[key]
	if !ok {
		return usual, nil
	}
	var n int
	if _, err := fmt.Sscan(text, &n); err != nil {
		return 0, errors.Wrapf(err, "option %s", key)
	}
	return n, nil
}

// verb is a command of the scripts.
type verb func(ts *testscript.TestScript, w *world, raw []string) error

// command adapts a verb: its error fails the script, or is wanted after "!".
func (v verb) command(ts *testscript.TestScript, neg bool, raw []string) {
	w := ts.Value(worldKey{}).(*world)
	err := v(ts, w, raw)
	switch {
	case neg && err == nil:
		ts.Fatalf("%s succeeded", strings.Join(raw, " "))
	case neg:
		ts.Logf("failed as expected: %v", err)
	case err != nil:
		w.showLogs(ts)
		ts.Fatalf("%v", err)
	}
}

// shownLog bounds the part of each log that a failure shows.
const shownLog = 3000

// showLogs shows the ends of the processes' logs.
func (w *world) showLogs(ts *testscript.TestScript) {
	files, err := os.ReadDir(w.dir)
	if err != nil {
		return
	}
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".log") {
			continue
		}
		content, err := os.ReadFile(w.dir + "/" + file.Name())
		if err != nil || len(content) == 0 {
			continue
		}
		ts.Logf("--- %s\n%s", file.Name(), content[max(0, len(content)-shownLog):])
	}
}
