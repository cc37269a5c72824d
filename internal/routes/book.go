package routes

import (
	"context"
	"sync/atomic"

	"github.com/apex/log"

	"ibisline/internal/feed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// Decoder decodes the configuration from a platform object. It returns an error for an
// object without a configuration.
type Decoder func(objectapi.Object) (structs.RouteTable, error)

// Book holds the newest valid configuration of a feed. A version that cannot be
// decoded or that is older than the current one is ignored.
type Book struct {
	source  *feed.Feed
	prefix  string
	decode  Decoder
	logger  log.Interface
	current atomic.Pointer[Table]
	// rejectedVersions holds, by object name, the version last logged as invalid.
	rejectedVersions map[string]int64
}

// NewBook returns a Book without a configuration. prefix is the key prefix of source.
func NewBook(source *feed.Feed, prefix string, decode Decoder, logger log.Interface) *Book {
	return &Book{source: source, prefix: prefix, decode: decode, logger: logger, rejectedVersions: map[string]int64{}}
}

// Current returns the current configuration, nil until the first one is loaded.
func (b *Book) Current() *Table { return b.current.Load() }

// Run applies the changes of the feed until ctx is done.
func (b *Book) Run(ctx context.Context) error {
	for {
		changed := b.source.Changed()
		b.Refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Refresh applies the present objects of the feed.
func (b *Book) Refresh() {
	held, ok := b.source.Snapshot()
	if !ok {
		return
	}
	for _, c := range held {
		b.apply(c)
	}
}

// apply makes the configuration in one object current if it is newer.
func (b *Book) apply(c feed.Change) {
	config, err := b.decode(objectapi.Object{Key: b.prefix + c.Name, Value: *c.Value, Version: c.Version})
	if err != nil {
		if b.rejectedVersions[c.Name] != c.Version {
			b.rejectedVersions[c.Name] = c.Version
			b.logger.WithError(err).WithField("object", c.Name).WithField("version", c.Version).
				Error("configuration is invalid; keeping the current one")
		}
		return
	}
	current := b.current.Load()
	if current != nil && config.Version <= current.Version {
		return
	}
	b.current.Store(NewTable(config))
	b.logger.WithField("version", config.Version).WithField("routes", len(config.Routes)).Info("configuration in force")
}

// State is the diagnostic dump of a Book.
type State struct {
	Version int64           `json:"version"`
	Routes  []structs.Route `json:"routes"`
}

// Dump returns a State.
func (b *Book) Dump() any {
	table := b.current.Load()
	if table == nil {
		return State{}
	}
	return State{Version: table.Version, Routes: table.Routes}
}
