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

// events writes an answer as server-sent events. The status and headers are
// written with the first event, so that a failure before it has a status of its own.
type events struct {
	x       *exchange
	timeout time.Duration
	control *http.ResponseController
	at      structs.Position
	whole   bool
	started bool
	slow    func()
}

// newEvents returns a writer for an answer whose caller has everything up to from.
func (a *API) newEvents(x *exchange, from structs.Position) *events {
	return &events{
		x:       x,
		timeout: a.config.WriteTimeout,
		control: http.NewResponseController(x.w),
		at:      from,
		whole:   from.Whole(),
		slow:    a.slow.Inc,
	}
}

// send writes one event and waits until it is handed to the connection. It is a
// structs.Sink. A caller that does not read for the write timeout is dropped.
func (e *events) send(event structs.Event) error {
	if !e.started && event.Done && event.Err != nil {
		// Nothing was written, so the failure gets a status of its own.
		return event.Err
	}
	e.begin()
	e.at.Seq = event.Seq
	e.at.Advance(event.Text)
	return e.write(event)
}

// begin writes the headers of a stream. An event says that the turn ran.
func (e *events) begin() {
	if e.started {
		return
	}
	e.started = true
	header := e.x.w.Header()
	header.Set(headerType, "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderVerdict, verdict.Ran.String())
	e.x.w.WriteHeader(http.StatusOK)
}

// identifier is what a caller names to resume after the last event. Without a
// whole position it is the event's number alone.
func (e *events) identifier() string {
	if e.whole {
		return e.at.String()
	}
	return e.at.Count()
}

// write encodes and flushes one event.
func (e *events) write(event structs.Event) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	message := sse.Message{ID: sse.ID(e.identifier())}
	message.AppendData(string(data))
	// A response writer without deadlines is bounded by its own server.
	_ = e.control.SetWriteDeadline(time.Now().Add(e.timeout))
	if _, err := message.WriteTo(e.x.w); err != nil {
		return e.dropped(err)
	}
	if err := e.control.Flush(); err != nil {
		return e.dropped(err)
	}
	_ = e.control.SetWriteDeadline(time.Time{})
	return nil
}

// dropped ends the delivery to a caller that is gone or too slow.
func (e *events) dropped(err error) error {
	if e.x.r.Context().Err() == nil {
		e.slow()
	}
	return errors.Wrap(err, "caller dropped")
}

// finish ends the stream with the error of the turn. A failure after the first
// event becomes the last event.
func (e *events) finish(err error) error {
	if err == nil {
		return nil
	}
	if !e.started {
		return err
	}
	if e.x.r.Context().Err() != nil {
		return nil
	}
	failure := structs.Event{Seq: e.at.Seq + 1, Done: true, Err: verdict.From(err)}
	e.at.Seq++
	_ = e.write(failure)
	return nil
}
