package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/timers"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

const (
	// maxSendAttempts limits the attempts of send to find a server for a request.
	maxSendAttempts = 24
	// noServerRetryAfter is the Retry-After when no server accepted the request.
	noServerRetryAfter = 100 * time.Millisecond
	// initialRetryPause is the pause before the servers of a service are tried again
	// after none accepted the request. It doubles after each round.
	initialRetryPause = 10 * time.Millisecond
	// maxBufferedBytes limits a response that is buffered before it is forwarded.
	maxBufferedBytes = 1 << 20
	// smallResponseBytes is the size up to which responses are buffered at any time, and
	// maxLargeResponses the number of larger ones that are buffered at the same time: faulty
	// servers may send bytes without end to every request.
	smallResponseBytes = 64 << 10
	maxLargeResponses  = 8
	// maxDiscardedBytes limits the rest of a response that is read to reuse its connection.
	maxDiscardedBytes = 4 << 10
)

// serve sends a request to a backend server and forwards the response.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	if err := g.checkRefused(j); err != nil {
		g.fail(w, r, j, err)
		return
	}
	if j.route.Kind == structs.Stream {
		g.serveStream(ctx, w, r, j)
		return
	}
	response, err := g.call(ctx, j)
	if err != nil {
		g.fail(w, r, j, err)
		return
	}
	j.summary.firstByteTime = time.Since(j.Arrived)
	j.summary.status = response.status
	g.writeBuffered(w, response)
}

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// readBody reads the whole body of a response that is not a stream. A body longer than
// maxBufferedBytes is an error, as it could only be forwarded incomplete.
func (g *Gateway) readBody(ctx context.Context, response *upstream.Response) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(response, smallResponseBytes))
	if err != nil || len(start) < smallResponseBytes {
		return start, err
	}
	select {
	case g.largeResponses <- struct{}{}:
		defer func() { <-g.largeResponses }()
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.BackendTimeout, "no buffer for a large response")
	}
	rest, err := response.ReadAll(maxBufferedBytes - smallResponseBytes)
	if err != nil {
		return nil, err
	}
	return append(start, rest...), nil
}

// writeBuffered forwards a buffered response to the caller.
func (g *Gateway) writeBuffered(w http.ResponseWriter, response *bufferedResponse) {
	g.writeHead(w, response.status, response.header)
	_, _ = w.Write(response.body)
}

// writeHead forwards the status and header of a response to the caller.
func (g *Gateway) writeHead(w http.ResponseWriter, status int, sent http.Header) {
	header := w.Header()
	for name, values := range g.Dialect.ResponseHeader(sent) {
		header[name] = values
	}
	suppressDefaults(header)
	w.WriteHeader(status)
}

// sendResult is the result of a send that got a response or may have run.
type sendResult struct {
	server structs.Server
	// at is the time at which the request was sent.
	at       time.Time
	response *upstream.Response
}

// send finds a server that accepts the request and returns its response. If a server
// provably did not run the request, send tries the next one. While no server accepts it,
// send tries them all again after a pause, for at most maxQueueTime. If only a permit
// is missing and none is due within that time, the request is rejected at once.
func (g *Gateway) send(ctx context.Context, j *job) (sendResult, error) {
	pause := initialRetryPause
	queueUntil := time.Now().Add(g.maxQueueTime(j))
	for range maxSendAttempts {
		if err := g.checkRefused(j); err != nil {
			return sendResult{}, err
		}
		if err := g.checkAdmission(j); err != nil {
			return sendResult{}, err
		}
		server, permitIn, ok := g.pick(ctx, j)
		if !ok && permitIn > 0 {
			if time.Now().Add(permitIn).After(queueUntil) || !timers.Sleep(ctx, permitIn) {
				g.recordDenial(j)
				return sendResult{}, g.noPermit(j, permitIn)
			}
			continue
		}
		if !ok {
			if time.Now().Add(pause).After(queueUntil) || !timers.Sleep(ctx, pause) {
				g.recordDenial(j)
				return sendResult{}, g.noServer(j)
			}
			pause *= 2
			j.clearNotRun()
			continue
		}
		j.markSent(server.Name)
		sent := sendResult{server: server, at: time.Now()}
		response, err := g.sendTo(ctx, j, server, j.ResumeAfter)
		if err == nil && !g.Dialect.NotRun(response.Status, response.Header) {
			j.markMayHaveRun()
			sent.response = response
			return sent, nil
		}
		g.tracker.done(server.Name)
		if err == nil {
			j.markNotRun(server.Name)
			response.Discard(maxDiscardedBytes)
			continue
		}
		g.tracker.markFailed(server.Name, time.Now())
		if !verdict.Is(err, verdict.NotRun) {
			j.markMayHaveRun()
			g.checkForCrash(ctx, j, sent, err)
			return sent, err
		}
		j.markNotRun(server.Name)
		if ctx.Err() != nil {
			return sendResult{}, err
		}
	}
	return sendResult{}, g.noServer(j)
}

