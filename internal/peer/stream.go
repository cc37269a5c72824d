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
	raw           *yamux.Stream
	maxFrameBytes int
	daemon        string
	ctx           context.Context

	// frames is set on the serving side. There a goroutine reads one frame ahead,
	// so that a close by the caller is detected while the handler is busy.
	frames chan readResult

	closeOnce sync.Once
	onClose   func()
}

// readResult is the result of reading one frame.
type readResult struct {
	frame frame
	err   error
}

var _ Stream = (*stream)(nil)

func (s *stream) Send(message any) error {
	encoded, err := encodeFrame(frameData, message, s.maxFrameBytes)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "message not sent")
	}
	if _, err := s.raw.Write(encoded); err != nil {
		return s.transportError(err)
	}
	return nil
}

func (s *stream) Recv(message any) error {
	f, err := s.next()
	if err != nil {
		return s.transportError(err)
	}
	switch f.kind {
	case frameData:
		return s.decode(f, message)
	case frameEnd:
		return io.EOF
	case frameError:
		return s.remoteError(f)
	default:
		return s.protocolError(errors.Errorf("frame has unexpected kind %d", f.kind))
	}
}

// decode decodes the payload of a frame. A malformed payload ends the stream.
func (s *stream) decode(f frame, message any) error {
	if err := f.decode(message); err != nil {
		return s.protocolError(err)
	}
	return nil
}

// protocolError closes the stream after an invalid frame and returns the error for
// the caller.
func (s *stream) protocolError(cause error) error {
	_ = s.Close()
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.PeerLost, "bad frame from "+s.daemon)
}

// remoteError returns the error that the handler sent.
func (s *stream) remoteError(f frame) error {
	if s.ctx.Err() != nil {
		// The remote error reports the cancellation that this side started.
		return s.transportError(s.ctx.Err())
	}
	remote := new(verdict.Error)
	if err := s.decode(f, remote); err != nil {
		return err
	}
	return remote
}

// next returns the next frame, from the read-ahead goroutine if there is one.
func (s *stream) next() (frame, error) {
	if s.frames == nil {
		return readFrame(s.raw, s.maxFrameBytes)
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

// transportError returns the error for a failure of the stream itself: Canceled
// when the context has ended, PeerLost otherwise. A stream that ends without
// frameEnd or frameError has failed too, because the remote side is gone.
func (s *stream) transportError(cause error) error {
	if err := s.ctx.Err(); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "stream to "+s.daemon+" canceled")
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.PeerLost, "stream to "+s.daemon+" broke")
}

func (s *stream) CloseSend() error {
	return s.sendControl(frameEnd, nil)
}

// sendControl writes a frame that is not a data frame.
func (s *stream) sendControl(kind frameKind, message any) error {
	encoded, err := encodeFrame(kind, message, s.maxFrameBytes)
	if err != nil {
		return err
	}
	if _, err := s.raw.Write(encoded); err != nil {
		return s.transportError(err)
	}
	return nil
}

func (s *stream) Close() error {
	var err error
	s.closeOnce.Do(func() {
		err = s.raw.Close()
		// A closed yamux stream still waits for data of the remote side. A deadline
		// in the past unblocks a concurrent Recv or Send.
		_ = s.raw.SetDeadline(time.Unix(1, 0))
		if s.onClose != nil {
			s.onClose()
		}
	})
	return err
}

// readAhead reads frames until the caller closes the stream or the stream breaks,
// and then calls cancel.
func (s *stream) readAhead(cancel context.CancelFunc) {
	defer close(s.frames)
	defer cancel()
	for {
		f, err := readFrame(s.raw, s.maxFrameBytes)
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
