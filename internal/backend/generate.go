package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

const (
	maxEventBytes = 1 << 20
	doneMarker    = "[DONE]"
)

// completionRequest is the body of a chat completion.
type completionRequest struct {
	Model         string            `json:"model"`
	Messages      []structs.Message `json:"messages"`
	MaxTokens     int               `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions streamOptions     `json:"stream_options"`
	User          string            `json:"user"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionChunk is one event of a streamed chat completion.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// Generate runs a model call at one engine and hands each piece of text to
// emit. It returns a result only after the engine marked the end of the whole
// answer; a stream that ends earlier is an error with cause ErrCut.
func (e *Engines) Generate(ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(text string) error) (structs.Generated, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(e.options.StallTimeout, func() { cancel(ErrStalled) })
	defer stall.Stop()
	httpRequest, err := newRequest(ctx, http.MethodPost, server, "/v1/chat/completions", completionBody(request))
	if err != nil {
		return structs.Generated{}, verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "request cannot be encoded")
	}
	httpRequest.Header.Set(HeaderRequestID, request.RequestID)
	var x exchange
	response, err := x.do(e.streams, httpRequest)
	if err != nil {
		return structs.Generated{}, err
	}
	defer response.Body.Close()
	if err := checkCompletionStatus(response); err != nil {
		return structs.Generated{}, err
	}
	answer := answerReader{engine: server.Name, emit: emit, progress: func() { stall.Reset(e.options.StallTimeout) }}
	if err := answer.read(response.Body); err != nil {
		return structs.Generated{}, answer.classify(ctx, &x, err)
	}
	return answer.result()
}

func completionBody(request structs.GenerateRequest) completionRequest {
	return completionRequest{
		Model:         request.Model,
		Messages:      request.Messages,
		MaxTokens:     request.MaxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
		User:          request.Program,
	}
}

// checkCompletionStatus maps a refusal of the engine. The request was handed to
// the engine's connection, so that none of them is NotRun.
func checkCompletionStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		return verdict.Wrap(ErrLeaving, verdict.MayHaveRun, verdict.NoServer, "engine takes no new work")
	case http.StatusNotFound:
		return verdict.Wrap(ErrRejected, verdict.MayHaveRun, verdict.NoServer, "engine does not serve the model")
	case http.StatusBadRequest:
		return verdict.Wrap(ErrRejected, verdict.MayHaveRun, verdict.BadRequest, "engine rejected the request")
	default:
		return rejected(response)
	}
}

// answerReader collects a streamed answer.
type answerReader struct {
	engine   string
	emit     func(text string) error
	progress func()
	usage    *structs.Usage
	finish   string
	done     bool
	emitErr  error
}

// read consumes the stream up to the marker of its end.
func (a *answerReader) read(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		a.progress()
		if event.Data == doneMarker {
			a.done = true
			return nil
		}
		if err := a.take(event.Data); err != nil {
			return err
		}
	}
	return nil
}

// take handles one event.
func (a *answerReader) take(data string) error {
	var chunk completionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if len(chunk.Error) > 0 {
		return errors.Errorf("engine reported an error: %.200s", chunk.Error)
	}
	if chunk.Usage != nil {
		a.usage = &structs.Usage{
			PromptTokens: chunk.Usage.PromptTokens,
			CachedTokens: chunk.Usage.Details.CachedTokens,
			OutputTokens: chunk.Usage.CompletionTokens,
		}
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		a.finish = *choice.FinishReason
	}
	if choice.Delta.Content == "" {
		return nil
	}
	a.emitErr = a.emit(choice.Delta.Content)
	return a.emitErr
}

// classify keeps an error of the reader of the answer apart from one of the
// engine.
func (a *answerReader) classify(ctx context.Context, x *exchange, err error) error {
	if a.emitErr != nil {
		return verdict.Wrap(a.emitErr, verdict.MayHaveRun, verdict.Canceled, "reader of the answer is gone")
	}
	return x.classify(ctx, err)
}

// result returns the whole answer, or ErrCut when a part of it is missing.
func (a *answerReader) result() (structs.Generated, error) {
	if !a.done || a.usage == nil || a.finish == "" {
		return structs.Generated{}, verdict.Wrap(ErrCut, verdict.MayHaveRun, verdict.BackendFailed, "engine ended the answer early")
	}
	return structs.Generated{Engine: a.engine, Usage: *a.usage, Finish: a.finish}, nil
}
