package tokenbudget

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/objectapi"
	"ibisline/internal/tokenbudget/journal"
	"ibisline/internal/tokenbudget/ledger"
)

// CheckpointPrefix is the prefix of the checkpoint objects at the platform.
const CheckpointPrefix = "budgets/"

// checkpointKey and idleCheckpointKey return the object keys of a shard's two checkpoints:
// the active one, and the idle one, which is written less often.
func checkpointKey(shard int) string     { return CheckpointPrefix + strconv.Itoa(shard) }
func idleCheckpointKey(shard int) string { return checkpointKey(shard) + "-idle" }

// checkpoint is the stored state of a shard.
type checkpoint struct {
	// Epoch and Home identify the home that decides.
	Epoch int64  `json:"epoch"`
	Home  string `json:"home"`
	// ContentEpoch is the epoch of the home that wrote the content, and Sequence orders it
	// among that home's writes to journals. It may differ from Epoch, because a home claims
	// the checkpoint before it knows what newer totals the journals hold.
	ContentEpoch int64 `json:"basis"`
	Sequence     int64 `json:"sequence"`
	// Decisions is the number of reservations of other daemons that the home has decided
	// about. It shows the others that a home which answers slowly is at work.
	Decisions int64 `json:"decisions,omitempty"`
	// Journals are those that may hold a replica: journal identities by instance name.
	Journals map[string]int64        `json:"journals,omitempty"`
	Programs map[string]programEntry `json:"programs,omitempty"`
	// Open holds the turns in progress of each program, their tokens by the identifier of the turn. The total
	// of the program contains them.
	Open map[string]map[string]int `json:"open,omitempty"`
}

// programEntry holds a program's total in tokens, its expiry in Unix seconds, and 1 if one of its
// turns may be missing from the total.
type programEntry [3]int64

// totals returns the programs that have not expired.
func (c checkpoint) totals(now time.Time) []ledger.ProgramTotal {
	totals := make([]ledger.ProgramTotal, 0, len(c.Programs))
	for name, e := range c.Programs {
		if e[1] > now.Unix() {
			totals = append(totals, ledger.ProgramTotal{
				Program: name, Total: int(e[0]), Expires: e[1] * 1000, MissesTurn: e[2] != 0, Open: c.openTurns(name),
			})
		}
	}
	return totals
}

// openTurns returns the turns in progress of a program.
func (c checkpoint) openTurns(program string) []ledger.OpenTurn {
	var open []ledger.OpenTurn
	for id, tokens := range c.Open[program] {
		open = append(open, ledger.OpenTurn{ID: id, Tokens: tokens})
	}
	return open
}

// setTotals replaces the programs.
func (c *checkpoint) setTotals(totals []ledger.ProgramTotal) {
	c.Programs, c.Open = make(map[string]programEntry, len(totals)), map[string]map[string]int{}
	for _, total := range totals {
		c.Programs[total.Program] = encodeEntry(total)
		if len(total.Open) == 0 {
			continue
		}
		open := make(map[string]int, len(total.Open))
		for _, turn := range total.Open {
			open[turn.ID] = turn.Tokens
		}
		c.Open[total.Program] = open
	}
}

// encodeEntry rounds the expiry up, so that no program is forgotten too early.
func encodeEntry(total ledger.ProgramTotal) programEntry {
	e := programEntry{int64(total.Total), (total.Expires + 999) / 1000}
	if total.MissesTurn {
		e[2] = 1
	}
	return e
}

// newerTotals returns the totals of a replica that are newer than the checkpoint. Idle
// programs without later activity are left out.
func (c checkpoint) newerTotals(replica journal.Replica, idle checkpoint) []ledger.ProgramTotal {
	if replica.Fence.Number < c.ContentEpoch {
		// The home that wrote the checkpoint had read this replica.
		return nil
	}
	var newer []ledger.ProgramTotal
	for _, total := range replica.Totals {
		_, active := c.Programs[total.Program]
		if active && replica.Fence.Number == c.ContentEpoch && total.Sequence < c.Sequence {
			continue
		}
		if known, ok := idle.Programs[total.Program]; !active && ok && int64(total.Total) <= known[0] {
			continue
		}
		newer = append(newer, total)
	}
	return newer
}

// ListsJournal reports whether a checkpoint lists a journal, which may then hold a replica.
func ListsJournal(checkpoints []objectapi.Object, keeper string, id int64) (bool, error) {
	for _, object := range checkpoints {
		c, _, err := decodeCheckpoint(object, nil)
		if err != nil {
			return false, err
		}
		if c.Journals[keeper] == id {
			return true, nil
		}
	}
	return false, nil
}

// decodeCheckpoint decodes a checkpoint and its version. A missing object gives the zero
// checkpoint.
func decodeCheckpoint(object objectapi.Object, err error) (checkpoint, int64, error) {
	if errors.Is(err, objectapi.ErrNotFound) {
		return checkpoint{}, objectapi.NoVersion, nil
	}
	if err != nil {
		return checkpoint{}, 0, err
	}
	var c checkpoint
	if err := json.Unmarshal(object.Value, &c); err != nil {
		return checkpoint{}, 0, errors.Wrap(err, "decode checkpoint of budgets")
	}
	return c, object.Version, nil
}
