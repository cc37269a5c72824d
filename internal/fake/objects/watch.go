package objects

import (
	"context"
	"sort"
	"strings"
	"time"

	"ibisline/internal/objectapi"
)

// Watch implements objectapi.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64) ([]objectapi.Event, int64, error) {
	if err := s.beginCall(ctx, &s.counts.Watches); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	s.counts.Waiting++
	defer func() { s.counts.Waiting-- }()
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		if s.faults.Outage {
			return nil, 0, objectapi.ErrUnavailable
		}
		if after < s.compactedRevision {
			return nil, 0, objectapi.ErrCompacted
		}
		if events := s.eventsAfter(prefix, after); len(events) > 0 {
			return events, s.revision, nil
		}
		after = s.emptyWatchRevision(after)
		if !s.wait(ctx, timeout.C) {
			return nil, after, nil
		}
	}
}

// emptyWatchRevision returns the revision that a watch without events reports. A stuck
// watch does not advance. The caller holds mu.
func (s *Store) emptyWatchRevision(after int64) int64 {
	if s.faults.StuckWatches {
		return after
	}
	return s.revision
}

// eventsAfter returns the events under prefix with a version above after. The caller
// holds mu.
func (s *Store) eventsAfter(prefix string, after int64) []objectapi.Event {
	if s.faults.StuckWatches {
		return nil
	}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
	var found []objectapi.Event
	for _, event := range s.log[start:] {
		if strings.HasPrefix(event.Key, prefix) {
			found = append(found, event)
		}
	}
	return found
}

// wait releases mu until the objects or the faults change. It returns false when the
// watch has to end.
func (s *Store) wait(ctx context.Context, timeout <-chan time.Time) bool {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	case <-timeout:
		return false
	}
}

// wake wakes all waiting watches. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
