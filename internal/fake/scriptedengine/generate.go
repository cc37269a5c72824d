package scriptedengine

import (
	"context"
	"time"

	"ibisline/internal/structs"
)

// CrashPrompt is the content of a request's first message that crashes the engine.
const CrashPrompt = "poison"

// piece is the text of one generated token.
const piece = "x"

// Generate runs a request according to the engine's script. Its errors are those of package
// verdict or the script's Failure.
func (s *Set) Generate(
	ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(string) error,
) (structs.GenerateResult, error) {
	e, err := s.beginRequest(server.Name, request)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	defer s.Change(server.Name, func(e *Engine) { e.Running-- })
	if e.Hang {
		<-ctx.Done()
	}
	if request.Messages[0].Content == CrashPrompt {
		s.Crash(server.Name)
	}
	if err := e.emitAnswer(ctx, emit); err != nil {
		return structs.GenerateResult{}, err
	}
	return structs.GenerateResult{Engine: server.Name, Usage: e.usage(request), Finish: "stop"}, nil
}

// beginRequest counts a request and returns a copy of the engine at its start.
func (s *Set) beginRequest(name string, request structs.GenerateRequest) (Engine, error) {
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
	e.ProgramOrder = append(e.ProgramOrder, request.Program)
	e.KV[request.Program] = request.PromptTokens
	return e.clone(), nil
}

// emitAnswer emits the pieces of an answer.
func (e *Engine) emitAnswer(ctx context.Context, emit func(string) error) error {
	for i := range e.Tokens {
		if i == e.FailAfter {
			return e.Failure
		}
		if err := e.waitForPiece(ctx); err != nil {
			return err
		}
		if err := emit(piece); err != nil {
			return emitFailed(err)
		}
	}
	return nil
}

// waitForPiece waits for PieceInterval before a piece.
func (e *Engine) waitForPiece(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return canceled(ctx.Err())
	case <-e.crashed:
		return Cut()
	case <-time.After(e.PieceInterval):
		return nil
	}
}

// usage returns the usage that an answer reports.
func (e *Engine) usage(request structs.GenerateRequest) structs.Usage {
	if e.Usage != (structs.Usage{}) {
		return e.Usage
	}
	return structs.Usage{PromptTokens: request.PromptTokens, OutputTokens: e.Tokens}
}
