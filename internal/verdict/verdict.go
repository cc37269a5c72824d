// Package verdict defines the error type that every layer returns when it sends
// work on. It tells the caller whether the request may have run, so that a
// retry is decided from a fact and not from a status code.
package verdict

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// Verdict says whether a request ran at a backend server.
type Verdict uint8

const (
	// MayHaveRun is the zero value: an error that nobody classified must not
	// be taken for a proof that the request did not run.
	MayHaveRun Verdict = iota
	// NotRun means that no byte of the request was handed to the connection of
	// a backend server, and none will be.
	NotRun
	// Ran means that a backend server executed the request.
	Ran
)

// String returns the form used in headers, bodies and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// MarshalText encodes the verdict as its string form.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText decodes the string form; an unknown text becomes MayHaveRun.
func (v *Verdict) UnmarshalText(text []byte) error {
	switch string(text) {
	case "not_run":
		*v = NotRun
	case "ran":
		*v = Ran
	default:
		*v = MayHaveRun
	}
	return nil
}

// Reason is a stable, machine-readable cause of a refusal or failure.
type Reason string

// Reasons shown to callers.
const (
	BadRequest Reason = "bad_request"
	// BodyTooLarge, UnknownRoute and MethodNotAllowed refuse an HTTP request as such.
	BodyTooLarge     Reason = "body_too_large"
	UnknownRoute     Reason = "unknown_route"
	MethodNotAllowed Reason = "method_not_allowed"
	UnknownEntry     Reason = "unknown_entry"
	EntryRetired     Reason = "entry_retired"
	UnknownProgram   Reason = "unknown_program"
	ProgramEnded     Reason = "program_ended"
	TurnOutOfOrder   Reason = "turn_out_of_order"
	TurnConflict     Reason = "turn_conflict"
	HistoryGap       Reason = "history_gap"
	BudgetSpent      Reason = "budget_spent"
	QueueFull        Reason = "queue_full"
	LimitReached     Reason = "limit_reached"
	DeadlinePassed   Reason = "deadline_passed"
	Quarantined      Reason = "quarantined"
	NoServer         Reason = "no_server"
	NotHome          Reason = "not_home"
	PlatformDown     Reason = "platform_down"
	CatalogueStale   Reason = "catalogue_stale"
	Stopping         Reason = "stopping"
	PeerLost         Reason = "peer_lost"
	BackendFailed    Reason = "backend_failed"
	BackendTimeout   Reason = "backend_timeout"
	Canceled         Reason = "canceled"
	// AnswerRestarted: the turn runs again at another home with other text than
	// was delivered; the caller drops what it has and fetches the turn.
	AnswerRestarted Reason = "answer_restarted"
	Internal        Reason = "internal"
)

// Error is a failed or refused request together with its verdict.
// It crosses the wire between daemons, hence the tags; Cause does not.
type Error struct {
	Verdict    Verdict       `msgpack:"v" json:"verdict"`
	Reason     Reason        `msgpack:"r" json:"reason"`
	Message    string        `msgpack:"m" json:"message"`
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
	// Turn is the turn to resend from when Reason is HistoryGap, and the next
	// expected turn when Reason is TurnOutOfOrder.
	Turn  int   `msgpack:"t,omitempty" json:"turn,omitempty"`
	Cause error `msgpack:"-" json:"-"`
}

// New returns an Error with a formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error whose verdict is NotRun.
func Refuse(reason Reason, format string, args ...any) *Error {
	return New(NotRun, reason, format, args...)
}

// Wrap returns an Error that keeps cause for errors.Is and errors.As.
func Wrap(cause error, v Verdict, reason Reason, message string) *Error {
	return &Error{Verdict: v, Reason: reason, Message: message, Cause: cause}
}

// After sets RetryAfter and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns err as *Error. An error of any other type becomes MayHaveRun
// with reason Internal. From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return Wrap(err, MayHaveRun, Internal, "unclassified error")
}

// Is reports whether err carries the given verdict.
func Is(err error, v Verdict) bool {
	return err != nil && From(err).Verdict == v
}

// HasReason reports whether err carries the given reason.
func HasReason(err error, reason Reason) bool {
	return err != nil && From(err).Reason == reason
}
