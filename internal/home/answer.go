package home

import (
	"context"
	"sync"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// answer is the append-only event list of one run. Any number of readers can follow it
// concurrently, each at its own pace.
type answer struct {
	mu        sync.Mutex
	runID     string
	events    []structs.Event
	textBytes int // total over all events
	err       error
	done      bool
	changed   chan struct{}
}

func newAnswer(run string) *answer {
	return &answer{runID: run, changed: make(chan struct{})}
}

// appendText appends a text event and returns the size of the whole text in bytes.
func (a *answer) appendText(text string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.textBytes += len(text)
	a.appendEvent(structs.Event{Text: text})
	return a.textBytes
}

// appendEvent numbers and stores an event. The caller holds mu.
func (a *answer) appendEvent(event structs.Event) {
	event.Seq = len(a.events) + 1
	event.Run = a.runID
	a.events = append(a.events, event)
	a.notify()
}

// notify wakes the waiting readers. The caller holds mu.
func (a *answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// finish appends the last event.
func (a *answer) finish(last structs.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last.Done = true
	a.done = true
	a.appendEvent(last)
}

// fail ends the answer with an error.
func (a *answer) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
	a.done = true
	a.notify()
}

// textAndEventLengths returns the whole text and the byte length of each event's text.
func (a *answer) textAndEventLengths() (string, []int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var whole []byte
	var lengths []int
	for _, event := range a.events {
		whole = append(whole, event.Text...)
		lengths = append(lengths, len(event.Text))
	}
	return string(whole), lengths
}

// follow delivers the events after the given sequence number until the answer ends. If
// the answer failed, a reader that already received events gets a final event that
// carries the error; any other reader gets the error as the return value.
func (a *answer) follow(ctx context.Context, after int, sink structs.Sink) error {
	delivered := 0
	for {
		event, state, changed := a.eventAt(after + delivered)
		switch state {
		case answerEvent:
			if err := sink(event); err != nil {
				return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "reader left")
			}
			delivered++
		case answerEnded:
			return a.deliverFailure(after+delivered, delivered, sink)
		case answerOpen:
			select {
			case <-changed:
			case <-ctx.Done():
				return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.Canceled, "reader left")
			}
		}
	}
}

type answerState int

const (
	answerOpen answerState = iota
	answerEvent
	answerEnded
)

// eventAt returns the event at index i, or whether the answer is still open or has
// ended at that index.
func (a *answer) eventAt(i int) (structs.Event, answerState, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case i < len(a.events):
		return a.events[i], answerEvent, nil
	case a.done:
		return structs.Event{}, answerEnded, nil
	default:
		return structs.Event{}, answerOpen, a.changed
	}
}

// deliverFailure delivers the error of a failed answer: as a final event if this reader
// already received events, as the return value otherwise.
func (a *answer) deliverFailure(seq, delivered int, sink structs.Sink) error {
	if a.err == nil || delivered == 0 {
		return a.err
	}
	last := structs.Event{Seq: seq + 1, Run: a.runID, Done: true, Err: verdict.From(a.err)}
	if err := sink(last); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "reader left")
	}
	return nil
}
