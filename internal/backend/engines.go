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

// EngineOptions are the limits of the engine client.
type EngineOptions struct {
	// StallTimeout ends a generation whose engine sends nothing for so long.
	StallTimeout time.Duration
	// ControlTimeout bounds each call that is not a generation.
	ControlTimeout time.Duration
}

// Default limits of the engine client.
const (
	DefaultStallTimeout   = 60 * time.Second
	DefaultControlTimeout = 2 * time.Second
)

// Engines is the client of all model engines. It is safe for concurrent use.
type Engines struct {
	options EngineOptions
	streams httpc.Service
	control httpc.Service
}

// NewEngines returns a client. Limits of zero take their defaults.
func NewEngines(options EngineOptions) *Engines {
	defaults.Set(&options.StallTimeout, DefaultStallTimeout)
	defaults.Set(&options.ControlTimeout, DefaultControlTimeout)
	return &Engines{options: options, streams: newService(false), control: newService(false)}
}

// Load is an engine's late report about itself.
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

// KVEvent is one change of an engine's KV cache. Events come late and with gaps.
type KVEvent struct {
	Seq     int64  `json:"seq"`
	Program string `json:"program"`
	Kind    string `json:"kind"`
	Tokens  int    `json:"tokens"`
}

// KVEvents is a batch of events and the position to ask from next.
type KVEvents struct {
	Next   int64     `json:"next"`
	Events []KVEvent `json:"events"`
}

// Load asks the engine for its load report.
func (e *Engines) Load(ctx context.Context, server structs.Server) (Load, error) {
	var load Load
	err := e.call(ctx, http.MethodGet, server, "/v1/load", nil, &load)
	return load, err
}

// ListKV returns the KV memory that the engine holds, in tokens by program.
func (e *Engines) ListKV(ctx context.Context, server structs.Server) (map[string]int, error) {
	var reply struct {
		Programs map[string]int `json:"programs"`
	}
	err := e.call(ctx, http.MethodGet, server, "/v1/kv", nil, &reply)
	return reply.Programs, err
}

// ReleaseKV releases the KV memory of a program. The error is ErrNotHeld when
// the engine held none.
func (e *Engines) ReleaseKV(ctx context.Context, server structs.Server, program string) error {
	return e.call(ctx, http.MethodDelete, server, "/v1/kv/"+url.PathEscape(program), nil, nil)
}

// kvImported is the answer to an import.
type kvImported struct {
	Tokens int `json:"tokens"`
}

// ImportKV asks the engine to pull the KV cache of a program from the engine at
// the address from, and returns the imported tokens. It is bounded by ctx alone.
// The error is ErrNotHeld when that engine held none. Whatever the error, the
// engine may hold a part.
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
	var imported kvImported
	err = finishCall(response, &imported)
	return imported.Tokens, err
}

// KVEvents returns the cache events after a position.
func (e *Engines) KVEvents(ctx context.Context, server structs.Server, after int64) (KVEvents, error) {
	var events KVEvents
	path := "/v1/kv/events?after=" + strconv.FormatInt(after, 10)
	err := e.call(ctx, http.MethodGet, server, path, nil, &events)
	return events, err
}

// call makes one control call. The reply is decoded into the given value when
// it is not nil.
func (e *Engines) call(ctx context.Context, method string, server structs.Server, path string, body, into any) error {
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
	return finishCall(response, into)
}

// finishCall checks the status of a control call and decodes its reply.
func finishCall(response *http.Response, into any) error {
	switch {
	case response.StatusCode == http.StatusNotFound:
		discard(response)
		return ErrNotHeld
	case response.StatusCode != http.StatusOK:
		discard(response)
		return rejected(response)
	case into == nil:
		discard(response)
		return nil
	default:
		return readJSON(response, into)
	}
}

// newRequest builds a request whose body, when there is one, is JSON.
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
