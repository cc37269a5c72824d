// Package caller is a client of the HTTP API that daemons serve to agent programs. Test
// jobs, the load generator and the scenario tests use it. It never retries a request.
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

	"ibisline/internal/httpresponse"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Response headers of the API.
const (
	headerVerdict   = "Ibis-Verdict"
	headerRequestID = "Ibis-Request-Id"
)

// maxEventBytes limits the size of one server-sent event.
const maxEventBytes = 1 << 20

// Client sends requests to one daemon. Failed requests return *verdict.Error; an
// incomplete response is reported as MayHaveRun with reason PeerLost.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the daemon at addr, an IP:port. Clients can share a transport.
// Redirects are not followed.
func New(addr string, transport http.RoundTripper) *Client {
	refuseRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base: "http://" + addr,
		http: &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
	}
}

// NewTransport returns a transport without a proxy that keeps enough idle connections
// for many concurrent streams.
func NewTransport() *httpresponse.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConns = 0
	transport.MaxIdleConnsPerHost = 1024
	return httpresponse.NewTransport(transport)
}

// Answer is the response to a turn. With an error it holds the part received so far.
type Answer struct {
	Text string
	// Last is the final event of the stream.
	Last structs.Event
	// FirstEvent is the time from the request to the first event with text.
	FirstEvent time.Duration
	Verdict    verdict.Verdict
	RequestID  string
}

// Open opens a program and returns its identifier.
func (c *Client) Open(ctx context.Context, request structs.OpenRequest) (string, error) {
	var reply structs.OpenReply
	_, err := c.roundTrip(ctx, http.MethodPost, "/v1/programs", request, &reply)
	return reply.Program, err
}

// State returns the state of a program.
func (c *Client) State(ctx context.Context, program string) (structs.ProgramState, error) {
	var state structs.ProgramState
	_, err := c.roundTrip(ctx, http.MethodGet, programPath(program), nil, &state)
	return state, err
}

// End ends a program.
func (c *Client) End(ctx context.Context, program string) error {
	_, err := c.roundTrip(ctx, http.MethodDelete, programPath(program), nil, nil)
	return err
}

// Call makes a tool call of a program.
func (c *Client) Call(ctx context.Context, request structs.CallRequest) (structs.CallReply, error) {
	var reply structs.CallReply
	_, err := c.roundTrip(ctx, http.MethodPost, programPath(request.Program)+"/calls", request, &reply)
	return reply, err
}

// Turn runs a turn and reads its response to the end.
func (c *Client) Turn(ctx context.Context, request structs.TurnRequest) (Answer, error) {
	start := time.Now()
	response, err := c.send(ctx, http.MethodPost, programPath(request.Program)+"/turns", request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	return readAnswer(response, start)
}

// Resume reads the response to an existing turn, starting behind the event with
// identifier after, or from the first event if after is empty.
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

// programPath returns the URL path of a program.
func programPath(program string) string {
	return "/v1/programs/" + url.PathEscape(program)
}

// roundTrip sends one request and decodes the JSON response into reply unless that is
// nil.
func (c *Client) roundTrip(ctx context.Context, method, path string, request, reply any) (http.Header, error) {
	response, err := c.send(ctx, method, path, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, incompleteResponse(err)
	}
	if reply == nil {
		return response.Header, nil
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return nil, incompleteResponse(err)
	}
	return response.Header, nil
}

// send returns the response to a request if its status is 200, and otherwise the error
// in its body.
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
		return nil, incompleteResponse(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeError(response)
}

// errorBody is the body of an error response.
type errorBody struct {
	verdict.Error
	RetryAfterMS int64 `json:"retry_after_ms"`
}

// decodeError decodes an error response.
func decodeError(response *http.Response) error {
	var body errorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return incompleteResponse(errors.Wrapf(err, "status %d", response.StatusCode))
	}
	return body.Error.RetryIn(time.Duration(body.RetryAfterMS) * time.Millisecond)
}

// incompleteResponse wraps the cause of a response that was lost or incomplete.
func incompleteResponse(err error) error {
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.PeerLost, "incomplete response")
}

// readAnswer reads events up to the final one and checks that their sequence has no
// gap.
func readAnswer(response *http.Response, start time.Time) (Answer, error) {
	answer := Answer{RequestID: response.Header.Get(headerRequestID)}
	_ = answer.Verdict.UnmarshalText([]byte(response.Header.Get(headerVerdict)))
	seq := -1
	for message, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return answer, incompleteResponse(err)
		}
		var event structs.Event
		if err := json.Unmarshal([]byte(message.Data), &event); err != nil {
			return answer, incompleteResponse(err)
		}
		if seq >= 0 && event.Seq != seq+1 {
			return answer, incompleteResponse(errors.Errorf("event %d follows event %d", event.Seq, seq))
		}
		seq = event.Seq
		if event.Text != "" && answer.Text == "" {
			answer.FirstEvent = time.Since(start)
		}
		answer.Text += event.Text
		if event.Done {
			return completeAnswer(answer, event)
		}
	}
	return answer, incompleteResponse(io.ErrUnexpectedEOF)
}

// completeAnswer adds the final event to an answer and returns its error, if any.
func completeAnswer(answer Answer, last structs.Event) (Answer, error) {
	answer.Last = last
	if last.Err != nil {
		return answer, last.Err
	}
	return answer, nil
}
