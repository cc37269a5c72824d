package crashguard

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/timers"
)

const (
	// Prefix is the key prefix of the object that holds the crashes at the platform.
	Prefix     = "crashes/"
	objectName = "recent"
	// RelistAfter is the age of the newest listing at which the object is read again, in case
	// the watches have missed a change. Crashes also spread from daemon to daemon.
	RelistAfter = 5 * time.Second
)

const (
	// saveDelay is the time in which the crashes of several requests are collected for one write.
	// A daemon waits for saveStep times its rank longer, so that usually one daemon writes, and
	// the next one does if that cannot.
	saveDelay = 50 * time.Millisecond
	saveStep  = 250 * time.Millisecond
	// saveRetryMax is the longest wait after a failed write. It is short enough to save
	// the crashes of an outage of the platform soon after it.
	saveRetryMax = time.Second
)

// sourcePlatform is the source of a crash that was stored at the platform, in logs.
const sourcePlatform = "platform"

// storedCrashes is the value of the object.
type storedCrashes struct {
	Crashes []Crash `json:"crashes"`
}

// storedState is what is known about the object at the platform.
type storedState struct {
	// version is that of the newest known state, objectapi.NoVersion if there is none.
	version int64
	// hashes are those of its crashes.
	hashes map[uint64]bool
}

// follow adds the crashes stored at the platform until ctx ends.
func (g *Guard) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.cache.Changed()
		if held, ok := g.cache.Snapshot(); ok {
			for _, c := range held {
				if c.Name == objectName {
					g.addStored(*c.Value, c.Version)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// addStored adds the crashes of a state of the object, unless a later one is known.
func (g *Guard) addStored(value []byte, version int64) {
	g.mu.Lock()
	outdated := version <= g.stored.version
	g.mu.Unlock()
	if outdated {
		return
	}
	var read storedCrashes
	if err := json.Unmarshal(value, &read); err != nil {
		g.logger.WithError(err).WithField("version", version).Warn("stored crashes not readable")
	}
	g.setStored(read.Crashes, version)
	g.addAll(read.Crashes, sourcePlatform)
}

// setStored records that the object holds crashes as of a version.
func (g *Guard) setStored(crashes []Crash, version int64) {
	hashes := make(map[uint64]bool, len(crashes))
	for _, c := range crashes {
		hashes[c.hash()] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if version > g.stored.version {
		g.stored = storedState{version: version, hashes: hashes}
	}
}

// unsaved reports whether this daemon knows of crashes that are not stored.
func (g *Guard) unsaved() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.any(func(c Crash) bool { return !g.stored.hashes[c.hash()] })
}

// saveCrashes stores the crashes that no other daemon has stored, until ctx ends.
func (g *Guard) saveCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.added:
		}
		retry := backoff.NewExponentialBackOff()
		retry.InitialInterval = saveDelay
		retry.MaxInterval = saveRetryMax
		for wait := saveDelay + time.Duration(g.rank())*saveStep; g.unsaved(); wait = retry.NextBackOff() {
			if !timers.Sleep(ctx, wait) {
				return
			}
			if g.unsaved() {
				g.save(ctx)
			}
		}
	}
}

// save writes all crashes to the platform. After a conflict it reads what another daemon has
// written.
func (g *Guard) save(ctx context.Context) {
	g.mu.Lock()
	crashes := g.crashes.since(0)
	expected := g.stored.version
	g.mu.Unlock()
	value, err := json.Marshal(storedCrashes{Crashes: crashes})
	if err != nil {
		g.logger.WithError(err).Error("crashes not encoded")
		return
	}
	version, err := g.store.Put(ctx, Prefix+objectName, value, expected)
	switch {
	case err == nil:
		g.setStored(crashes, version)
		g.logger.WithField("crashes", len(crashes)).WithField("version", version).Info("crashes stored")
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		g.reload(ctx)
	default:
		g.logger.WithError(err).Info("crashes not stored")
	}
}

// reload reads the object.
func (g *Guard) reload(ctx context.Context) {
	object, err := g.store.Get(ctx, Prefix+objectName)
	switch {
	case err == nil:
		g.addStored(object.Value, object.Version)
	case errors.Is(err, objectapi.ErrNotFound):
		g.mu.Lock()
		g.stored = storedState{}
		g.mu.Unlock()
	default:
		g.logger.WithError(err).Info("stored crashes not read")
	}
}
