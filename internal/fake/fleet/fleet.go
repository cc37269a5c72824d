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
	// readyLimit bounds the start of a process.
	readyLimit = 30 * time.Second
	// pollEvery is the interval at which conditions are looked at again.
	pollEvery = 10 * time.Millisecond
	// requestLimit bounds a request to a stand-in or a health endpoint.
	requestLimit = 5 * time.Second
)

// Fleet is a set of processes that share a directory for settings and logs. Its
// methods are safe for concurrent use.
type Fleet struct {
	dir  string
	bin  string
	http *http.Client

	mu        sync.Mutex
	processes map[string]*Process
	addrs     map[string]string
	daemons   map[string]Daemon
}

// New returns an empty fleet that keeps its files in dir and takes ibislined and
// ibisfake from the directory bin.
func New(dir, bin string) *Fleet {
	return &Fleet{
		dir:       dir,
		bin:       bin,
		http:      &http.Client{Timeout: requestLimit},
		processes: map[string]*Process{},
		addrs:     map[string]string{},
		daemons:   map[string]Daemon{},
	}
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Start starts a program of the fleet under a name.
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

// StandIn starts a stand-in of the given kind and waits for its address. Started
// again under the same name it gets the address that it had.
func (f *Fleet) StandIn(ctx context.Context, name, kind string, args ...string) (string, error) {
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
	err = f.await(ctx, p, func() bool {
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

// await polls a condition until it holds or the process ends.
func (f *Fleet) await(ctx context.Context, p *Process, ready func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for !ready() {
		select {
		case <-p.Done():
			return errors.Errorf("%s ended at its start: %s", p.Name, tail(p.Log))
		case <-ctx.Done():
			return errors.Errorf("%s is not ready: %s", p.Name, tail(p.Log))
		case <-ticker.C:
		}
	}
	return nil
}

// tailBytes bounds the part of a log that is shown in an error.
const tailBytes = 2000

// tail returns the end of a file.
func tail(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-tailBytes):])
}

// Addr returns the HTTP address of a process, or "".
func (f *Fleet) Addr(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addrs[name]
}

// Process returns the newest process of a name.
func (f *Fleet) Process(name string) (*Process, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	return p, ok
}

// Store returns a client of the object API stand-in called name.
func (f *Fleet) Store(name string) objectapi.Store { return standin.NewStore(f.Addr(name)) }

// PutEntry creates or replaces a catalogue entry.
func PutEntry(ctx context.Context, store objectapi.Store, entry structs.Entry) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode entry")
	}
	return standin.Replace(ctx, store, structs.CataloguePrefix+entry.Name, value)
}

// Stop ends all processes: the daemons first, as a planned stop, then the
// stand-ins. It returns the first error.
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

// stopAll stops processes that still run, at the same time.
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

// KillAll ends all processes at once.
func (f *Fleet) KillAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.Kill()
	}
}

// ProcessorTime is the time that the ended processes ran on a processor, for the
// daemons and for the stand-ins. Only the newest process of a name counts.
func (f *Fleet) ProcessorTime() (daemons, standIns time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, p := range f.processes {
		if _, ok := f.daemons[name]; ok {
			daemons += p.ProcessorTime()
			continue
		}
		standIns += p.ProcessorTime()
	}
	return daemons, standIns
}
