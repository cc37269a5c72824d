package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// Serve runs the engine and serves its API on listener until ctx ends. A crash
// closes the listener and all connections; the same address is opened again
// after Settings.RestartAfter.
func Serve(ctx context.Context, e *Engine, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.Run(ctx) })
	group.Go(func() error { return serveHTTP(ctx, e, listener) })
	return group.Wait()
}

// serveHTTP serves the engine's API and restarts the engine after each crash.
func serveHTTP(ctx context.Context, e *Engine, listener net.Listener) error {
	addr := listener.Addr().String()
	for {
		server := &http.Server{Handler: e.Handler()}
		failed := make(chan error, 1)
		go func() { failed <- server.Serve(listener) }()
		select {
		case <-ctx.Done():
			_ = server.Close()
			return ctx.Err()
		case err := <-failed:
			return errors.Wrap(err, "serve engine")
		case <-e.Crashed():
			_ = server.Close()
		}
		if err := sleepUntil(ctx, time.Now().Add(e.settings.scaled(e.settings.RestartAfter))); err != nil {
			return err
		}
		var err error
		listener, err = net.Listen("tcp", addr)
		if err != nil {
			return errors.Wrap(err, "listen again after a crash")
		}
		e.Restart()
	}
}
