package allowance

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/journal"
	"ibisline/internal/allowance/ledger"
	"ibisline/internal/objectapi"
)

// RecordPrefix is the prefix of the shards' objects at the platform.
const RecordPrefix = "budgets/"

// record is the object of a shard: totals beyond what journals may cover.
type record struct {
	// Fence and Home are those of the home that wrote it last, Sequence counts
	// its writes, so that it recognises its own after a lost reply.
	Fence    int64          `json:"fence"`
	Home     string         `json:"home"`
	Sequence int64          `json:"sequence"`
	Programs []ledger.Cover `json:"programs"`
	// Journals are the keepers in whose journals all other totals stand, with the
	// time since when each lacks nothing; nil when any journal may hold some.
	Journals map[string]int64 `json:"journals,omitempty"`
}

// recordWriter writes the record of a shard, one write at a time; what comes
// meanwhile shares the next. The shard's mu guards it.
type recordWriter struct {
	loaded   bool
	version  int64
	sequence int64
	programs map[string]ledger.Cover
	pending  map[string]ledger.Cover
	waiters  []chan error
	writing  bool
	last     time.Time
}

// errReplaced is returned when another home has written the record since.
var errReplaced = errors.New("another home wrote the record")

// writeRecord writes a total to the platform.
func (s *shard) writeRecord(ctx context.Context, fence journal.Fence, c ledger.Cover) error {
	s.mu.Lock()
	if !s.held || s.fence != fence {
		s.mu.Unlock()
		return s.notHome()
	}
	w := &s.record
	if w.pending == nil {
		w.pending = map[string]ledger.Cover{}
	}
	if c.Program != "" {
		w.pending[c.Program] = c.Merge(w.pending[c.Program])
	}
	written := make(chan error, 1)
	w.waiters = append(w.waiters, written)
	if !w.writing {
		w.writing = true
		go s.writeRecords(fence)
	}
	s.mu.Unlock()
	select {
	case err := <-written:
		if errors.Is(err, errReplaced) {
			return s.notHome()
		}
		if err != nil {
			return unwritten(err)
		}
		return nil
	case <-ctx.Done():
		return unwritten(ctx.Err())
	}
}

// writeBasis writes which journals are in use, with everything else that is due.
func (s *shard) writeBasis(ctx context.Context, fence journal.Fence) error {
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	return s.writeRecord(ctx, fence, ledger.Cover{})
}

// writeRecords writes what is pending until nothing is.
func (s *shard) writeRecords(fence journal.Fence) {
	for {
		s.mu.Lock()
		if !s.held || s.fence != fence {
			s.mu.Unlock()
			return
		}
		w := &s.record
		if len(w.waiters) == 0 {
			w.writing = false
			s.mu.Unlock()
			return
		}
		wait := s.home.config.RecordInterval - time.Since(w.last)
		s.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
		}
		s.mu.Lock()
		batch, waiters := w.pending, w.waiters
		w.pending, w.waiters = nil, nil
		w.last = time.Now()
		s.mu.Unlock()
		err := s.writeBatch(fence, batch)
		for _, waiter := range waiters {
			waiter <- err
		}
		if errors.Is(err, errReplaced) {
			return
		}
	}
}

// recordTries bounds the attempts of one write.
const recordTries = 3

// writeBatch writes totals to the shard's object under its version.
func (s *shard) writeBatch(fence journal.Fence, batch map[string]ledger.Cover) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.home.config.RecordTimeout)
	defer cancel()
	var err error
	for range recordTries {
		if err = s.loadRecord(ctx, fence); err != nil {
			return err
		}
		if err = s.putRecord(ctx, fence, batch); err == nil || errors.Is(err, objectapi.ErrUnavailable) {
			return err
		}
	}
	return err
}

// recordLoaded reports whether the record is known here.
func (s *shard) recordLoaded(fence journal.Fence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held && s.fence == fence && s.record.loaded
}

// readRecord reads the record in the course of a reservation, which is withdrawn
// first.
func (s *shard) readRecord(ctx context.Context, fence journal.Fence, r ledger.Reservation) error {
	s.withdraw(fence, r)
	ctx, cancel := context.WithTimeout(ctx, s.home.config.RecordTimeout)
	defer cancel()
	err := s.loadRecord(ctx, fence)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errReplaced):
		return s.notHome()
	default:
		return unwritten(err)
	}
}

// key is the shard's object.
func (s *shard) key() string { return RecordPrefix + strconv.Itoa(s.number) }

// loadRecord reads the object, unless its state is known, and takes over what
// earlier homes wrote.
func (s *shard) loadRecord(ctx context.Context, fence journal.Fence) error {
	s.mu.Lock()
	loaded := s.record.loaded
	s.mu.Unlock()
	if loaded {
		return nil
	}
	object, err := s.home.store.Get(ctx, s.key())
	var held record
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		object.Version = objectapi.NoVersion
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(object.Value, &held); err != nil {
			return errors.Wrap(err, "record of budgets")
		}
	}
	if held.Fence > fence.Number || (held.Fence == fence.Number && held.Home != fence.Home) {
		s.drop(fence, held.Home, held.Fence)
		return errReplaced
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.fence != fence {
		return errReplaced
	}
	w := &s.record
	w.loaded = true
	w.version = object.Version
	w.programs = map[string]ledger.Cover{}
	now := time.Now().UnixMilli()
	for _, c := range held.Programs {
		if c.Expires > now {
			w.programs[c.Program] = c
		}
	}
	if held.Fence != fence.Number || held.Home != fence.Home {
		s.ledger.Inherit(held.Programs)
		s.judge(held)
	}
	return nil
}

// putRecord writes the object once. After an outcome that is not known the object
// is read again before the next attempt: the same write may still take effect
// later, but only if nothing else has changed the object.
func (s *shard) putRecord(ctx context.Context, fence journal.Fence, batch map[string]ledger.Cover) error {
	s.mu.Lock()
	w := &s.record
	for name, c := range batch {
		w.programs[name] = c.Merge(w.programs[name])
	}
	w.sequence++
	next := record{Fence: fence.Number, Home: fence.Home, Sequence: w.sequence, Journals: s.basis}
	now := time.Now().UnixMilli()
	for name, c := range w.programs {
		if c.Expires <= now {
			delete(w.programs, name)
			continue
		}
		next.Programs = append(next.Programs, c)
	}
	expected := w.version
	s.mu.Unlock()

	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	version, err := s.home.store.Put(ctx, s.key(), value, expected)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held || s.fence != fence {
		return errReplaced
	}
	if err != nil {
		s.record.loaded = s.record.loaded && errors.Is(err, objectapi.ErrUnavailable)
		return err
	}
	s.record.version = version
	s.home.records.Inc()
	s.home.logger.WithField("shard", s.number).WithField("programs", len(batch)).WithField("version", version).
		Info("budgets recorded")
	return nil
}
