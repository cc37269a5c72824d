// Package journal stores replicas of budget totals, by shard, on the disk of one instance
// for use during an outage of the platform. A home first fences a shard with a higher number
// than any before; from then on writes with a lower number are refused. So a home that has
// read a journal knows that no earlier home adds to it.
//
// The file is a sequence of records, each with a length and a checksum. Replay stops at the
// first torn record: it and everything after it were never acknowledged.
package journal

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/record"
	"ibisline/internal/tokenbudget/ledger"
)

// Errors of the journal.
var (
	// ErrFenced is returned if another home has fenced the shard with a higher number.
	ErrFenced = errors.New("shard was fenced by another home")
	// ErrDisk is returned if a write to the disk failed. It may or may not be stored.
	ErrDisk = errors.New("journal cannot be written")
)

// Disk stores the file of a journal. It is used by one goroutine at a time.
type Disk interface {
	// Read returns the content, empty if there is none.
	Read() ([]byte, error)
	// Replace replaces the whole content. If it returns nil, the new content is durable;
	// otherwise either the old or the new content is intact.
	Replace(content []byte) error
	// Append adds to the end. If it returns nil, the addition is durable; otherwise any part
	// of it may have been written.
	Append(part []byte) error
	Close() error
}

// compactBytes is the size at which the file is compacted.
const compactBytes = 4 << 20

// Fence is the right of a home to write to a shard.
type Fence struct {
	Shard  int    `msgpack:"s"`
	Number int64  `msgpack:"n"`
	Home   string `msgpack:"h"`
}

// Replica is a home's copy of a shard's totals, or changes to it. It replaces the checkpoint
// while the platform is unreachable, and is stored on several journals.
type Replica struct {
	Fence Fence `msgpack:"f"`
	// Complete is set in a write that holds all programs, and in a journal that has received
	// such a write under the fence. Otherwise the replica holds changes only.
	Complete bool `msgpack:"w,omitempty"`
	// Sequence orders the writes of one fence.
	Sequence int64 `msgpack:"q"`
	// Journals are those that may hold the replica: journal identities by instance name.
	Journals map[string]int64 `msgpack:"j,omitempty"`
	// Listed are the sets of journals that the checkpoint may list, and so a home that has
	// started from it may have written to, if they differ from Journals.
	Listed []map[string]int64 `msgpack:"l,omitempty"`
	// Decisions is the number of reservations of other daemons that the home has decided
	// about. It shows the others that a home which answers slowly is at work.
	Decisions int64                 `msgpack:"d,omitempty"`
	Totals    []ledger.ProgramTotal `msgpack:"t,omitempty"`
}

// entry is one record of the file. Exactly one field is set.
type entry struct {
	ID      int64    `msgpack:"i,omitempty"`
	Fence   *Fence   `msgpack:"f,omitempty"`
	Replica *Replica `msgpack:"b,omitempty"`
}

// shard is the state of one shard.
type shard struct {
	fence   Fence
	replica Replica // without totals
	totals  map[string]ledger.ProgramTotal
}

// Journal is safe for concurrent use.
type Journal struct {
	disk Disk

	mu      sync.Mutex
	size    int64
	shards  map[int]*shard
	id      int64
	created bool
	failed  error
	// pending are encoded records for the next sync, waiters the callers waiting for it.
	pending bytes.Buffer
	waiters []chan error
	syncing bool
}

