package journal

import (
	"bytes"
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/vmihailenco/msgpack/v5"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// ErrGap means that a stored history is incomplete or does not match the chain
// of digests.
var ErrGap = errors.New("history does not match its digest")

// Segment is the content of a segment object: turns of several programs.
type Segment struct {
	Programs map[string][]Turn `msgpack:"p"`
}

// maxSegment bounds the estimated size of a segment in bytes, below the
// platform's limit.
const maxSegment = 900 << 10

// spill moves the recent history into a segment when it has grown large.
//
// The segment is written before the shard object that names it, under a key
// that no other write uses. Until then the shard object still holds the turns,
// so a crash between the two writes loses nothing and leaves an unused segment.
func (s *Shard) spill(ctx context.Context) error {
	key, segment := s.tails()
	if segment == nil {
		return nil
	}
	value, err := msgpack.Marshal(segment)
	if err != nil {
		return errors.Wrap(err, "encode segment")
	}
	if err := s.create(ctx, key, value); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Segments = append(s.state.Segments, key)
	for program, turns := range segment.Programs {
		s.state.move(program, key, turns)
	}
	return nil
}

// tails collects the recent history when it is large enough to be moved.
func (s *Shard) tails() (string, *Segment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, p := range s.state.Programs {
		total += turnsSize(p.Tail)
	}
	if total < s.cfg.TailBytes {
		return "", nil
	}
	segment := &Segment{Programs: map[string][]Turn{}}
	size := 0
	for id, p := range s.state.Programs {
		for _, turn := range p.Tail {
			size += turnsSize([]Turn{turn})
			if size > maxSegment {
				return s.nextSegment(), segment
			}
			segment.Programs[id] = append(segment.Programs[id], turn)
		}
	}
	return s.nextSegment(), segment
}

// nextSegment returns the key of a new segment. No other write ever uses it,
// because an epoch has one holder. The caller holds mu.
func (s *Shard) nextSegment() string {
	s.state.NextSegment++
	return segmentKey(s.state.Shard, s.state.Epoch, s.state.NextSegment)
}

func segmentKey(id structs.ShardID, epoch, number int64) string {
	return fmt.Sprintf("%s%s/%d-%d", structs.SegmentPrefix, id, epoch, number)
}

// turnsSize estimates the encoded size of turns in bytes.
func turnsSize(turns []Turn) int {
	const fixed = 160
	size := 0
	for _, turn := range turns {
		size += fixed + len(turn.Answer) + len(turn.Pieces)
		for _, m := range turn.Messages {
			size += len(m.Role) + len(m.Content) + 8
		}
	}
	return size
}

// move replaces the turns at the head of a program's tail by a block.
func (s *State) move(program, key string, turns []Turn) {
	p := s.Edit(program)
	if p == nil || len(p.Tail) < len(turns) {
		return
	}
	p.Blocks = append(p.Blocks, newBlock(key, turns))
	p.Tail = append([]Turn(nil), p.Tail[len(turns):]...)
}

func newBlock(key string, turns []Turn) Block {
	return Block{
		Segment: key,
		First:   turns[0].Number,
		Last:    turns[len(turns)-1].Number,
		Bytes:   turnsSize(turns),
	}
}

// create writes a segment object. Its key belongs to this epoch and number, so
// a conflict means that an earlier try of the same content took effect.
func (s *Shard) create(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WriteTimeout)
	defer cancel()
	_, err := s.store.Put(ctx, key, value, objectapi.NoVersion)
	s.writer.silence.note(err)
	if err != nil {
		return errors.Wrap(err, "write segment")
	}
	return nil
}

// History returns all turns of a program, verified by the chain of digests.
// Errors: ErrGap, or a platform error.
func (s *Shard) History(ctx context.Context, program string) ([]Turn, error) {
	var blocks []Block
	var tail []Turn
	var digest []byte
	s.View(func(state *State) {
		p, ok := state.Programs[program]
		if !ok {
			return
		}
		blocks = append(blocks, p.Blocks...)
		tail = append(tail, p.Tail...)
		digest = p.Digest
	})
	var turns []Turn
	for _, block := range blocks {
		part, err := s.readBlock(ctx, program, block)
		if err != nil {
			return nil, err
		}
		turns = append(turns, part...)
	}
	turns = append(turns, tail...)
	return turns, Verify(program, turns, digest)
}

// readBlock returns the turns of one block.
func (s *Shard) readBlock(ctx context.Context, program string, block Block) ([]Turn, error) {
	object, err := s.store.Get(ctx, block.Segment)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, errors.Wrapf(ErrGap, "segment %s is missing", block.Segment)
	}
	if err != nil {
		return nil, err
	}
	var segment Segment
	if err := msgpack.Unmarshal(object.Value, &segment); err != nil {
		return nil, errors.Wrapf(ErrGap, "segment %s is unreadable", block.Segment)
	}
	turns := segment.Programs[program]
	if len(turns) == 0 || turns[0].Number != block.First || turns[len(turns)-1].Number != block.Last {
		return nil, errors.Wrapf(ErrGap, "segment %s holds other turns", block.Segment)
	}
	return turns, nil
}

// Verify checks that turns are a whole history that ends in digest.
func Verify(program string, turns []Turn, digest []byte) error {
	var chain []byte
	for i, turn := range turns {
		if turn.Number != i+1 {
			return errors.Wrapf(ErrGap, "turn %d is missing", i+1)
		}
		chain = NextDigest(chain, program, turn.Number, turn.Messages, turn.Answer)
		if !bytes.Equal(chain, turn.Digest) {
			return errors.Wrapf(ErrGap, "turn %d differs", turn.Number)
		}
	}
	if !bytes.Equal(chain, digest) {
		return errors.Wrap(ErrGap, "history ends elsewhere")
	}
	return nil
}
