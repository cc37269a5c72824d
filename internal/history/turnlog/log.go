// Package turnlog stores the turns of conversations on the disk of one instance. A turn is
// immutable and refers to the turn before it; the log holds a turn only together with all
// turns before it, so that a conversation is read from one place.
//
// The log is a sequence of segments, files of records that are only appended to. A segment is
// removed as a whole once nothing in it is needed any more.
package turnlog

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/record"
)

// Errors of a Log.
var (
	// ErrUnknownPrevious is returned for a turn whose previous turn is not held. Nothing was written.
	ErrUnknownPrevious = errors.New("the previous turn is not held")
	// ErrNotFound is returned for a turn that is not held.
	ErrNotFound = errors.New("the turn is not held")
	// ErrDisk is returned if a write to the disk failed. It may or may not be stored.
	ErrDisk = errors.New("turns cannot be written")
	// ErrBusy is returned while too many writes are waiting for the disk.
	ErrBusy = errors.New("too many turns are waiting for the disk")
)

// Turn is one turn of a conversation as its caller has received it.
type Turn struct {
	ID string `msgpack:"i"`
	// Previous is the ID of the turn that this one continues, empty for the first turn.
	Previous string `msgpack:"p,omitempty"`
	// Input is the new input of the turn, Output the data of its events, each with a line feed.
	Input  []byte `msgpack:"n"`
	Output []byte `msgpack:"o"`
	// Arrived is the Unix time in milliseconds at which the request arrived. If an ID has several
	// outcomes, the latest counts.
	Arrived int64 `msgpack:"a"`
	// Expires is the Unix time in milliseconds until which the turn is kept. Turns before it are kept
	// as long.
	Expires int64 `msgpack:"e"`
}

// sum identifies the content of a turn.
func (t Turn) sum() uint64 {
	digest := xxhash.New()
	for _, part := range [][]byte{[]byte(t.Previous), {0}, t.Input, {0}, t.Output} {
		_, _ = digest.Write(part) // never fails
	}
	return digest.Sum64()
}

// entry is the place of a turn in the log.
type entry struct {
	segment  *segment
	offset   int64
	size     int
	previous string
	arrived  int64
	expires  int64
	sum      uint64
}

// supersededBy reports whether the turn is another outcome that counts instead of the entry.
func (e *entry) supersededBy(t Turn, sum uint64) bool {
	return cmp.Or(cmp.Compare(t.Arrived, e.arrived), cmp.Compare(sum, e.sum)) > 0
}

// segment is one file of the log.
type segment struct {
	name string
	file File
	size int64
	// sealed is set once nothing is appended any more.
	sealed bool
}

const (
	// segmentBytes is the size at which the next segment is begun.
	segmentBytes = 4 << 20
	// segmentSuffix ends the names of segments.
	segmentSuffix = ".turns"
	// completeMarker is the name of the file that exists once the log has held everything that it
	// should: it is missing on a disk that was replaced.
	completeMarker = "complete"
	// listedMarker is the name of the file that exists once other daemons can know of this log.
	listedMarker = "listed"
	// maxPendingBytes limits the records that wait for the disk.
	maxPendingBytes = 4 << 20
)

// Log is safe for concurrent use.
type Log struct {
	dir Dir

	mu       sync.Mutex
	entries  map[string]*entry
	segments []*segment
	next     int
	complete bool
	listed   bool
	// pending is what the next write will append.
	pending *batch
	writing bool
}

// batch is a number of turns that are written and synced together.
type batch struct {
	turns   []Turn
	content []byte
	ends    []int
	done    chan struct{}
	err     error
}

// Open reads the log in a directory. A new log is complete if nothing was stored elsewhere before.
func Open(dir Dir, firstStart bool) (*Log, error) {
	l := &Log{dir: dir, entries: map[string]*entry{}}
	names, err := dir.List()
	if err != nil {
		return nil, errors.Wrap(err, "list the segments of turns")
	}
	damaged := false
	for _, name := range names {
		switch {
		case name == completeMarker:
			l.complete = true
		case name == listedMarker:
			l.listed = true
		case strings.HasSuffix(name, segmentSuffix):
			intact, err := l.replay(name)
			if err != nil {
				return nil, errors.Wrapf(err, "read segment %s", name)
			}
			damaged = damaged || !intact
		}
	}
	l.dropBroken()
	switch {
	case damaged:
		// What is torn was not acknowledged, but what is corrupt was.
		l.complete = false
	case firstStart && !l.complete:
		return l, l.MarkComplete()
	}
	return l, nil
}

