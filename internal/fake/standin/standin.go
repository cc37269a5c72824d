// Package standin runs the stand-ins as servers: it opens the listener, writes
// the address where a test finds it, and enters a server into the platform.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"

	"ibisline/internal/objectapi"
	"ibisline/internal/structs"
)

// Listen opens addr and writes the address that it got to readyFile, when that
// is not empty.
func Listen(addr, readyFile string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if readyFile == "" {
		return listener, nil
	}
	if err := writeReady(readyFile, listener.Addr().String()); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// writeReady creates the file whole, so that a reader never sees a part of it.
func writeReady(path, addr string) error {
	part := path + ".part"
	if err := os.WriteFile(part, []byte(addr), 0o644); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	if err := os.Rename(part, path); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	return nil
}

// ServeHTTP serves handler until ctx ends, and then closes all connections.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve")
}

// registerTries bounds the attempts of one Register.
const registerTries = 20

// registerWait is the time between two attempts of Register.
const registerWait = 100 * time.Millisecond

// NewStore returns a client of the object API at addr, IP:port. It turns the
// request log of go-zero off for the whole process.
func NewStore(addr string) objectapi.Store {
	logx.Disable()
	return objectapi.NewClient(objectapi.Config{Addrs: []string{addr}}, metrics.NewSet(), log.Log)
}

// Register creates or replaces the platform's description of a server.
func Register(ctx context.Context, store objectapi.Store, server structs.Server) error {
	value, err := json.Marshal(server)
	if err != nil {
		return errors.Wrap(err, "encode server")
	}
	return Replace(ctx, store, structs.ServerPrefix+server.Name, value)
}

// Replace writes an object whatever its version, and tries again when another
// writer was first or the platform failed.
func Replace(ctx context.Context, store objectapi.Store, key string, value []byte) error {
	var err error
	for range registerTries {
		err = replaceOnce(ctx, store, key, value)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(registerWait):
		}
	}
	return errors.Wrapf(err, "write %s", key)
}

func replaceOnce(ctx context.Context, store objectapi.Store, key string, value []byte) error {
	expected := objectapi.NoVersion
	object, err := store.Get(ctx, key)
	switch {
	case err == nil:
		expected = object.Version
	case !errors.Is(err, objectapi.ErrNotFound):
		return err
	}
	_, err = store.Put(ctx, key, value, expected)
	return err
}
