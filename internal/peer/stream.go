package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"ibisline/internal/verdict"
)

// stream implements Stream over one yamux stream.
type stream struct {
	raw    *yamux.Stream
	limit  int
	daemon string
	ctx    context.Context

	// frames is set on the serving side, where a goroutine reads ahead by one
	// frame so that the caller's close is noticed while the handler works.
	frames chan readResult

	closeOnce sync.Once
	onClose   func()
}

// readResult is what reading one frame gave.
type readResult struct {
	frame frame
	err   error
}

var _ Stream = (*stream)(nil)

// Send implements Stream.
func (s *stream) Send(message any) error {
	encoded, err := encodeFrame(frameData, message, s.limit)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "message not sent")
	}
	if _, err := s.raw.Write(encoded); err != nil {
		return s.lost(err)
	}
	return nil
}

// Recv implements Stream.
func (s *stream) Recv(message any) error {
	f, err := s.next()
	if err != nil {
		return s.lost(err)
	}
	switch f.kind {
	case frameData:
		return s.decode(f, message)
	case frameEnd:
		return io.EOF
	case frameError:
		return s.remoteError(f)
	default:
		return s.broken(errors.Errorf("unexpected frame of kind %d", f.kind))
	}
}

// decode reads a data frame; a malformed one ends the stream.
func (s *stream) decode(f frame, message any) error {
	if err := f.decode(message); err != nil {
		return s.broken(err)
	}
	return nil
}

// broken ends the stream after a frame that cannot be understood.
func (s *stream) broken(cause error) error {
	_ = s.Close()
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.PeerLost, "bad frame from "+s.daemon)
}

// remoteError returns the error that the handler sent.
func (s *stream) remoteError(f frame) error {
	if s.ctx.Err() != nil {
		// The handler reports the cancellation that started here.
		return s.lost(s.ctx.Err())
	}
	remote := new(verdict.Error)
	if err := s.decode(f, remote); err != nil {
		return err
	}
	return remote
}

// next reads one frame, from the read-ahead goroutine if there is one.
func (s *stream) next() (frame, error) {
	if s.frames == nil {
		return readFrame(s.raw, s.limit)
	}
	select {
	case result, ok := <-s.frames:
		if !ok {
			return frame{}, io.ErrUnexpectedEOF
		}
		return result.frame, result.err
	case <-s.ctx.Done():
		return frame{}, s.ctx.Err()
	}
}

// lost classifies a failure of the stream itself. The end of a stream without
// frameEnd is a failure too: the other side went away in the middle.
func (s *stream) lost(cause error) error {
	if err := s.ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "stream to "+s.daemon+" canceled")
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.PeerLost, "stream to "+s.daemon+" broke")
}

// CloseSend implements Stream.
func (s *stream) CloseSend() error {
	return s.control(frameEnd, nil)
}

// control writes a frame other than a message.
func (s *stream) control(kind frameKind, message any) error {
	encoded, err := encodeFrame(kind, message, s.limit)
	if err != nil {
		return err
	}
	if _, err := s.raw.Write(encoded); err != nil {
		return s.lost(err)
	}
	return nil
}

// Close implements Stream.
func (s *stream) Close() error {
	var err error
	s.closeOnce.Do(func() {
		err = s.raw.Close()
		// A closed yamux stream still waits for the other side's bytes; the past
		// deadline ends a Recv or Send under way here.
		_ = s.raw.SetDeadline(time.Unix(1, 0))
		if s.onClose != nil {
			s.onClose()
		}
	})
	return err
}

// readAhead reads frames until the caller closes the stream or it breaks, and
// then calls gone.
func (s *stream) readAhead(gone context.CancelFunc) {
	defer close(s.frames)
	defer gone()
	for {
		f, err := readFrame(s.raw, s.limit)
		if err != nil {
			return
		}
		select {
		case s.frames <- readResult{frame: f}:
		case <-s.ctx.Done():
			return
		}
	}
}
