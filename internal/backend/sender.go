package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// DefaultCallTimeout bounds a call to a plain service that sets no timeout.
const DefaultCallTimeout = 30 * time.Second

// Sender sends calls to plain services. Each call uses a new connection, so that
// net/http never resends it.
type Sender struct {
	timeout time.Duration
	calls   httpc.Service
	lookups httpc.Service
}

// NewSender returns a Sender. timeout applies to calls that set none and defaults to
// DefaultCallTimeout.
func NewSender(timeout time.Duration) *Sender {
	if timeout <= 0 {
		timeout = DefaultCallTimeout
	}
	return &Sender{timeout: timeout, calls: newService(true), lookups: newService(false)}
}

// Send posts the call once. An error is *verdict.Error, with verdict NotRun only if
// the call was not encoded or never got a connection.
func (s *Sender) Send(ctx context.Context, server structs.Server, request structs.CallRequest) (structs.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout(request))
	defer cancel()
	httpRequest, err := newCall(ctx, server, request)
	if err != nil {
		return structs.CallReply{}, verdict.Wrap(err, verdict.NotRun, verdict.BadRequest, "call cannot be encoded")
	}
	var x exchange
	response, err := x.do(s.calls, httpRequest)
	if err != nil {
		return structs.CallReply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return structs.CallReply{}, x.classify(ctx, err)
	}
	if len(body) > maxReplyBytes {
		return structs.CallReply{}, verdict.New(verdict.Ran, verdict.BackendFailed, "reply is larger than %d bytes", maxReplyBytes)
	}
	return structs.CallReply{Status: response.StatusCode, Body: body, Verdict: verdict.Ran, Server: server.Name}, nil
}

func (s *Sender) callTimeout(request structs.CallRequest) time.Duration {
	if request.TimeoutMS > 0 {
		return time.Duration(request.TimeoutMS) * time.Millisecond
	}
	return s.timeout
}

// newCall builds the HTTP request of a call. GetBody is nil, so that net/http cannot
// resend the body.
func newCall(ctx context.Context, server structs.Server, request structs.CallRequest) (*http.Request, error) {
	if !strings.HasPrefix(request.Path, "/") {
		return nil, errors.Errorf("path %q does not start with a slash", request.Path)
	}
	target := "http://" + server.Addr + request.Path
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(request.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}
	httpRequest.GetBody = nil
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(HeaderCallKey, CallKey(request.Program, request.Key))
	httpRequest.Header.Set(HeaderCallRequestID, request.RequestID)
	return httpRequest, nil
}

// CallKey returns the key that identifies a call at a plain service.
func CallKey(program, key string) string { return program + "/" + key }

// LookUpOutcome looks up the outcome of a call by its key. ok is false if the service
// supports no lookups or never executed the call.
func (s *Sender) LookUpOutcome(ctx context.Context, server structs.Server, key string) (reply structs.CallReply, ok bool, err error) {
	if !server.Lookup {
		return structs.CallReply{}, false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	request, err := newRequest(ctx, http.MethodGet, server, "/lookup?key="+url.QueryEscape(key), nil)
	if err != nil {
		return structs.CallReply{}, false, verdict.From(err)
	}
	var x exchange
	response, err := x.do(s.lookups, request)
	if err != nil {
		return structs.CallReply{}, false, err
	}
	return readLookup(response, server)
}

// readLookup decodes the response to a lookup.
func readLookup(response *http.Response, server structs.Server) (structs.CallReply, bool, error) {
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		discard(response)
		return structs.CallReply{}, false, nil
	default:
		discard(response)
		return structs.CallReply{}, false, unexpectedStatus(response)
	}
	var found struct {
		Status int    `json:"status"`
		Body   []byte `json:"body"`
	}
	if err := readJSON(response, &found); err != nil {
		return structs.CallReply{}, false, verdict.From(err)
	}
	return structs.CallReply{Status: found.Status, Body: found.Body, Verdict: verdict.Ran, Server: server.Name}, true, nil
}
