package allowance

import (
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

// recordKey and idleKey are the objects of a shard: one with the programs that are
// active, and one with those that are remembered only, which is written less often.
func recordKey(shard int) string { return RecordPrefix + strconv.Itoa(shard) }
func idleKey(shard int) string   { return recordKey(shard) + "-idle" }

// record is the object of a shard.
type record struct {
	// Epoch and Home are those of the home that decides.
	Epoch int64  `json:"epoch"`
	Home  string `json:"home"`
	// Basis is the epoch of the home whose content this is, and Sequence orders
	// that among its writes to journals. A home that takes over claims the record
	// before it knows what the journals hold beyond.
	Basis    int64 `json:"basis"`
	Sequence int64 `json:"sequence"`
	// Most is the largest turn, in tokens, that may have been granted to a
	// program beyond its total here.
	Most int `json:"most"`
	// Journals are those on which a bridge may stand: their identity by the name
	// of their instance.
	Journals map[string]int64 `json:"journals,omitempty"`
	Programs map[string]entry `json:"programs,omitempty"`
}

// entry is a program in a record: its total in tokens, the second of the Unix time at
// which it is forgotten, and 1 if the total is an estimate.
type entry [3]int64

// covers returns the programs that are still remembered.
func (r record) covers(now time.Time) []ledger.ProgramTotal {
	covers := make([]ledger.ProgramTotal, 0, len(r.Programs))
	for name, e := range r.Programs {
		if e[1] > now.Unix() {
			covers = append(covers, ledger.ProgramTotal{Program: name, Total: int(e[0]), Expires: e[1] * 1000, Estimated: e[2] != 0})
		}
	}
	return covers
}

// set replaces the programs.
func (r *record) set(covers []ledger.ProgramTotal) {
	r.Programs = make(map[string]entry, len(covers))
	for _, c := range covers {
		r.Programs[c.Program] = entryOf(c)
	}
}

// entryOf rounds the time up, so that nothing is forgotten too early.
func entryOf(c ledger.ProgramTotal) entry {
	e := entry{int64(c.Total), (c.Expires + 999) / 1000}
	if c.Estimated {
		e[2] = 1
	}
	return e
}

// lacks returns what a bridge holds that is newer than the record. Programs that are
// idle and have not been active since stay out.
func (r record) lacks(b journal.Replica, idle record) []ledger.ProgramTotal {
	if b.Fence.Number < r.Basis {
		// Whoever wrote the record since has read the bridge.
		return nil
	}
	var newer []ledger.ProgramTotal
	for _, c := range b.Totals {
		_, active := r.Programs[c.Program]
		if active && b.Fence.Number == r.Basis && c.Sequence < r.Sequence {
			continue
		}
		if known, ok := idle.Programs[c.Program]; !active && ok && int64(c.Total) <= known[0] {
			continue
		}
		newer = append(newer, c)
	}
	return newer
}

// Bridged reports whether a record names a journal, so that a bridge may stand there.
func Bridged(records []objectapi.Object, keeper string, id int64) (bool, error) {
	for _, object := range records {
		r, _, err := decodeRecord(object, nil)
		if err != nil {
			return false, err
		}
		if r.Journals[keeper] == id {
			return true, nil
		}
	}
	return false, nil
}

// decodeRecord reads the object of a shard, the zero record if there is none.
func decodeRecord(object objectapi.Object, err error) (record, int64, error) {
	if errors.Is(err, objectapi.ErrNotFound) {
		return record{}, objectapi.NoVersion, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var r record
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return record{}, 0, errors.Wrap(err, "record of budgets")
	}
	return r, object.Version, nil
}
