package gateway

import (
	"context"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// hedgeObjectiveFraction is the fraction of a route's latency objective after which a
// repeatable request is also sent to a second server. In normal operation responses arrive
// well before that.
const hedgeObjectiveFraction = 0.6

// callResult is the result of one send of a call.
type callResult struct {
	response *bufferedResponse
	err      error
}

// call sends a request and buffers the response, so that a truncated response is never
// forwarded as a complete one. A repeatable request is sent to a second server after a
// failure, and also when the first server is slow (hedging).
func (g *Gateway) call(ctx context.Context, j *job) (*bufferedResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, j.route.MaxServers+1)
	start := func() { go func() { results <- g.callOnce(ctx, j) }() }
	start()
	inFlight := 1
	hedge := g.hedgeTimer(j)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if j.maySendToAnother() && g.tracker.spendHedge(time.Now()) {
				inFlight++
				start()
			}
		case result := <-results:
			inFlight--
			if result.err == nil {
				return result.response, nil
			}
			// Without another server a further send would fail at once, again and again.
			retry := !verdict.Is(result.err, verdict.NotRun) && !verdict.HasReason(result.err, verdict.NoServer) &&
				j.maySendToAnother() && ctx.Err() == nil
			if retry {
				inFlight++
				start()
			}
			if inFlight == 0 {
				return nil, j.combinedError(result.err)
			}
		}
	}
}

// hedgeTimer fires when a repeatable request should be hedged. For other requests it never
// fires.
func (g *Gateway) hedgeTimer(j *job) *time.Timer {
	timer := time.NewTimer(time.Duration(float64(j.route.Objective) * hedgeObjectiveFraction))
	if j.route.Kind != structs.Repeatable {
		timer.Stop()
	}
	return timer
}

// combinedError returns the error of a request whose last send failed with err. The verdict
// NotRun holds only if no earlier send may have run.
func (j *job) combinedError(err error) error {
	if verdict.Is(err, verdict.NotRun) && j.mayHaveRun() {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.From(err).Reason, "an earlier send may have run")
	}
	return err
}

// callOnce sends a request to one server that accepts it and reads the whole response.
func (g *Gateway) callOnce(ctx context.Context, j *job) callResult {
	sent, err := g.send(ctx, j)
	if err != nil {
		return callResult{err: err}
	}
	defer g.tracker.done(sent.server.Name)
	defer sent.response.Close()
	body, err := g.readBody(ctx, sent.response)
	if err != nil {
		g.tracker.markFailed(sent.server.Name, time.Now())
		j.recordSendOutcome(sent.server, "answer broke off")
		g.checkForCrash(ctx, j, sent, err)
		return callResult{err: err}
	}
	g.recordCompletion(j, sent)
	return callResult{response: &bufferedResponse{
		status: sent.response.Status, header: sent.response.Header, body: body,
	}}
}
