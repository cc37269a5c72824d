package engines

import (
	"context"
	"time"

	"ibisline/internal/structs"
)

// Poison is the content of a first message that crashes each engine that runs it.
const Poison = "poison"

// piece is the text of each piece of an answer.
const piece = "x"

// Generate answers as the engine's script says. Its errors are those of package
// verdict or the script's Failure.
func (s *Set) Generate(ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(string) error) (structs.GenerateResult, error) {
	e, err := s.begin(server.Name, request)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	defer s.Change(server.Name, func(e *Engine) { e.Running-- })
	if e.Hang {
		<-ctx.Done()
	}
	if request.Messages[0].Content == Poison {
		s.Crash(server.Name)
	}
	if err := e.answer(ctx, emit); err != nil {
		return structs.GenerateResult{}, err
	}
	return structs.GenerateResult{Engine: server.Name, Usage: e.usage(request), Finish: "stop"}, nil
}

// begin counts a request and returns the engine as it is now.
func (s *Set) begin(name string, request structs.GenerateRequest) (Engine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine(name)
	e.Offered++
	if e.Down {
		return Engine{}, Unreachable()
	}
	if e.Leaving {
		return Engine{}, leaving()
	}
	e.Started++
	e.Running++
	e.Peak = max(e.Peak, e.Running)
	e.Order = append(e.Order, request.Program)
	e.KV[request.Program] = request.PromptTokens
	return e.clone(), nil
}

// answer emits the pieces of an answer.
func (e *Engine) answer(ctx context.Context, emit func(string) error) error {
	for i := range e.Tokens {
		if i == e.FailAfter {
			return e.Failure
		}
		if err := e.pause(ctx); err != nil {
			return err
		}
		if err := emit(piece); err != nil {
			return readerGone(err)
		}
	}
	return nil
}

// pause waits for the gap before a piece.
func (e *Engine) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return canceled(ctx.Err())
	case <-e.crashed:
		return Cut()
	case <-time.After(e.Gap):
		return nil
	}
}

// usage returns what an answer reports.
func (e *Engine) usage(request structs.GenerateRequest) structs.Usage {
	if e.Usage != (structs.Usage{}) {
		return e.Usage
	}
	return structs.Usage{PromptTokens: request.PromptTokens, OutputTokens: e.Tokens}
}