// replay reads a segment, and reports whether all of its records are intact.
func (l *Log) replay(name string) (bool, error) {
	var number int
	if _, err := fmt.Sscanf(name, "%d"+segmentSuffix, &number); err != nil {
		return false, err
	}
	l.next = max(l.next, number+1)
	file, err := l.dir.Open(name)
	if err != nil {
		return false, err
	}
	size, err := file.Size()
	if err != nil {
		return false, errors.Join(err, file.Close())
	}
	content, err := io.ReadAll(io.NewSectionReader(file, 0, size))
	if err != nil {
		return false, errors.Join(err, file.Close())
	}
	s := &segment{name: name, file: file, size: size, sealed: true}
	l.segments = append(l.segments, s)
	for rest := content; len(rest) > 0; {
		body, after, ok := record.Next(rest)
		var turn Turn
		if !ok || msgpack.Unmarshal(body, &turn) != nil {
			return false, nil
		}
		offset := int64(len(content) - len(rest))
		l.install(turn, s, offset, len(rest)-len(after))
		rest = after
	}
	return true, nil
}

// dropBroken removes the turns of which a previous turn is missing.
func (l *Log) dropBroken() {
	whole := map[string]bool{"": true}
	for id := range l.entries {
		var walked []string
		for {
			if _, known := whole[id]; known || l.entries[id] == nil {
				break
			}
			// Marked before its previous turns are, so that a walk ends in any case.
			whole[id] = false
			walked = append(walked, id)
			id = l.entries[id].previous
		}
		for _, descendant := range walked {
			whole[descendant] = whole[id]
		}
	}
	for id := range l.entries {
		if !whole[id] {
			delete(l.entries, id)
		}
	}
}

// Complete reports whether the log holds everything that it has ever acknowledged, or that was
// restored since its disk was replaced.
func (l *Log) Complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.complete
}

// MarkComplete records that everything was restored.
func (l *Log) MarkComplete() error { return l.mark(completeMarker, &l.complete) }

// Listed reports whether other daemons can know of this log, as recorded by MarkListed in this or
// an earlier process.
func (l *Log) Listed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// MarkListed records that other daemons can know of this log.
func (l *Log) MarkListed() error { return l.mark(listedMarker, &l.listed) }

