package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"ibisline/internal/structs"
)

// exportRequest is the body of POST /v1/kv/export.
type exportRequest struct {
	Program string `json:"program"`
}

// kvImported is the answer to POST /v1/kv/import.
type kvImported struct {
	Tokens int `json:"tokens"`
}

var (
	errNotCached = errors.New("engine holds no KV cache of the program")
	errCrashed   = errors.New("engine crashed during the import")
)

// exportKV returns the KV cache of a program.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request exportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		replyError(w, http.StatusBadRequest, "malformed request: %v", err)
		return
	}
	if e.countExport() {
		<-r.Context().Done()
		return
	}
	e.mu.Lock()
	messages := e.cache.export(request.Program)
	e.mu.Unlock()
	if len(messages) == 0 {
		replyError(w, http.StatusNotFound, "nothing held")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(w).Encode(messages)
}

// countExport counts a requested export and reports whether it must hang.
func (e *Engine) countExport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Exports++
	return e.faults.HangExport
}

// importKV copies the KV cache of a program from another engine.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	if e.settings.ImportRate <= 0 {
		replyError(w, http.StatusNotImplemented, "this engine imports nothing")
		return
	}
	if e.Faults().Leaving {
		replyError(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	program, from := r.URL.Query().Get("program"), r.URL.Query().Get("from")
	messages, err := fetchExport(r.Context(), program, from)
	switch {
	case errors.Is(err, errNotCached):
		replyError(w, http.StatusNotFound, "nothing held at %s", from)
		return
	case err != nil:
		replyError(w, http.StatusBadGateway, "%v", err)
		return
	}
	e.completeImport(w, r, program, messages)
}

// completeImport stores the fetched messages and answers the request.
func (e *Engine) completeImport(w http.ResponseWriter, r *http.Request, program string, messages []structs.Message) {
	stored, err := e.storeImport(r.Context(), program, messages)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case !stored:
		replyError(w, http.StatusConflict, "memory is short")
	default:
		reply(w, http.StatusOK, kvImported{Tokens: PromptTokens(messages)})
	}
}

// fetchExport requests the KV cache of a program from the engine at the address
// from. It returns errNotCached when that engine has none.
func fetchExport(ctx context.Context, program, from string) ([]structs.Message, error) {
	body, err := json.Marshal(exportRequest{Program: program})
	if err != nil {
		return nil, errors.Wrap(err, "encode export request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+from+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build export request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send export request")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errNotCached
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("export: status %d", response.StatusCode)
	}
	var messages []structs.Message
	err = json.NewDecoder(response.Body).Decode(&messages)
	if err != nil {
		return nil, errors.Wrap(err, "decode export reply")
	}
	return messages, nil
}

// storeImport reserves memory, waits for the duration of the transfer and stores
// the cache. It returns false when there is too little memory. A release during
// the transfer drops the imported cache too.
func (e *Engine) storeImport(ctx context.Context, program string, messages []structs.Message) (bool, error) {
	tokens := PromptTokens(messages)
	e.mu.Lock()
	memory := e.cache
	_, reserved, ok := memory.admit(program, messages, tokens)
	e.mu.Unlock()
	if !ok {
		return false, nil
	}
	seconds := float64(tokens) / e.settings.ImportRate
	err := sleepUntil(ctx, time.Now().Add(e.settings.scaled(time.Duration(seconds*float64(time.Second)))))
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.wake()
	if e.cache != memory {
		return false, errCrashed
	}
	if err != nil {
		memory.finish(program, reserved, nil)
		return false, err
	}
	memory.finishImport(program, reserved, messages)
	e.events.add(program, eventStored, tokens)
	e.counts.Imports++
	e.counts.ImportedTokens += tokens
	return true, nil
}
