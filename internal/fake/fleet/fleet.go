package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"ibisline/internal/fake/standin"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

const (
	// startTimeout bounds the time until a started process is ready.
	startTimeout = 30 * time.Second
	// pollInterval is the interval between two checks for readiness.
	pollInterval = 10 * time.Millisecond
	// requestTimeout bounds one HTTP request to a stand-in or a daemon.
	requestTimeout = 5 * time.Second
)

// Fleet is a set of daemons and stand-ins that share a directory for settings and
// logs. Its methods are safe for concurrent use.
type Fleet struct {
	dir  string
	bin  string
	http *http.Client

	mu        sync.Mutex
	processes map[string]*Process
	addrs     map[string]string
	daemons   map[string]Daemon
}

// New returns an empty fleet that keeps its files in dir and runs the binaries
// ibislined and ibisfake of the directory bin.
func New(dir, bin string) *Fleet {
	return &Fleet{
		dir:       dir,
		bin:       bin,
		http:      &http.Client{Timeout: requestTimeout},
		processes: map[string]*Process{},
		addrs:     map[string]string{},
		daemons:   map[string]Daemon{},
	}
}

// FreeAddr returns a loopback address with a free port. Another process may take the
// port before it is used.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Start starts a binary of the fleet as the process name.
func (f *Fleet) Start(name, binary string, args ...string) (*Process, error) {
	log := filepath.Join(f.dir, name+".log")
	p, err := startProcess(name, log, filepath.Join(f.bin, binary), args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return p, nil
}

// StartStandIn starts a stand-in of the given kind, waits until it is ready and returns
// its address. A stand-in that is started again under the same name keeps its
// address.
func (f *Fleet) StartStandIn(ctx context.Context, name, kind string, args ...string) (string, error) {
	ready := filepath.Join(f.dir, name+".ready")
	_ = os.Remove(ready)
	args = append([]string{kind, "--ready-file", ready}, args...)
	if addr := f.Addr(name); addr != "" {
		args = append(args, "--listen", addr)
	}
	p, err := f.Start(name, "ibisfake", args...)
	if err != nil {
		return "", err
	}
	var addr string
	err = f.waitReady(ctx, p, func() bool {
		content, err := os.ReadFile(ready)
		addr = string(content)
		return err == nil
	})
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.addrs[name] = addr
	f.mu.Unlock()
	return addr, nil
}

// waitReady polls ready until it returns true. It returns an error with the end of
// the log when the process ends, ctx ends or startTimeout has passed.
func (f *Fleet) waitReady(ctx context.Context, p *Process, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !ready() {
		select {
		case <-p.Done():
			return errors.Errorf("%s exited before it was ready: %s", p.Name, logTail(p.Log))
		case <-ctx.Done():
			return errors.Errorf("%s did not become ready: %s", p.Name, logTail(p.Log))
		case <-ticker.C:
		}
	}
	return nil
}

// logTailBytes bounds the part of a log that an error contains.
const logTailBytes = 2000

// logTail returns the end of a log file.
func logTail(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-logTailBytes):])
}

// Addr returns the HTTP address of a process, or "".
func (f *Fleet) Addr(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addrs[name]
}

// Process returns the most recently started process of a name.
func (f *Fleet) Process(name string) (*Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	return p, ok
}

// Store returns a client of the object API stand-in name.
func (f *Fleet) Store(name string) objectapi.Store { return standin.NewStore(f.Addr(name)) }

// PutEntry creates or replaces a catalogue entry.
func PutEntry(ctx context.Context, store objectapi.Store, entry structs.Entry) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	return standin.Replace(ctx, store, structs.CataloguePrefix+entry.Name, value)
}

// Stop stops all processes in order: the daemons first, then the stand-ins. It joins
// the first error of each group.
func (f *Fleet) Stop(ctx context.Context) error {
	f.mu.Lock()
	var daemons, others []*Process
	for name, p := range f.processes {
		if _, ok := f.daemons[name]; ok {
			daemons = append(daemons, p)
			continue
		}
		others = append(others, p)
	}
	f.mu.Unlock()
	err := stopAll(ctx, daemons)
	return errors.Join(err, stopAll(ctx, others))
}

// stopAll stops the running ones of the processes concurrently.
func stopAll(ctx context.Context, processes []*Process) error {
	var group errgroup.Group
	for _, p := range processes {
		select {
		case <-p.Done():
			continue
		default:
		}
		group.Go(func() error { return p.Stop(ctx) })
	}
	return group.Wait()
}

// KillAll kills all processes.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
}

// CPUTime returns the CPU time of the ended daemons and stand-ins. Only the
// most recently started process of a name counts.
func (f *Fleet) CPUTime() (daemons, standIns time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.processes {
		if _, ok := f.daemons[name]; ok {
			daemons += p.CPUTime()
			continue
		}
		standIns += p.CPUTime()
	}
	return daemons, standIns
}
