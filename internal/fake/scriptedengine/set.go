// Package scriptedengine is an in-memory fake of dispatch.EngineClient and the engines
// behind it. Tests script the behaviour of each engine and read its counters. The
// simulated engine that serves HTTP is in package engine.
package scriptedengine

import (
	"context"
	"sync"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// restartDelay is the time that an engine is down after a crash.
const restartDelay = time.Second

// Set holds the engines of a test by the name of their server. An engine is created
// on its first use. Set implements dispatch.EngineClient and is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// New returns an empty set, whose engines start with the default script.
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

// Crash aborts all requests of an engine and clears its KV cache. The engine is down
// for one second.
func (s *Set) Crash(name string) {
	s.Change(name, (*Engine).crash)
	time.AfterFunc(restartDelay, func() {
		s.Change(name, func(e *Engine) { e.Down = false })
	})
}

// Load reports whether an engine is leaving. Its error is Unreachable.
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