// maxQueueTime returns how long a request may wait for a server that accepts it. It is the
// route's latency objective, but at most a fraction of the time left, so that the caller
// can still retry elsewhere.
func (g *Gateway) maxQueueTime(j *job) time.Duration {
	return min(j.route.Objective, time.Until(j.deadline)/queueTimeDivisor)
}

// queueTimeDivisor divides the time left of a request to limit its wait for a server.
const queueTimeDivisor = 4

// noServer returns the error of a request that no server accepted.
func (g *Gateway) noServer(j *job) error {
	if j.mayHaveRun() {
		return verdict.New(verdict.MayHaveRun, verdict.NoServer, "no other server for %s", j.service.Name)
	}
	return verdict.Refuse(verdict.NoServer, "no server of %s takes the request", j.service.Name).
		RetryIn(noServerRetryAfter)
}

// noPermit returns the error of a request that only the limits of servers keep from being sent.
func (g *Gateway) noPermit(j *job, permitIn time.Duration) error {
	if j.mayHaveRun() {
		return verdict.New(verdict.MayHaveRun, verdict.LimitReached, "the servers of %s are at their limits", j.service.Name)
	}
	return verdict.Refuse(verdict.LimitReached, "the servers of %s are at their limits", j.service.Name).
		RetryIn(max(permitIn, noServerRetryAfter))
}

// pick chooses a server that was not tried yet and takes the permit that it may need. It returns
// false if there is none, and the time until a permit may be available if only that is missing.
func (g *Gateway) pick(ctx context.Context, j *job) (server structs.Server, permitIn time.Duration, ok bool) {
	candidates := slices.DeleteFunc(slices.Clone(g.Servers.ForService(j.service.Name)), func(s structs.Server) bool {
		return j.triedServer(s.Name)
	})
	for {
		candidates = slices.DeleteFunc(candidates, func(s structs.Server) bool {
			wait, denied := g.Limits.Denied(s)
			if denied && (permitIn == 0 || wait < permitIn) {
				permitIn = wait
			}
			return denied
		})
		server, ok := g.tracker.pick(candidates, g.config, j.Session, time.Now())
		if !ok || g.Limits.Take(ctx, server) {
			return server, permitIn, ok
		}
		g.tracker.done(server.Name)
	}
}

// sendTo sends the request to one server. A resumeAfter other than 0 resumes the stream
// after that event.
func (g *Gateway) sendTo(
	ctx context.Context, j *job, server structs.Server, resumeAfter int,
) (*upstream.Response, error) {
	started := time.Now()
	left := j.deadline.Sub(started)
	response, err := g.Client.Send(ctx, server, upstream.Request{
		ID:     j.ID,
		Method: j.Method,
		Host:   j.Host,
		Target: j.Target,
		Header: g.Dialect.ForwardHeader(j.Request, server.Name, left, resumeAfter),
		Body:   j.Body,
		// Servers may crash several at once. One that is gone already must not count as crashed by a
		// request that comes from another one.
		NewConnection: j.mayHaveRun(),
	})
	if err != nil {
		outcome := sendOutcome(0, err, false)
		j.recordSendOutcome(server, outcome)
		g.requestMetrics.recordSend(kindLabel(j), outcome)
		return nil, err
	}
	g.tracker.recordHead(server.Name, time.Now())
	g.Limits.Observe(server, g.Dialect.Limit(response.Status, response.Header), started)
	if g.Dialect.Leaving(response.Status, response.Header) && g.tracker.markLeaving(server, started) {
		g.Log.WithField("server", server.Name).WithField("request", j.ID).WithField("listed_as", server.State).
			Info("backend server says that it is leaving")
	}
	notRun := g.Dialect.NotRun(response.Status, response.Header)
	if !notRun {
		j.recordAccepted(started)
		if time.Since(started) > j.route.Objective {
			g.recordDenial(j)
		}
	}
	outcome := sendOutcome(response.Status, nil, notRun)
	j.recordSendOutcome(server, outcome)
	g.requestMetrics.recordSend(kindLabel(j), outcome)
	return response, nil
}

// suppressDefaults keeps net/http from adding fields that the server did not send.
func suppressDefaults(header http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, sent := header[name]; !sent {
			header[name] = nil
		}
	}
}

// fail responds to a request that failed before a response of a server was forwarded.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, j *job, err error) {
	failure := verdict.From(err)
	j.summary.failure = failure
	if r.Context().Err() != nil {
		// The caller has disconnected; nobody reads a response.
		panic(http.ErrAbortHandler)
	}
	status, header := g.Dialect.FailureResponse(failure)
	j.summary.status = status
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, failure.Message+"\n")
}
