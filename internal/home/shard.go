package home

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// shard is a held shard. Locks are acquired in the order program, shard, journal.
type shard struct {
	id      structs.ShardID
	journal *journal.Shard
	// ctx ends when the shard is lost or released.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed after the commit loop has ended
	// meters are guarded by the journal's lock: they are only used inside View and
	// Update.
	meters map[string]*treeMeters

	mu       sync.Mutex
	programs map[string]*program
	busy     int  // number of turns and calls in progress
	closed   bool // no new work is admitted
	// releasing is set while the release is being written.
	releasing bool
	// wantedSince is when another home first asked for the shard, lastAskedAt when it
	// last did.
	wantedSince time.Time
	lastAskedAt time.Time
	// collectedAt is when the journal last collected unused segments.
	collectedAt time.Time
	collecting  bool
	// holderCheckedAt is when the platform was last asked whether the shard is held
	// here.
	holderCheckedAt time.Time
	checkingHolder  bool
}

// program is the volatile part of a program's state.
type program struct {
	id string

	mu       sync.Mutex
	history  []journal.Turn
	loaded   bool
	run      *run
	orders   map[string]*order
	changed  chan struct{} // closed at each change of run
	lastUsed time.Time
	releases map[string]bool // engines with a release order in progress
}

// beginWork counts one unit of work as in progress, which prevents a handover until the
// returned function is called.
func (sh *shard) beginWork() (func(), error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.closed || sh.ctx.Err() != nil {
		return nil, notHome("shard %s is being handed over", sh.id)
	}
	sh.busy++
	return sh.endWork, nil
}

func (sh *shard) endWork() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.busy--
}

// program returns the program, or a refusal if the shard has no such program.
func (sh *shard) program(id string) (*program, error) {
	known := false
	sh.journal.View(func(s *journal.State) { _, known = s.Programs[id] })
	if !known {
		return nil, verdict.Refuse(verdict.UnknownProgram, "no program %s", id)
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p, ok := sh.programs[id]
	if !ok {
		p = newProgram(id)
		sh.programs[id] = p
	}
	return p, nil
}

// openPrograms returns the number of programs that have not ended.
func (sh *shard) openPrograms() int {
	n := 0
	sh.journal.View(func(s *journal.State) {
		for _, p := range s.Programs {
			if !p.Ended {
				n++
			}
		}
	})
	return n
}

func newProgram(id string) *program {
	return &program{
		id:       id,
		orders:   map[string]*order{},
		releases: map[string]bool{},
		changed:  make(chan struct{}),
		lastUsed: time.Now(),
	}
}

// touch records activity of the program and of its ancestors.
func (sh *shard) touch(id string) {
	now := time.Now()
	for range maxDepth {
		p, err := sh.program(id)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.lastUsed = now
		p.mu.Unlock()
		sh.journal.View(func(s *journal.State) { id = s.Programs[id].Parent })
		if id == "" {
			return
		}
	}
}

// maxDepth is the maximum nesting depth of sub-agents.
const maxDepth = 16

// notify wakes the waiting turns. The caller holds p.mu.
func (p *program) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
