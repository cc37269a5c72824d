package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"ibisline/internal/defaults"
	"ibisline/internal/structs"
)

// EngineOptions holds the timeouts of Engines. Zero fields take their defaults.
type EngineOptions struct {
	// StallTimeout is the time without data from the engine after which a generation
	// is aborted.
	StallTimeout time.Duration
	// ControlTimeout bounds each control call, that is, every call except Generate
	// and ImportKV.
	ControlTimeout time.Duration
}

// Defaults of EngineOptions.
const (
	DefaultStallTimeout   = 60 * time.Second
	DefaultControlTimeout = 2 * time.Second
)

// Engines is the HTTP client for model engines. It is safe for concurrent use.
type Engines struct {
	options EngineOptions
	streams httpc.Service
	control httpc.Service
}

// NewEngines returns a client with the given timeouts.
func NewEngines(options EngineOptions) *Engines {
	defaults.Set(&options.StallTimeout, DefaultStallTimeout)
	defaults.Set(&options.ControlTimeout, DefaultControlTimeout)
	return &Engines{options: options, streams: newService(false), control: newService(false)}
}

// Load is the load report of an engine. It may be stale; AgeMS is its age.
type Load struct {
	Running       int      `json:"running"`
	Waiting       int      `json:"waiting"`
	KVUsedTokens  int      `json:"kv_used_tokens"`
	KVTotalTokens int      `json:"kv_total_tokens"`
	DecodeMS      float64  `json:"decode_ms"`
	AgeMS         float64  `json:"age_ms"`
	Leaving       bool     `json:"leaving"`
	Models        []string `json:"models"`
}

// Kinds of KV cache events.
const (
	KVStored  = "stored"
	KVEvicted = "evicted"
)

// KVEvent is one change of an engine's KV cache. Events may be delayed or lost.
type KVEvent struct {
	Seq     int64  `json:"seq"`
	Program string `json:"program"`
	Kind    string `json:"kind"`
	Tokens  int    `json:"tokens"`
}

// KVEvents is a batch of events. Next is the position for the next request.
type KVEvents struct {
	Next   int64     `json:"next"`
	Events []KVEvent `json:"events"`
}

// Load requests the load report of the engine.
func (e *Engines) Load(ctx context.Context, server structs.Server) (Load, error) {
	var load Load
	err := e.call(ctx, http.MethodGet, server, "/v1/load", nil, &load)
	return load, err
}

// ListKV returns the KV cache usage of the engine, in tokens by program.
func (e *Engines) ListKV(ctx context.Context, server structs.Server) (map[string]int, error) {
	var listing struct {
		Programs map[string]int `json:"programs"`
	}
	err := e.call(ctx, http.MethodGet, server, "/v1/kv", nil, &listing)
	return listing.Programs, err
}

// ReleaseKV releases the KV cache of a program. It returns ErrNotHeld if the engine
// holds none.
func (e *Engines) ReleaseKV(ctx context.Context, server structs.Server, program string) error {
	return e.call(ctx, http.MethodDelete, server, "/v1/kv/"+url.PathEscape(program), nil, nil)
}

// importReply is the reply to an import.
type importReply struct {
	Tokens int `json:"tokens"`
}

// ImportKV makes the engine fetch the KV cache of a program from the engine at the
// address from, IP:port, and returns the number of imported tokens. It is bounded
// by ctx only, not by ControlTimeout. It returns ErrNotHeld if the source engine
// holds none. After any error the importing engine may hold a part of the cache.
func (e *Engines) ImportKV(ctx context.Context, server structs.Server, program, from string) (int, error) {
	query := url.Values{"program": {program}, "from": {from}}
	request, err := newRequest(ctx, http.MethodPost, server, "/v1/kv/import?"+query.Encode(), nil)
	if err != nil {
		return 0, err
	}
	var x exchange
	response, err := x.do(e.control, request)
	if err != nil {
		return 0, err
	}
	var imported importReply
	err = decodeReply(response, &imported)
	return imported.Tokens, err
}

// KVEvents returns the KV cache events after the given position.
func (e *Engines) KVEvents(ctx context.Context, server structs.Server, after int64) (KVEvents, error) {
	var events KVEvents
	path := "/v1/kv/events?after=" + strconv.FormatInt(after, 10)
	err := e.call(ctx, http.MethodGet, server, path, nil, &events)
	return events, err
}

// call makes one control call and decodes the reply into reply unless it is nil.
func (e *Engines) call(ctx context.Context, method string, server structs.Server, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, e.options.ControlTimeout)
	defer cancel()
	request, err := newRequest(ctx, method, server, path, body)
	if err != nil {
		return err
	}
	var x exchange
	response, err := x.do(e.control, request)
	if err != nil {
		return err
	}
	return decodeReply(response, reply)
}

// decodeReply checks the status of a control call and decodes its body into reply
// unless it is nil.
func decodeReply(response *http.Response, reply any) error {
	switch {
	case response.StatusCode == http.StatusNotFound:
		discard(response)
		return ErrNotHeld
	case response.StatusCode != http.StatusOK:
		discard(response)
		return unexpectedStatus(response)
	case reply == nil:
		discard(response)
		return nil
	default:
		return readJSON(response, reply)
	}
}

// newRequest builds a request with body encoded as JSON, or without a body if it is
// nil.
func newRequest(ctx context.Context, method string, server structs.Server, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server.Addr+path, content)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}
