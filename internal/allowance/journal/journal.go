// Package journal keeps on the disk of one instance what homes of budgets write down
// for the time of an outage of the platform, by shard. A home first fences a shard with a
// number higher than any before; from then on writes with a lower number are refused.
// So a home that reads a journal knows that nothing is added behind its back.
//
// The file is a sequence of records, each with its length and checksum. Reading
// ends at the first record that is torn: what follows was never acknowledged.
package journal

import (
	"bytes"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/allowance/ledger"
)

// Errors of the journal.
var (
	// ErrFenced: another home has fenced the shard with a higher number.
	ErrFenced = errors.New("shard was fenced by another home")
	// ErrDisk: the disk refused a write; nothing is promised about it.
	ErrDisk = errors.New("journal cannot be written")
)

// Disk keeps the file of a journal. It is used by one goroutine at a time.
type Disk interface {
	// Read returns the content, empty if there is none yet.
	Read() ([]byte, error)
	// Replace puts content in the place of all that is there. When it returns
	// nil that is durable; otherwise the old or the new content is there, whole.
	Replace(content []byte) error
	// Append adds to the end. When it returns nil that is durable; otherwise any
	// part of it may be there.
	Append(part []byte) error
	Close() error
}

const (
	// compactBytes is the size at which the file is written anew.
	compactBytes = 4 << 20
	// headerBytes are length and checksum of a record.
	headerBytes = 4 + 8
	// maxRecordBytes bounds a record; a longer one is a torn length.
	maxRecordBytes = 8 << 20
)

// Fence is the right of a home to write about a shard.
type Fence struct {
	Shard  int    `msgpack:"s"`
	Number int64  `msgpack:"n"`
	Home   string `msgpack:"h"`
}

// Bridge is what a home writes down in place of the shard's record. It stands on
// several journals.
type Bridge struct {
	Fence Fence `msgpack:"f"`
	// Whole is set in a write that holds all programs, and in a journal that has
	// had one under the fence. Others hold changes only.
	Whole bool `msgpack:"w,omitempty"`
	// Sequence orders the writes of one fence.
	Sequence int64 `msgpack:"q"`
	// Journals are those on which the bridge may stand: their identity by the
	// name of their instance.
	Journals map[string]int64 `msgpack:"j,omitempty"`
	// Most is the largest turn on record.
	Most   int                   `msgpack:"m,omitempty"`
	Covers []ledger.ProgramTotal `msgpack:"t,omitempty"`
}

// record is one entry of the file. Exactly one field is set.
type record struct {
	ID     int64   `msgpack:"i,omitempty"`
	Fence  *Fence  `msgpack:"f,omitempty"`
	Bridge *Bridge `msgpack:"b,omitempty"`
}

// shard is the state of one shard.
type shard struct {
	fence  Fence
	bridge Bridge // without covers
	covers map[string]ledger.ProgramTotal
}

// Journal is safe for concurrent use.
type Journal struct {
	disk Disk

	mu     sync.Mutex
	size   int64
	shards map[int]*shard
	id     int64
	begun  bool
	failed error
	// pending are encoded records that the next sync makes durable, waiters
	// those that wait for it.
	pending bytes.Buffer
	waiters []chan error
	syncing bool
}

// Open reads the journal on a disk, or begins one with a new identity.
func Open(disk Disk) (*Journal, error) {
	j := &Journal{disk: disk, shards: map[int]*shard{}}
	content, err := disk.Read()
	if err != nil {
		return nil, errors.Wrap(err, "read the journal")
	}
	j.replay(content)
	j.begun = j.id == 0
	for j.id == 0 {
		j.id = rand.Int64()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.rewrite(); err != nil {
		return nil, err
	}
	return j, nil
}

// ID identifies the journal as long as its disk keeps it.
func (j *Journal) ID() int64 { return j.id }

// Begun reports whether the disk held no journal when this one was opened.
func (j *Journal) Begun() bool { return j.begun }

// replay applies all whole records.
func (j *Journal) replay(content []byte) {
	for len(content) >= headerBytes {
		size := binary.BigEndian.Uint32(content)
		sum := binary.BigEndian.Uint64(content[4:])
		if size > maxRecordBytes || int(size) > len(content)-headerBytes {
			return
		}
		body := content[headerBytes : headerBytes+int(size)]
		var r record
		if xxhash.Sum64(body) != sum || msgpack.Unmarshal(body, &r) != nil {
			return
		}
		j.apply(r)
		content = content[headerBytes+int(size):]
	}
}

// apply changes the state as a record says.
func (j *Journal) apply(r record) {
	switch {
	case r.ID != 0:
		j.id = r.ID
	case r.Fence != nil:
		j.shard(r.Fence.Shard).fence = *r.Fence
	case r.Bridge != nil:
		j.shard(r.Bridge.Fence.Shard).extend(*r.Bridge)
	}
}

// extend adds to the bridge, or begins another one.
func (s *shard) extend(b Bridge) {
	if s.bridge.Fence != b.Fence {
		s.bridge = Bridge{Fence: b.Fence}
		s.covers = map[string]ledger.ProgramTotal{}
	}
	if b.Whole {
		// A later write may have overtaken this one.
		maps.DeleteFunc(s.covers, func(_ string, c ledger.ProgramTotal) bool { return c.Sequence < b.Sequence })
	}
	for _, c := range b.Covers {
		s.covers[c.Program] = c.Newer(s.covers[c.Program])
	}
	whole := b.Whole || s.bridge.Whole
	if b.Sequence >= s.bridge.Sequence {
		s.bridge = b
	}
	s.bridge.Whole = whole
	s.bridge.Covers = nil
}

// whole returns the bridge with its covers.
func (s *shard) whole(now time.Time) Bridge {
	b := s.bridge
	for name, c := range s.covers {
		if c.Expires <= now.UnixMilli() {
			delete(s.covers, name)
		}
	}
	b.Covers = slices.Collect(maps.Values(s.covers))
	return b
}

// shard returns the state of a shard. The caller holds mu.
func (j *Journal) shard(number int) *shard {
	s := j.shards[number]
	if s == nil {
		s = &shard{covers: map[string]ledger.ProgramTotal{}}
		j.shards[number] = s
	}
	return s
}

// Take fences a shard and returns the fence before and the bridge that was built.
// ErrFenced comes with the fence that stands in the way.
func (j *Journal) Take(f Fence, now time.Time) (Fence, Bridge, error) {
	j.mu.Lock()
	s := j.shard(f.Shard)
	if f.Number < s.fence.Number || (f.Number == s.fence.Number && f.Home != s.fence.Home) {
		held := s.fence
		j.mu.Unlock()
		return held, Bridge{}, ErrFenced
	}
	before := s.fence
	s.fence = f
	bridge := s.whole(now)
	done := j.add(record{Fence: &f})
	j.mu.Unlock()
	return before, bridge, <-done
}

// Holder returns the fence in force for a shard and the last bridge without its
// covers, zero values if there are none.
func (j *Journal) Holder(number int) (Fence, Bridge) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.shards[number]; s != nil {
		return s.fence, s.bridge
	}
	return Fence{}, Bridge{}
}

