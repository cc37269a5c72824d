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
	// saveDelay is the time in which the crashes of several requests are collected for one write,
	// and clearedSaveDelay that in which further cleared ones are. A daemon waits for saveStep times
	// its rank longer, so that usually one daemon writes, and the next one does if that cannot.
	saveDelay        = 50 * time.Millisecond
	clearedSaveDelay = 2 * time.Second
	saveStep         = 250 * time.Millisecond
	// saveRetryMin and saveRetryMax limit the wait after a failed write, to which the wait by rank is
	// added. It is short enough to save the crashes of an outage of the platform soon after it.
	saveRetryMin = 250 * time.Millisecond
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
	// cleared tells for each of its crashes, by identity, whether it is cleared.
	cleared map[uint64]bool
}

// follow adds the crashes stored at the platform until ctx ends.
func (g *Guard) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.Cache.Changed()
		if held, ok := g.Cache.Snapshot(); ok {
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
		g.Log.WithError(err).WithField("version", version).Warn("stored crashes not readable")
	}
	g.setStored(read.Crashes, version)
	g.addAll(read.Crashes, sourcePlatform)
}

// setStored records that the object holds crashes as of a version.
func (g *Guard) setStored(crashes []Crash, version int64) {
	cleared := make(map[uint64]bool, len(crashes))
	for _, c := range crashes {
		cleared[c.identity()] = c.Cleared
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if version > g.stored.version {
		g.stored = storedState{version: version, cleared: cleared}
	}
}

// saveWait returns how long crashes are collected that are not stored yet, or that are stored as not
// cleared, before they are written. It returns false if there are none.
func (g *Guard) saveWait() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait, unsaved := clearedSaveDelay, false
	for _, c := range g.crashes.since(0) {
		cleared, stored := g.stored.cleared[c.identity()]
		switch {
		case !stored && !c.Cleared:
			wait, unsaved = saveDelay, true
		case stored && c.Cleared && !cleared:
			unsaved = true
		}
	}
	return wait + g.rankWait(), unsaved
}

// rankWait returns how much longer than the daemon of rank 0 this one waits before it writes.
func (g *Guard) rankWait() time.Duration { return time.Duration(g.Rank()) * saveStep }

// saveCrashes stores what no other daemon has stored, until ctx ends.
func (g *Guard) saveCrashes(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = saveRetryMin
	retry.MaxInterval = saveRetryMax
	// due is the time of the next write, zero if there is nothing to write. A repeated write is not
	// brought forward by further crashes.
	var due time.Time
	repeated := false
	for ctx.Err() == nil {
		wait, unsaved := g.saveWait()
		now := time.Now()
		switch {
		case !unsaved:
			due, repeated = time.Time{}, false
			retry.Reset()
			select {
			case <-ctx.Done():
			case <-g.changed:
			}
		case due.IsZero() || !repeated && due.After(now.Add(wait)):
			due = now.Add(wait)
		case now.Before(due):
			select {
			case <-ctx.Done():
			case <-g.changed:
			case <-timers.After(due.Sub(now)):
			}
		default:
			g.save(ctx)
			due, repeated = time.Now().Add(retry.NextBackOff()+g.rankWait()), true
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
		g.Log.WithError(err).Error("crashes not encoded")
		return
	}
	version, err := g.Store.Put(ctx, Prefix+objectName, value, expected)
	switch {
	case err == nil:
		g.setStored(crashes, version)
		g.Log.WithField("crashes", len(crashes)).WithField("version", version).Info("crashes stored")
	case errors.Is(err, objectapi.ErrConflict), errors.Is(err, objectapi.ErrNotFound):
		g.reload(ctx)
	default:
		g.Log.WithError(err).Info("crashes not stored")
	}
}

// reload reads the object.
func (g *Guard) reload(ctx context.Context) {
	object, err := g.Store.Get(ctx, Prefix+objectName)
	switch {
	case err == nil:
		g.addStored(object.Value, object.Version)
	case errors.Is(err, objectapi.ErrNotFound):
		g.mu.Lock()
		g.stored = storedState{}
		g.mu.Unlock()
	default:
		g.Log.WithError(err).Info("stored crashes not read")
	}
}
