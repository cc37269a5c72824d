package gateway

import (
	"context"
	"io"
	"net/http"
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
// maxBufferedBytes is an error, as it could only be forwarded incomplete.
func (g *Gateway) readBody(ctx context.Context, response *upstream.Response) ([]byte, error) {
	start, err := io.ReadAll(io.LimitReader(response, smallResponseBytes))
	if err != nil || len(start) < smallResponseBytes {
		return start, err
	}
	select {
	case g.largeResponses <- struct{}{}:
		defer func() { <-g.largeResponses }()
	case <-ctx.Done():
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.BackendTimeout, "no buffer for a large response")
	}
	rest, err := response.ReadAll(maxBufferedBytes - smallResponseBytes)
	if err != nil {
		return nil, err
	}
	if err := httpconn.Hold(ctx, len(start)+len(rest)); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "the connection of the caller was closed")
	}
	return append(start, rest...), nil
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

// fail responds to a request that failed before a response of a server was forwarded.
func (g *Gateway) fail(w http.ResponseWriter, r *http.Request, j *job, err error) {
	failure := verdict.From(err)
	j.summary.failure = failure
	if r.Context().Err() != nil {
		// The caller has disconnected; nobody reads a response.
		panic(http.ErrAbortHandler)
	}
	status, header := g.Dialect.FailureResponse(failure)
	j.summary.status = status
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, failure.Message+"\n")
}
