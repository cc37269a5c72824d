package home

import (
	"slices"
	"strings"

	"github.com/apex/log"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
)

// ShardDump describes one held shard. Busy counts the turns and calls in progress.
type ShardDump struct {
	Shard    string                 `json:"shard"`
	Epoch    int64                  `json:"epoch"`
	Busy     int                    `json:"busy"`
	Closed   bool                   `json:"closed"`
	Down     bool                   `json:"platform_down"`
	Programs []structs.ProgramState `json:"programs"`
}

// Dump returns the held shards, sorted by identifier, as []ShardDump.
func (h *Home) Dump() any {
	shards := []ShardDump{}
	for _, sh := range h.heldShards() {
		shards = append(shards, h.dumpShard(sh))
	}
	slices.SortFunc(shards, func(a, b ShardDump) int { return strings.Compare(a.Shard, b.Shard) })
	return shards
}

func (h *Home) dumpShard(sh *shard) ShardDump {
	d := ShardDump{Shard: string(sh.id), Down: sh.journal.PlatformDown()}
	sh.mu.Lock()
	d.Busy, d.Closed = sh.busy, sh.closed
	sh.mu.Unlock()
	sh.journal.View(func(s *journal.State) {
		d.Epoch = s.Epoch
		for id := range s.Programs {
			d.Programs = append(d.Programs, h.programState(s, id))
		}
	})
	slices.SortFunc(d.Programs, func(a, b structs.ProgramState) int { return strings.Compare(a.Program, b.Program) })
	return d
}

// turnLog returns a logger with the fields of a turn.
func (h *Home) turnLog(p *program, j job) log.Interface {
	return h.log.WithFields(log.Fields{
		"program":    p.id,
		"turn":       j.request.Turn,
		"request_id": j.request.RequestID,
		"owner":      j.entry.Owner,
	})
}
