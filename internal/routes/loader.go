package routes

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"ibisline/internal/objectapi"
	"ibisline/internal/objectcache"
	"ibisline/internal/structs"
)

// Decoder decodes the configuration from a platform object. It returns an error for an
// object without a configuration.
type Decoder func(objectapi.Object) (structs.RouteTable, error)

// Loader holds the newest valid configuration found in an object cache. A version that
// cannot be decoded or that is older than the current one is ignored.
type Loader struct {
	source  *objectcache.Cache
	prefix  string
	decode  Decoder
	logger  log.Interface
	current atomic.Pointer[Table]
	// applied is the version of the newest change in source that current takes into account.
	applied atomic.Int64
	// rejectedVersions holds, by object name, the version last logged as invalid.
	rejectedVersions map[string]int64
}

// NewLoader returns a Loader without a configuration. prefix is the key prefix of source.
func NewLoader(source *objectcache.Cache, prefix string, decode Decoder, logger log.Interface) *Loader {
	return &Loader{source: source, prefix: prefix, decode: decode, logger: logger, rejectedVersions: map[string]int64{}}
}

// Current returns the current configuration, nil until the first one is loaded.
func (l *Loader) Current() *Table { return l.current.Load() }

// Run applies the changes in the cache until ctx is done.
func (l *Loader) Run(ctx context.Context) error {
	for {
		changed := l.source.Changed()
		l.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Refresh applies the current objects in the cache.
func (l *Loader) Refresh() {
	held, ok := l.source.Snapshot()
	if !ok {
		return
	}
	newest, valid := int64(0), true
	for _, c := range held {
		valid = l.apply(c) && valid
		newest = max(newest, c.Version)
	}
	if valid {
		l.applied.Store(newest)
	}
}

// Age returns the time since the current configuration was proven to be the newest one, and false
// without such a proof. It goes on while the machine is suspended.
func (l *Loader) Age() (time.Duration, bool) {
	at, version := l.source.Current()
	if at == 0 || l.applied.Load() < version {
		return 0, false
	}
	return max(l.source.Now()-at, 0), true
}

// apply makes the configuration in one object current if it is newer. It returns false if that cannot
// be decoded.
func (l *Loader) apply(c objectcache.Change) bool {
	config, err := l.decode(objectapi.Object{Key: l.prefix + c.Name, Value: *c.Value, Version: c.Version})
	if err != nil {
		if l.rejectedVersions[c.Name] != c.Version {
			l.rejectedVersions[c.Name] = c.Version
			l.logger.WithError(err).WithField("object", c.Name).WithField("version", c.Version).
				Error("configuration is invalid; keeping the current one")
		}
		return false
	}
	current := l.current.Load()
	if current != nil && config.Version <= current.Version {
		return true
	}
	l.current.Store(NewTable(config))
	l.logger.WithField("version", config.Version).WithField("routes", len(config.Routes)).WithField("teams", len(config.Teams)).Info("configuration in force")
	return true
}

// State is the diagnostic dump of a Loader.
type State struct {
	Version int64           `json:"version"`
	Routes  []structs.Route `json:"routes"`
}

// Dump returns a State.
func (l *Loader) Dump() any {
	table := l.current.Load()
	if table == nil {
		return State{}
	}
	return State{Version: table.Version, Routes: table.Routes}
}
