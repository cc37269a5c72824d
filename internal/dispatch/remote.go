package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/peer"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// runRemote runs a request through the dispatcher on another daemon. If the
// stream is lost after the request was sent, the outcome is unknown.
func (d *Dispatcher) runRemote(
	ctx context.Context, daemon string, request generateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	stream, err := d.deps.Dialer.Open(ctx, daemon, methodGenerate)
	if err != nil {
		return structs.GenerateResult{}, verdict.From(err)
	}
	defer stream.Close()
	if err := stream.Send(request); err != nil {
		return structs.GenerateResult{}, remoteError(ctx, err)
	}
	for {
		var frame generateFrame
		if err := stream.Recv(&frame); err != nil {
			return structs.GenerateResult{}, remoteError(ctx, err)
		}
		if frame.Status != nil {
			d.statusCache.put(*frame.Status, time.Now())
		}
		if frame.Text != "" {
			if err := emit(frame.Text); err != nil {
				return structs.GenerateResult{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled,
					"reader of the answer is gone")
			}
		}
		if frame.Result != nil {
			return *frame.Result, nil
		}
	}
}

// remoteError classifies the error of a remote stream. A stream that ends without
// a result is an error, never a short answer.
func remoteError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.Canceled, "request canceled")
	}
	if errors.Is(err, io.EOF) {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "dispatcher ended the answer early")
	}
	return verdict.From(err)
}

// handleGenerate serves methodGenerate.
func (d *Dispatcher) handleGenerate(ctx context.Context, s peer.Stream) error {
	var request generateRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	if d.draining.Load() {
		return verdict.Refuse(verdict.Stopping, "dispatcher is stopping")
	}
	server, ok := d.findServer(request.Engine)
	if !ok {
		return verdict.Refuse(verdict.NoServer, "engine %s is not known here", request.Engine)
	}
	request.Request.Deadline = request.TimeLeft.deadline()
	e := d.engineOf(server)
	emit := func(text string) error { return s.Send(generateFrame{Text: text}) }
	generated, err := e.run(ctx, request.Request, emit)
	status := e.status()
	if err != nil {
		_ = s.Send(generateFrame{Status: &status})
		return err
	}
	return s.Send(generateFrame{Result: &generated, Status: &status})
}

// handleStatus serves methodStatus.
func (d *Dispatcher) handleStatus(_ context.Context, s peer.Stream) error {
	var request statusRequest
	if err := s.Recv(&request); err != nil {
		return err
	}
	return s.Send(statusReply{Engines: d.statuses()})
}
