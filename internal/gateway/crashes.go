package gateway

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/crashguard"
	"ibisline/internal/structs"
	"ibisline/internal/upstream"
)

// fingerprint identifies the request across all attempts of its caller.
func (j *job) fingerprint() crashguard.Fingerprint {
	return crashguard.FingerprintOf(
		[]byte(j.Program), []byte(j.Session), []byte(j.Method), []byte(j.Host), []byte(j.Target), j.Body)
}

// isRefused reports whether the request must not be sent because it crashes servers.
func (g *Gateway) isRefused(j *job) bool {
	return !g.CrashGuard.Empty() && g.CrashGuard.Refuses(j.fingerprint())
}

// checkForCrash checks whether the server crashed if its connection broke during a request.
// A connection that ended because the caller disconnected or the deadline passed is no sign
// of a crash.
func (g *Gateway) checkForCrash(ctx context.Context, j *job, server structs.Server, err error) {
	if ctx.Err() == nil && errors.Is(err, upstream.ErrBroken) {
		g.CrashGuard.CheckCrash(j.fingerprint(), server)
	}
}