// Extend adds to a bridge, or begins it, under the fence in force. It is
// durable when Extend returns nil.
func (j *Journal) Extend(b Bridge) error {
	j.mu.Lock()
	s := j.shard(b.Fence.Shard)
	if s.fence != b.Fence {
		j.mu.Unlock()
		return ErrFenced
	}
	s.extend(b)
	done := j.add(record{Bridge: &b})
	j.mu.Unlock()
	return <-done
}

// add queues a record for the next sync. The caller holds mu.
func (j *Journal) add(r record) <-chan error {
	done := make(chan error, 1)
	if j.failed != nil {
		done <- j.failed
		return done
	}
	if err := encode(&j.pending, r); err != nil {
		done <- err
		return done
	}
	j.waiters = append(j.waiters, done)
	if !j.syncing {
		j.syncing = true
		go j.sync()
	}
	return done
}

// encode appends a record with its length and checksum.
func encode(out *bytes.Buffer, r record) error {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	var header [headerBytes]byte
	binary.BigEndian.PutUint32(header[:], uint32(len(body)))
	binary.BigEndian.PutUint64(header[4:], xxhash.Sum64(body))
	out.Write(header[:])
	out.Write(body)
	return nil
}

// sync writes what is pending until nothing is. One write serves all records that
// came while the one before was under way.
func (j *Journal) sync() {
	for {
		j.mu.Lock()
		if len(j.waiters) == 0 {
			j.syncing = false
			j.mu.Unlock()
			return
		}
		part := bytes.Clone(j.pending.Bytes())
		waiters, err := j.waiters, j.failed
		j.pending.Reset()
		j.waiters = nil
		j.mu.Unlock()
		if err == nil {
			err = j.disk.Append(part)
		}
		j.finish(int64(len(part)), waiters, err)
	}
}

// finish tells the waiters. After a failure the end of the file is not known, so
// that it is written anew; if that fails too, the journal takes nothing more.
func (j *Journal) finish(written int64, waiters []chan error, err error) {
	if err != nil {
		err = errors.Wrap(ErrDisk, err.Error())
	}
	j.mu.Lock()
	j.size += written
	if j.failed == nil && (err != nil || j.size > compactBytes) {
		j.failed = j.rewrite()
	}
	j.mu.Unlock()
	for _, done := range waiters {
		done <- err
	}
}

// Retry makes a journal that has failed try its disk again.
func (j *Journal) Retry() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed == nil || j.syncing {
		return j.failed
	}
	j.failed = j.rewrite()
	return j.failed
}

// rewrite replaces the file by one that holds the present state only. The caller
// holds mu, and no other write is under way.
func (j *Journal) rewrite() error {
	var content bytes.Buffer
	for _, r := range j.state(time.Now()) {
		if err := encode(&content, r); err != nil {
			return err
		}
	}
	if err := j.disk.Replace(content.Bytes()); err != nil {
		return errors.Wrap(ErrDisk, err.Error())
	}
	j.size = int64(content.Len())
	return nil
}

// state returns records that bring about the present state.
func (j *Journal) state(now time.Time) []record {
	all := []record{{ID: j.id}}
	for _, s := range j.shards {
		if s.fence.Number == 0 {
			continue
		}
		fence, bridge := s.fence, s.whole(now)
		all = append(all, record{Fence: &fence})
		if bridge.Fence.Number != 0 {
			all = append(all, record{Bridge: &bridge})
		}
	}
	return all
}

// Close closes the disk.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.disk.Close()
}
