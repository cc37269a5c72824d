// Package engines is a stand-in for the engines of a test and for the client that
// talks to them, in memory. Tests script each engine and read what it has seen.
// The engine over HTTP is in package engine.
package engines

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// restartTime is how long an engine is down after a crash.
const restartTime = time.Second

// Set is the engines of a test by the name of their server; an engine exists from
// its first use. It implements dispatch.EngineClient and is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// New returns a set of engines with their default script.
func New() *Set { return &Set{engines: map[string]*Engine{}} }

// Change calls change with an engine under the lock of the set.
func (s *Set) Change(name string, change func(e *Engine)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.engine(name))
}

// Get returns a copy of an engine.
func (s *Set) Get(name string) Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engine(name).clone()
}

// Crash ends all requests of an engine, which loses its KV cache and stays down for
// a second.
func (s *Set) Crash(name string) {
	s.Change(name, (*Engine).crash)
	time.AfterFunc(restartTime, func() {
		s.Change(name, func(e *Engine) { e.Down = false })
	})
}

// Load returns whether an engine is leaving. Its error is Unreachable.
func (s *Set) Load(_ context.Context, server structs.Server) (backend.Load, error) {
	e := s.Get(server.Name)
	if e.Down {
		return backend.Load{}, Unreachable()
	}
	return backend.Load{Leaving: e.Leaving}, nil
}

// engine returns an engine by name. The caller holds mu.
func (s *Set) engine(name string) *Engine {
	e := s.engines[name]
	if e == nil {
		e = newEngine()
		s.engines[name] = e
	}
	return e
}
