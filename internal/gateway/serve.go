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
	maxUnrun = 8
	// busyRetry is the wait told to callers when no server took the request.
	busyRetry = 100 * time.Millisecond
	// maxAnswerBytes bounds an answer that is read whole before it is passed on.
	maxAnswerBytes = 8 << 20
)

// serve gets a request answered and passes the answer on.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	release, err := g.reserve(ctx, j)
	if err != nil {
		g.fail(w, r, j, err)
		return
	}
	defer release()
	for {
		server, answer, err := g.send(ctx, j)
		if err != nil {
			g.fail(w, r, j, err)
			return
		}
		var again bool
		if isEventStream(answer) {
			again, err = g.passStream(w, j, server, answer)
		} else {
			again, err = g.passWhole(w, j, server, answer)
		}
		if err == nil {
			return
		}
		if !again || !g.mayRunAgain(j) {
			g.fail(w, r, j, err)
			return
		}
	}
}

// mayRunAgain reports whether a request that may have run may be sent once more.
func (g *Gateway) mayRunAgain(j *job) bool {
	return j.route.Kind == structs.Repeatable && j.ran < j.route.MaxServers
}

// send finds a server that takes the request and returns its answer. A server that
// provably did not run it is followed by the next one.
func (g *Gateway) send(ctx context.Context, j *job) (structs.Server, *upstream.Answer, error) {
	for range maxUnrun {
		server, ok := g.pick(j)
		if !ok {
			return server, nil, g.noServer(j)
		}
		j.tried[server.Name] = true
		answer, err := g.sendTo(ctx, j, server)
		if err == nil && !g.Dialect.NotRun(answer.Status, answer.Header) {
			j.ran++
			return server, answer, nil
		}
		if err == nil {
			drain(answer)
			g.tracker.done(server.Name)
			continue
		}
		g.tracker.done(server.Name)
		g.tracker.failed(server.Name, time.Now())
		g.Log.WithError(err).WithField("request", j.ID).WithField("server", server.Name).Info("send failed")
		if ctx.Err() == nil && verdict.Is(err, verdict.NotRun) {
			continue
		}
		if !verdict.Is(err, verdict.NotRun) {
			j.ran++
			if ctx.Err() == nil && g.mayRunAgain(j) {
				continue
			}
		}
		return server, nil, err
	}
	return structs.Server{}, nil, g.noServer(j)
}

// noServer refuses a request that no server has taken.
func (g *Gateway) noServer(j *job) error {
	if j.ran > 0 {
		return verdict.New(verdict.MayHaveRun, verdict.NoServer, "no other server for %s", j.service.Name)
	}
	return verdict.Refuse(verdict.NoServer, "no server of %s takes the request", j.service.Name).After(busyRetry)
}

// pick chooses a server that was not tried yet.
func (g *Gateway) pick(j *job) (structs.Server, bool) {
	candidates := slices.DeleteFunc(slices.Clone(g.Servers.Of(j.service.Name)), func(s structs.Server) bool {
		return j.tried[s.Name]
	})
	return g.tracker.pick(candidates, g.config, j.Session, time.Now())
}

// sendTo sends the request to one server.
func (g *Gateway) sendTo(ctx context.Context, j *job, server structs.Server) (*upstream.Answer, error) {
	left := time.Until(j.deadline)
	return g.Client.Send(ctx, server, upstream.Outgoing{
		ID:     j.ID,
		Method: j.Method,
		Host:   j.Host,
		Target: j.Target,
		Header: g.Dialect.Forward(j.Request, server.Name, left, 0),
		Body:   j.Body,
	})
}

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(answer *upstream.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer, 4<<10))
	answer.Close()
}

// passWhole reads an answer to its end and then passes it on, so that one that is
// cut off is never taken for a whole one. The first result says whether the
// request may be sent again.
func (g *Gateway) passWhole(w http.ResponseWriter, j *job, server structs.Server, answer *upstream.Answer) (bool, error) {
	defer g.tracker.done(server.Name)
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes))
	answer.Close()
	if err != nil {
		g.tracker.failed(server.Name, time.Now())
		return true, err
	}
	g.tracker.answered(server.Name)
	g.writeHead(w, answer)
	_, _ = w.Write(body)
	return false, nil
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
	if r.Context().Err() != nil {
		// The caller is gone; nobody reads an answer.
		panic(http.ErrAbortHandler)
	}
	id := ""
	if j != nil {
		id = j.ID
	}
	g.Log.WithField("request", id).WithField("reason", failure.Reason).WithField("verdict", failure.Verdict).
		WithField("message", failure.Message).Info("request refused or failed")
	status, header := g.Dialect.Failure(failure)
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, failure.Message+"\n")
}
