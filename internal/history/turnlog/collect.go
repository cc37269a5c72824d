package turnlog

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// compactionDivisor is the part of a segment that must still be needed to keep it. What is needed
// of other segments is written again.
const compactionDivisor = 4

// Collect forgets expired turns and removes the segments that are not needed any more.
func (l *Log) Collect(now time.Time) error {
	for _, s := range l.expire(now) {
		if err := l.rewrite(s); err != nil {
			return errors.Wrapf(err, "compact segment %s", s.name)
		}
		l.mu.Lock()
		l.segments = slices.DeleteFunc(l.segments, func(held *segment) bool { return held == s })
		l.mu.Unlock()
		if err := errors.Join(s.file.Close(), l.dir.Remove(s.name)); err != nil {
			return errors.Wrapf(err, "remove segment %s", s.name)
		}
	}
	return nil
}

// expire forgets expired turns and returns the sealed segments that are mostly unused.
func (l *Log) expire(now time.Time) []*segment {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed := map[*segment]int64{}
	for id, e := range l.entries {
		if e.expires <= now.UnixMilli() {
			delete(l.entries, id)
			continue
		}
		needed[e.segment] += int64(e.size)
	}
	var unused []*segment
	for _, s := range l.segments {
		if s.sealed && needed[s]*compactionDivisor <= s.size {
			unused = append(unused, s)
		}
	}
	return unused
}

// rewrite appends the turns that are needed of a segment to the log.
func (l *Log) rewrite(s *segment) error {
	l.mu.Lock()
	var places []entry
	for _, e := range l.entries {
		if e.segment == s {
			places = append(places, *e)
		}
	}
	l.mu.Unlock()
	turns, err := readAll(places)
	if err != nil {
		return err
	}
	return l.write(turns)
}

// Close closes all files.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var failed error
	for _, s := range l.segments {
		failed = errors.Join(failed, s.file.Close())
	}
	return failed
}
