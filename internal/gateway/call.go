package gateway

import (
	"context"
	"io"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// hedgeShare is the part of a route's objective after which a request that may be
// repeated is also sent to a second server. Answers take a small part of it when
// nothing is wrong.
const hedgeShare = 0.6

// outcome is how one send of a call ended.
type outcome struct {
	answer *whole
	err    error
}

// call gets a request answered whole, so that an answer which is cut off is never
// taken for a whole one. A request that may be repeated is sent to a second server
// after a failure, and when the first takes long.
func (g *Gateway) call(ctx context.Context, j *job) (*whole, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, j.route.MaxServers+1)
	start := func() { go func() { outcomes <- g.callOnce(ctx, j) }() }
	start()
	underWay := 1
	hedge := g.hedgeTimer(j)
	defer hedge.Stop()
	for {
		select {
		case <-hedge.C:
			if j.mayRunElsewhere() && g.tracker.mayHedge(time.Now()) {
				underWay++
				start()
			}
		case o := <-outcomes:
			underWay--
			if o.err == nil {
				return o.answer, nil
			}
			again := !verdict.Is(o.err, verdict.NotRun) && j.mayRunElsewhere() && ctx.Err() == nil
			if again {
				underWay++
				start()
			}
			if underWay == 0 {
				return nil, j.overall(o.err)
			}
		}
	}
}

// hedgeTimer fires when a request that may be repeated has taken long.
func (g *Gateway) hedgeTimer(j *job) *time.Timer {
	timer := time.NewTimer(time.Duration(float64(j.route.Objective) * hedgeShare))
	if j.route.Kind != structs.Repeatable {
		timer.Stop()
	}
	return timer
}

// overall is the error of a request whose last send failed with err: that it did not
// run holds only if no other send may have run.
func (j *job) overall(err error) error {
	if verdict.Is(err, verdict.NotRun) && j.mayHaveRun() {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.From(err).Reason, "an earlier send may have run")
	}
	return err
}

// callOnce sends a request to one server that takes it and reads the answer.
func (g *Gateway) callOnce(ctx context.Context, j *job) outcome {
	sent, err := g.send(ctx, j)
	if err != nil {
		return outcome{err: err}
	}
	defer g.tracker.done(sent.server.Name)
	defer sent.answer.Close()
	body, err := io.ReadAll(io.LimitReader(sent.answer, maxAnswerBytes))
	if err != nil {
		g.tracker.failed(sent.server.Name, time.Now())
		j.addSend(sent.server, "answer broke off")
		g.lookInto(ctx, j, sent.server, err)
		return outcome{err: err}
	}
	g.tracker.answered(sent.server.Name)
	return outcome{answer: &whole{status: sent.answer.Status, header: sent.answer.Header, body: body}}
}
