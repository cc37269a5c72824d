package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// eventWriter writes an answer as server-sent events. The status and headers are
// written with the first event, so that an earlier failure can have its own status.
type eventWriter struct {
	x               *exchange
	writeTimeout    time.Duration
	control         *http.ResponseController
	position        structs.Position
	hasChecksum     bool
	started         bool
	countSlowCaller func()
}

// newEventWriter returns a writer of the part of an answer that follows from.
func (a *API) newEventWriter(x *exchange, from structs.Position) *eventWriter {
	return &eventWriter{
		x:               x,
		writeTimeout:    a.config.WriteTimeout,
		control:         http.NewResponseController(x.w),
		position:        from,
		hasChecksum:     from.HasChecksum(),
		countSlowCaller: a.slowCallers.Inc,
	}
}

// send writes and flushes one event. It is a structs.Sink. A caller that does not
// read for the write timeout is dropped.
func (e *eventWriter) send(event structs.Event) error {
	if !e.started && event.Done && event.Err != nil {
		// Nothing was written yet, so the failure can have its own status.
		return event.Err
	}
	e.writeHeaders()
	e.position.Seq = event.Seq
	e.position.Advance(event.Text)
	return e.write(event)
}

// writeHeaders writes the status and headers of the stream once. The verdict is ran,
// because a turn that emits an event has run.
func (e *eventWriter) writeHeaders() {
	if e.started {
		return
	}
	e.started = true
	header := e.x.w.Header()
	header.Set(headerContentType, "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderVerdict, verdict.Ran.String())
	e.x.w.WriteHeader(http.StatusOK)
}

// eventID returns the identifier from which a caller resumes after the last event.
// If the position has no checksum, it is the event number alone.
func (e *eventWriter) eventID() string {
	if e.hasChecksum {
		return e.position.String()
	}
	return e.position.SeqString()
}

// write encodes and flushes one event.
func (e *eventWriter) write(event structs.Event) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	message := sse.Message{ID: sse.ID(e.eventID())}
	message.AppendData(string(data))
	// A response writer that does not support deadlines relies on the timeouts of
	// its server.
	_ = e.control.SetWriteDeadline(time.Now().Add(e.writeTimeout))
	if _, err := message.WriteTo(e.x.w); err != nil {
		return e.dropCaller(err)
	}
	if err := e.control.Flush(); err != nil {
		return e.dropCaller(err)
	}
	_ = e.control.SetWriteDeadline(time.Time{})
	return nil
}

// dropCaller counts a caller that is too slow, and returns the error for one that
// is too slow or has disconnected.
func (e *eventWriter) dropCaller(err error) error {
	if e.x.r.Context().Err() == nil {
		e.countSlowCaller()
	}
	return errors.Wrap(err, "write event to caller")
}

// finish ends the stream with the error of the turn. A failure after the first
// event is sent as the final event.
func (e *eventWriter) finish(err error) error {
	if err == nil {
		return nil
	}
	if !e.started {
		return err
	}
	if e.x.r.Context().Err() != nil {
		return nil
	}
	failure := structs.Event{Seq: e.position.Seq + 1, Done: true, Err: verdict.From(err)}
	e.position.Seq++
	_ = e.write(failure)
	return nil
}
