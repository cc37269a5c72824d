package journal

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/objectapi"
)

// maxBlock bounds the estimated size in bytes of the segments that compaction
// writes for one program.
const maxBlock = 512 << 10

// Collect deletes the segments that nothing refers to any more, and joins the
// blocks of programs that have many.
func (s *Shard) Collect(ctx context.Context) error {
	if err := s.removeOrphans(ctx); err != nil {
		return err
	}
	if err := s.compact(ctx); err != nil {
		return err
	}
	for _, key := range s.garbage() {
		if err := s.remove(ctx, key); err != nil {
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

// removeOrphans deletes segments that the former holder wrote and that no state
// refers to. A stored state that refers to a segment also counts it, so the
// numbers beyond the stored count are free of references, now and later.
func (s *Shard) removeOrphans(ctx context.Context) error {
	for ; s.former.epoch > 0; s.former.count++ {
		key := segmentKey(s.state.Shard, s.former.epoch, s.former.count+1)
		_, err := s.store.Get(ctx, key)
		if errors.Is(err, objectapi.ErrNotFound) {
			s.former.epoch = 0
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		if err := s.remove(ctx, key); err != nil {
			return err
		}
	}
	return nil
}

// garbage lists the segments without a reference. It returns none while changes
// are not durable: the stored state may still refer to them. References are
// only made to new segments, so a segment on the list stays without one.
func (s *Shard) garbage() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.committed < s.seq || s.lost != nil {
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

// remove deletes a segment object, whatever its version.
func (s *Shard) remove(ctx context.Context, key string) error {
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

// compact joins the blocks of programs that have more than MaxBlocks.
func (s *Shard) compact(ctx context.Context) error {
	for program, blocks := range s.scattered() {
		var turns []Turn
		for _, block := range blocks {
			part, err := s.readBlock(ctx, program, block)
			if err != nil {
				return err
			}
			turns = append(turns, part...)
		}
		if err := s.join(ctx, program, blocks, turns); err != nil {
			return err
		}
	}
	return nil
}

// scattered returns, for each program with too many blocks, the first run of
// neighbouring blocks that fit into one.
func (s *Shard) scattered() map[string][]Block {
	found := map[string][]Block{}
	s.View(func(state *State) {
		for id, p := range state.Programs {
			if len(p.Blocks) <= s.cfg.MaxBlocks {
				continue
			}
			if run := joinable(p.Blocks); len(run) > 1 {
				found[id] = run
			}
		}
	})
	return found
}

// joinable returns the longest run of neighbouring blocks that fit into one.
func joinable(blocks []Block) []Block {
	var best []Block
	start, size := 0, 0
	for end, block := range blocks {
		size += block.Bytes
		for size > maxBlock && start <= end {
			size -= blocks[start].Bytes
			start++
		}
		if end+1-start > len(best) {
			best = slices.Clone(blocks[start : end+1])
		}
	}
	return best
}

// join writes the turns as one segment and replaces the blocks. The new segment
// is written before the state that refers to it, and the old ones are deleted
// only after that state is durable.
func (s *Shard) join(ctx context.Context, program string, blocks []Block, turns []Turn) error {
	s.mu.Lock()
	key := s.nextSegment()
	s.mu.Unlock()
	value, err := msgpack.Marshal(&Segment{Programs: map[string][]Turn{program: turns}})
	if err != nil {
		return errors.Wrap(err, "encode segment")
	}
	if err := s.create(ctx, key, value); err != nil {
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

// StoreBody writes the body of an outcome into a segment of its own and returns
// its key. The change that refers to the key also has to add it to Segments.
func (s *Shard) StoreBody(ctx context.Context, body []byte) (string, error) {
	s.mu.Lock()
	key := s.nextSegment()
	s.mu.Unlock()
	return key, s.create(ctx, key, body)
}

// Body reads a body written by StoreBody.
func (s *Shard) Body(ctx context.Context, key string) ([]byte, error) {
	object, err := s.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	return object.Value, nil
}
