// Package objects is a stand-in for the platform's object API, in memory, with
// faults that tests and cmd/ibisfake switch on while it runs.
package objects

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"ibisline/internal/objectapi"
)

// Faults are the failures that the store plays. The zero value plays none.
type Faults struct {
	// Outage fails every call with ErrUnavailable.
	Outage bool `json:"outage"`
	// Slow delays every call.
	Slow time.Duration `json:"slow"`
	// LoseReplies is the number of coming writes that take effect while their
	// caller sees ErrUnknown.
	LoseReplies int `json:"lose_replies"`
	// LateWrites is the number of coming writes whose caller sees ErrUnknown at
	// once while the write is tried only after LateBy.
	LateWrites int           `json:"late_writes"`
	LateBy     time.Duration `json:"late_by"`
	// StuckWatches makes watches return no events.
	StuckWatches bool `json:"stuck_watches"`
}

// Counts is the number of calls served since the start, by kind.
type Counts struct {
	Gets    int `json:"gets"`
	Puts    int `json:"puts"`
	Deletes int `json:"deletes"`
	Lists   int `json:"lists"`
	Watches int `json:"watches"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
}

// watchWait bounds one watch, as a server's long poll does.
const watchWait = 20 * time.Second

// keptEvents is the number of events kept for watches, and keptSlack the number
// of further ones after which the oldest are dropped.
const (
	keptEvents = 8192
	keptSlack  = 1024
)

// Store implements objectapi.Store in memory.
type Store struct {
	mu       sync.Mutex
	objects  map[string]objectapi.Object
	log      []objectapi.Event
	kept     int64 // events up to this revision were compacted
	revision int64
	faults   Faults
	counts   Counts
	changed  chan struct{}
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

// Faults returns the faults as they stand.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the calls served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Compact forgets the events up to now, so that older watches must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = s.revision
	s.log = nil
}

// enter counts a call, plays outage and slowness, and returns with mu held
// unless it returns an error.
func (s *Store) enter(ctx context.Context, counter *int) error {
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

// sleep waits for d; a canceled wait reads as an unavailable platform.
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
	if err := s.enter(ctx, &s.counts.Gets); err != nil {
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
	if err := s.enter(ctx, &s.counts.Puts); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	var version int64
	err := s.write(func() error {
		var err error
		version, err = s.put(key, value, expected)
		return err
	})
	return version, err
}

// Delete implements objectapi.Store.
func (s *Store) Delete(ctx context.Context, key string, expected int64) error {
	if err := s.enter(ctx, &s.counts.Deletes); err != nil {
		return err
	}
	defer s.mu.Unlock()
	return s.write(func() error { return s.remove(key, expected) })
}

// write runs apply now, or plays a lost reply or a late write around it. The
// caller holds mu.
func (s *Store) write(apply func() error) error {
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

// put changes the object. The caller holds mu.
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
	gone := objectapi.Object{Key: key, Version: s.revision}
	s.record(objectapi.Event{Object: gone, Deleted: true})
	return nil
}

// record appends an event, drops the oldest ones beyond the limit and wakes the
// watches. The caller holds mu.
func (s *Store) record(event objectapi.Event) {
	s.log = append(s.log, event)
	if len(s.log) > keptEvents+keptSlack {
		dropped := s.log[:len(s.log)-keptEvents]
		s.kept = dropped[len(dropped)-1].Version
		s.log = append([]objectapi.Event(nil), s.log[len(dropped):]...)
	}
	s.wake()
}

// List implements objectapi.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]objectapi.Object, int64, error) {
	if err := s.enter(ctx, &s.counts.Lists); err != nil {
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
