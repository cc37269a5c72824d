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

// completionRequest is the body of a chat completion request.
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

// Generate runs a model call at one engine and passes each piece of text to emit.
// It returns a result only if the engine marked the end of the response; a stream
// that ends earlier is an error with cause ErrTruncated.
func (e *Engines) Generate(
	ctx context.Context, server structs.Server, request structs.GenerateRequest, emit func(text string) error,
) (structs.GenerateResult, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(e.options.StallTimeout, func() { cancel(ErrStalled) })
	defer stall.Stop()
	httpRequest, err := newRequest(ctx, http.MethodPost, server, "/v1/chat/completions", completionBody(request))
	if err != nil {
		return structs.GenerateResult{}, verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "request cannot be encoded")
	}
	httpRequest.Header.Set(HeaderRequestID, request.RequestID)
	var x exchange
	response, err := x.do(e.streams, httpRequest)
	if err != nil {
		return structs.GenerateResult{}, err
	}
	defer response.Body.Close()
	if err := checkCompletionStatus(response); err != nil {
		return structs.GenerateResult{}, err
	}
	reader := responseReader{engine: server.Name, emit: emit, onEvent: func() { stall.Reset(e.options.StallTimeout) }}
	if err := reader.read(response.Body); err != nil {
		return structs.GenerateResult{}, reader.classify(ctx, &x, err)
	}
	return reader.result()
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

// checkCompletionStatus maps an error status of the engine to an error. None of
// them is NotRun, because the request was handed to a connection of the engine.
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
		return unexpectedStatus(response)
	}
}

// responseReader reads a streamed chat completion.
type responseReader struct {
	engine       string
	emit         func(text string) error
	onEvent      func()
	usage        *structs.Usage
	finishReason string
	done         bool
	emitErr      error
}

// read processes the events of the stream up to the end marker.
func (r *responseReader) read(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return errors.Wrap(err, "read event")
		}
		r.onEvent()
		if event.Data == doneMarker {
			r.done = true
			return nil
		}
		if err := r.handleEvent(event.Data); err != nil {
			return err
		}
	}
	return nil
}

// handleEvent processes the data of one event.
func (r *responseReader) handleEvent(data string) error {
	var chunk completionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "decode event")
	}
	if len(chunk.Error) > 0 {
		return errors.Errorf("engine reported an error: %.200s", chunk.Error)
	}
	if chunk.Usage != nil {
		r.usage = &structs.Usage{
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
		r.finishReason = *choice.FinishReason
	}
	if choice.Delta.Content == "" {
		return nil
	}
	r.emitErr = r.emit(choice.Delta.Content)
	return r.emitErr
}

// classify returns the error of a failed read. It distinguishes an error of emit
// from an error of the engine.
func (r *responseReader) classify(ctx context.Context, x *exchange, err error) error {
	if r.emitErr != nil {
		return verdict.Wrap(r.emitErr, verdict.MayHaveRun, verdict.Canceled, "reader of the answer is gone")
	}
	return x.classify(ctx, err)
}

// result returns the complete response, or ErrTruncated if a part of it is missing.
func (r *responseReader) result() (structs.GenerateResult, error) {
	if !r.done || r.usage == nil || r.finishReason == "" {
		return structs.GenerateResult{}, verdict.Wrap(
			ErrTruncated, verdict.MayHaveRun, verdict.BackendFailed, "engine ended the answer early")
	}
	return structs.GenerateResult{Engine: r.engine, Usage: *r.usage, Finish: r.finishReason}, nil
}