// mark creates a marker and then sets its flag.
func (l *Log) mark(name string, flag *bool) error {
	marker, err := l.dir.Create(name)
	if err == nil {
		err = marker.Close()
	}
	if err != nil && !errors.Is(err, os.ErrExist) {
		return errors.Wrapf(err, "create the marker %q of the log of turns", name)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	*flag = true
	return nil
}

// install records the place of a turn, unless another outcome of it counts. The caller holds mu or
// is the only user.
func (l *Log) install(t Turn, s *segment, offset int64, size int) {
	sum := t.sum()
	expires := t.Expires
	if held := l.entries[t.ID]; held != nil {
		expires = max(expires, held.expires)
		if held.sum != sum && !held.supersededBy(t, sum) {
			l.extend(t.ID, expires)
			return
		}
	}
	l.entries[t.ID] = &entry{
		segment: s, offset: offset, size: size, previous: t.Previous, arrived: t.Arrived, sum: sum,
	}
	l.extend(t.ID, expires)
}

// extend keeps a turn and all turns before it until the given time.
func (l *Log) extend(id string, expires int64) {
	for e := l.entries[id]; e != nil && e.expires < expires; e = l.entries[e.previous] {
		e.expires = expires
	}
}

// Append stores turns, oldest first, and returns once they are durable. Each must continue a turn that
// is held or precedes it in turns.
func (l *Log) Append(turns []Turn) error {
	l.mu.Lock()
	var missing []Turn
	known := map[string]bool{}
	for _, t := range turns {
		if t.Previous != "" && !known[t.Previous] && l.entries[t.Previous] == nil {
			l.mu.Unlock()
			return errors.Wrap(ErrUnknownPrevious, t.Previous)
		}
		known[t.ID] = true
		if held := l.entries[t.ID]; held != nil && held.sum == t.sum() {
			l.extend(t.ID, t.Expires)
			continue
		}
		missing = append(missing, t)
	}
	l.mu.Unlock()
	return l.write(missing)
}

// write appends turns to the log with the next sync.
func (l *Log) write(turns []Turn) error {
	if len(turns) == 0 {
		return nil
	}
	bodies := make([][]byte, len(turns))
	for i, t := range turns {
		body, err := msgpack.Marshal(t)
		if err != nil {
			return errors.Wrap(err, "encode a turn")
		}
		bodies[i] = body
	}
	l.mu.Lock()
	b := l.pending
	if b == nil {
		b = &batch{done: make(chan struct{})}
		l.pending = b
	}
	if len(b.content) > maxPendingBytes {
		l.mu.Unlock()
		return ErrBusy
	}
	for i, t := range turns {
		b.turns = append(b.turns, t)
		b.content = record.Append(b.content, bodies[i])
		b.ends = append(b.ends, len(b.content))
	}
	if !l.writing {
		l.writing = true
		go l.writePending()
	}
	l.mu.Unlock()
	<-b.done
	return b.err
}

// writePending writes batches until there are none. One sync covers all turns that were added
// during the previous one.
func (l *Log) writePending() {
	for {
		l.mu.Lock()
		b := l.pending
		l.pending = nil
		if b == nil {
			l.writing = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if err := l.writeBatch(b); err != nil {
			b.err = errors.Wrap(ErrDisk, err.Error())
		}
		close(b.done)
	}
}

// writeBatch appends a batch to the newest segment. Only the goroutine of writePending calls it.
func (l *Log) writeBatch(b *batch) error {
	s, err := l.writableSegment()
	if err != nil {
		return err
	}
	start := s.size
	_, err = s.file.Write(b.content)
	if err == nil {
		err = s.file.Sync()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.size += int64(len(b.content))
	// After a failed write the end of the file is unknown, so nothing is appended to it.
	s.sealed = err != nil || s.size >= segmentBytes
	if err != nil {
		return err
	}
	from := 0
	for i, t := range b.turns {
		l.install(t, s, start+int64(from), b.ends[i]-from)
		from = b.ends[i]
	}
	return nil
}

// writableSegment returns the newest segment, and begins one if it is sealed.
func (l *Log) writableSegment() (*segment, error) {
	l.mu.Lock()
	if n := len(l.segments); n > 0 && !l.segments[n-1].sealed {
		defer l.mu.Unlock()
		return l.segments[n-1], nil
	}
	name := fmt.Sprintf("%016d%s", l.next, segmentSuffix)
	l.next++
	l.mu.Unlock()
	file, err := l.dir.Create(name)
	if err != nil {
		return nil, err
	}
	s := &segment{name: name, file: file}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments = append(l.segments, s)
	return s, nil
}

// Chain returns a turn and all turns before it, oldest first, or ErrNotFound.
func (l *Log) Chain(id string) ([]Turn, error) {
	places, err := l.places(id)
	if err != nil {
		return nil, err
	}
	turns, err := readAll(places)
	if err != nil {
		// The segment of a turn may have been collected, in which case the turn is elsewhere now.
		if places, err = l.places(id); err != nil {
			return nil, err
		}
		turns, err = readAll(places)
	}
	return turns, err
}

// places returns the entries of a turn and of all turns before it, oldest first.
func (l *Log) places(id string) ([]entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []entry
	for next := id; next != ""; {
		e := l.entries[next]
		if e == nil || len(found) > len(l.entries) {
			return nil, errors.Wrap(ErrNotFound, next)
		}
		found = append(found, *e)
		next = e.previous
	}
	slices.Reverse(found)
	return found, nil
}

// readAll reads the turns at the given places.
func readAll(places []entry) ([]Turn, error) {
	turns := make([]Turn, len(places))
	for i, e := range places {
		content := make([]byte, e.size)
		if _, err := e.segment.file.ReadAt(content, e.offset); err != nil {
			return nil, errors.Wrapf(err, "read segment %s", e.segment.name)
		}
		body, _, ok := record.Next(content)
		if !ok {
			return nil, errors.Errorf("segment %s is corrupt at offset %d", e.segment.name, e.offset)
		}
		if err := msgpack.Unmarshal(body, &turns[i]); err != nil {
			return nil, errors.Wrapf(err, "decode a turn of segment %s", e.segment.name)
		}
		turns[i].Expires = e.expires
	}
	return turns, nil
}

// Entry describes a turn that is held.
type Entry struct {
	ID       string `msgpack:"i"`
	Previous string `msgpack:"p,omitempty"`
}

// Entries returns the turns that are held at the given time.
func (l *Log) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Entry, 0, len(l.entries))
	for id, e := range l.entries {
		if e.expires > now.UnixMilli() {
			all = append(all, Entry{ID: id, Previous: e.previous})
		}
	}
	return all
}

// Size returns the number of turns that are held and the bytes on disk.
func (l *Log) Size() (turns int, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.segments {
		bytes += s.size
	}
	return len(l.entries), bytes
}
