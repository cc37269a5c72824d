// Package objects is an in-memory implementation of the platform's object API with
// faults that tests and cmd/ibisfake inject at run time.
package objects

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"ibisline/internal/objectapi"
)

// Faults are the failures that the store simulates. The zero value simulates none.
type Faults struct {
	// Outage fails every call with ErrUnavailable.
	Outage bool `json:"outage"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LoseReplies is the number of upcoming writes that take effect although their
	// caller gets ErrUnknown.
	LoseReplies int `json:"lose_replies"`
	// LateWrites is the number of upcoming writes whose caller gets ErrUnknown
	// immediately while the write is attempted only after LateBy.
	LateWrites int           `json:"late_writes"`
	LateBy     time.Duration `json:"late_by"`
	// StuckWatches makes watches return no events.
	StuckWatches bool `json:"stuck_watches"`
}

// Counts holds the number of calls since the store was created, by kind.
type Counts struct {
	Gets    int `json:"gets"`
	Puts    int `json:"puts"`
	Deletes int `json:"deletes"`
	Lists   int `json:"lists"`
	Watches int `json:"watches"`
	// Waiting is the number of watches that are waiting now.
	Waiting int `json:"waiting"`
}

// watchTimeout bounds one watch, as a long poll of the platform's server does.
const watchTimeout = 20 * time.Second

// retainedEvents is the number of events retained for watches. The oldest events are
// dropped when the log exceeds it by more than compactionSlack.
const (
	retainedEvents  = 8192
	compactionSlack = 1024
)

// Store implements objectapi.Store in memory.
type Store struct {
	mu                sync.Mutex
	objects           map[string]objectapi.Object
	log               []objectapi.Event
	compactedRevision int64 // events up to this revision were dropped
	revision          int64
	faults            Faults
	counts            Counts
	changed           chan struct{}
}

var _ objectapi.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the current faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the current counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact drops all events so far, so that watches from older revisions fail with
// ErrCompacted and must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	s.log = nil
}

// beginCall counts a call and simulates slowness and outage. It returns with mu held
// unless it returns an error.
func (s *Store) beginCall(ctx context.Context, counter *int) error {
	s.mu.Lock()
	*counter++
	slow := s.faults.Slow
	if slow > 0 {
		s.mu.Unlock()
		if err := sleep(ctx, slow); err != nil {
			return err
		}
		s.mu.Lock()
	}
	if s.faults.Outage {
		s.mu.Unlock()
		return objectapi.ErrUnavailable
	}
	return nil
}

// sleep waits for d. It returns ErrUnavailable when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return objectapi.ErrUnavailable
	case <-time.After(d):
		return nil
	}
}

// Get implements objectapi.Store.
func (s *Store) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if err := s.beginCall(ctx, &s.counts.Gets); err != nil {
		return objectapi.Object{}, err
	}
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return object, nil
}

// Put implements objectapi.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > objectapi.MaxValueBytes {
		return 0, objectapi.ErrTooLarge
	}
	if err := s.beginCall(ctx, &s.counts.Puts); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	var version int64
	err := s.applyWrite(func() error {
		var err error
		version, err = s.put(key, value, expected)
		return err
	})
	return version, err
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, key string, expected int64) error {
	if err := s.beginCall(ctx, &s.counts.Deletes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	return s.applyWrite(func() error { return s.remove(key, expected) })
}

// applyWrite runs apply, and simulates a lost reply or a late write. The caller holds
// mu.
func (s *Store) applyWrite(apply func() error) error {
	if s.faults.LateWrites > 0 {
		s.faults.LateWrites--
		time.AfterFunc(s.faults.LateBy, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_ = apply()
		})
		return objectapi.ErrUnknown
	}
	err := apply()
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return objectapi.ErrUnknown
	}
	return err
}

// put creates or replaces the object and returns its new version. The caller holds mu.
func (s *Store) put(key string, value []byte, expected int64) (int64, error) {
	if s.objects[key].Version != expected {
		return 0, objectapi.ErrConflict
	}
	s.revision++
	object := objectapi.Object{Key: key, Value: append([]byte(nil), value...), Version: s.revision}
	s.objects[key] = object
	s.record(objectapi.Event{Object: object})
	return s.revision, nil
}

// remove deletes the object. The caller holds mu.
func (s *Store) remove(key string, expected int64) error {
	object, ok := s.objects[key]
	if !ok {
		return objectapi.ErrNotFound
	}
	if object.Version != expected {
		return objectapi.ErrConflict
	}
	s.revision++
	delete(s.objects, key)
	tombstone := objectapi.Object{Key: key, Version: s.revision}
	s.record(objectapi.Event{Object: tombstone, Deleted: true})
	return nil
}

// record appends an event, drops the oldest ones beyond the limit and wakes all
// watches. The caller holds mu.
func (s *Store) record(event objectapi.Event) {
	s.log = append(s.log, event)
	if len(s.log) > retainedEvents+compactionSlack {
		dropped := s.log[:len(s.log)-retainedEvents]
		s.compactedRevision = dropped[len(dropped)-1].Version
		s.log = append([]objectapi.Event(nil), s.log[len(dropped):]...)
	}
	s.wake()
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	if err := s.beginCall(ctx, &s.counts.Lists); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var found []objectapi.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.revision, nil
}
