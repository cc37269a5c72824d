package logging

import (
	"sync"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

// Rate limit of the log lines with the same message.
const (
	// messagesPerSecond is the sustained rate: several times the request rate of one
	// daemon at the target size of the fleet.
	messagesPerSecond = 100
	// messageBurst is the number of lines that may exceed the rate at once.
	messageBurst = 400
)

// rateLimiter is a log.Handler that drops lines whose message exceeds the rate limit,
// and reports the number of dropped lines in a field of the next line with that
// message.
type rateLimiter struct {
	next log.Handler

	mu       sync.Mutex
	messages map[string]*messageState
}

// messageState is the limiter of one message and the number of lines dropped since the
// last one that was written.
type messageState struct {
	limiter *rate.Limiter
	dropped int
}

func newRateLimiter(next log.Handler) *rateLimiter {
	return &rateLimiter{next: next, messages: map[string]*messageState{}}
}

// HandleLog forwards a line to the next handler unless it exceeds the rate limit.
func (r *rateLimiter) HandleLog(e *log.Entry) error {
	dropped, ok := r.allow(e)
	if !ok {
		return nil
	}
	if dropped > 0 {
		annotated := *e
		annotated.Fields = make(log.Fields, len(e.Fields)+1)
		for name, value := range e.Fields {
			annotated.Fields[name] = value
		}
		annotated.Fields["dropped_before"] = dropped
		e = &annotated
	}
	return r.next.HandleLog(e)
}

// allow reports whether a line may be written, and how many lines with its message
// were dropped since the last one that was.
func (r *rateLimiter) allow(e *log.Entry) (dropped int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.messages[e.Message]
	if state == nil {
		state = &messageState{limiter: rate.NewLimiter(messagesPerSecond, messageBurst)}
		r.messages[e.Message] = state
	}
	if !state.limiter.AllowN(e.Timestamp, 1) {
		state.dropped++
		return 0, false
	}
	dropped, state.dropped = state.dropped, 0
	return dropped, true
}
