// Package servers keeps the daemon's view of the backend servers that the platform
// lists, by the service that they belong to.
package servers

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"ibisline/internal/feed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// VanishGrace is the time for which a server that is no longer listed may still get
// requests that no other can take. The platform wants none after two and a half
// seconds, of which the news may have taken one.
const VanishGrace = 1200 * time.Millisecond

// ReturnGrace is the time after an outage of the platform for which servers that
// vanished from its list meanwhile are kept: their entries lapsed while they could
// not renew them, and come back within about two seconds.
const ReturnGrace = 2200 * time.Millisecond

// Decoder reads a backend server out of a platform object.
type Decoder func(objectapi.Object) (structs.Server, error)

// View is the read side. Servers returned must not be modified.
type View interface {
	// Of returns the servers of a service that may get new requests. Vanished
	// ones are for requests that no other can take.
	Of(service string) []structs.Server
	// Loaded is true once a list was read.
	Loaded() bool
	// Find returns a listed server by name, leaving ones included.
	Find(name string) (structs.Server, bool)
}

// snapshot is an immutable state of the list.
type snapshot struct {
	byService map[string][]structs.Server
	byName    map[string]structs.Server
}

// Directory follows the list of backend servers. It implements View.
type Directory struct {
	source *feed.Feed
	prefix string
	decode Decoder
	logger log.Interface
	loaded atomic.Bool

	current atomic.Pointer[snapshot]

	mu sync.Mutex
	// known holds the decoded entries by name, with the object version.
	known map[string]entry
}

// entry is a decoded object. Until is the end of its grace after it has vanished.
type entry struct {
	server  structs.Server
	version int64
	usable  bool
	until   time.Time
}

// NewDirectory returns an empty directory. Prefix is that of the feed.
func NewDirectory(source *feed.Feed, prefix string, decode Decoder, logger log.Interface) *Directory {
	d := &Directory{source: source, prefix: prefix, decode: decode, logger: logger, known: map[string]entry{}}
	d.current.Store(&snapshot{})
	return d
}

// Of implements View.
func (d *Directory) Of(service string) []structs.Server { return d.current.Load().byService[service] }

// Find implements View.
func (d *Directory) Find(name string) (structs.Server, bool) {
	server, ok := d.current.Load().byName[name]
	return server, ok
}

// Loaded is true once a list was read.
func (d *Directory) Loaded() bool { return d.loaded.Load() }

// Run follows the feed until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	for {
		changed := d.source.Changed()
		again := d.Refresh(time.Now())
		var timer <-chan time.Time
		if again > 0 {
			timer = time.After(again)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer:
		}
	}
}

// Refresh takes what the feed holds now. It returns the time after which vanished
// servers have to be looked at again, or 0.
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
		if known, ok := d.known[c.Name]; !ok || known.version != c.Version || !known.until.IsZero() {
			d.known[c.Name] = d.read(c)
		}
	}
	again := d.removeMissing(listed, now)
	d.publish()
	d.loaded.Store(true)
	return again
}

// read decodes one object. One that names no usable server is logged once for
// each of its versions.
func (d *Directory) read(c feed.Change) entry {
	server, err := d.decode(objectapi.Object{Key: d.prefix + c.Name, Value: *c.Value, Version: c.Version})
	if err != nil {
		d.logger.WithError(err).WithField("object", c.Name).WithField("version", c.Version).
			Warn("entry of a backend server not usable")
		return entry{version: c.Version}
	}
	return entry{server: server, version: c.Version, usable: true}
}

// removeMissing takes the servers that are no longer listed out, live ones after
// their grace.
func (d *Directory) removeMissing(listed map[string]bool, now time.Time) time.Duration {
	var again time.Duration
	for name, known := range d.known {
		if listed[name] {
			continue
		}
		if known.usable && known.server.State == structs.StateLive {
			known.server.State = structs.StateVanished
			known.until = now.Add(d.grace(now))
			d.known[name] = known
			d.logger.WithField("server", name).WithField("grace", known.until.Sub(now)).Info("backend server vanished")
		}
		if left := known.until.Sub(now); left > 0 {
			if again == 0 || left < again {
				again = left
			}
			continue
		}
		delete(d.known, name)
		d.logger.WithField("server", name).Info("backend server gone")
	}
	return again
}

// grace is the time for which a server that vanished now is still used where there
// is no other.
func (d *Directory) grace(now time.Time) time.Duration {
	return max(VanishGrace, ReturnGrace-d.source.SinceOutage(now))
}

// publish makes the known servers visible. The caller holds mu.
func (d *Directory) publish() {
	next := &snapshot{byService: map[string][]structs.Server{}, byName: map[string]structs.Server{}}
	for name, known := range d.known {
		if !known.usable {
			continue
		}
		next.byName[name] = known.server
		if known.server.State != structs.StateLeaving {
			next.byService[known.server.Service] = append(next.byService[known.server.Service], known.server)
		}
	}
	d.current.Store(next)
}

// Dump returns the listed servers by service.
func (d *Directory) Dump() any { return d.current.Load().byService }
