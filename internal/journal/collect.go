package journal

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/objectapi"
)

// maxBlockBytes limits the estimated size of a segment that compaction writes for
// one program.
const maxBlockBytes = 512 << 10

// CollectGarbage deletes unreferenced segments and compacts the history of programs
// with more than Config.MaxBlocks blocks.
func (s *Shard) CollectGarbage(ctx context.Context) error {
	if err := s.deleteOrphans(ctx); err != nil {
		return err
	}
	if err := s.compact(ctx); err != nil {
		return err
	}
	for _, key := range s.unreferencedSegments() {
		if err := s.deleteSegment(ctx, key); err != nil {
			return err
		}
		_, err := s.Update(func(state *State) error {
			state.Segments = slices.DeleteFunc(state.Segments, func(k string) bool { return k == key })
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// deleteOrphans deletes segments that the previous holder wrote but never
// referenced from a stored state. A stored state counts every segment that it
// references, so segments numbered above the stored count have no reference now
// and never get one.
func (s *Shard) deleteOrphans(ctx context.Context) error {
	for ; s.previous.epoch > 0; s.previous.count++ {
		key := segmentKey(s.state.Shard, s.previous.epoch, s.previous.count+1)
		_, err := s.store.Get(ctx, key)
		if errors.Is(err, objectapi.ErrNotFound) {
			s.previous.epoch = 0
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		if err := s.deleteSegment(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// unreferencedSegments returns the keys of the segments that nothing references. It
// returns none while there are uncommitted changes, because the stored state may
// still reference the segments. Only new segments get references, so a returned
// segment remains unreferenced.
func (s *Shard) unreferencedSegments() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.committedSeq < s.seq || s.lost != nil {
		return nil
	}
	used := map[string]bool{}
	for _, p := range s.state.Programs {
		for _, block := range p.Blocks {
			used[block.Segment] = true
		}
		for _, order := range p.Orders {
			used[order.Body] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(s.state.Segments), func(key string) bool { return used[key] })
}

// deleteSegment deletes a segment object at its current version. A missing object is
// not an error.
func (s *Shard) deleteSegment(ctx context.Context, key string) error {
	object, err := s.store.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	err = s.store.Delete(ctx, key, object.Version)
	if err == nil || errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return errors.Wrap(err, "delete segment")
}

// compact merges blocks of programs that have more than Config.MaxBlocks.
func (s *Shard) compact(ctx context.Context) error {
	for program, blocks := range s.compactionCandidates() {
		var turns []Turn
		for _, block := range blocks {
			part, err := s.readBlock(ctx, program, block)
			if err != nil {
				return err
			}
			turns = append(turns, part...)
		}
		if err := s.mergeBlocks(ctx, program, blocks, turns); err != nil {
			return err
		}
	}
	return nil
}

// compactionCandidates returns, by program, the longest run of adjacent blocks that
// fit into one, for each program with more than Config.MaxBlocks blocks.
func (s *Shard) compactionCandidates() map[string][]Block {
	found := map[string][]Block{}
	s.View(func(state *State) {
		for id, p := range state.Programs {
			if len(p.Blocks) <= s.cfg.MaxBlocks {
				continue
			}
			if run := longestMergeableRun(p.Blocks); len(run) > 1 {
				found[id] = run
			}
		}
	})
	return found
}

// longestMergeableRun returns the longest run of adjacent blocks whose total
// estimated size is at most maxBlockBytes.
func longestMergeableRun(blocks []Block) []Block {
	var best []Block
	start, size := 0, 0
	for end, block := range blocks {
		size += block.Bytes
		for size > maxBlockBytes && start <= end {
			size -= blocks[start].Bytes
			start++
		}
		if end+1-start > len(best) {
			best = slices.Clone(blocks[start : end+1])
		}
	}
	return best
}

// mergeBlocks writes the turns as one segment and replaces the blocks by a reference to
// it. The new segment is written before the state that references it, and the old
// segments are deleted only after that state is durable.
func (s *Shard) mergeBlocks(ctx context.Context, program string, blocks []Block, turns []Turn) error {
	s.mu.Lock()
	key := s.nextSegment()
	s.mu.Unlock()
	value, err := msgpack.Marshal(&Segment{Programs: map[string][]Turn{program: turns}})
	if err != nil {
		return errors.Wrap(err, "encode segment")
	}
	if err := s.createSegment(ctx, key, value); err != nil {
		return err
	}
	_, err = s.Update(func(state *State) error {
		state.Segments = append(state.Segments, key)
		p := state.Edit(program)
		if p == nil {
			return nil
		}
		at := slices.Index(p.Blocks, blocks[0])
		if at >= 0 {
			p.Blocks = slices.Replace(p.Blocks, at, at+len(blocks), newBlock(key, turns))
		}
		return nil
	})
	return err
}

// StoreBody writes the body of a call's outcome to a separate segment object and
// returns its key. The change that references the key must also add it to
// State.Segments.
func (s *Shard) StoreBody(ctx context.Context, body []byte) (string, error) {
	s.mu.Lock()
	key := s.nextSegment()
	s.mu.Unlock()
	return key, s.createSegment(ctx, key, body)
}

// ReadBody returns the body that StoreBody wrote under key.
func (s *Shard) ReadBody(ctx context.Context, key string) ([]byte, error) {
	object, err := s.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return object.Value, nil
}