// Open reads the journal on a disk, or creates one with a new identity.
func Open(disk Disk) (*Journal, error) {
	j := &Journal{disk: disk, shards: map[int]*shard{}}
	content, err := disk.Read()
	if err != nil {
		return nil, errors.Wrap(err, "read the journal")
	}
	j.replay(content)
	j.created = j.id == 0
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

// ID returns the identity of the journal, which lasts as long as its disk.
func (j *Journal) ID() int64 { return j.id }

// Created reports whether Open found no journal on the disk and created one.
func (j *Journal) Created() bool { return j.created }

// replay applies all intact records.
func (j *Journal) replay(content []byte) {
	for {
		body, rest, ok := record.Next(content)
		if !ok {
			return
		}
		var r entry
		if msgpack.Unmarshal(body, &r) != nil {
			return
		}
		j.apply(r)
		content = rest
	}
}

// apply applies a record to the state.
func (j *Journal) apply(r entry) {
	switch {
	case r.ID != 0:
		j.id = r.ID
	case r.Fence != nil:
		j.shard(r.Fence.Shard).fence = *r.Fence
	case r.Replica != nil:
		j.shard(r.Replica.Fence.Shard).apply(*r.Replica)
	}
}

// apply merges a write into the replica, or starts a new replica under a new fence.
func (s *shard) apply(replica Replica) {
	if s.replica.Fence != replica.Fence {
		s.replica = Replica{Fence: replica.Fence}
		s.totals = map[string]ledger.ProgramTotal{}
	}
	if replica.Complete {
		// Keep newer totals: a later write may have arrived before this one.
		maps.DeleteFunc(s.totals, func(_ string, total ledger.ProgramTotal) bool {
			return total.Sequence < replica.Sequence
		})
	}
	for _, total := range replica.Totals {
		s.totals[total.Program] = total.Newer(s.totals[total.Program])
	}
	complete := replica.Complete || s.replica.Complete
	if replica.Sequence >= s.replica.Sequence {
		s.replica = replica
	}
	s.replica.Complete = complete
	s.replica.Totals = nil
}

// Known describes the totals that a reader of a replica has from elsewhere: all those
// written under a fence number below Number, and those written under it before Sequence.
type Known struct {
	Number   int64 `msgpack:"kn,omitempty"`
	Sequence int64 `msgpack:"kq,omitempty"`
}

// covers reports whether the reader has a total of a replica under a fence number.
func (k Known) covers(number, sequence int64) bool {
	return number < k.Number || (number == k.Number && sequence < k.Sequence)
}

// NewerThan reports whether a replica was written after another one of the same shard.
func (r Replica) NewerThan(other Replica) bool {
	return r.Fence.Number > other.Fence.Number ||
		(r.Fence.Number == other.Fence.Number && r.Sequence > other.Sequence)
}

// without returns the replica without the totals that the reader has.
func (r Replica) without(known Known) Replica {
	r.Totals = slices.DeleteFunc(r.Totals, func(total ledger.ProgramTotal) bool {
		return known.covers(r.Fence.Number, total.Sequence)
	})
	return r
}

// withTotals returns the replica with its unexpired totals.
func (s *shard) withTotals(now time.Time) Replica {
	replica := s.replica
	for name, total := range s.totals {
		if total.Expires <= now.UnixMilli() {
			delete(s.totals, name)
		}
	}
	replica.Totals = slices.Collect(maps.Values(s.totals))
	return replica
}

// shard returns the state of a shard. The caller holds mu.
func (j *Journal) shard(number int) *shard {
	s := j.shards[number]
	if s == nil {
		s = &shard{totals: map[string]ledger.ProgramTotal{}}
		j.shards[number] = s
	}
	return s
}

// Fence fences a shard and returns the previous fence and the stored replica without the
// known totals. With ErrFenced it returns the fence in force.
func (j *Journal) Fence(f Fence, known Known, now time.Time) (Fence, Replica, error) {
	j.mu.Lock()
	s := j.shard(f.Shard)
	if f.Number < s.fence.Number || (f.Number == s.fence.Number && f.Home != s.fence.Home) {
		held := s.fence
		j.mu.Unlock()
		return held, Replica{}, ErrFenced
	}
	previous := s.fence
	s.fence = f
	replica := s.withTotals(now).without(known)
	done := j.enqueue(entry{Fence: &f})
	j.mu.Unlock()
	return previous, replica, <-done
}

// Holder returns the fence in force for a shard and the stored replica without its totals,
// zero values if there are none.
func (j *Journal) Holder(number int) (Fence, Replica) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s := j.shards[number]; s != nil {
		return s.fence, s.replica
	}
	return Fence{}, Replica{}
}

// Append writes to the replica under the fence in force. The write is durable when Append
// returns nil.
func (j *Journal) Append(replica Replica) error {
	j.mu.Lock()
	s := j.shard(replica.Fence.Shard)
	if s.fence != replica.Fence {
		j.mu.Unlock()
		return ErrFenced
	}
	s.apply(replica)
	done := j.enqueue(entry{Replica: &replica})
	j.mu.Unlock()
	return <-done
}

// enqueue adds a record to the next sync. The caller holds mu.
func (j *Journal) enqueue(r entry) <-chan error {
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
func encode(out *bytes.Buffer, r entry) error {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	out.Write(record.Append(nil, body))
	return nil
}

// sync writes pending records until there are none. One write covers all records that were
// added during the previous one.
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
		j.completeSync(int64(len(part)), waiters, err)
	}
}

// completeSync reports the outcome to the waiters. After a failed write the end of the file
// is unknown, so the file is rewritten; if that fails too, the journal refuses writes until
// Retry succeeds.
func (j *Journal) completeSync(written int64, waiters []chan error, err error) {
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

// Retry makes a failed journal try its disk again.
func (j *Journal) Retry() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed == nil || j.syncing {
		return j.failed
	}
	j.failed = j.rewrite()
	return j.failed
}

// rewrite replaces the file by one that holds the current state only. The caller holds mu,
// and no other write is in progress.
func (j *Journal) rewrite() error {
	var content bytes.Buffer
	for _, r := range j.snapshot(time.Now()) {
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

// snapshot returns the records that reproduce the current state.
func (j *Journal) snapshot(now time.Time) []entry {
	all := []entry{{ID: j.id}}
	for _, s := range j.shards {
		if s.fence.Number == 0 {
			continue
		}
		fence, replica := s.fence, s.withTotals(now)
		all = append(all, entry{Fence: &fence})
		if replica.Fence.Number != 0 {
			all = append(all, entry{Replica: &replica})
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
