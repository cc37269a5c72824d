// Package caller is a client of the callers' interface, for the stand-in jobs,
// the load generator and the scenarios. It never repeats a request by itself.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Headers of the callers' interface.
const (
	headerVerdict   = "Ibis-Verdict"
	headerRequestID = "Ibis-Request-Id"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Client talks to one daemon. Its errors are *verdict.Error; an answer that
// breaks off reads as MayHaveRun with reason PeerLost.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the daemon at addr, IP:port. All clients may share one
// transport.
func New(addr string, transport http.RoundTripper) *Client {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// NewTransport returns a transport for many concurrent streams.
func NewTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = 1024
	return transport
}

// Answer is a whole answer to a turn.
type Answer struct {
	Text string
	// Last is the final event.
	Last structs.Event
	// FirstEvent is the time from the request to the first event with text.
	FirstEvent time.Duration
	Verdict    verdict.Verdict
	RequestID  string
}

// Open opens a program.
func (c *Client) Open(ctx context.Context, request structs.OpenRequest) (string, error) {
	var reply structs.OpenReply
	_, err := c.exchange(ctx, http.MethodPost, "/v1/programs", request, &reply)
	return reply.Program, err
}

// State returns the state of a program.
func (c *Client) State(ctx context.Context, program string) (structs.ProgramState, error) {
	var state structs.ProgramState
	_, err := c.exchange(ctx, http.MethodGet, programPath(program), nil, &state)
	return state, err
}

// End ends a program.
func (c *Client) End(ctx context.Context, program string) error {
	_, err := c.exchange(ctx, http.MethodDelete, programPath(program), nil, nil)
	return err
}

// Call makes a tool call.
func (c *Client) Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	var reply structs.CallReply
	_, err := c.exchange(ctx, http.MethodPost, programPath(request.Program)+"/calls", request, &reply)
	return reply, err
}

// Turn runs a turn and reads its answer to the end.
func (c *Client) Turn(ctx context.Context, request structs.TurnRequest) (Answer, error) {
	start := time.Now()
	response, err := c.send(ctx, http.MethodPost, programPath(request.Program)+"/turns", request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return readAnswer(response, start)
}

// Resume reads a known turn's answer behind the event with identifier after;
// empty means from the start.
func (c *Client) Resume(ctx context.Context, program string, turn int, after string) (Answer, error) {
	start := time.Now()
	path := fmt.Sprintf("%s/turns/%d", programPath(program), turn)
	if after != "" {
		path += "?after=" + url.QueryEscape(after)
	}
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return readAnswer(response, start)
}

// programPath returns the path of a program.
func programPath(program string) string {
	return "/v1/programs/" + url.PathEscape(program)
}

// exchange sends one request and decodes its JSON answer.
func (c *Client) exchange(ctx context.Context, method, path string, request, reply any) (http.Header, error) {
	response, err := c.send(ctx, method, path, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, broken(err)
	}
	if reply == nil {
		return response.Header, nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return nil, broken(err)
	}
	return response.Header, nil
}

// send returns the answer to a request when its status is 200, and else the
// error that its body holds.
func (c *Client) send(ctx context.Context, method, path string, request any) (*http.Response, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(r)
	if err != nil {
		return nil, broken(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readFailure(response)
}

// failure is the body of an error.
type failure struct {
	verdict.Error
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// readFailure decodes an error.
func readFailure(response *http.Response) error {
	var f failure
	if err := json.NewDecoder(response.Body).Decode(&f); err != nil {
		return broken(errors.Wrapf(err, "status %d", response.StatusCode))
	}
	return f.Error.RetryIn(time.Duration(f.RetryAfterMS) * time.Millisecond)
}

// broken is the error of an exchange that ended without a whole answer.
func broken(err error) error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.PeerLost, "no whole answer")
}

// readAnswer reads events to the last one and checks that none is missing.
func readAnswer(response *http.Response, start time.Time) (Answer, error) {
	answer := Answer{RequestID: response.Header.Get(headerRequestID)}
	_ = answer.Verdict.UnmarshalText([]byte(response.Header.Get(headerVerdict)))
	seq := -1
	for message, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return answer, broken(err)
		}
		var event structs.Event
		if err := json.Unmarshal([]byte(message.Data), &event); err != nil {
			return answer, broken(err)
		}
		if seq >= 0 && event.Seq != seq+1 {
			return answer, broken(errors.Errorf("event %d follows event %d", event.Seq, seq))
		}
		seq = event.Seq
		if event.Text != "" && answer.Text == "" {
			answer.FirstEvent = time.Since(start)
		}
		answer.Text += event.Text
		if event.Done {
			return finish(answer, event)
		}
	}
	return answer, broken(io.ErrUnexpectedEOF)
}

// finish ends an answer with its last event.
func finish(answer Answer, last structs.Event) (Answer, error) {
	answer.Last = last
	if last.Err != nil {
		return answer, last.Err
	}
	return answer, nil
}
