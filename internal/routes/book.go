package routes

import (
	"context"
	"sync/atomic"

	"github.com/apex/log"

	"ibisline/internal/feed"
	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// Decoder reads the configuration out of a platform object. An object that holds
// none is an error.
type Decoder func(objectapi.Object) (structs.RouteTable, error)

// Book keeps the newest valid configuration of a feed in force. A version that
// cannot be read, or that is older, changes nothing.
type Book struct {
	source  *feed.Feed
	prefix  string
	decode  Decoder
	logger  log.Interface
	current atomic.Pointer[Table]
	// rejected is the object version last reported as unreadable.
	rejected map[string]int64
}

// NewBook returns a book without a configuration. Prefix is that of the feed.
func NewBook(source *feed.Feed, prefix string, decode Decoder, logger log.Interface) *Book {
	return &Book{source: source, prefix: prefix, decode: decode, logger: logger, rejected: map[string]int64{}}
}

// Current returns the configuration in force, nil while none is known.
func (b *Book) Current() *Table { return b.current.Load() }

// Run follows the feed until ctx ends.
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

// Refresh takes what the feed holds now.
func (b *Book) Refresh() {
	held, ok := b.source.Snapshot()
	if !ok {
		return
	}
	for _, c := range held {
		b.take(c)
	}
}

// take puts one object in force if it holds a newer configuration.
func (b *Book) take(c feed.Change) {
	config, err := b.decode(objectapi.Object{Key: b.prefix + c.Name, Value: *c.Value, Version: c.Version})
	if err != nil {
		if b.rejected[c.Name] != c.Version {
			b.rejected[c.Name] = c.Version
			b.logger.WithError(err).WithField("object", c.Name).WithField("version", c.Version).
				Error("configuration not readable, the last one stays in force")
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

// State is the dump of the book.
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
