package front

import (
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// delivery passes the events of an answer to the caller's sink across several
// attempts, each of which replays the answer. Text that the caller already has is
// verified and skipped: the caller receives each byte once, in events that are
// numbered without gaps.
type delivery struct {
	sink structs.Sink
	// delivered is the position up to which the caller has the answer.
	delivered structs.Position
	// received is the position of the current attempt, in the home's event numbers.
	received structs.Position
	done     bool
	// localErr is the error with which this side ended the attempt: a sink error,
	// a gap in the event numbers, or a changed answer.
	localErr error
	// transientErr is a failure reported by the home that a retry may resolve.
	transientErr *verdict.Error
}

// newDelivery returns a delivery to a caller that has the answer up to from.
func newDelivery(from structs.Position, sink structs.Sink) *delivery {
	return &delivery{sink: sink, delivered: from}
}

// rewind prepares for a new attempt whose first event follows start.
func (d *delivery) rewind(start structs.Position) {
	d.received = start
	d.transientErr = nil
}

// accept handles the next event of the current attempt. It is a structs.Sink.
func (d *delivery) accept(event structs.Event) error {
	err := d.process(event)
	if err != nil {
		d.localErr = err
	}
	return err
}

// process verifies event and delivers the part that the caller does not have.
func (d *delivery) process(event structs.Event) error {
	if event.Done && event.Err != nil && isTransient(event.Err.Reason) {
		d.transientErr = event.Err
		return event.Err
	}
	if event.Seq != d.received.Seq+1 {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost,
			"event %d came after event %d", event.Seq, d.received.Seq)
	}
	d.received.Seq = event.Seq
	text, err := d.skipDelivered(event.Text)
	if err != nil {
		return err
	}
	duplicate := text == "" && event.Seq <= d.delivered.Seq
	if duplicate && !event.Done {
		return nil
	}
	if event.Done && event.Err == nil && d.received.Bytes < d.delivered.Bytes {
		return answerRestarted()
	}
	return d.deliver(event, text)
}

// skipDelivered verifies the part of text that the caller already has and returns
// the rest.
func (d *delivery) skipDelivered(text string) (string, error) {
	remaining := d.delivered.Bytes - d.received.Bytes
	if remaining <= 0 {
		d.received.Advance(text)
		return text, nil
	}
	overlap := text[:min(remaining, len(text))]
	d.received.Advance(overlap)
	if d.received.Bytes < d.delivered.Bytes {
		return "", nil
	}
	if d.received.Checksum != d.delivered.Checksum {
		return "", answerRestarted()
	}
	rest := text[len(overlap):]
	d.received.Advance(rest)
	return rest, nil
}

// deliver sends new text to the caller under the next event number.
func (d *delivery) deliver(event structs.Event, text string) error {
	event.Seq = d.delivered.Seq + 1
	event.Text = text
	if err := d.sink(event); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "caller takes no more events")
	}
	d.delivered.Seq++
	d.delivered.Advance(text)
	d.done = event.Done
	return nil
}

// answerRestarted returns the error for an answer whose text differs from the part
// that the caller already has. The two texts are never combined.
func answerRestarted() error {
	return verdict.New(verdict.MayHaveRun, verdict.AnswerRestarted,
		"the turn ran again with other text; drop the text received and fetch the turn from its start")
}

// result returns the result of an attempt, given the error returned by the home.
func (d *delivery) result(err error) error {
	if d.done {
		return nil
	}
	if d.transientErr != nil {
		transientErr := d.transientErr
		d.localErr = nil
		return transientErr
	}
	if d.localErr != nil {
		localErr := d.localErr
		d.localErr = nil
		return localErr
	}
	if err == nil {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "answer ended without its last event")
	}
	return err
}
