package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

// runState is what is known about the earlier run of a stream that broke off. It is not the verdict
// of the attempt to resume it: an attempt that did not run says nothing about the earlier run.
type runState uint8

const (
	// runMayContinue means that the server may still be working on the run.
	runMayContinue runState = iota
	// runUnreachable means that no connection to the server could be established in time.
	runUnreachable
	// runEnded means that the run is proven to have ended with its server.
	runEnded
)

const (
	// resumePause is the pause before a server that did not take the resume is asked again. It
	// doubles after each attempt, up to maxResumePause.
	resumePause    = 25 * time.Millisecond
	maxResumePause = 200 * time.Millisecond
	// endPollInterval is the interval at which a server that may get no requests any more is checked
	// for its end.
	endPollInterval = 200 * time.Millisecond
	// maxUnreachable is the number of attempts in a row without a connection after which a server
	// counts as cut off. One attempt may fail because its queue of new connections is full.
	maxUnreachable = 2
)

// resume requests the rest of the response from the same server, and from another one only if the run
// has ended with that server or the server is cut off.
func (s *stream) resume(ctx context.Context, server structs.Server) (sendResult, error) {
	if server.Name == "" {
		return sendResult{}, errNoRun
	}
	pause, unreachable := resumePause, 0
	for {
		sent, state, err := s.resumeAt(ctx, server)
		if err != nil || sent.response != nil {
			return sent, err
		}
		if state == runUnreachable {
			unreachable++
		} else {
			unreachable = 0
		}
		if state == runEnded || unreachable == maxUnreachable {
			break
		}
		if !timers.Sleep(ctx, pause) {
			return sent, ctx.Err()
		}
		pause = min(2*pause, maxResumePause)
	}
	// The server no longer counts against the number of servers that the route allows.
	s.job.markNotRun(server.Name)
	return s.resumeElsewhere(ctx)
}

// resumeAt asks a server once for the rest of the response. Without a response and an error, the
// state tells whether the run may go on elsewhere.
func (s *stream) resumeAt(ctx context.Context, server structs.Server) (sendResult, runState, error) {
	g, sent := s.gateway, sendResult{server: server, at: time.Now()}
	if err := g.checkRefused(s.job); err != nil {
		return sent, runMayContinue, verdict.Wrap(err, verdict.MayHaveRun, verdict.Quarantined, "the stream is not resumed")
	}
	listed, found := g.Servers.Find(server.Name)
	if found && listed.StartedMS > server.StartedMS {
		return sent, runEnded, nil
	}
	if !found || !g.tracker.mayGetWork(listed, time.Now()) {
		return sent, s.awaitEnd(ctx, server), ctx.Err()
	}
	g.tracker.begin(server.Name)
	g.Limits.Charge(server)
	response, err := g.sendTo(ctx, s.job, server, s.lastEventID)
	if err == nil && !g.Dialect.NotRun(response.Status, response.Header) {
		sent.response = response
		return sent, runMayContinue, nil
	}
	g.tracker.done(server.Name)
	if err != nil {
		if !verdict.Is(err, verdict.NotRun) {
			g.checkForCrash(ctx, s.job, sent, err)
			return sent, runMayContinue, err
		}
		if errors.Is(err, upstream.ErrEnded) {
			return sent, runMayContinue, err
		}
		return sent, stateAfter(err), ctx.Err()
	}
	response.Discard(maxDiscardedBytes)
	if response.Status == http.StatusMisdirectedRequest {
		// Another server has its address.
		return sent, runEnded, nil
	}
	return sent, runMayContinue, nil
}

// awaitEnd waits until nothing listens at the address of a server that may get no requests any more,
// or ctx ends. It opens connections only to check this, and sends nothing.
func (s *stream) awaitEnd(ctx context.Context, server structs.Server) runState {
	g := s.gateway
	unreachable := 0
	for {
		if listed, found := g.Servers.Find(server.Name); found && listed.StartedMS > server.StartedMS {
			return runEnded
		}
		err := g.Client.Check(ctx, server)
		switch stateAfter(err) {
		case runEnded:
			return runEnded
		case runUnreachable:
			unreachable++
		default:
			unreachable = 0
		}
		if unreachable == maxUnreachable {
			return runEnded
		}
		if !timers.Sleep(ctx, endPollInterval) {
			return runMayContinue
		}
	}
}

// stateAfter returns what the failure to send a request to a server says about its earlier runs. Only
// a refused connection proves that the server has ended: it may reset connections while it works.
func stateAfter(err error) runState {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return runEnded
	case errors.Is(err, upstream.ErrConnect) && errors.As(err, &timeout) && timeout.Timeout():
		return runUnreachable
	default:
		return runMayContinue
	}
}

// resumeElsewhere resumes the response at another server.
func (s *stream) resumeElsewhere(ctx context.Context) (sendResult, error) {
	s.job.ResumeAfter = s.lastEventID
	return s.gateway.send(ctx, s.job)
}
