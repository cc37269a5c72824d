package scriptedengine

import (
	"context"
	"time"

	"ibisline/internal/backend"
	"ibisline/internal/structs"
)

// hungImportDuration is the duration of an import from an engine whose exports hang.
const hungImportDuration = time.Hour

// ListKV returns the size of an engine's KV caches in tokens, by program. Its error
// is Unreachable.
func (s *Set) ListKV(_ context.Context, server structs.Server) (map[string]int, error) {
	e := s.Get(server.Name)
	if e.Down {
		return nil, Unreachable()
	}
	return e.KV, nil
}

// ReleaseKV drops the KV cache of a program. Its errors are Unreachable and
// backend.ErrNotHeld.
func (s *Set) ReleaseKV(_ context.Context, server structs.Server, program string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine(server.Name)
	if e.Down {
		return Unreachable()
	}
	if _, held := e.KV[program]; !held {
		return backend.ErrNotHeld
	}
	delete(e.KV, program)
	e.Released = append(e.Released, program)
	return nil
}

// ImportKV copies the KV cache of a program from the engine named from and returns
// its tokens. Its errors are backend.ErrNotHeld and, when ctx ends first, a timeout
// after which the import may have run.
func (s *Set) ImportKV(ctx context.Context, server structs.Server, program, from string) (int, error) {
	tokens, wait, err := s.beginImport(server.Name, program, from)
	if err != nil {
		return 0, err
	}
	if wait <= 0 {
		return tokens, nil
	}
	select {
	case <-ctx.Done():
		return 0, timedOut(ctx.Err())
	case <-time.After(wait):
		return tokens, nil
	}
}

// beginImport copies the KV cache and returns its size in tokens and the duration
// of the import.
func (s *Set) beginImport(name, program, from string) (int, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	source := s.engine(from)
	tokens, held := source.KV[program]
	if !held {
		return 0, 0, backend.ErrNotHeld
	}
	e := s.engine(name)
	e.Imports++
	e.KV[program] = tokens
	if source.HangExport {
		return tokens, hungImportDuration, nil
	}
	return tokens, e.ImportTime, nil
}

// KVEvents returns no events.
func (s *Set) KVEvents(context.Context, structs.Server, int64) (backend.KVEvents, error) {
	return backend.KVEvents{}, nil
}
