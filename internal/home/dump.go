package home

import (
	"slices"
	"strings"

	"github.com/apex/log"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
)

// ShardDump shows one held shard.
type ShardDump struct {
	Shard    string                 `json:"shard"`
	Epoch    int64                  `json:"epoch"`
	Busy     int                    `json:"busy"`
	Closed   bool                   `json:"closed"`
	Down     bool                   `json:"platform_down"`
	Programs []structs.ProgramState `json:"programs"`
}

// Dump returns the held shards, sorted, as []ShardDump.
func (h *Home) Dump() any {
	shards := []ShardDump{}
	for _, sh := range h.held() {
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
			d.Programs = append(d.Programs, h.describe(s, id))
		}
	})
	slices.SortFunc(d.Programs, func(a, b structs.ProgramState) int { return strings.Compare(a.Program, b.Program) })
	return d
}

// turnLog returns the log with the fields of a turn.
func (h *Home) turnLog(p *program, j job) log.Interface {
	return h.log.WithFields(log.Fields{
		"program":    p.id,
		"turn":       j.request.Turn,
		"request_id": j.request.RequestID,
		"owner":      j.entry.Owner,
	})
}
