package home

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/journal"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// shard is a held shard. Locks are taken in the order program, shard, journal.
type shard struct {
	id      structs.ShardID
	journal *journal.Shard
	// ctx ends when the shard is lost or given up.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed after the journal's loop ended
	// meters are guarded by the journal: they are used inside View and Update.
	meters map[string]*meters

	mu       sync.Mutex
	programs map[string]*program
	busy     int  // turns and calls under way
	closed   bool // no new work is admitted
	// releasing is set while the release is written.
	releasing bool
	// wanted is when another home first asked for the shard, asked when it last
	// did.
	wanted time.Time
	asked  time.Time
	// collected is when the journal last looked for unused segments.
	collected  time.Time
	collecting bool
	// checked is when the platform was last asked whether the shard is held here.
	checked  time.Time
	checking bool
}

// program is the part of a program's state that need not last.
type program struct {
	id string

	mu       sync.Mutex
	history  []journal.Turn
	loaded   bool
	run      *run
	orders   map[string]*order
	changed  chan struct{} // closed at each change of run
	lastUsed time.Time
	releases map[string]bool // engines with a release order under way
}

// begin counts a piece of work under way, so that the shard is not handed over
// before the returned function is called.
func (sh *shard) begin() (func(), error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.closed || sh.ctx.Err() != nil {
		return nil, notHome("shard %s is being handed over", sh.id)
	}
	sh.busy++
	return sh.end, nil
}

func (sh *shard) end() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.busy--
}

// program returns the program, or a refusal when the shard has no such program.
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

// openPrograms counts the programs that have not ended.
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

// touch notes activity of the program and of those above it.
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

// maxDepth bounds the nesting of sub-agents.
const maxDepth = 16

// wake tells waiting turns to look again. The caller holds p.mu.
func (p *program) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
