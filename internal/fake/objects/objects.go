// Package objects is a stand-in for the platform's object API, in memory, with
// faults that tests and cmd/ibisfake switch on while it runs.
package objects

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"ibisline/internal/platform"
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

// Store implements platform.Store in memory.
type Store struct {
	mu       sync.Mutex
	objects  map[string]platform.Object
	log      []platform.Event
	kept     int64 // events up to this revision were compacted
	revision int64
	faults   Faults
	counts   Counts
	changed  chan struct{}
}

var _ platform.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{objects: map[string]platform.Object{}, changed: make(chan struct{})}
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
		return platform.ErrUnavailable
	}
	return nil
}

// sleep waits for d; a canceled wait reads as an unavailable platform.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return platform.ErrUnavailable
	case <-time.After(d):
		return nil
	}
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.enter(ctx, &s.counts.Gets); err != nil {
		return platform.Object{}, err
	}
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return object, nil
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected int64) (int64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
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

// Delete implements platform.Store.
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
		return platform.ErrUnknown
	}
	err := apply()
	if s.faults.LoseReplies > 0 {
		s.faults.LoseReplies--
		return platform.ErrUnknown
	}
	return err
}

// put changes the object. The caller holds mu.
func (s *Store) put(key string, value []byte, expected int64) (int64, error) {
	if s.objects[key].Version != expected {
		return 0, platform.ErrConflict
	}
	s.revision++
	object := platform.Object{Key: key, Value: append([]byte(nil), value...), Version: s.revision}
	s.objects[key] = object
	s.record(platform.Event{Object: object})
	return s.revision, nil
}

// remove deletes the object. The caller holds mu.
func (s *Store) remove(key string, expected int64) error {
	object, ok := s.objects[key]
	if !ok {
		return platform.ErrNotFound
	}
	if object.Version != expected {
		return platform.ErrConflict
	}
	s.revision++
	delete(s.objects, key)
	gone := platform.Object{Key: key, Version: s.revision}
	s.record(platform.Event{Object: gone, Deleted: true})
	return nil
}

// record appends an event, drops the oldest ones beyond the limit and wakes the
// watches. The caller holds mu.
func (s *Store) record(event platform.Event) {
	s.log = append(s.log, event)
	if len(s.log) > keptEvents+keptSlack {
		dropped := s.log[:len(s.log)-keptEvents]
		s.kept = dropped[len(dropped)-1].Version
		s.log = append([]platform.Event(nil), s.log[len(dropped):]...)
	}
	s.wake()
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Object, int64, error) {
	if err := s.enter(ctx, &s.counts.Lists); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var found []platform.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.revision, nil
}
