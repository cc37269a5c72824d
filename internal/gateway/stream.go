package gateway

import (
	"bufio"
	"bytes"
	"context"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
	"ibisline/internal/tokenbudget/ledger"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

const (
	// eventBufferBytes is the initial buffer size of a stream. maxEventBytes is the size of
	// the largest event, and of all events without an ID in a row.
	eventBufferBytes = 2 << 10
	maxEventBytes    = 256 << 10
	// maxOutputBytes limits the output of a kept turn, which is held in memory until it is stored. The next
	// turn has to send it as a part of its prompt, for which this is the default limit.
	maxOutputBytes = defaultMaxBodyBytes
)

// isEventStream reports whether a response is a stream of server-sent events. A failure is
// none, whatever its content type: its text need not end like an event.
func isEventStream(response *upstream.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && response.Status/100 == 2
}

// stream relays the response to a turn to the caller. The response may come from several
// runs, each of which resumes where the previous one broke off.
type stream struct {
	gateway *Gateway
	job     *job
	writer  http.ResponseWriter
	control *http.ResponseController
	ctx     context.Context
	grant   ledger.Grant
	// grantConfirmed is set once the grant is persisted.
	grantConfirmed bool
	// headSent is set once the status and header were sent to the caller.
	headSent bool
	// lastEventID is the ID of the last event that was relayed or that the caller already
	// had. eventCount is the number of relayed events.
	lastEventID int
	eventCount  int
	// lastEventAt is the time at which the last event was relayed.
	lastEventAt time.Time
	// lastServer is the server that it came from.
	lastServer string
	// output is the data of the relayed events of a turn that is kept, and outputCounted the memory that is
	// counted for it.
	output        []byte
	outputCounted int
}

// serveStream reserves the tokens of a turn, sends it and relays the response.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, j *job) {
	grant, err := g.reserve(ctx, j)
	j.summary.reserveTime = time.Since(j.Arrived)
	if err != nil {
		g.fail(w, r, j, err)
		return
	}
	s := &stream{
		gateway: g, job: j, ctx: ctx, grant: grant, writer: w,
		control: http.NewResponseController(w), lastEventID: j.ResumeAfter,
	}
	defer func() {
		j.summary.events = s.eventCount
		grant.Release(s.eventCount * j.service.TokensPerEvent)
	}()
	err = s.run(ctx)
	if err == nil {
		return
	}
	if !s.headSent {
		g.fail(w, r, j, j.combinedError(err))
		return
	}
	j.summary.status, j.summary.failure = 0, verdict.From(err)
	// Aborts the caller's connection, so that the response does not look complete.
	panic(http.ErrAbortHandler)
}

const (
	// maxResumes limits how often one response is resumed after a broken connection.
	maxResumes = 4
	// maxMalformedResumes limits the resumes after bytes that were no answer: a server that
	// sends them is unlikely to recover within the request.
	maxMalformedResumes = 1
)

// run relays the response, resuming it after a break where the route allows that.
func (s *stream) run(ctx context.Context) error {
	sent, err := s.gateway.send(ctx, s.job)
	for resumes, malformed := 0, 0; ; resumes++ {
		if err == nil {
			err = s.relay(sent)
		}
		if errors.Is(err, upstream.ErrMalformed) {
			malformed++
		}
		if err == nil || resumes == maxResumes || malformed > maxMalformedResumes || !s.mayResume(ctx, err) {
			return err
		}
		s.job.recordSendOutcome(sent.server, "broke off after event "+strconv.Itoa(s.lastEventID))
		sent, err = s.resume(ctx, sent.server)
	}
}

// mayResume reports whether the response may be resumed after err.
func (s *stream) mayResume(ctx context.Context, err error) bool {
	return s.job.route.Resumable && ctx.Err() == nil && verdict.From(err).Verdict != verdict.NotRun &&
		!errors.Is(err, errCallerGone) && !errors.Is(err, errGrantLost) && !errors.Is(err, errNotKept) &&
		!verdict.HasReason(err, verdict.Quarantined)
}

// errCallerGone is returned when writing to the caller fails.
var errCallerGone = errors.New("the caller is gone")

// Causes of a stream's failure.
var (
	// errNoEvents: the server sends bytes that are no events of the response.
	errNoEvents = errors.New("bytes without an event of the response")
	// errOutputTooLarge: the server sends more than a turn may hold that is kept.
	errOutputTooLarge = errors.New("output of a kept turn too large")
	// errInsideEvent: the response ended inside an event, or its connection before the first one.
	errInsideEvent = errors.New("ended inside an event")
	// errNotRest: the server answered the resume of a stream with something else than its rest.
	errNotRest = errors.New("not the rest of the stream")
	// errNoRun: there is no run to resume.
	errNoRun = errors.New("no run to resume")
)

// relay relays the response of one run. What resumes a stream must be its rest: a stream with
// the status that the caller has received.
func (s *stream) relay(sent sendResult) error {
	defer s.gateway.tracker.done(sent.server.Name)
	stream := isEventStream(sent.response)
	if s.headSent && (!stream || sent.response.Status != s.job.summary.status) {
		err := sent.response.Malformed(errors.Wrapf(errNotRest, "status %d", sent.response.Status))
		s.gateway.tracker.markFailed(sent.server.Name, time.Now())
		sent.response.Discard(maxDiscardedBytes)
		return err
	}
	defer sent.response.Close()
	if !stream {
		return s.relayBuffered(sent)
	}
	return s.relayEvents(sent)
}

