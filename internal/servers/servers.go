// Package servers keeps the daemon's directory of the backend servers that the platform
// lists, indexed by service and by name.
package servers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/structs"
)

// LeavingLimit is the time for which a server that is leaving, or no longer listed, may still get
// requests that no other server can take. The platform requires that it gets none 2.5 s after
// the change of its entry; a request may take the rest to arrive.
const LeavingLimit = 1700 * time.Millisecond

// OutageGrace is the time after a platform outage for which servers that disappeared
// from the listing during the outage are kept: their entries expired because they could
// not renew them, and reappear within about two seconds.
const OutageGrace = 2200 * time.Millisecond

// Decoder decodes a backend server from a platform object.
type Decoder func(objectapi.Object) (structs.Server, error)

// View is the read-only interface of a Directory. Returned servers must not be modified.
type View interface {
	// ForService returns the servers of a service that may get new requests. Vanished
	// servers may only get requests that no other server can take.
	ForService(service string) []structs.Server
	// Loaded reports whether a listing has been loaded.
	Loaded() bool
	// Find returns a server by name, including servers that are leaving.
	Find(name string) (structs.Server, bool)
	// AtAddr returns the server that was started last among those at an address, and false if
	// there is none.
	AtAddr(addr string) (structs.Server, bool)
}

// snapshot is an immutable state of the directory.
type snapshot struct {
	byService map[string][]structs.Server
	byName    map[string]structs.Server
	byAddr    map[string]structs.Server
}

// Directory maintains the set of backend servers from an object cache. It implements View.
type Directory struct {
	source *objectcache.Cache
	prefix string
	decode Decoder
	logger log.Interface
	loaded atomic.Bool

	current atomic.Pointer[snapshot]
	// changed is closed and replaced when the snapshot is.
	changed atomic.Pointer[chan struct{}]

	mu sync.Mutex
	// entries holds the decoded objects by name.
	entries map[string]serverEntry
}

// serverEntry is a decoded object. expiresAt is the end of the grace period of a server
// that is no longer listed, and zero for a listed one.
type serverEntry struct {
	server    structs.Server
	version   int64
	usable    bool
	expiresAt time.Time
}

// NewDirectory returns an empty Directory. prefix is the key prefix of source.
func NewDirectory(source *objectcache.Cache, prefix string, decode Decoder, logger log.Interface) *Directory {
	d := &Directory{source: source, prefix: prefix, decode: decode, logger: logger, entries: map[string]serverEntry{}}
	d.current.Store(&snapshot{})
	changed := make(chan struct{})
	d.changed.Store(&changed)
	return d
}

// Changed returns a channel that is closed when the servers change.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

func (d *Directory) ForService(service string) []structs.Server {
	return d.current.Load().byService[service]
}

func (d *Directory) Find(name string) (structs.Server, bool) {
	server, ok := d.current.Load().byName[name]
	return server, ok
}

// Has reports whether a server is known under a name.
func (d *Directory) Has(name string) bool {
	_, found := d.Find(name)
	return found
}

func (d *Directory) AtAddr(addr string) (structs.Server, bool) {
	server, ok := d.current.Load().byAddr[addr]
	return server, ok
}

func (d *Directory) Loaded() bool { return d.loaded.Load() }

// Run applies the changes in the cache until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	for {
		changed := d.source.Changed()
		recheck := d.Refresh(time.Now())
		var timer <-chan time.Time
		if recheck > 0 {
			timer = time.After(recheck)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer:
		}
	}
}

// Refresh applies the current objects in the cache. It returns the time until the next
// grace period of a vanished server ends, or 0 if there is none.
func (d *Directory) Refresh(now time.Time) time.Duration {
	held, ok := d.source.Snapshot()
	if !ok {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(held))
	for _, c := range held {
		listed[c.Name] = true
		if known, ok := d.entries[c.Name]; !ok || known.version != c.Version || !known.expiresAt.IsZero() {
			decoded := d.decodeEntry(c)
			switch {
			case known.server.State == structs.StateLeaving && known.server.StartedMS != 0 &&
				known.server.StartedMS == decoded.server.StartedMS:
				// A run that is leaving does not come back, whatever an entry that was written late says.
				decoded.server.State, decoded.server.LeavingSince = structs.StateLeaving, known.server.LeavingSince
			case decoded.server.State == structs.StateLeaving:
				decoded.server.LeavingSince = d.source.NotBefore(c.Name)
			}
			d.entries[c.Name] = decoded
		}
	}
	recheck := d.expireUnlisted(listed, now)
	d.publish()
	d.loaded.Store(true)
	return recheck
}

// decodeEntry decodes one object. Refresh decodes an object without a usable server
// only once for each version, so it is logged once for each version.
func (d *Directory) decodeEntry(c objectcache.Change) serverEntry {
	server, err := d.decode(objectapi.Object{Key: d.prefix + c.Name, Value: *c.Value, Version: c.Version})
	if err != nil {
		d.logger.WithError(err).WithField("object", c.Name).WithField("version", c.Version).
			Warn("entry of a backend server not usable")
		return serverEntry{version: c.Version}
	}
	return serverEntry{server: server, version: c.Version, usable: true}
}

// expireUnlisted removes the servers that are no longer listed, live ones after their
// grace period. It returns the time until the next grace period ends, or 0. The caller
// must hold mu.
func (d *Directory) expireUnlisted(listed map[string]bool, now time.Time) time.Duration {
	var recheck time.Duration
	for name, known := range d.entries {
		if listed[name] {
			continue
		}
		if known.usable && known.server.State == structs.StateLive {
			known.server.State = structs.StateVanished
			known.expiresAt = now.Add(d.vanishedGrace(name, now))
			d.entries[name] = known
			d.logger.WithField("server", name).WithField("grace", known.expiresAt.Sub(now)).
				Info("backend server vanished")
		}
		if left := known.expiresAt.Sub(now); left > 0 {
			if recheck == 0 || left < recheck {
				recheck = left
			}
			continue
		}
		delete(d.entries, name)
		d.logger.WithField("server", name).Info("backend server gone")
	}
	return recheck
}

// vanishedGrace returns the time for which a server that is found to have vanished now may still get requests
// that no other server can take.
func (d *Directory) vanishedGrace(name string, now time.Time) time.Duration {
	left := LeavingLimit - now.Sub(d.source.NotBefore(name))
	return max(left, OutageGrace-d.source.SinceOutage(now), 0)
}

// publish replaces the current snapshot by one of the known servers. The caller must
// hold mu.
func (d *Directory) publish() {
	next := &snapshot{
		byService: map[string][]structs.Server{},
		byName:    map[string]structs.Server{},
		byAddr:    map[string]structs.Server{},
	}
	for name, known := range d.entries {
		if !known.usable {
			continue
		}
		next.byName[name] = known.server
		if other, found := next.byAddr[known.server.Addr]; !found || known.server.StartedMS > other.StartedMS {
			next.byAddr[known.server.Addr] = known.server
		}
		if known.server.State != structs.StateLeaving {
			next.byService[known.server.Service] = append(next.byService[known.server.Service], known.server)
		}
	}
	d.current.Store(next)
	changed := make(chan struct{})
	close(*d.changed.Swap(&changed))
}

// Dump returns the servers that may get requests, by service.
func (d *Directory) Dump() any { return d.current.Load().byService }
