package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Daemon is the place of one daemon. Settings, when not empty, is TOML that is
// appended to the settings.
type Daemon struct {
	Name       string
	Region     string
	DataCentre string
	Platform   string
	HTTPAddr   string
	PeerAddr   string
	// PeerAdvertise is where the other daemons reach PeerAddr; empty means
	// PeerAddr itself.
	PeerAdvertise string
	Settings      string
}

// StartTries bounds the attempts to start a daemon whose chosen port was taken
// by another process meanwhile.
const StartTries = 5

// AddressTaken reports whether a daemon did not start because another process
// has its address.
func AddressTaken(err error) bool {
	return err != nil && strings.Contains(err.Error(), "address already in use")
}

// StartDaemon starts a daemon and waits until it takes callers. Addresses that d
// leaves empty are chosen; a name that was started before keeps its place.
func (f *Fleet) StartDaemon(ctx context.Context, d Daemon) (Daemon, error) {
	_, known := f.Daemon(d.Name)
	chosen := d.HTTPAddr == "" && !known
	for try := 1; ; try++ {
		started, err := f.startOnce(ctx, d)
		if !chosen || try == StartTries || !AddressTaken(err) {
			return started, err
		}
		f.forget(d.Name)
	}
}

// forget drops the place of a daemon that did not start.
func (f *Fleet) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.daemons, name)
}

// startOnce starts a daemon and waits until it takes callers.
func (f *Fleet) startOnce(ctx context.Context, d Daemon) (Daemon, error) {
	d, err := f.place(d)
	if err != nil {
		return d, err
	}
	file := filepath.Join(f.dir, d.Name+".toml")
	if err := os.WriteFile(file, []byte(d.file()), 0o644); err != nil {
		return d, errors.Wrap(err, "write settings")
	}
	p, err := f.Start(d.Name, "ibislined", "run", file)
	if err != nil {
		return d, err
	}
	return d, f.await(ctx, p, func() bool { return f.healthy(ctx, d.HTTPAddr) })
}

// place fills in what a daemon leaves open.
func (f *Fleet) place(d Daemon) (Daemon, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.daemons[d.Name]; ok && d.HTTPAddr == "" {
		known.Settings = d.Settings
		d = known
	}
	for _, addr := range []*string{&d.HTTPAddr, &d.PeerAddr} {
		if *addr != "" {
			continue
		}
		free, err := FreeAddr()
		if err != nil {
			return d, err
		}
		*addr = free
	}
	f.daemons[d.Name] = d
	f.addrs[d.Name] = d.HTTPAddr
	return d, nil
}

// file returns the daemon's settings file.
func (d Daemon) file() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[instance]\nname = %q\nregion = %q\ndata_centre = %q\n", d.Name, d.Region, d.DataCentre)
	fmt.Fprintf(&b, "http_addr = %q\npeer_addr = %q\n", d.HTTPAddr, d.PeerAddr)
	if d.PeerAdvertise != "" {
		fmt.Fprintf(&b, "peer_advertise = %q\n", d.PeerAdvertise)
	}
	fmt.Fprintf(&b, "[platform]\naddrs = [%q]\n", d.Platform)
	b.WriteString(d.Settings)
	return b.String()
}

// healthy reports whether a daemon takes callers.
func (f *Fleet) healthy(ctx context.Context, addr string) bool {
	return f.GetJSON(ctx, "http://"+addr+"/healthz", nil) == nil
}

// Daemon returns a daemon that was started.
func (f *Fleet) Daemon(name string) (Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	return d, ok
}

// Daemons returns the names of the daemons whose process runs, sorted.
func (f *Fleet) Daemons() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.daemons {
		select {
		case <-f.processes[name].Done():
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
