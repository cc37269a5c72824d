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

// Daemon is the configuration of one daemon. Settings is TOML that is appended to
// the settings file.
type Daemon struct {
	Name       string
	Region     string
	DataCentre string
	Platform   string
	HTTPAddr   string
	PeerAddr   string
	// PeerAdvertise is the address at which other daemons reach PeerAddr; empty
	// means PeerAddr.
	PeerAdvertise string
	Settings      string
}

// MaxStartAttempts bounds the attempts to start a daemon when another process took the
// chosen port in the meantime.
const MaxStartAttempts = 5

// AddressTaken reports whether a daemon failed to start because its address is in
// use.
func AddressTaken(err error) bool {
	return err != nil && strings.Contains(err.Error(), "address already in use")
}

// StartDaemon starts a daemon and waits until it is healthy. Empty addresses in d are
// set to free ones. A daemon that was started before under the same name keeps its
// configuration, except for Settings, when d has no HTTPAddr.
func (f *Fleet) StartDaemon(ctx context.Context, d Daemon) (Daemon, error) {
	_, known := f.Daemon(d.Name)
	chosen := d.HTTPAddr == "" && !known
	for try := 1; ; try++ {
		started, err := f.tryStartDaemon(ctx, d)
		if !chosen || try == MaxStartAttempts || !AddressTaken(err) {
			return started, err
		}
		f.forget(d.Name)
	}
}

// forget removes the configuration of a daemon that did not start.
func (f *Fleet) forget(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.daemons, name)
}

// tryStartDaemon starts a daemon and waits until it is healthy.
func (f *Fleet) tryStartDaemon(ctx context.Context, d Daemon) (Daemon, error) {
	d, err := f.resolveDaemon(d)
	if err != nil {
		return d, err
	}
	file := filepath.Join(f.dir, d.Name+".toml")
	if err := os.WriteFile(file, []byte(d.settingsFile()), 0o644); err != nil {
		return d, errors.Wrap(err, "write settings")
	}
	p, err := f.Start(d.Name, "ibislined", "run", file)
	if err != nil {
		return d, err
	}
	return d, f.waitReady(ctx, p, func() bool { return f.healthy(ctx, d.HTTPAddr) })
}

// resolveDaemon completes the configuration of a daemon and records it.
func (f *Fleet) resolveDaemon(d Daemon) (Daemon, error) {
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

// settingsFile returns the content of the daemon's settings file.
func (d Daemon) settingsFile() string {
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

// healthy reports whether the health endpoint of a daemon answers with status 200.
func (f *Fleet) healthy(ctx context.Context, addr string) bool {
	return f.GetJSON(ctx, "http://"+addr+"/healthz", nil) == nil
}

// Daemon returns the configuration of a daemon that was started.
func (f *Fleet) Daemon(name string) (Daemon, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.daemons[name]
	return d, ok
}

// Daemons returns the sorted names of the daemons whose process is running.
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
