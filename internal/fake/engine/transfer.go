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
	errNotHeld = errors.New("nothing held")
	errCrashed = errors.New("engine crashed during the import")
)

// exportKV hands out the cache of a program.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var request exportRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, "malformed request: %v", err)
		return
	}
	if e.hangsExport() {
		<-r.Context().Done()
		return
	}
	e.mu.Lock()
	messages := e.cache.export(request.Program)
	e.mu.Unlock()
	if len(messages) == 0 {
		refuse(w, http.StatusNotFound, "nothing held")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = json.NewEncoder(w).Encode(messages)
}

// hangsExport counts an export that is asked for and tells whether it hangs.
func (e *Engine) hangsExport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Exports++
	return e.faults.HangExport
}

// importKV pulls the cache of a program from another engine.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	if e.settings.ImportRate <= 0 {
		refuse(w, http.StatusNotImplemented, "this engine imports nothing")
		return
	}
	if e.Faults().Leaving {
		refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	program, from := r.URL.Query().Get("program"), r.URL.Query().Get("from")
	messages, err := pull(r.Context(), program, from)
	switch {
	case errors.Is(err, errNotHeld):
		refuse(w, http.StatusNotFound, "nothing held at %s", from)
		return
	case err != nil:
		refuse(w, http.StatusBadGateway, "%v", err)
		return
	}
	e.finishImport(w, r, program, messages)
}

// finishImport stores what was pulled and answers.
func (e *Engine) finishImport(w http.ResponseWriter, r *http.Request, program string, messages []structs.Message) {
	stored, err := e.store(r.Context(), program, messages)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case !stored:
		refuse(w, http.StatusConflict, "memory is short")
	default:
		reply(w, http.StatusOK, kvImported{Tokens: PromptTokens(messages)})
	}
}

// pull reads the cache from the engine at an address.
func pull(ctx context.Context, program, from string) ([]structs.Message, error) {
	body, err := json.Marshal(exportRequest{Program: program})
	if err != nil {
		return nil, errors.Wrap(err, "encode export")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+from+"/v1/kv/export", bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build export")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask for export")
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errNotHeld
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("export: status %d", response.StatusCode)
	}
	var messages []structs.Message
	err = json.NewDecoder(response.Body).Decode(&messages)
	if err != nil {
		return nil, errors.Wrap(err, "read export")
	}
	return messages, nil
}

// store takes memory, spends the time of the transfer and keeps the cache. It
// returns false when memory is short. A release meanwhile holds afterwards.
func (e *Engine) store(ctx context.Context, program string, messages []structs.Message) (bool, error) {
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
	memory.keep(program, reserved, messages)
	e.events.add(program, eventStored, tokens)
	e.counts.Imports++
	e.counts.ImportedTokens += tokens
	return true, nil
}
