package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/crashguard"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

// fingerprint identifies the request across all attempts of its caller. It contains what a server
// works on; a caller may send the same request as another program each time.
func (j *job) fingerprint() crashguard.Fingerprint {
	parts := [][]byte{[]byte(j.Method), []byte(j.Host), []byte(j.Target), j.Body}
	if j.Team != "" {
		// One team must not get the request of another one refused.
		parts = append(parts, []byte(j.Team))
	}
	return crashguard.FingerprintOf(parts...)
}

// checkRefused returns an error if the request must not be sent because it crashes servers.
func (g *Gateway) checkRefused(j *job) error {
	if g.CrashGuard.Empty() {
		return nil
	}
	left, refused := g.CrashGuard.Refuses(j.fingerprint())
	if !refused {
		return nil
	}
	return verdict.Refuse(verdict.Quarantined, "the request crashes the servers that run it").RetryIn(left)
}

// recordCompletion records the complete response of a server to a request.
func (g *Gateway) recordCompletion(j *job, sent sendResult) {
	g.tracker.recordResponse(sent.server.Name, sent.response.Status, time.Now())
	g.CrashGuard.RecordCompletion(j.fingerprint())
}

// quietPeriod is the time without a response of a server after which a request that it has not
// answered may have crashed it.
const quietPeriod = 500 * time.Millisecond

// checkForCrash checks whether a server has crashed under a request that was sent to it and that
// failed with err. A connection that broke is always a reason. A request that has ended otherwise,
// by its deadline, its caller, a hedge or bytes that are no response, is one only if nothing else
// was heard of the server either: it may have fallen silent.
func (g *Gateway) checkForCrash(ctx context.Context, j *job, sent sendResult, err error) {
	broke := ctx.Err() == nil && errors.Is(err, upstream.ErrBroken)
	quietSince := time.Now().Add(-quietPeriod)
	quiet := sent.at.Before(quietSince) && !g.tracker.respondedSince(sent.server.Name, quietSince)
	if broke || quiet {
		g.CrashGuard.CheckCrash(j.fingerprint(), sent.server)
	}
}
