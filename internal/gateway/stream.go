package gateway

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/allowance/ledger"
	"ibisline/internal/structs"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

const (
	// eventBufferBytes is what a stream holds at first, and maxEventBytes the
	// longest event.
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20
)

// isEventStream reports whether an answer is a stream of server-sent events.
func isEventStream(answer *upstream.Response) bool {
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// stream is the answer to a turn on its way to the caller. It may come from several
// runs, of which each goes on where the one before broke off.
type stream struct {
	gateway *Gateway
	job     *job
	writer  http.ResponseWriter
	control *http.ResponseController
	ctx     context.Context
	grant   ledger.Grant
	// confirmed is set once the grant is written down.
	confirmed bool
	// started is set once the head was passed on.
	started bool
	// last is the identifier of the last event passed on, or that the caller had,
	// events the number of those passed on.
	last   int
	events int
	// passed is the time at which the last event was passed on.
	passed time.Time
}

// serveStream gets a turn answered.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) {
	grant, err := g.reserve(ctx, j)
	j.account.reserved = time.Since(j.Arrived)
	if err != nil {
		g.fail(w, r, j, err)
		return
	}
	s := &stream{
		gateway: g, job: j, ctx: ctx, grant: grant, writer: w, control: http.NewResponseController(w), last: j.ResumeAfter,
	}
	defer func() {
		j.account.events = s.events
		grant.Release(s.events * j.service.TokensPerEvent)
	}()
	err = s.run(ctx)
	if err == nil {
		return
	}
	if !s.started {
		g.fail(w, r, j, j.overall(err))
		return
	}
	j.account.status, j.account.failure = 0, verdict.From(err)
	// The caller's connection ends, so that the answer does not look complete.
	panic(http.ErrAbortHandler)
}

// maxResumes bounds how often one answer goes on after a break.
const maxResumes = 4

// run passes the answer on, over several runs if it has to.
func (s *stream) run(ctx context.Context) error {
	sent, err := s.gateway.send(ctx, s.job)
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = s.pass(sent)
		}
		if err == nil || resumes == maxResumes || !s.mayResume(ctx, err) {
			return err
		}
		s.job.addSend(sent.server, "broke off after event "+strconv.Itoa(s.last))
		sent, err = s.resume(ctx, sent.server)
	}
}

// mayResume reports whether the answer may go on in another run.
func (s *stream) mayResume(ctx context.Context, err error) bool {
	return s.job.route.Resumable && ctx.Err() == nil && verdict.From(err).Verdict != verdict.NotRun &&
		!errors.Is(err, errCaller) && !errors.Is(err, errGrant)
}

// resume asks for the rest of the answer: the same server, and another one only if
// that one has ended or cannot be reached.
func (s *stream) resume(ctx context.Context, server structs.Server) (attempt, error) {
	g := s.gateway
	if server.Name == "" {
		return attempt{}, errNothingRan
	}
	g.tracker.begin(server.Name)
	answer, err := g.sendTo(ctx, s.job, server, s.last)
	switch {
	case err == nil && !g.Dialect.NotRun(answer.Status, answer.Header):
		return attempt{server: server, answer: answer}, nil
	case err == nil && answer.Status != http.StatusMisdirectedRequest:
		// It is there, but full; the run must not go on elsewhere.
		drain(answer)
		g.tracker.done(server.Name)
		if !sleep(ctx, resumePause) {
			return attempt{server: server}, ctx.Err()
		}
		return s.resume(ctx, server)
	case err == nil:
		drain(answer)
	}
	g.tracker.done(server.Name)
	if err != nil && !verdict.Is(err, verdict.NotRun) {
		return attempt{server: server}, err
	}
	// Nothing listens there any more: the run has ended with its server, which no
	// longer counts among those that the route allows.
	s.job.addUnrun(server.Name)
	return s.sendElsewhere(ctx)
}

// resumePause is the wait before a full server is asked again to go on.
const resumePause = 25 * time.Millisecond

// sendElsewhere lets another server go on.
func (s *stream) sendElsewhere(ctx context.Context) (attempt, error) {
	s.job.ResumeAfter = s.last
	return s.gateway.send(ctx, s.job)
}

// errCaller is returned when the caller cannot be written to.
var errCaller = errors.New("the caller is gone")

// errNothingRan is returned when there is no run to go on.
var errNothingRan = errors.New("no run to go on")

// pass passes on the events of one run. Those that the caller has are left out, and
// a gap ends the answer.
func (s *stream) pass(sent attempt) error {
	g := s.gateway
	defer g.tracker.done(sent.server.Name)
	defer sent.answer.Close()
	if !isEventStream(sent.answer) {
		return s.passWhole(sent)
	}
	events := bufio.NewScanner(sent.answer)
	events.Buffer(make([]byte, eventBufferBytes), maxEventBytes)
	events.Split(splitEvents(sent.answer.Complete))
	for events.Scan() {
		if err := s.begin(sent); err != nil {
			return err
		}
		if err := s.passEvent(events.Bytes()); err != nil {
			return err
		}
	}
	if err := events.Err(); err != nil {
		g.tracker.failed(sent.server.Name, time.Now())
		g.lookInto(s.ctx, s.job, sent.server, err)
		return err
	}
	g.tracker.answered(sent.server.Name)
	return s.begin(sent)
}

// begin passes the head on, once the tokens that follow are granted for sure.
func (s *stream) begin(sent attempt) error {
	if s.started {
		return nil
	}
	if err := s.confirm(); err != nil {
		return err
	}
	s.job.account.begun = time.Since(s.job.Arrived)
	s.job.account.status = sent.answer.Status
	s.gateway.writeHead(s.writer, sent.answer.Status, sent.answer.Header)
	s.started = true
	return nil
}

// passEvent passes one event on.
func (s *stream) passEvent(event []byte) error {
	id, named := idOf(event)
	switch {
	case named && id <= s.last:
		return nil
	case named && s.events > 0 && id != s.last+1:
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "event %d follows event %d", id, s.last)
	}
	if _, err := s.writer.Write(event); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(errCaller, err.Error())
	}
	now := time.Now()
	if s.events > 0 {
		s.gateway.measures.gaps.Update(now.Sub(s.passed).Seconds())
	}
	s.passed = now
	if named {
		s.last = id
		s.events++
	}
	return nil
}

// passWhole passes on an answer that is no stream, such as a failure of the server.
func (s *stream) passWhole(sent attempt) error {
	body, err := io.ReadAll(io.LimitReader(sent.answer, maxAnswerBytes))
	if err != nil {
		return err
	}
	if s.started {
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "status %d in place of the rest", sent.answer.Status)
	}
	s.started = true
	s.job.account.begun = time.Since(s.job.Arrived)
	s.job.account.status = sent.answer.Status
	s.gateway.writeWhole(s.writer, &whole{status: sent.answer.Status, header: sent.answer.Header, body: body})
	return nil
}

// splitEvents splits a stream into whole events, each with the empty line that ends
// it. What stands after the last one is passed on only if the stream is whole.
func splitEvents(whole func() bool) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		for start := 0; ; {
			line := bytes.IndexByte(data[start:], '\n')
			if line < 0 {
				break
			}
			end := start + line + 1
			if len(bytes.TrimRight(data[start:end], "\r\n")) == 0 {
				return end, data[:end], nil
			}
			start = end
		}
		if atEOF && len(data) > 0 && whole() {
			return len(data), data, nil
		}
		return 0, nil, nil
	}
}

// idField begins the line of an event that names it.
var idField = []byte("id:")

// idOf returns the number of an event.
func idOf(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			id, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
			return id, err == nil
		}
	}
	return 0, false
}
