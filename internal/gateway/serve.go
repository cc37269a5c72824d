package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

const (
	// maxUnrun bounds the servers that are asked in vain for one request.
	maxUnrun = 24
	// busyRetry is the wait told to callers when no server took the request.
	busyRetry = 100 * time.Millisecond
	// firstPause is the wait before the servers of a service that has none free
	// are asked again; it doubles.
	firstPause = 10 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole before it is passed on.
	maxAnswerBytes = 8 << 20
)

// serve gets a request answered and passes the answer on.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	if j.route.Kind == structs.Stream {
		g.serveStream(ctx, w, r, j)
		return
	}
	answer, err := g.call(ctx, j)
	if err != nil {
		g.fail(w, r, j, err)
		return
	}
	j.account.begun = time.Since(j.Arrived)
	j.account.status = answer.status
	g.writeWhole(w, answer)
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// writeWhole passes an answer on.
func (g *Gateway) writeWhole(w http.ResponseWriter, answer *whole) {
	g.writeHead(w, answer.status, answer.header)
	_, _ = w.Write(answer.body)
}

// writeHead passes the head of an answer on.
func (g *Gateway) writeHead(w http.ResponseWriter, status int, sent http.Header) {
	header := w.Header()
	for name, values := range g.Dialect.AnswerHeader(sent) {
		header[name] = values
	}
	suppressDefaults(header)
	w.WriteHeader(status)
}

// attempt is one send of a request that was answered, or may have run.
type attempt struct {
	server structs.Server
	answer *upstream.Answer
	err    error
}

// send finds a server that takes the request and returns its answer. A server that
// provably did not run it is followed by the next one. While none takes it, they are
// asked again after a pause, until the patience for that is used up.
func (g *Gateway) send(ctx context.Context, j *job) (attempt, error) {
	pause := firstPause
	patience := time.Now().Add(g.queuePatience(j))
	for range maxUnrun {
		if g.isPoison(j) {
			return attempt{}, verdict.Refuse(verdict.Quarantined, "the request crashes the servers that run it")
		}
		server, ok := g.pick(j)
		if !ok {
			if time.Now().Add(pause).After(patience) || !sleep(ctx, pause) {
				return attempt{}, g.noServer(j)
			}
			pause *= 2
			j.forgetUnrun()
			continue
		}
		j.addSent(server.Name)
		answer, err := g.sendTo(ctx, j, server, j.ResumeAfter)
		if err == nil && !g.Dialect.NotRun(answer.Status, answer.Header) {
			j.addRun()
			return attempt{server: server, answer: answer}, nil
		}
		g.tracker.done(server.Name)
		if err == nil {
			j.addUnrun(server.Name)
			drain(answer)
			continue
		}
		g.tracker.failed(server.Name, time.Now())
		if !verdict.Is(err, verdict.NotRun) {
			j.addRun()
			g.lookInto(ctx, j, server, err)
			return attempt{server: server, err: err}, err
		}
		j.addUnrun(server.Name)
		if ctx.Err() != nil {
			return attempt{}, err
		}
	}
	return attempt{}, g.noServer(j)
}

// queuePatience is the time for which a request may wait for a server that takes it:
// a part of its objective, so that its caller can still try elsewhere.
func (g *Gateway) queuePatience(j *job) time.Duration {
	return min(j.route.Objective, time.Until(j.deadline)/patienceShare)
}

// patienceShare is the part of the time left that a request may wait for a server.
const patienceShare = 4

// sleep waits for d and returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// noServer refuses a request that no server has taken.
func (g *Gateway) noServer(j *job) error {
	if j.mayHaveRun() {
		return verdict.New(verdict.MayHaveRun, verdict.NoServer, "no other server for %s", j.service.Name)
	}
	return verdict.Refuse(verdict.NoServer, "no server of %s takes the request", j.service.Name).RetryIn(busyRetry)
}

// pick chooses a server that was not tried yet.
func (g *Gateway) pick(j *job) (structs.Server, bool) {
	candidates := slices.DeleteFunc(slices.Clone(g.Servers.Of(j.service.Name)), func(s structs.Server) bool {
		return j.tried(s.Name)
	})
	return g.tracker.pick(candidates, g.config, j.Session, time.Now())
}

// sendTo sends the request to one server, to go on after an event if it is not 0.
func (g *Gateway) sendTo(ctx context.Context, j *job, server structs.Server, resumeAfter int) (*upstream.Answer, error) {
	started := time.Now()
	left := j.deadline.Sub(started)
	answer, err := g.Client.Send(ctx, server, upstream.Outgoing{
		ID:     j.ID,
		Method: j.Method,
		Host:   j.Host,
		Target: j.Target,
		Header: g.Dialect.Forward(j.Request, server.Name, left, resumeAfter),
		Body:   j.Body,
	})
	if err != nil {
		outcome := sendOutcome(0, err, false)
		j.addSend(server, outcome)
		g.measures.sent(kindOf(j), outcome)
		return nil, err
	}
	notRun := g.Dialect.NotRun(answer.Status, answer.Header)
	if !notRun {
		j.addTaken(started)
	}
	outcome := sendOutcome(answer.Status, nil, notRun)
	j.addSend(server, outcome)
	g.measures.sent(kindOf(j), outcome)
	return answer, nil
}

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(answer *upstream.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, 4<<10))
	answer.Close()
}

// suppressDefaults keeps net/http from adding fields that the server did not send.
func suppressDefaults(header http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, sent := header[name]; !sent {
			header[name] = nil
		}
	}
}

// fail answers a request that got no answer of a server.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, j *job, err error) {
	failure := verdict.From(err)
	j.account.failure = failure
	if r.Context().Err() != nil {
		// The caller is gone; nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	status, header := g.Dialect.Failure(failure)
	j.account.status = status
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, failure.Message+"\n")
}
