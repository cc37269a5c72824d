package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/httpconn"
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
)

// sendResult is the result of a send that got a response or may have run.
type sendResult struct {
	server structs.Server
	// at is the time at which the request was sent.
	at       time.Time
	response *upstream.Response
}

// send finds a server that accepts the request and returns its response. If a server
// provably did not run the request, send tries the next one. While no server accepts it,
// send tries them all again after a pause, for at most maxQueueTime.
func (g *Gateway) send(ctx context.Context, j *job) (sendResult, error) {
	queue := &queueWait{until: time.Now().Add(g.maxQueueTime(j)), pause: initialRetryPause}
	if j.team != nil {
		g.admission.recordDemand(j, time.Now())
	}
	for range maxSendAttempts {
		server, err := g.chooseServer(ctx, j, queue)
		if err != nil {
			return sendResult{}, err
		}
		if httpconn.Closed(ctx) {
			g.tracker.done(server.Name)
			return sendResult{}, callerLeft(j)
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
		if errors.Is(err, upstream.ErrEnded) {
			j.markNotRun(server.Name)
			return sendResult{}, err
		}
		if errors.Is(err, upstream.ErrWithdrawn) {
			j.markNotRun(server.Name)
			continue
		}
		if errors.Is(err, upstream.ErrExhausted) {
			// Neither does another server get a connection.
			j.markNotRun(server.Name)
			return sendResult{}, g.noServer(j)
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

// queueWait is the wait of a request for a server that accepts it.
type queueWait struct {
	until time.Time
	// pause is the pause before all servers are tried again.
	pause time.Duration
}

// sleep waits for d, and returns false if that is longer than the request may wait or if ctx ends.
func (q *queueWait) sleep(ctx context.Context, d time.Duration) bool {
	return !time.Now().Add(d).After(q.until) && timers.Sleep(ctx, d)
}

// chooseServer chooses a server that was not tried yet, and waits for one if there is none. If only
// a permit is missing and none is due while the request may wait, the request is rejected at once.
func (g *Gateway) chooseServer(ctx context.Context, j *job, queue *queueWait) (structs.Server, error) {
	for {
		if err := g.checkRefused(j); err != nil {
			return structs.Server{}, err
		}
		if err := g.checkAdmission(j); err != nil {
			return structs.Server{}, err
		}
		server, permitIn, ok := g.pick(ctx, j)
		switch {
		case ok:
			return server, nil
		case permitIn > 0:
			if !queue.sleep(ctx, permitIn) {
				g.recordDenial(j)
				return structs.Server{}, g.noPermit(j, permitIn)
			}
		default:
			if !queue.sleep(ctx, queue.pause) {
				g.recordDenial(j)
				return structs.Server{}, g.noServer(j)
			}
			queue.pause *= 2
			j.clearNotRun()
		}
	}
}

// maxQueueTime returns how long a request may wait for a server that accepts it. It is the
// route's latency objective, but at most a fraction of the time left, so that the caller
// can still retry elsewhere.
func (g *Gateway) maxQueueTime(j *job) time.Duration {
	return min(j.route.Objective, time.Until(j.deadline)/queueTimeDivisor)
}

// queueTimeDivisor divides the time left of a request to limit its wait for a server.
const queueTimeDivisor = 4

// callerLeft returns the error of a request whose caller is found to have left before a send.
func callerLeft(j *job) error {
	if j.mayHaveRun() {
		return verdict.New(verdict.MayHaveRun, verdict.Canceled, "the caller has left")
	}
	return verdict.Refuse(verdict.Canceled, "the caller left before its request was sent")
}

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
		server, ok := g.tracker.pick(candidates, g.config, j.affinity(), g.promptParts(j), time.Now())
		if !ok || g.Limits.Take(ctx, server) {
			return server, permitIn, ok
		}
		g.tracker.done(server.Name)
	}
}

// mayStart reports whether a request may still be sent to a run of a server.
func (g *Gateway) mayStart(j *job, server structs.Server) bool {
	listed, found := g.Servers.Find(server.Name)
	return found && listed.StartedMS == server.StartedMS && g.tracker.mayGetWork(listed, time.Now()) &&
		g.checkRefused(j) == nil
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
		// The server was chosen before a wait for a connection.
		MayStart: func() bool { return g.mayStart(j, server) },
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
	if !notRun && len(j.Prompt) > 0 {
		g.tracker.recordSession(j.affinity(), server.Name, time.Now())
	}
	if !notRun {
		j.recordAccepted(started)
		if resumeAfter == 0 && response.Status < http.StatusInternalServerError {
			// Errors and the rest of a stream come sooner or later than what the server works for.
			g.tracker.recordTime(server, j.route.Kind, time.Since(started), time.Now())
		}
		if time.Since(started) > j.route.Objective {
			g.recordDelay(j)
		}
	}
	outcome := sendOutcome(response.Status, nil, notRun)
	j.recordSendOutcome(server, outcome)
	g.requestMetrics.recordSend(kindLabel(j), outcome)
	return response, nil
}
