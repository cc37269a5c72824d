package home

import (
	"context"
	"sync"

	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// answer is the growing list of events of one run. Any number of readers follow
// it, each at its own pace.
type answer struct {
	mu      sync.Mutex
	run     string
	events  []structs.Event
	length  int // of the text, in bytes
	err     error
	done    bool
	changed chan struct{}
}

func newAnswer(run string) *answer {
	return &answer{run: run, changed: make(chan struct{})}
}

// text appends a piece of the answer and returns the length of the whole.
func (a *answer) text(piece string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.length += len(piece)
	a.append(structs.Event{Text: piece})
	return a.length
}

// append numbers and stores an event. The caller holds mu.
func (a *answer) append(event structs.Event) {
	event.Seq = len(a.events) + 1
	event.Run = a.run
	a.events = append(a.events, event)
	a.wake()
}

// wake tells the readers to look again. The caller holds mu.
func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// finish appends the last event.
func (a *answer) finish(last structs.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last.Done = true
	a.done = true
	a.append(last)
}

// fail ends the answer with an error.
func (a *answer) fail(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.err = err
	a.done = true
	a.wake()
}

// pieces returns the whole text and the lengths of its events.
func (a *answer) pieces() (string, []int) {
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

// follow delivers the events after the given one until the answer ends. A
// failed answer ends with an event that carries the error when events were
// delivered to this reader, and with the error itself when there were none.
func (a *answer) follow(ctx context.Context, after int, sink structs.Sink) error {
	delivered := 0
	for {
		event, state, changed := a.at(after + delivered)
		switch state {
		case answerEvent:
			if err := sink(event); err != nil {
				return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "reader left")
			}
			delivered++
		case answerEnded:
			return a.closing(after+delivered, delivered, sink)
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

// at returns the event at index i, or whether the answer is open or ended there.
func (a *answer) at(i int) (structs.Event, answerState, <-chan struct{}) {
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

// closing hands the error of a failed answer to a reader.
func (a *answer) closing(seq, delivered int, sink structs.Sink) error {
	if a.err == nil || delivered == 0 {
		return a.err
	}
	last := structs.Event{Seq: seq + 1, Run: a.run, Done: true, Err: verdict.From(a.err)}
	if err := sink(last); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.Canceled, "reader left")
	}
	return nil
}
