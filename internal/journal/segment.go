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

// ErrHistoryMismatch is returned when a stored history is incomplete or does not match its
// digest chain.
var ErrHistoryMismatch = errors.New("history does not match its digest")

// Segment is the content of a segment object: turns of several programs.
type Segment struct {
	Programs map[string][]Turn `msgpack:"p"`
}

// maxSegmentBytes limits the estimated size of a segment. It is below the platform's
// limit on the size of an object.
const maxSegmentBytes = 900 << 10

// spill moves the tails of the programs into a segment when their total size
// reaches Config.TailBytes.
//
// The segment is written before the shard object that references it, under a key
// that no other write uses. Until the shard object is written it still holds the
// turns, so a crash between the two writes loses nothing and leaves an
// unreferenced segment.
func (s *Shard) spill(ctx context.Context) error {
	key, segment := s.collectTails()
	if segment == nil {
		return nil
	}
	value, err := msgpack.Marshal(segment)
	if err != nil {
		return errors.Wrap(err, "encode segment")
	}
	if err := s.createSegment(ctx, key, value); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Segments = append(s.state.Segments, key)
	for program, turns := range segment.Programs {
		s.state.moveTailToBlock(program, key, turns)
	}
	return nil
}

// collectTails returns a new segment with the tails of the programs, up to
// maxSegmentBytes, and its key. It returns a nil segment while the tails are smaller
// than Config.TailBytes.
func (s *Shard) collectTails() (string, *Segment) {
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
			if size > maxSegmentBytes {
				return s.nextSegment(), segment
			}
			segment.Programs[id] = append(segment.Programs[id], turn)
		}
	}
	return s.nextSegment(), segment
}

// nextSegment returns the key of a new segment. The key is unique, because it
// contains the epoch and an epoch has one holder. The caller holds mu.
func (s *Shard) nextSegment() string {
	s.state.NextSegment++
	return segmentKey(s.state.Shard, s.state.Epoch, s.state.NextSegment)
}

func segmentKey(id structs.ShardID, epoch, number int64) string {
	return fmt.Sprintf("%s%s/%d-%d", structs.SegmentPrefix, id, epoch, number)
}

// turnsSize estimates the encoded size of turns in bytes.
func turnsSize(turns []Turn) int {
	const turnOverheadBytes = 160
	size := 0
	for _, turn := range turns {
		size += turnOverheadBytes + len(turn.Answer) + len(turn.EventLengths)
		for _, m := range turn.Messages {
			size += len(m.Role) + len(m.Content) + 8
		}
	}
	return size
}

// moveTailToBlock replaces the oldest turns in the tail of a program by a block that
// references the segment key.
func (s *State) moveTailToBlock(program, key string, turns []Turn) {
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

// createSegment writes a segment object. The key is unique to an epoch and number, so
// a conflict means that an earlier attempt with the same content took effect.
func (s *Shard) createSegment(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.WriteTimeout)
	defer cancel()
	_, err := s.store.Put(ctx, key, value, objectapi.NoVersion)
	s.writer.outage.record(err)
	if err != nil {
		return errors.Wrap(err, "write segment")
	}
	return nil
}

// History returns all turns of a program, verified against the digest chain. It
// returns ErrHistoryMismatch or a platform error.
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

// readBlock reads the turns of one block of a program from its segment.
func (s *Shard) readBlock(ctx context.Context, program string, block Block) ([]Turn, error) {
	object, err := s.store.Get(ctx, block.Segment)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil, errors.Wrapf(ErrHistoryMismatch, "segment %s is missing", block.Segment)
	}
	if err != nil {
		return nil, err
	}
	var segment Segment
	if err := msgpack.Unmarshal(object.Value, &segment); err != nil {
		return nil, errors.Wrapf(ErrHistoryMismatch, "segment %s cannot be decoded", block.Segment)
	}
	turns := segment.Programs[program]
	if len(turns) == 0 || turns[0].Number != block.First || turns[len(turns)-1].Number != block.Last {
		return nil, errors.Wrapf(ErrHistoryMismatch, "segment %s holds other turns", block.Segment)
	}
	return turns, nil
}

// Verify returns ErrHistoryMismatch unless turns are a complete history from turn 1 whose
// digest chain ends in digest.
func Verify(program string, turns []Turn, digest []byte) error {
	var chain []byte
	for i, turn := range turns {
		if turn.Number != i+1 {
			return errors.Wrapf(ErrHistoryMismatch, "turn %d is missing", i+1)
		}
		chain = NextDigest(chain, program, turn.Number, turn.Messages, turn.Answer)
		if !bytes.Equal(chain, turn.Digest) {
			return errors.Wrapf(ErrHistoryMismatch, "turn %d does not match its digest", turn.Number)
		}
	}
	if !bytes.Equal(chain, digest) {
		return errors.Wrap(ErrHistoryMismatch, "last turn does not match the digest of the program")
	}
	return nil
}
