package gateway

import (
	"bufio"
	"bytes"
	"mime"
	"net/http"
	"time"

	"ibisline/internal/structs"
	"ibisline/internal/upstream"
)

const (
	// eventBufferBytes is what a stream holds at first, and maxEventBytes the
	// longest event.
	eventBufferBytes = 2 << 10
	maxEventBytes    = 1 << 20
)

// isEventStream reports whether an answer is a stream of server-sent events.
func isEventStream(answer *upstream.Answer) bool {
	kind, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// passStream passes whole events on as they arrive. A break after the first byte
// ends the caller's connection, so that the answer does not look complete.
func (g *Gateway) passStream(w http.ResponseWriter, j *job, server structs.Server, answer *upstream.Answer) (bool, error) {
	defer g.tracker.done(server.Name)
	defer answer.Close()
	g.writeHead(w, answer)
	control := http.NewResponseController(w)
	events := bufio.NewScanner(answer)
	events.Buffer(make([]byte, eventBufferBytes), maxEventBytes)
	events.Split(splitEvents(answer.Whole))
	for events.Scan() {
		event := events.Bytes()
		if _, err := w.Write(event); err != nil {
			panic(http.ErrAbortHandler)
		}
		j.delivered(event)
		if err := control.Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if err := events.Err(); err != nil {
		g.tracker.failed(server.Name, time.Now())
		g.Log.WithError(err).WithField("request", j.ID).WithField("server", server.Name).WithField("events", j.events).
			Info("stream broke")
		panic(http.ErrAbortHandler)
	}
	g.tracker.answered(server.Name)
	return false, nil
}

// splitEvents splits a stream into whole events, each with the empty line that ends
// it. What stands after the last one is passed on only if the stream is whole.
func splitEvents(whole func() bool) bufio.SplitFunc {
	return func(data []byte, atEOF bool) (int, []byte, error) {
		for start := 0; ; {
			line := bytes.IndexByte(data[start:], '\n')
			if line < 0 {
				break
			}
			end := start + line + 1
			if len(bytes.TrimRight(data[start:end], "\r\n")) == 0 {
				return end, data[:end], nil
			}
			start = end
		}
		if atEOF && len(data) > 0 && whole() {
			return len(data), data, nil
		}
		return 0, nil, nil
	}
}

// idField begins the line of an event that names it.
var idField = []byte("id:")

// delivered notes an event that the caller got.
func (j *job) delivered(event []byte) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			j.lastEvent = string(bytes.TrimSpace(rest))
			j.events++
			return
		}
	}
}

// writeHead passes on the head of an answer.
func (g *Gateway) writeHead(w http.ResponseWriter, answer *upstream.Answer) {
	header := w.Header()
	for name, values := range g.Dialect.AnswerHeader(answer.Header) {
		header[name] = values
	}
	suppressDefaults(header)
	w.WriteHeader(answer.Status)
}