// relayEvents relays the events of one run. It skips events that the caller already has, and
// fails on a gap in the event IDs.
func (s *stream) relayEvents(sent sendResult) error {
	g, response, resumed := s.gateway, sent.response, s.headSent
	events := bufio.NewScanner(response)
	events.Buffer(make([]byte, eventBufferBytes), maxEventBytes)
	events.Split(splitEvents)
	var progress eventProgress
	empty := true
	for !progress.stalled() && len(s.output) <= maxOutputBytes && events.Scan() {
		empty = false
		if resumed && !isPartOfStream(events.Bytes()) {
			return response.Malformed(errNotRest)
		}
		if err := s.sendHead(sent); err != nil {
			return err
		}
		if err := s.relayEvent(events.Bytes(), sent.server); err != nil {
			return err
		}
		progress.add(events.Bytes())
	}
	err := events.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong) || progress.stalled():
		err = response.Malformed(errNoEvents)
	case len(s.output) > maxOutputBytes:
		err = response.Malformed(errOutputTooLarge)
	case errors.Is(err, errInsideEvent) || (err == nil && empty && !response.Framed()):
		err = response.Broken(errInsideEvent)
	}
	if err != nil {
		g.tracker.markFailed(sent.server.Name, time.Now())
		g.checkForCrash(s.ctx, s.job, sent, err)
		return err
	}
	g.recordCompletion(s.job, sent)
	if err := s.sendHead(sent); err != nil {
		return err
	}
	return g.keepTurn(s.ctx, s.job, s.output)
}

// eventProgress tells a stream that makes progress from one that only sends bytes.
type eventProgress struct {
	// bytesWithoutID is the size of the events without an ID since the last one with an ID.
	bytesWithoutID int
}

func (p *eventProgress) add(event []byte) {
	p.bytesWithoutID += len(event)
	if _, hasID := eventID(event); hasID {
		p.bytesWithoutID = 0
	}
}

func (p *eventProgress) stalled() bool { return p.bytesWithoutID > maxEventBytes }

// sendHead forwards the status and header once the grant of the tokens is confirmed.
func (s *stream) sendHead(sent sendResult) error {
	if s.headSent {
		return nil
	}
	if err := s.confirmGrant(); err != nil {
		return err
	}
	s.job.summary.firstByteTime = time.Since(s.job.Arrived)
	s.job.summary.status = sent.response.Status
	// The length is that of one run, and the rest may come from another one.
	sent.response.Header.Del("Content-Length")
	s.gateway.writeHead(s.writer, sent.response.Status, sent.response.Header)
	s.headSent = true
	return nil
}

// relayEvent forwards one event, unless the caller already has it.
func (s *stream) relayEvent(event []byte, server structs.Server) error {
	id, hasID := eventID(event)
	switch {
	case hasID && id <= s.lastEventID:
		return nil
	case hasID && s.lastEventID > 0 && id != s.lastEventID+1:
		return verdict.New(verdict.MayHaveRun, verdict.BackendFailed, "event %d follows event %d", id, s.lastEventID)
	}
	if _, err := s.writer.Write(event); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	if err := s.control.Flush(); err != nil {
		return errors.Wrap(errCallerGone, err.Error())
	}
	now := time.Now()
	if s.eventCount > 0 {
		s.gateway.requestMetrics.eventGaps.Update(now.Sub(s.lastEventAt).Seconds())
		if server.Name == s.lastServer {
			s.gateway.tracker.recordPause(server, now.Sub(s.lastEventAt), now)
		}
	}
	s.lastEventAt, s.lastServer = now, server.Name
	if hasID {
		s.lastEventID = id
		s.eventCount++
	}
	if !s.job.route.KeepsTurns {
		return nil
	}
	s.output = appendEventData(s.output, event)
	more := cap(s.output) - s.outputCounted
	s.outputCounted = cap(s.output)
	return s.gateway.awaitMemory(s.ctx, more)
}

// relayBuffered forwards a response that is not a stream, such as an error of the server.
func (s *stream) relayBuffered(sent sendResult) error {
	body, err := s.gateway.readBody(s.ctx, sent.response)
	if err != nil {
		s.gateway.tracker.markFailed(sent.server.Name, time.Now())
		s.gateway.checkForCrash(s.ctx, s.job, sent, err)
		return err
	}
	s.gateway.recordCompletion(s.job, sent)
	if sent.response.Status/100 == 2 {
		if err := s.gateway.keepTurn(s.ctx, s.job, nil); err != nil {
			return err
		}
	}
	s.headSent = true
	s.job.summary.firstByteTime = time.Since(s.job.Arrived)
	s.job.summary.status = sent.response.Status
	s.gateway.writeBuffered(s.writer, &bufferedResponse{
		status: sent.response.Status, header: sent.response.Header, body: body,
	})
	return nil
}

// splitEvents is a split function for events, each including the empty line that terminates it.
// Data after the last event is an error: a stream that ends inside an event is broken off,
// also if its length or its last chunk says that it is complete.
func splitEvents(data []byte, atEOF bool) (int, []byte, error) {
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
	if atEOF && len(data) > 0 {
		return 0, nil, errInsideEvent
	}
	return 0, nil, nil
}

// isPartOfStream reports whether an event has an ID or is a comment. The first run of a stream
// may send anything, but what resumes it could also be the text of an error.
func isPartOfStream(event []byte) bool {
	_, hasID := eventID(event)
	return hasID || bytes.HasPrefix(event, []byte(":"))
}

// eventIDPrefix begins the line of an event that holds its ID.
var eventIDPrefix = []byte("id:")

// eventID returns the ID of an event, and false if it has no numeric ID.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, eventIDPrefix); found {
			id, err := strconv.Atoi(string(bytes.TrimSpace(rest)))
			return id, err == nil
		}
	}
	return 0, false
}
