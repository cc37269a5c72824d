// Package standin runs stand-ins as HTTP servers: it opens the listener, publishes its
// address in a file, and registers backend servers with the platform.
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

// Listen listens on the TCP address addr and, when readyFile is not empty, writes the
// actual address to that file.
func Listen(addr, readyFile string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if readyFile == "" {
		return listener, nil
	}
	if err := writeReadyFile(readyFile, listener.Addr().String()); err != nil {
		listener.Close()
		return nil, err
	}
	return listener, nil
}

// writeReadyFile creates the file atomically by a rename, so that a reader never sees a
// partial address.
func writeReadyFile(path, addr string) error {
	part := path + ".part"
	if err := os.WriteFile(part, []byte(addr), 0o644); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	if err := os.Rename(part, path); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	return nil
}

// ServeHTTP serves handler until ctx ends, then closes all connections and returns the
// error of ctx.
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

// maxWriteAttempts bounds the attempts of Replace.
const maxWriteAttempts = 20

// writeRetryInterval is the time between two attempts of Replace.
const writeRetryInterval = 100 * time.Millisecond

// NewStore returns a client of the object API at addr, IP:port. It disables the request
// log of go-zero for the whole process.
func NewStore(addr string) objectapi.Store {
	logx.Disable()
	return objectapi.NewClient(objectapi.Config{Addrs: []string{addr}}, metrics.NewSet(), log.Log)
}

// Register creates or replaces the platform's object of a backend server.
func Register(ctx context.Context, store objectapi.Store, server structs.Server) error {
	value, err := json.Marshal(server)
	if err != nil {
		return errors.Wrap(err, "encode server")
	}
	return Replace(ctx, store, structs.ServerPrefix+server.Name, value)
}

// Replace creates or replaces an object regardless of its version. It retries when
// another writer was first or the platform failed, and returns the last error after
// maxWriteAttempts attempts.
func Replace(ctx context.Context, store objectapi.Store, key string, value []byte) error {
	var err error
	for range maxWriteAttempts {
		err = replaceOnce(ctx, store, key, value)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(writeRetryInterval):
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
