package front

import (
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// delivery hands an answer's events to the caller's sink over several attempts,
// each of which replays the answer. Text that the caller has is compared and
// skipped; the caller sees each byte once, and its events numbered without gaps.
type delivery struct {
	sink structs.Sink
	// delivered is what the caller has.
	delivered structs.Position
	// read is how far this attempt has come, in the home's own events.
	read structs.Position
	done bool
	// stopped is the error that ended the attempt from this side: the sink's, a
	// gap, or a changed answer.
	stopped error
	// passing is a failure of the home that another attempt may get over.
	passing *verdict.Error
}

// newDelivery returns a delivery to a caller that has everything up to from.
func newDelivery(from structs.Position, sink structs.Sink) *delivery {
	return &delivery{sink: sink, delivered: from}
}

// rewind starts an attempt whose first event follows start.
func (d *delivery) rewind(start structs.Position) {
	d.read = start
	d.passing = nil
}

// accept takes the next event of this attempt. It is a structs.Sink.
func (d *delivery) accept(event structs.Event) error {
	err := d.take(event)
	if err != nil {
		d.stopped = err
	}
	return err
}

func (d *delivery) take(event structs.Event) error {
	if event.Done && event.Err != nil && transient(event.Err.Reason) {
		d.passing = event.Err
		return event.Err
	}
	if event.Seq != d.read.Seq+1 {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost,
			"event %d came after event %d", event.Seq, d.read.Seq)
	}
	d.read.Seq = event.Seq
	text, err := d.unseen(event.Text)
	if err != nil {
		return err
	}
	known := text == "" && event.Seq <= d.delivered.Seq
	if known && !event.Done {
		return nil
	}
	if event.Done && event.Err == nil && d.read.Bytes < d.delivered.Bytes {
		return restarted()
	}
	return d.pass(event, text)
}

// unseen compares the part of text that the caller has and returns the rest.
func (d *delivery) unseen(text string) (string, error) {
	missing := d.delivered.Bytes - d.read.Bytes
	if missing <= 0 {
		d.read.Advance(text)
		return text, nil
	}
	seen := text[:min(missing, len(text))]
	d.read.Advance(seen)
	if d.read.Bytes < d.delivered.Bytes {
		return "", nil
	}
	if d.read.Sum != d.delivered.Sum {
		return "", restarted()
	}
	rest := text[len(seen):]
	d.read.Advance(rest)
	return rest, nil
}

// pass hands new text to the caller.
func (d *delivery) pass(event structs.Event, text string) error {
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

// restarted is the error for an answer whose text is no longer the one that the
// caller has a part of. The two are never spliced.
func restarted() error {
	return verdict.New(verdict.MayHaveRun, verdict.AnswerRestarted,
		"the turn ran again with other text; drop the text received and fetch the turn from its start")
}

// outcome returns the result of an attempt, given the error of the home.
func (d *delivery) outcome(err error) error {
	if d.done {
		return nil
	}
	if d.passing != nil {
		passing := d.passing
		d.stopped = nil
		return passing
	}
	if d.stopped != nil {
		stopped := d.stopped
		d.stopped = nil
		return stopped
	}
	if err == nil {
		return verdict.New(verdict.MayHaveRun, verdict.PeerLost, "answer ended without its last event")
	}
	return err
}
