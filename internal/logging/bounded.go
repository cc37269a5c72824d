package logging

import (
	"sync"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Limits of the lines with one message.
const (
	// messageRate is the number of lines a second with the same message that a
	// process writes in the long run: several times what one daemon serves of
	// requests at the target size.
	messageRate = 100
	// messageBurst is the number of such lines at once.
	messageBurst = 400
)

// bounded is a log.Handler that drops lines whose message comes too often, and says
// with the next one how many were dropped.
type bounded struct {
	next log.Handler

	mu       sync.Mutex
	messages map[string]*messageState
}

// messageState is what is known of one message.
type messageState struct {
	limiter *rate.Limiter
	dropped int
}

func newBounded(next log.Handler) *bounded {
	return &bounded{next: next, messages: map[string]*messageState{}}
}

// HandleLog implements log.Handler.
func (b *bounded) HandleLog(e *log.Entry) error {
	dropped, ok := b.admit(e)
	if !ok {
		return nil
	}
	if dropped > 0 {
		said := *e
		said.Fields = make(log.Fields, len(e.Fields)+1)
		for name, value := range e.Fields {
			said.Fields[name] = value
		}
		said.Fields["dropped_before"] = dropped
		e = &said
	}
	return b.next.HandleLog(e)
}

// admit reports whether a line may be written, and how many of its kind were dropped
// since the last one.
func (b *bounded) admit(e *log.Entry) (dropped int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := b.messages[e.Message]
	if state == nil {
		state = &messageState{limiter: rate.NewLimiter(messageRate, messageBurst)}
		b.messages[e.Message] = state
	}
	if !state.limiter.AllowN(e.Timestamp, 1) {
		state.dropped++
		return 0, false
	}
	dropped, state.dropped = state.dropped, 0
	return dropped, true
}
