package gateway

import (
	"context"

	"github.com/go-faster/errors"

	"ibisline/internal/poison"
	"ibisline/internal/structs"
	"ibisline/internal/upstream"
)

// fingerprint identifies the request over all attempts of its caller.
func (j *job) fingerprint() poison.Fingerprint {
	return poison.FingerprintOf([]byte(j.Program), []byte(j.Session), []byte(j.Method), []byte(j.Host), []byte(j.Target), j.Body)
}

// isPoison reports whether the request is known to crash servers.
func (g *Gateway) isPoison(j *job) bool {
	return !g.Poison.Empty() && g.Poison.Refuses(j.fingerprint())
}

// lookInto lets a connection that broke during a request be looked into. One that
// ended because the caller left or its time was over says nothing about the server.
func (g *Gateway) lookInto(ctx context.Context, j *job, server structs.Server, err error) {
	if ctx.Err() == nil && errors.Is(err, upstream.ErrBroken) {
		g.Poison.Broken(j.fingerprint(), server)
	}
}
