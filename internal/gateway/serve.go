package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"ibisline/internal/httpconn"
	"ibisline/internal/structs"
	"ibisline/internal/upstream"
	"ibisline/internal/verdict"
)

const (
	// maxBufferedBytes limits a response that is buffered before it is forwarded.
	maxBufferedBytes = 1 << 20
	// smallResponseBytes is the size up to which responses are buffered at any time, and
	// maxLargeResponses the number of larger ones that are buffered at the same time: faulty
	// servers may send bytes without end to every request.
	smallResponseBytes = 64 << 10
	maxLargeResponses  = 8
	// uncountedResponseBytes is the size up to which a response is a part of what its connection is estimated
	// to hold.
	uncountedResponseBytes = 4 << 10
	// maxDiscardedBytes limits the rest of a response that is read to reuse its connection.
	maxDiscardedBytes = 4 << 10
)

// serve sends a request to a backend server and forwards the response.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	if err := g.loadHistory(ctx, j); err != nil {
		g.fail(w, r, j, err)
		return
	}
	if err := g.checkRefused(j); err != nil {
		g.fail(w, r, j, err)
		return
	}
	if j.route.Kind == structs.Stream {
		g.serveStream(ctx, w, r, j)
		return
	}
	response, err := g.call(ctx, j)
	if err != nil {
		g.fail(w, r, j, err)
		return
	}
	j.summary.firstByteTime = time.Since(j.Arrived)
	j.summary.status = response.status
	g.writeBuffered(w, response)
}

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// readBody reads the whole body of a response that is not a stream. A body longer than
// maxBufferedBytes is an error, as it could only be forwarded incomplete. Where memory is short it is read
// as room becomes free.
func (g *Gateway) readBody(ctx context.Context, response *upstream.Response) ([]byte, error) {
	if response.Length >= 0 && response.Length < smallResponseBytes {
		body, err := response.ReadAll(smallResponseBytes)
		if err != nil {
			return nil, err
		}
		return body, g.awaitMemory(ctx, len(body)-uncountedResponseBytes)
	}
	var start []byte
	if response.Length < 0 {
		var err error
		start, err = io.ReadAll(io.LimitReader(response, smallResponseBytes))
		if err != nil {
			return nil, err
		}
		if len(start) < smallResponseBytes {
			return start, g.awaitMemory(ctx, len(start)-uncountedResponseBytes)
		}
	}
	select {
	case g.largeResponses <- struct{}{}:
		defer func() { <-g.largeResponses }()
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.BackendTimeout, "no buffer for a large response")
	}
	expected := maxBufferedBytes
	if response.Length >= 0 {
		expected = int(min(response.Length, maxBufferedBytes))
	}
	if err := g.awaitMemory(ctx, expected); err != nil {
		return nil, err
	}
	rest, err := response.ReadAll(int64(maxBufferedBytes - len(start)))
	if err != nil {
		httpconn.Release(ctx, expected)
		return nil, err
	}
	body := append(start, rest...)
	httpconn.Release(ctx, expected-len(body))
	return body, nil
}

// awaitMemory waits until the process may hold more for a request that was sent to a server.
func (g *Gateway) awaitMemory(ctx context.Context, bytes int) error {
	if bytes <= 0 {
		return nil
	}
	if err := httpconn.Await(ctx, bytes); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.BackendTimeout, "no memory for the response")
	}
	return nil
}

// writeBuffered forwards a buffered response to the caller.
func (g *Gateway) writeBuffered(w http.ResponseWriter, response *bufferedResponse) {
	g.writeHead(w, response.status, response.header)
	_, _ = w.Write(response.body)
}

// writeHead forwards the status and header of a response to the caller.
func (g *Gateway) writeHead(w http.ResponseWriter, status int, sent http.Header) {
	header := w.Header()
	for name, values := range g.Dialect.ResponseHeader(sent) {
		header[name] = values
	}
	suppressDefaults(header)
	w.WriteHeader(status)
}

// suppressDefaults keeps net/http from adding fields that the server did not send.
func suppressDefaults(header http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, sent := header[name]; !sent {
			header[name] = nil
		}
	}
}

// refuse responds to a request that is not served, and reads what is left of its body for a while. Many
// callers read a response only after they have sent the whole request, and closing a connection with unread
// bytes resets it.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, j *job, err error) {
	control := http.NewResponseController(w)
	until := time.Now().Add(discardTime)
	if !j.deadline.IsZero() && j.deadline.Before(until) {
		until = j.deadline
	}
	if r.ContentLength != 0 {
		// An error means that the connection is closed, or that its reads do not block.
		_ = control.SetReadDeadline(until)
		httpconn.Discards(r.Context())
	}
	if r.ContentLength >= 0 && r.ContentLength <= netHTTPDiscards {
		g.fail(w, r, j, err)
		return
	}
	// Otherwise net/http would close the connection. An error means that it does.
	_ = control.EnableFullDuplex()
	g.fail(w, r, j, err)
	if r.Header.Get("Expect") == "" && control.Flush() == nil {
		// An error means that the connection is closed after the response.
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// fail responds to a request that failed before a response of a server was forwarded.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, j *job, err error) {
	failure := verdict.From(err)
	j.summary.failure = failure
	if r.Context().Err() != nil && failure.Reason != verdict.DeadlinePassed {
		// The caller has disconnected; nobody reads a response. After a body that did not arrive in time
		// net/http ends the context although the caller may still be there.
		panic(http.ErrAbortHandler)
	}
	status, header := g.Dialect.FailureResponse(failure)
	j.summary.status = status
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(failure.Message)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, failure.Message+"\n")
}
